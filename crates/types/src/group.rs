//! What an endpoint says of itself.

use serde::{Deserialize, Serialize};

use crate::{History, Mark, Position, Term};

/// An endpoint's part in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum Role {
    /// Takes writes.
    Primary,
    /// Follows a primary.
    #[default]
    Replica,
}

/// When a commit may be acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Acknowledge {
    /// A majority confirmed the term after the commit and holds its position.
    #[default]
    Majority,
    /// A majority confirmed the term after the commit.
    Primary,
}

/// What a session's reads never go back behind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Consistency {
    /// What the session wrote.
    #[default]
    OwnWrites,
    /// What the session wrote, and what it read before.
    Monotonic,
}

/// An endpoint's answer to a term check.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// The endpoint's part.
    pub role: Role,
    /// The highest term that the endpoint promised to serve.
    pub promised: Term,
    /// What the endpoint has applied, in the log that it follows.
    pub applied: Mark,
    /// What the endpoint has received, at least what it has applied.
    pub held: Position,
    /// Whether a replica hears its primary. True on a primary.
    pub connected: bool,
    /// The terms of the endpoint's log.
    pub history: History,
}

/// An endpoint's answer to a seal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SealReply {
    /// The endpoint refuses all work of lower terms from now on.
    Sealed {
        /// The last entry that it holds.
        held: Mark,
    },
    /// The endpoint has promised this term, or this term to another attempt.
    Refused {
        /// The promised term.
        promised: Term,
    },
}
