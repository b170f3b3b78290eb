//! What happens to a fenced group, and what it says to do.

use goldcrest_types::{
    ConnectionId, ConnectionNotice, EndpointIx, Floor, Guard, Lease, Name, Pin, Refusal,
    RequestHead, RequestId, StoreNotice, SuccessionCommand, Term, TxStart,
};
use smallvec::SmallVec;
use std::time::Duration;

/// An endpoint as discovery gives it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberInfo {
    /// Its name.
    pub name: Name,
    /// Tells this run of the endpoint from earlier ones under the same name.
    pub incarnation: u64,
    /// The one-way latency to it.
    pub latency: Duration,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// Whether it says that it leads.
    pub leads: bool,
}

/// What this host does for the group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holding {
    /// Connections that it may hold to one endpoint.
    pub connections: usize,
    /// Whether it replaces leaders that leave while none of its clients asks for the group.
    pub watches: bool,
}

/// Something that happened.
#[derive(Debug, Clone)]
pub enum Event {
    /// A session asks for a statement to be run.
    Ask(RequestHead, TxStart),
    /// A session no longer wants its statement.
    Cancel(RequestId),
    /// A session gives up its open transaction.
    Release(EndpointIx, Lease),
    /// Something happened on a connection.
    Connection(ConnectionId, ConnectionNotice),
    /// The endpoints that discovery lists now.
    Members(SmallVec<[MemberInfo; 4]>),
    /// This host's part in the group has changed.
    Hold(Holding),
    /// The platform answered.
    Store(StoreNotice),
    /// The clock moved.
    Tick,
}

/// Something for the group's task to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Open a connection.
    Open(ConnectionId, EndpointIx),
    /// Close a connection.
    Close(ConnectionId),
    /// Run a statement on a connection.
    Run(ConnectionId, RequestId, Guard),
    /// Ask for a proof of leadership on a connection.
    Probe(ConnectionId),
    /// Roll back the transaction on a connection.
    Rollback(ConnectionId),
    /// Ask for a report on a connection.
    Report(ConnectionId),
    /// Ask the endpoint to give up leadership of terms below this one.
    StepDown(ConnectionId, Term),
    /// Give the held answer to the session.
    Deliver {
        /// The request.
        id: RequestId,
        /// The session's floor from now on.
        floor: Floor,
        /// The open transaction.
        pin: Option<Pin>,
    },
    /// Drop the held answer of a request that is run again.
    Discard(RequestId),
    /// Tell the session why it gets no answer.
    Refuse(RequestId, Refusal),
    /// Speak with the platform.
    Succession(SuccessionCommand),
    /// An endpoint proved that it leads.
    Leader(EndpointIx, Term),
}

/// The actions of one step.
pub type Actions = SmallVec<[Action; 4]>;
