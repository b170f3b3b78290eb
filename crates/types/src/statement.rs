//! Statements for groups whose platform carries out promotions and fences replaced primaries, and
//! the messages to and from the tasks that own the connections to the endpoints.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use thiserror::Error;

use crate::{EndpointIx, Mark, Name, RequestHead, RequestId, Role, Term, TxState};

/// The transaction that a statement opens before it runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum TxStart {
    /// None: the statement runs outside a transaction, or in the open one.
    #[default]
    None,
    /// A read-only transaction.
    ReadOnly,
    /// A transaction that may write.
    ReadWrite,
}

/// A statement that applies a part of the session's state to a connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Setting {
    /// A session setting's name and the statement that sets it.
    Value(Name, Name),
    /// A prepared statement's name and the statement that prepares it.
    Prepared(Name, Name),
}

impl Setting {
    /// Returns the bytes of its name and its statement.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let (Self::Value(name, text) | Self::Prepared(name, text)) = self;
        name.len() + text.len()
    }
}

/// A client's statement, with the settings and the transaction that it needs.
#[derive(Debug, Clone)]
pub struct Statement {
    /// The part that decisions depend on.
    pub head: RequestHead,
    /// The client's id for the statement.
    pub label: Name,
    /// The statement's text.
    pub text: Name,
    /// The transaction to open before the statement.
    pub tx_start: TxStart,
    /// The settings that must be in force on the connection.
    pub settings: SmallVec<[Setting; 2]>,
}

/// A condition that an endpoint checks before it runs a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Guard {
    /// No condition.
    #[default]
    None,
    /// The endpoint's log must contain this mark.
    Contains(Mark),
}

/// The number of a connection, unique within its group on its host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// A message to the task of a connection.
#[derive(Debug, Clone)]
pub enum ConnectionCommand {
    /// Run a statement if the guard's condition holds.
    Run(Arc<Statement>, Guard),
    /// Check that the endpoint is the primary, and report its log position.
    Probe,
    /// Roll the open transaction back.
    Rollback,
    /// Query the endpoint's role and log position.
    Report,
    /// Make a replica stop receiving log entries. The term is above all known ones.
    Pause(Term),
    /// Make a replica receive log entries again.
    Resume,
    /// Make the endpoint step down from all terms below this one.
    StepDown(Term),
}

/// How an endpoint ended a statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// It ran.
    Done,
    /// It did not run: the endpoint has no free slot.
    Busy,
    /// It did not run: the endpoint's log lacks a part that the statement must see.
    Behind,
    /// It did not run: the endpoint is not the primary.
    NotPrimary,
    /// It failed, possibly after it had run.
    Failed(Name),
    /// It did not run, for a reason that applies at every endpoint.
    Refused(Name),
    /// It ran, but its answer can't be relied on: the endpoint was found to be no longer the primary
    /// afterwards, so the effect may be lost, or it had refused settings that the statement needs.
    Unconfirmed,
}

/// An endpoint's answer to a statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StatementResult {
    /// How it ended.
    pub verdict: Verdict,
    /// The encoded answer, without the closing message that reports the transaction's state.
    pub body: Bytes,
    /// The endpoint's log position after the statement.
    pub mark: Option<Mark>,
    /// Whether the answer proves that the endpoint was the primary while the statement ran.
    pub led: bool,
    /// The state of the connection's transaction.
    pub tx: TxState,
}

/// An endpoint's role and log position.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicationStatus {
    /// The endpoint's role in its group.
    pub role: Role,
    /// The newest term that it knows.
    pub term: Term,
    /// The last entry that its log holds.
    pub held: Mark,
    /// The term of the pause command that keeps it from receiving. Zero if it receives.
    pub paused: Term,
}

/// Why a connection could not be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum OpenError {
    /// The endpoint has reached its connection limit.
    #[error("the endpoint takes no further connection")]
    Full,
    /// Another endpoint answers at the address.
    #[error("another endpoint answers at the address")]
    WrongEndpoint,
    /// The endpoint does not answer.
    #[error("the endpoint does not answer")]
    Unreachable,
}

/// Why the answers on a connection can no longer be told apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum AnswerFault {
    /// The endpoint sent data while no message was unanswered.
    #[error("the endpoint sent data that was not asked for")]
    Unrequested,
    /// The endpoint has given this answer before.
    #[error("the endpoint has given this answer before")]
    Repeated,
    /// The answer does not fit the message that it is taken for.
    #[error("the answer does not fit the message")]
    Mismatched,
    /// The data does not follow the protocol.
    #[error("the answer does not follow the protocol")]
    Malformed,
    /// The endpoint did not open a transaction that would have told an error from a copy of an earlier
    /// one.
    #[error("an error can't be told from a copy of an earlier one")]
    Unverified,
}

/// A message from the task of a connection.
#[derive(Debug, Clone)]
pub enum ConnectionNotice {
    /// The connection is open and idle. Carries the endpoint's log position, if known.
    Opened(Option<Mark>),
    /// The connection could not be opened.
    OpenFailed(OpenError),
    /// A statement was answered.
    Answered(RequestId, StatementResult),
    /// The connection was closed. Carries the statement that was running, and whether any of it may
    /// have been sent.
    Closed(Option<(RequestId, bool)>),
    /// An answer can't be relied on, and the connection is not used again.
    OutOfStep(AnswerFault),
    /// A probe was answered. Carries the log position if the endpoint is the primary.
    Probed(Option<Mark>),
    /// The open transaction was rolled back.
    RolledBack,
    /// The endpoint answered a report command. Carries its status if it could be read.
    Reported(Option<ReplicationStatus>),
    /// The endpoint answered a pause command. Carries the term of the command, and the endpoint's
    /// status if it could be read.
    Paused(Term, Option<ReplicationStatus>),
    /// The endpoint answered a resume command. The flag says whether it carried the command out.
    Resumed(bool),
}

/// A lease on a group's succession that a host holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The host that holds the lease.
    pub holder: Name,
    /// The lease's fencing token.
    pub token: u64,
}

/// A command to the task that carries out a group's succession at the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SuccessionCommand {
    /// Take the group's lease, unless another host holds it or has already replaced this leader.
    Claim(Option<Name>),
    /// Promote an endpoint, under a claimed lease.
    Promote {
        /// The endpoint.
        endpoint: EndpointIx,
        /// The endpoint's name.
        name: Name,
        /// The lease.
        claim: Claim,
    },
}

impl SuccessionCommand {
    /// The notice that reports an unknown outcome of this command.
    #[must_use]
    pub const fn unknown_outcome(&self) -> StoreNotice {
        match self {
            Self::Claim(_) => StoreNotice::Claimed(Err(StoreError::Unknown)),
            Self::Promote { endpoint, .. } => {
                StoreNotice::Promoted(*endpoint, Err(StoreError::Unknown))
            }
        }
    }
}

/// Why the platform did not carry out a command.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum StoreError {
    /// Another host holds the lease or a newer fencing token was seen.
    #[error("another host holds the lease, or a newer fencing token was seen")]
    Outrun,
    /// Another leader was promoted meanwhile.
    #[error("{0} was promoted meanwhile")]
    Replaced(Name),
    /// The outcome is unknown: there was no answer, or it was inconclusive.
    #[error("the platform did not answer")]
    Unknown,
}

/// The platform's answer to a [`SuccessionCommand`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreNotice {
    /// The result of claiming the lease.
    Claimed(Result<Claim, StoreError>),
    /// The result of promoting the endpoint.
    Promoted(EndpointIx, Result<(), StoreError>),
}
