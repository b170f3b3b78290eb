//! Events that a fenced group reacts to, and actions that it returns.

use goldcrest_types::{
    ConnectionId, ConnectionNotice, EndpointIx, Floor, Guard, Lease, Name, Pin, Refusal,
    RequestHead, RequestId, StoreNotice, SuccessionCommand, Term, TxStart,
};
use smallvec::SmallVec;
use std::time::Duration;

/// What discovery reports about an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberInfo {
    /// Name of the endpoint.
    pub name: Name,
    /// Distinguishes restarts of an endpoint under the same name.
    pub incarnation: u64,
    /// One-way network latency from this host.
    pub latency: Duration,
    /// Whether the endpoint is about to shut down.
    pub leaving: bool,
    /// Whether the endpoint claims to be the primary.
    pub claims_primary: bool,
}

/// This host's part in serving the group, and the group's rule of replication.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Assignment {
    /// Connections that it may open to each endpoint.
    pub connections: usize,
    /// Connections that it may open beyond these while requests wait and the endpoint accepts them.
    pub borrowable: usize,
    /// Connections that it may open to each endpoint until [`GroupConfig::settled_at`].
    ///
    /// [`GroupConfig::settled_at`]: super::GroupConfig::settled_at
    pub settling: usize,
    /// Whether it replaces a leader that is shutting down even when none of its clients uses the
    /// group.
    pub replaces_leaving: bool,
    /// How many replicas must have received a commit before the leader acknowledges it.
    pub sync_replicas: usize,
}

/// An event for a group.
#[derive(Debug, Clone)]
pub enum Event {
    /// A session requests that a statement is run.
    Request(RequestHead, TxStart),
    /// A session no longer waits for its statement.
    Cancel(RequestId),
    /// A session abandons its open transaction.
    Release(EndpointIx, Lease),
    /// The task of a connection sent a notice.
    Connection(ConnectionId, ConnectionNotice),
    /// The list of endpoints from discovery changed.
    Members(SmallVec<[MemberInfo; 4]>),
    /// This host's assignment changed.
    Assign(Assignment),
    /// The platform answered a succession command.
    Store(StoreNotice),
    /// Time has passed.
    Tick,
}

/// A connection that is closed in favour of another workspace.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Eviction {
    /// The connection.
    pub connection: ConnectionId,
    /// Its endpoint.
    pub endpoint: EndpointIx,
    /// The workspace that it belonged to.
    pub from: Name,
    /// The workspace that needs its place.
    pub to: Name,
    /// How long it was idle.
    pub idle: Duration,
}

/// An action for the group's task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Open a connection for a workspace.
    Open(ConnectionId, EndpointIx, Name),
    /// Close a connection.
    Close(ConnectionId),
    /// Close an idle connection in favour of another workspace.
    Evict(Eviction),
    /// Run a statement on a connection.
    Run(ConnectionId, RequestId, Guard),
    /// Request a proof of leadership over a connection.
    Probe(ConnectionId),
    /// Roll back the transaction on a connection.
    Rollback(ConnectionId),
    /// Request a report of the log position over a connection.
    Report(ConnectionId),
    /// Make a replica stop receiving log entries, at this term.
    Pause(ConnectionId, Term),
    /// Make a replica receive log entries again.
    Resume(ConnectionId),
    /// Order the endpoint to step down from all terms below this one.
    StepDown(ConnectionId, Term),
    /// Deliver the stored answer to the session.
    Deliver {
        /// The request.
        id: RequestId,
        /// The session's floor from now on: the log position that its reads must contain. `Unknown`
        /// leaves it unchanged.
        floor: Floor,
        /// The transaction that is open after the statement, if any.
        pin: Option<Pin>,
    },
    /// Discard the stored answer of a request that is retried or refused.
    Discard(RequestId),
    /// Refuse the request towards its session.
    Refuse(RequestId, Refusal),
    /// Send a command to the platform.
    Succession(SuccessionCommand),
    /// An endpoint proved to be the leader of this term.
    LeaderProved(EndpointIx, Term),
}

/// The actions returned for one event.
pub type Actions = SmallVec<[Action; 4]>;
