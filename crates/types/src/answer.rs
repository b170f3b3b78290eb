//! Answers, refusals and replies to requests.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{Floor, Mark, Name, Pin, RequestId, Role};

/// The state of a connection's transaction after an answer.
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
    /// The statement ran and failed.
    Failed {
        /// The error's code.
        code: Name,
    },
    /// The endpoint did not run the statement, because of its current role or term.
    Declined,
}

/// An endpoint's complete answer to one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// How the request ended.
    pub outcome: Outcome,
    /// The encoded messages for the client.
    pub body: Bytes,
    /// The last log entry that the endpoint had applied after the request.
    pub mark: Mark,
    /// The endpoint's role in its group.
    pub role: Role,
    /// The state of the connection's transaction.
    pub tx: TxState,
}

/// Why a request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum NotRun {
    /// No primary became known before the time limit.
    #[error("the database has no primary at present")]
    NoPrimary,
    /// No endpoint can be reached.
    #[error("no endpoint of the database can be reached")]
    Unreachable,
    /// No reachable endpoint contains everything that the request must see.
    #[error("no reachable endpoint has the session's own writes yet")]
    Behind,
    /// The request could not be sent before its time limit.
    #[error("the request could not start in time")]
    Late,
    /// The client cancelled the request before it was sent.
    #[error("cancelled by the caller")]
    Cancelled,
    /// The host is stopping.
    #[error("the host is stopping")]
    Stopping,
    /// The workspace has used up its allowance.
    #[error("the workspace has used up its allowance")]
    Allowance,
    /// The host has no memory left for the statement.
    #[error("the host has no memory left for the statement")]
    Memory,
}

/// Why a client gets no answer from an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum Refusal {
    /// The request was certainly not run.
    #[error("not run: {reason}")]
    NotRun {
        /// Why it was not run.
        reason: NotRun,
        /// The delay after which the client should retry, if it should.
        retry: Option<Duration>,
    },
    /// The request was sent, and it is not known whether it took effect.
    #[error("outcome unknown: {detail}")]
    Unknown {
        /// The reason why the outcome is unknown.
        detail: Name,
    },
    /// The transaction's connection broke before its commit was sent.
    #[error("transaction rolled back: the connection to the endpoint was lost")]
    TransactionLost,
    /// A failover dropped a write that the session made or read.
    #[error(
        "a failover lost part of what this session wrote or saw (term {}, position {})",
        floor.term.0,
        floor.position.0
    )]
    WriteLost {
        /// The mark up to which the session relied on the log.
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

/// The reply to a session's request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// The request's number.
    pub id: RequestId,
    /// The endpoint's answer, or why there is none.
    pub result: Result<Answer, Refusal>,
    /// The session's floor from now on.
    pub floor: Floor,
    /// The connection that the open transaction is bound to, if one is open.
    pub pin: Option<Pin>,
}
