//! The messages between tasks. They carry no socket and no type of any encoding's library.

use std::sync::Arc;

use flume::Sender;

use crate::{
    Answer, AttemptId, EndpointIx, Lease, Pin, Reply, Report, Request, RequestId, RoundId,
    SealReply, Statement, Term,
};

/// A message from a session to its group. `R` is the form of request that the front speaks.
#[derive(Debug, Clone)]
pub enum SessionCommand<R = Request> {
    /// Run a request and reply to the sender.
    Run(Arc<R>, Sender<Reply>),
    /// Cancel a request.
    Cancel(RequestId),
    /// A session ended inside a transaction.
    Release(EndpointIx, Lease),
}

/// A message from a group to an endpoint's task.
#[derive(Debug, Clone)]
pub enum EndpointCommand {
    /// Run a request. `held` tells whether the lease already holds a connection.
    Run {
        /// The request.
        request: Arc<Request>,
        /// The hold on the connection.
        lease: Lease,
        /// Whether the connection is held.
        held: bool,
    },
    /// Cancel a request; its answer is still awaited.
    Cancel(RequestId),
    /// Cancel a request and close its connection.
    Abandon(RequestId),
    /// End a transaction's hold: its connection is closed.
    Release(Lease),
    /// Report on the endpoint's state.
    Check(RoundId),
    /// Refuse all work of lower terms.
    Seal {
        /// The new term.
        term: Term,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Become primary.
    Promote {
        /// The new term.
        term: Term,
        /// The attempt.
        attempt: AttemptId,
    },
}

/// A message from an endpoint's task to its group.
#[derive(Debug, Clone)]
pub enum EndpointNotice {
    /// A request was answered.
    Answered(RequestId, Answer),
    /// A request's connection broke. The flag tells whether any byte may have been sent.
    Lost(RequestId, bool),
    /// An answer outgrew the limit, in bytes.
    Oversized(RequestId, usize),
    /// A check was answered.
    Reported(RoundId, Report),
    /// A check was not answered.
    CheckFailed(RoundId),
    /// A seal was answered.
    Sealed(AttemptId, SealReply),
    /// A promotion was answered.
    Promoted(AttemptId, bool),
}

/// A message to the task of a connection to another host, which runs statements there.
#[derive(Debug, Clone)]
pub enum RelayCommand {
    /// Run a statement, in the open transaction that the other host knows by this pin.
    Run(Arc<Statement>, Option<Pin>),
    /// Forget a statement's reply.
    Cancel(RequestId),
    /// Roll back a transaction.
    Release(Pin),
    /// Tell whether the other host lives.
    Ping,
}

/// A message from the task of a connection to another host.
#[derive(Debug, Clone)]
pub enum RelayNotice {
    /// A statement was replied to. The pin is the other host's.
    Replied(Reply),
    /// The other host lives.
    Pong,
    /// The connection is gone. Tells whether anything may have been sent on it.
    Closed(bool),
}
