//! Connections, what they hold, and the decisions about them.

use goldcrest_types::Timestamp;
use smallvec::SmallVec;

use super::pools::Charge;

/// A connection of a client, or to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HolderId(pub u64);

/// What bytes are held for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Use {
    /// A message of a client: its read buffer and its statement.
    Message,
    /// An answer.
    Answer,
    /// Values and prepared statements of a session.
    Kept,
    /// What a connection to an endpoint remembers of the sessions that it served.
    Remembered,
}

impl Use {
    /// All purposes.
    pub(super) const ALL: [Self; 4] = [Self::Message, Self::Answer, Self::Kept, Self::Remembered];
}

/// What a connection does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// It waits for a message.
    Idle,
    /// Its message runs.
    Running,
    /// The client sends a message since this time.
    Receiving(Timestamp),
    /// The client takes an answer since this time.
    Sending(Timestamp),
}

/// Why a connection is closed or not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// The host has all connections of clients that it takes.
    Connections,
    /// It had not started a session when another client needed the connection.
    NotStarted,
    /// It was slow when another client needed its memory.
    Slow,
    /// There was no memory for its message in time.
    NoMemory,
    /// Its message took too long.
    MessageTime,
}

impl Reason {
    /// All reasons.
    pub const ALL: [Self; 5] = [
        Self::Connections,
        Self::NotStarted,
        Self::Slow,
        Self::NoMemory,
        Self::MessageTime,
    ];

    /// The reason's label in logs and metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Connections => "connections",
            Self::NotStarted => "not_started",
            Self::Slow => "slow",
            Self::NoMemory => "no_memory",
            Self::MessageTime => "message_time",
        }
    }
}

/// A decision for the task of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Its request is granted.
    Grant(HolderId),
    /// It is closed.
    Close(HolderId, Reason),
}

/// Decisions of one step.
pub type Decisions = SmallVec<[Decision; 2]>;

/// A connection and what it holds.
#[derive(Debug)]
pub(super) struct Holder {
    /// Whether it counts as a client's connection.
    pub is_client: bool,
    pub started: bool,
    pub phase: Phase,
    pub message: Option<Charge>,
    pub answer: Option<Charge>,
    pub kept: Option<Charge>,
    pub remembered: Option<Charge>,
    pub closed: bool,
}

impl Holder {
    /// Creates a connection that holds nothing.
    pub(super) const fn new(is_client: bool) -> Self {
        Self {
            is_client,
            started: false,
            phase: Phase::Idle,
            message: None,
            answer: None,
            kept: None,
            remembered: None,
            closed: false,
        }
    }

    /// The charge for a purpose.
    pub(super) fn slot(&mut self, purpose: Use) -> &mut Option<Charge> {
        match purpose {
            Use::Message => &mut self.message,
            Use::Answer => &mut self.answer,
            Use::Kept => &mut self.kept,
            Use::Remembered => &mut self.remembered,
        }
    }
}
