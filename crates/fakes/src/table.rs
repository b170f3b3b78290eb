//! The platform's table, as far as promotions use it.

use std::time::Duration;

use goldcrest_types::{AttemptId, Term, Timestamp};

/// How long the table takes to answer.
const ANSWER: Duration = Duration::from_millis(5);

/// How long it takes while it is slow.
const SLOW_ANSWER: Duration = Duration::from_secs(2);

/// How long a client takes to settle a lost answer by reading back.
const READ_BACK: Duration = Duration::from_millis(200);

/// What the table answers to a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ClaimAnswer {
    Claimed,
    Taken(Term),
    Lost,
}

/// The table.
#[derive(Debug, Clone, Default)]
pub(crate) struct Table {
    claimed: Option<(Term, AttemptId)>,
    pub down: Option<Timestamp>,
    pub slow: Option<Timestamp>,
    pub mute: Option<Timestamp>,
}

impl Table {
    /// Takes a claim. Returns the answer and how long it takes.
    pub(crate) fn claim(
        &mut self,
        term: Term,
        attempt: AttemptId,
        now: Timestamp,
    ) -> (ClaimAnswer, Duration) {
        if lasts(self.down, now) {
            return (ClaimAnswer::Lost, SLOW_ANSWER);
        }
        let delay = if lasts(self.slow, now) {
            SLOW_ANSWER
        } else if lasts(self.mute, now) {
            READ_BACK
        } else {
            ANSWER
        };
        let other = |(t, a): &(Term, AttemptId)| *t > term || (*t == term && *a != attempt);
        if let Some((taken, _)) = self.claimed.filter(other) {
            return (ClaimAnswer::Taken(taken), delay);
        }
        self.claimed = Some((term, attempt));
        (ClaimAnswer::Claimed, delay)
    }
}

fn lasts(until: Option<Timestamp>, now: Timestamp) -> bool {
    until.is_some_and(|until| now < until)
}
