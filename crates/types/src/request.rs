//! A caller's request, free of its encoding.

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
    /// May change data, or can't be proved to be a read.
    Write,
    /// Opens a transaction.
    Begin,
    /// Ends a transaction and keeps its work.
    Commit,
    /// Ends a transaction and drops its work.
    Rollback,
}

/// How long a statement is expected to run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum Class {
    /// Interactive work.
    #[default]
    Short,
    /// Batch work.
    Long,
}

/// The part of a request that decisions look at.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// The request's number.
    pub id: RequestId,
    /// The workspace that asks.
    pub workspace: Name,
    /// What the statement does.
    pub kind: Kind,
    /// How long it is expected to run.
    pub class: Class,
    /// The oldest state that the caller may be shown.
    pub floor: Floor,
    /// The age of data that a read accepts, if stated.
    pub max_age: Option<Duration>,
    /// The open transaction that the statement belongs to.
    pub pin: Option<Pin>,
    /// Whether the request has an id of its own and may be repeated safely.
    pub idempotent: bool,
    /// When the request arrived.
    pub arrived: Timestamp,
    /// When work that has not started is refused.
    pub start_by: Timestamp,
    /// When the caller gives up.
    pub deadline: Timestamp,
}

/// A whole request: its head and its encoded statement.
#[derive(Debug, Clone)]
pub struct Request {
    /// What decisions look at.
    pub head: RequestHead,
    /// The caller's own id for the request, if it gave one.
    pub idempotency_key: Option<Name>,
    /// Session settings to be in force, as statements in order.
    pub settings: SmallVec<[Name; 2]>,
    /// Whether the statement may leave something behind on its connection.
    pub dirty: bool,
    /// The encoded messages to send.
    pub body: Bytes,
}
