//! The messages between tasks. They contain no sockets and no types of an encoding library.

use std::sync::Arc;

use flume::Sender;

use crate::{
    Answer, AttemptId, EndpointIx, Lease, Pin, Reply, Report, Request, RequestId, RoundId,
    SealReply, Statement, Term,
};

/// A message from a session to its group. `R` is the request type that the front end uses.
#[derive(Debug, Clone)]
pub enum SessionCommand<R = Request> {
    /// Run a request and send the reply to the given channel.
    Run(Arc<R>, Sender<Reply>),
    /// Cancel a request.
    Cancel(RequestId),
    /// Release the connection of a session that ended inside a transaction.
    Release(EndpointIx, Lease),
}

/// A message from a group to an endpoint's task.
#[derive(Debug, Clone)]
pub enum EndpointCommand {
    /// Run a request.
    Run {
        /// The request.
        request: Arc<Request>,
        /// The lease on the connection.
        lease: Lease,
        /// Whether the lease already holds a connection.
        held: bool,
    },
    /// Cancel a request; its answer is still reported.
    Cancel(RequestId),
    /// Cancel a request and close its connection.
    Abandon(RequestId),
    /// End a transaction's lease and close its connection.
    Release(Lease),
    /// Query the endpoint's state for a round of term checks.
    Check(RoundId),
    /// Make the endpoint refuse all work of lower terms.
    Seal {
        /// The new term.
        term: Term,
        /// The promotion attempt.
        attempt: AttemptId,
    },
    /// Make the endpoint the primary.
    Promote {
        /// The new term.
        term: Term,
        /// The promotion attempt.
        attempt: AttemptId,
    },
}

/// A message from an endpoint's task to its group.
#[derive(Debug, Clone)]
pub enum EndpointNotice {
    /// A request was answered.
    Answered(RequestId, Answer),
    /// A request's connection was lost. The flag says whether any byte may have been sent.
    Lost(RequestId, bool),
    /// An answer exceeded the given limit in bytes.
    Oversized(RequestId, usize),
    /// The endpoint answered a term check.
    Reported(RoundId, Report),
    /// The endpoint did not answer a term check.
    CheckFailed(RoundId),
    /// The endpoint answered a request to seal.
    Sealed(AttemptId, SealReply),
    /// The endpoint answered a request to become primary. The flag says whether it did.
    Promoted(AttemptId, bool),
    /// A connection was closed because an answer on it did not belong to the running request.
    Desynchronized,
}

/// A message to the task of a connection to another host, which relays statements to that host.
#[derive(Debug, Clone)]
pub enum RelayCommand {
    /// Run a statement, in the open transaction that the pin names on the other host, if given.
    Run(Arc<Statement>, Option<Pin>),
    /// Discard a statement's reply.
    Cancel(RequestId),
    /// Roll back a transaction.
    Release(Pin),
    /// Check that the other host responds.
    Ping,
}

/// A message from the task of a connection to another host.
#[derive(Debug, Clone)]
pub enum RelayNotice {
    /// A statement's reply arrived. Its pin is one of the other host's.
    Replied(Reply),
    /// The other host answered a ping.
    Pong,
    /// The connection was closed. The flag says whether anything may have been sent on it.
    Closed(bool),
}
