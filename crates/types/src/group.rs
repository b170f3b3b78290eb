//! Endpoint roles and reports, and the rules that a group is configured with.

use serde::{Deserialize, Serialize};

use crate::{History, Mark, Position, Term};

/// An endpoint's role in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum Role {
    /// Accepts writes.
    Primary,
    /// Replicates the log of a primary.
    #[default]
    Replica,
}

/// When a commit may be acknowledged to the client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Acknowledge {
    /// When a majority has confirmed the term after the commit and holds the commit's position.
    #[default]
    Majority,
    /// When a majority has confirmed the term after the commit.
    Primary,
}

/// The session guarantee for reads: what they always include.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Consistency {
    /// The session's own writes (read your writes).
    #[default]
    OwnWrites,
    /// The session's own writes, and everything that it has read before (monotonic reads).
    Monotonic,
}

/// An endpoint's answer to a term check.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// The endpoint's role.
    pub role: Role,
    /// The highest term that the endpoint has promised to serve.
    pub promised: Term,
    /// The last entry that the endpoint has applied, in the log that it follows.
    pub applied: Mark,
    /// The position up to which the endpoint has received entries, at least the applied one.
    pub held: Position,
    /// Whether a replica receives messages from its primary. True on a primary.
    pub connected: bool,
    /// The history of terms in the endpoint's log.
    pub history: History,
}

/// An endpoint's answer to a request to seal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SealReply {
    /// The endpoint is sealed: it refuses all work of lower terms from now on.
    Sealed {
        /// The last entry that it holds.
        held: Mark,
    },
    /// The endpoint has already promised a higher term, or this term to another attempt.
    Refused {
        /// The promised term.
        promised: Term,
    },
}
