//! Events that a relay reacts to, and actions that it returns.

use goldcrest_types::{Lease, Name, NotRun, Pin, Refusal, RequestHead, RequestId, TxStart};
use smallvec::SmallVec;

use crate::owners::Ranking;

/// Identifies a link, that is, a connection to an owner. Unique on its host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkId(pub u64);

impl LinkId {
    /// Stands for this host's own connections to the endpoints.
    pub const OWN: Self = Self(0);
}

/// The parts of a reply that decisions depend on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplySummary {
    /// The owner's pin of the transaction that is open after the request, if any.
    pub pin: Option<Pin>,
    /// Why the request was not run, if it was refused as not run.
    pub not_run: Option<NotRun>,
}

/// An event for a relay.
#[derive(Debug, Clone)]
pub enum Event {
    /// A session requests that a statement is run.
    Request(RequestHead, TxStart),
    /// A session no longer waits for its statement.
    Cancel(RequestId),
    /// A session abandons its open transaction.
    Release(Lease),
    /// The group's owners changed. In order of preference; this host may be one of them.
    Owners(Ranking),
    /// A reply arrived.
    Replied(LinkId, RequestId, ReplySummary),
    /// The host at the other end of a link answered a ping.
    Pong(LinkId),
    /// A link was closed or could not be opened, with whether a request may have been sent on it.
    Closed(LinkId, bool),
    /// Time has passed.
    Tick,
}

/// An action for the relay's task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Open a link to a host. Requests may be sent on it at once.
    Open(LinkId, Name),
    /// Close a link.
    Close(LinkId),
    /// Send a request, with the owner's pin of its transaction.
    Send(LinkId, RequestId, Option<Pin>),
    /// Cancel a request.
    Cancel(LinkId, RequestId),
    /// Roll back a transaction.
    Release(LinkId, Pin),
    /// Ping the host at the other end of a link.
    Ping(LinkId),
    /// Deliver the reply to the session, with this host's pin of the open transaction.
    Deliver(RequestId, Option<Pin>),
    /// Refuse the request towards its session.
    Refuse(RequestId, Refusal),
    /// A host became unreachable (`false`) or reachable again (`true`).
    Reachable(Name, bool),
}

/// The actions returned for one event.
pub type Actions = SmallVec<[Action; 4]>;
