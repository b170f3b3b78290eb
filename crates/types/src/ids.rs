//! Identifiers of endpoints, requests, sessions, leases and attempts.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The index of an endpoint within its database group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EndpointIx(pub u16);

impl EndpointIx {
    /// The index as a `usize`, for slices.
    #[must_use]
    pub const fn index(self) -> usize {
        self.0 as usize
    }
}

/// A request's number, unique on its host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u64);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "r{}", self.0)
    }
}

/// A client session's number, unique on its host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u64);

/// The number of a round of term checks, unique within its group on its host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RoundId(pub u64);

/// A session's exclusive use of a connection, identified by the number of the request that took it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Lease(pub u64);

/// Binds an open transaction to the connection on which it runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pin {
    /// The endpoint that runs the transaction.
    pub endpoint: EndpointIx,
    /// The lease on the connection.
    pub lease: Lease,
}

/// The id of a promotion attempt, unique in the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AttemptId(pub u64);

/// The id of a change of a row in the platform's table, unique in the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ChangeId(pub u64);
