//! The fault of a node that sends answers a second time.

use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};

/// The length of a message's header (tag and length field), in bytes.
const HEADER_BYTES: usize = 5;

/// The kind of request that an answer belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerKind {
    /// It ran a statement.
    Statement,
    /// It changed or reset settings.
    Setting,
    /// It called a control function of the group.
    Control,
    /// It described a statement and ran nothing.
    Description,
    /// It started the session.
    Startup,
}

/// When an answer is sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// Together with the first time.
    AtOnce,
    /// After this time, while the session is idle, or else before its next answer.
    Late(Duration),
    /// Right before the session's next answer.
    BeforeNext,
    /// Only the last messages of the answer, together with the first time.
    Part,
}

/// Some answers are sent a second time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stutter {
    /// When they are sent again.
    pub repeat: Repeat,
    /// The kind of answers concerned, or `None` for all.
    pub kind: Option<AnswerKind>,
    /// One in this many answers of a session is sent again.
    pub every: u64,
    /// The seed that selects these answers.
    pub seed: u64,
}

/// An answer that is to be sent again.
#[derive(Debug)]
pub(super) struct Echo {
    pub bytes: Bytes,
    /// When it is sent to an idle session, if it is.
    at: Option<Instant>,
}

impl Echo {
    /// How long until it is sent to an idle session. `None` if it waits for the next answer.
    pub(super) fn due_in(&self) -> Option<Duration> {
        self.at
            .map(|at| at.saturating_duration_since(Instant::now()))
    }

    /// Whether it is sent before an answer that is sent now.
    pub(super) fn is_due(&self) -> bool {
        self.due_in().is_none_or(|left| left.is_zero())
    }
}

impl Stutter {
    /// Whether a session's answer number `count` is sent again.
    pub(super) fn selects(&self, kind: AnswerKind, count: u64) -> bool {
        let concerned = self.kind.is_none_or(|k| k == kind);
        concerned && mix(self.seed.wrapping_add(count)).is_multiple_of(self.every.max(1))
    }

    /// Returns what is sent at once in place of an answer, and what is sent later.
    pub(super) fn apply(&self, answer: Bytes) -> (Bytes, Option<Echo>) {
        match self.repeat {
            Repeat::AtOnce => (join(&answer, &answer), None),
            Repeat::Part => (join(&answer, last_messages(&answer)), None),
            Repeat::Late(delay) => {
                let at = Some(Instant::now() + delay);
                let bytes = answer.clone();
                (answer, Some(Echo { bytes, at }))
            }
            Repeat::BeforeNext => {
                let bytes = answer.clone();
                (answer, Some(Echo { bytes, at: None }))
            }
        }
    }
}

fn join(first: &[u8], second: &[u8]) -> Bytes {
    let mut out = BytesMut::from(first);
    out.extend_from_slice(second);
    out.freeze()
}

/// Returns an answer without its first message.
fn last_messages(answer: &[u8]) -> &[u8] {
    let Some(length) = answer.get(1..HEADER_BYTES) else {
        return answer;
    };
    let mut field = [0; 4];
    field.copy_from_slice(length);
    let size = u32::from_be_bytes(field) as usize + 1;
    answer.get(size..).unwrap_or_default()
}

/// Spreads a number over all bits (the finalizer of `SplitMix64`).
fn mix(number: u64) -> u64 {
    let mut z = number.wrapping_add(0x9E37_79B9_7F4A_7C15);
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    z ^ (z >> 31)
}
