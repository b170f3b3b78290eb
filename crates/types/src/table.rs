//! Tables of the platform's store as hosts pass them on to each other.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{Name, StoreVersion};

/// A state of a table at the host that publishes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableCursor {
    /// Random number that tells this publisher from others and from earlier ones on its host.
    pub epoch: u64,
    /// Number of changes that the publisher had seen.
    pub change: u64,
}

/// A question for a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableQuery {
    /// The state that is known already. `None` asks for the whole table.
    pub known: Option<TableCursor>,
    /// The lowest version of the store whose rows are wanted.
    pub version: StoreVersion,
    /// How long the publisher may wait for news.
    pub wait: Duration,
}

/// The difference to the state that a query names.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TableUpdate {
    /// All rows.
    Whole(Vec<(Name, Bytes)>),
    /// Rows that were written, and the keys of those that are gone.
    Changes(Vec<(Name, Bytes)>, Vec<Name>),
    /// The difference is too large to be passed on between hosts. The store has the rows.
    TooLarge,
}

/// The answer to a query.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableReply {
    /// The state after the update.
    pub cursor: TableCursor,
    /// The version of the store that the rows are of.
    pub version: StoreVersion,
    /// How long ago the store confirmed that the rows are current.
    pub age: Duration,
    /// The difference to the known state.
    pub update: TableUpdate,
}
