//! What becomes of a request.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{Floor, Mark, Name, Pin, RequestId, Role};

/// Whether a transaction is open after an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum TxState {
    /// No transaction is open.
    #[default]
    Idle,
    /// A transaction is open.
    Open,
    /// A transaction is open and can only be rolled back.
    Failed,
}

/// How an endpoint ended a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The statement ran.
    Done,
    /// The endpoint answered with an error.
    Failed {
        /// The error's code.
        code: Name,
    },
    /// The endpoint refused to run the statement in its present role or term.
    Declined,
}

/// An endpoint's whole answer to one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// How the request ended.
    pub outcome: Outcome,
    /// The encoded messages for the caller.
    pub body: Bytes,
    /// What the endpoint had applied after the request.
    pub mark: Mark,
    /// The endpoint's part in its group.
    pub role: Role,
    /// Whether a transaction is open now.
    pub tx: TxState,
}

/// Why a request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum NotRun {
    /// No primary is known and the wait is over.
    #[error("the database has no primary at present")]
    NoPrimary,
    /// No endpoint can be reached.
    #[error("no endpoint of the database can be reached")]
    Unreachable,
    /// No endpoint is recent enough.
    #[error("no reachable endpoint has the session's own writes yet")]
    Behind,
    /// The work could not start in time.
    #[error("the request could not start in time")]
    Late,
    /// The caller cancelled the request before it was sent.
    #[error("cancelled by the caller")]
    Cancelled,
    /// The host is stopping.
    #[error("the host is stopping")]
    Stopping,
}

/// Why a caller gets no answer of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum Refusal {
    /// The request was not run. This is certain.
    #[error("not run: {reason}")]
    NotRun {
        /// Why.
        reason: NotRun,
        /// When to come again.
        retry: Option<Duration>,
    },
    /// The request was sent and what became of it is not known.
    #[error("outcome unknown: {detail}")]
    Unknown {
        /// What happened.
        detail: Name,
    },
    /// The transaction's connection broke before its commit was sent.
    #[error("transaction rolled back: the connection to the endpoint was lost")]
    TransactionLost,
    /// A failover dropped something that the session wrote or saw.
    #[error(
        "a failover lost part of what this session wrote or saw (term {}, position {})",
        floor.term.0,
        floor.position.0
    )]
    WriteLost {
        /// What the session had relied on.
        floor: Mark,
    },
    /// The read did not end in time.
    #[error("the read did not end in time")]
    Timeout,
    /// The answer is larger than the limit.
    #[error("the answer is larger than the limit of {limit} bytes")]
    TooLarge {
        /// The limit in bytes.
        limit: usize,
    },
}

/// What a session is told about its request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// The request.
    pub id: RequestId,
    /// The endpoint's answer, or why there is none.
    pub result: Result<Answer, Refusal>,
    /// The oldest state that the session may be shown from now on.
    pub floor: Floor,
    /// The transaction that is open now.
    pub pin: Option<Pin>,
}
