//! The messages between tasks. They carry no socket and no type of any encoding's library.

use std::sync::Arc;

use flume::Sender;

use crate::{
    Answer, AttemptId, EndpointIx, Lease, Reply, Report, Request, RequestId, RoundId, SealReply,
    Term,
};

/// A message from a session to its group. `R` is the form of request that the front speaks.
#[derive(Debug, Clone)]
pub enum SessionAsk<R = Request> {
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
    Unreported(RoundId),
    /// A seal was answered.
    Sealed(AttemptId, SealReply),
    /// A promotion was answered.
    Promoted(AttemptId, bool),
}
