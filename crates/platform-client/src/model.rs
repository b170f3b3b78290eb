//! The JSON types of the platform's rows, transactions and host list.

use std::net::SocketAddr;

use goldcrest_types::{ChangeId, Name};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A row of a table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The row's key.
    pub key: Name,
    /// Its version: the number of writes to the row so far.
    pub version: u64,
    /// Its value.
    pub value: Value,
}

/// A conditional write of one row.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Put {
    /// The table.
    pub table: Name,
    /// The row's key.
    pub key: Name,
    /// The version that the row must have; zero for a row that must not exist.
    pub expected: u64,
    /// The new value.
    pub value: Value,
}

/// Writes that take effect together or not at all.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// The change's id. A repeat of a transaction that took effect changes nothing.
    pub change: ChangeId,
    /// The writes.
    pub puts: Vec<Put>,
}

/// The answer to a transaction that took effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Written {
    /// The rows' new versions, in the order of the writes.
    pub versions: Vec<u64>,
}

/// The answer to a transaction that did not take effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// The key of the first row that has another version than expected.
    pub key: Name,
    /// The version that it has.
    pub version: u64,
}

/// The state of a host in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// The host is a live member of the fleet.
    Live,
    /// The host is leaving the fleet.
    Leaving,
}

/// A host in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Its name.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// The address for its peers.
    pub peers: SocketAddr,
    /// Its state.
    pub state: HostState,
}
