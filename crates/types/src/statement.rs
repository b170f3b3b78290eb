//! Statements for groups whose platform orders promotions and fences replaced primaries, and the
//! messages to the tasks that own connections to their endpoints.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use thiserror::Error;

use crate::{EndpointIx, Mark, Name, RequestHead, RequestId, Role, Term, TxState};

/// The transaction that a statement opens before it runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum TxStart {
    /// None: the statement runs by itself, or in the open transaction.
    #[default]
    None,
    /// One that only reads.
    ReadOnly,
    /// One that may write.
    ReadWrite,
}

/// A statement that makes a connection fit for its session.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Setting {
    /// A session value and the statement that sets it.
    Value(Name, Name),
    /// A prepared statement's name and the statement that prepares it.
    Prepared(Name, Name),
}

/// A client's statement with what a connection needs to run it.
#[derive(Debug, Clone)]
pub struct Statement {
    /// What decisions look at.
    pub head: RequestHead,
    /// The client's own id for the statement.
    pub label: Name,
    /// The statement's text.
    pub text: Name,
    /// The transaction to open first.
    pub opening: TxStart,
    /// What must be in force on the connection.
    pub settings: SmallVec<[Setting; 2]>,
}

/// How an endpoint proves that a read is fresh enough.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Guard {
    /// Nothing to prove.
    #[default]
    None,
    /// The endpoint must contain this mark.
    Contains(Mark),
}

/// The number of a connection, unique within its group on its host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// A message to the task of a connection.
#[derive(Debug, Clone)]
pub enum ConnectionCommand {
    /// Run a statement.
    Run(Arc<Statement>, Guard),
    /// Prove leadership, and tell the position.
    Probe,
    /// Roll the open transaction back.
    Rollback,
    /// Report on the endpoint.
    Report,
    /// Give up leadership of terms below this one.
    StepDown(Term),
}

/// How an endpoint ended a statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// It ran.
    Done,
    /// It did not run: the endpoint has no free slot.
    Busy,
    /// It did not run: the endpoint's log lacks a part.
    Behind,
    /// It did not run: the endpoint does not lead.
    NotPrimary,
    /// It may have run, and failed.
    Failed(Name),
    /// It did not run, for a reason that another endpoint would give too.
    Refused(Name),
    /// It ran, and the endpoint had lost its lead right afterwards: it may be rolled back.
    Unconfirmed,
}

/// The answer to a statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StatementResult {
    /// How it ended.
    pub verdict: Verdict,
    /// The encoded answer, without the closing message that tells the transaction's state.
    pub body: Bytes,
    /// The endpoint's position after it.
    pub mark: Option<Mark>,
    /// Whether the answer proves that the endpoint led its group while it ran.
    pub led: bool,
    /// Whether a transaction is open on the connection.
    pub tx: TxState,
}

/// What an endpoint reports of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicationStatus {
    /// Its part in the group.
    pub role: Role,
    /// What its log holds.
    pub held: Mark,
}

/// Why a connection could not be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum OpenError {
    /// The endpoint has no room for another connection.
    #[error("the endpoint takes no further connection")]
    Full,
    /// Another endpoint answers at the address.
    #[error("another endpoint answers at the address")]
    WrongEndpoint,
    /// The endpoint does not answer.
    #[error("the endpoint does not answer")]
    Unreachable,
}

/// A message from the task of a connection.
#[derive(Debug, Clone)]
pub enum ConnectionNotice {
    /// The connection is ready for work. It tells the endpoint's position.
    Opened(Option<Mark>),
    /// The connection could not be opened.
    OpenFailed(OpenError),
    /// A statement was answered.
    Answered(RequestId, StatementResult),
    /// The connection is gone. Tells the statement that was under way, and whether any of it may
    /// have been sent.
    Closed(Option<(RequestId, bool)>),
    /// A probe was answered: the position, if the endpoint leads.
    Probed(Option<Mark>),
    /// The open transaction is rolled back.
    RolledBack,
    /// The endpoint reported.
    Reported(Option<ReplicationStatus>),
}

/// A lease that was claimed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The host that holds it.
    pub holder: Name,
    /// Its fencing token.
    pub token: u64,
}

/// An order to whoever speaks with the platform for a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SuccessionCommand {
    /// Take the group's lease unless another host holds it, or has replaced this leader.
    Claim(Option<Name>),
    /// Order the promotion of an endpoint under a claimed lease.
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
    /// What is told of the command where its outcome is not known.
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

/// Why the platform did not do as asked.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum StoreError {
    /// Another host goes first.
    #[error("another host holds the lease, or a newer fencing token was seen")]
    Outrun,
    /// Another leader was promoted meanwhile.
    #[error("{0} was promoted meanwhile")]
    Replaced(Name),
    /// No answer, or one that does not tell.
    #[error("the platform did not answer")]
    Unknown,
}

/// An answer of the platform for a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreNotice {
    /// The lease is taken, or not.
    Claimed(Result<Claim, StoreError>),
    /// The endpoint was promoted, or not.
    Promoted(EndpointIx, Result<(), StoreError>),
}
