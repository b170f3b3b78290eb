//! A client's request, independent of the front end's encoding.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{Floor, Name, Pin, RequestId, Timestamp};

/// What a statement does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Reads only, and may run on a replica.
    Read,
    /// May change data, or cannot be proved to be a read.
    Write,
    /// Begins a transaction.
    Begin,
    /// Commits a transaction.
    Commit,
    /// Rolls back a transaction.
    Rollback,
}

/// The class of a request by its expected duration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum Class {
    /// Interactive work.
    #[default]
    Short,
    /// Batch work.
    Long,
}

/// The part of a request that routing and retry decisions depend on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// The request's number.
    pub id: RequestId,
    /// The workspace that the request comes from. Empty where clients have none.
    pub workspace: Name,
    /// The database that the request is for.
    pub database: Name,
    /// The urgency of the database's requests: 0 goes first.
    pub priority: u8,
    /// What the statement does.
    pub kind: Kind,
    /// The class by its expected duration.
    pub class: Class,
    /// The oldest state that the session may read.
    pub floor: Floor,
    /// The maximum age of the data that a read accepts, if set.
    pub max_age: Option<Duration>,
    /// The open transaction that the statement belongs to, if any.
    pub pin: Option<Pin>,
    /// Whether the request has an idempotency key, so that it can be repeated safely.
    pub idempotent: bool,
    /// When the request arrived.
    pub arrived: Timestamp,
    /// The time by which the request must be sent; it is refused otherwise.
    pub start_by: Timestamp,
    /// The time by which the client must get a reply.
    pub deadline: Timestamp,
}

/// A complete request: its head and its encoded statement.
#[derive(Debug, Clone)]
pub struct Request {
    /// The part that decisions depend on.
    pub head: RequestHead,
    /// The client's idempotency key for the request (`goldcrest.request_id`), if set.
    pub idempotency_key: Option<Name>,
    /// The statements that apply the session's settings, in order.
    pub settings: SmallVec<[Name; 2]>,
    /// Whether the statement may change the state of its connection, which must then be reset.
    pub dirty: bool,
    /// The encoded messages to send.
    pub body: Bytes,
}
