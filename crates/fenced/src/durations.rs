//! Durations that a group's task records.

use std::{rc::Rc, time::Duration};

use goldcrest_types::Kind;

/// Records a duration of a service.
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
    /// An endpoint failed it, or it did not finish in time.
    Failed,
}

/// What a duration measures.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DurationKind {
    /// A request, from its arrival to its reply.
    Request {
        /// Kind of the statement.
        kind: Kind,
        /// How it ended.
        outcome: RequestOutcome,
    },
    /// A request, from its arrival until it is first sent.
    Queue,
    /// An attempt, from sending it to its answer.
    Endpoint {
        /// Whether it was sent to the endpoint that was taken for the leader.
        is_leader: bool,
    },
    /// The time for which no leader of a group answered.
    Leaderless,
}
