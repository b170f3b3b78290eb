//! Spans of time that a group's task counts.

use std::{rc::Rc, time::Duration};

use goldcrest_types::Kind;

/// Counts a span of a service.
pub type RecordDuration = Rc<dyn Fn(&str, DurationKind, Duration)>;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// An endpoint ran it.
    Served,
    /// It was not run.
    Refused,
    /// Its outcome is unknown.
    Unknown,
    /// An endpoint failed it, or it did not end in time.
    Failed,
}

/// What a span of time is of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DurationKind {
    /// A request, from its arrival to its reply.
    Request {
        /// What it does.
        kind: Kind,
        /// How it ended.
        outcome: RequestOutcome,
    },
    /// A request, from its arrival until it is first sent.
    Queue,
    /// A try, from sending to the answer.
    Endpoint {
        /// Whether the endpoint was believed to lead.
        leads: bool,
    },
    /// A group without a leader that answers.
    Leaderless,
}
