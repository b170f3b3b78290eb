//! A simulated platform table that holds the claims of terms by promotion attempts.

use std::time::Duration;

use goldcrest_types::{AttemptId, Term, Timestamp};

/// The time that the table takes to answer.
const ANSWER_TIME: Duration = Duration::from_millis(5);

/// The time that the table takes to answer while it is slow.
const SLOW_ANSWER_TIME: Duration = Duration::from_secs(2);

/// The time that a client needs to resolve a lost answer by reading the row back.
const READ_BACK_TIME: Duration = Duration::from_millis(200);

/// The answer to a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ClaimReply {
    /// The attempt holds the term.
    Claimed,
    /// Another attempt holds this term, which is the same or a later one.
    Taken(Term),
    /// The table did not answer.
    Lost,
}

/// The state of the table: the last claim, and the end of each fault.
#[derive(Debug, Clone, Default)]
pub(crate) struct Table {
    claimed: Option<(Term, AttemptId)>,
    pub down_until: Option<Timestamp>,
    pub slow_until: Option<Timestamp>,
    /// The time up to which claims take effect but their answers are lost, so that the client reads
    /// the row back.
    pub mute_until: Option<Timestamp>,
}

impl Table {
    /// Claims a term for a promotion attempt. Returns the answer and its delay.
    pub(crate) fn claim(
        &mut self,
        term: Term,
        attempt: AttemptId,
        now: Timestamp,
    ) -> (ClaimReply, Duration) {
        if is_active(self.down_until, now) {
            return (ClaimReply::Lost, SLOW_ANSWER_TIME);
        }
        let delay = if is_active(self.slow_until, now) {
            SLOW_ANSWER_TIME
        } else if is_active(self.mute_until, now) {
            READ_BACK_TIME
        } else {
            ANSWER_TIME
        };
        let other = |(t, a): &(Term, AttemptId)| *t > term || (*t == term && *a != attempt);
        if let Some((taken, _)) = self.claimed.filter(other) {
            return (ClaimReply::Taken(taken), delay);
        }
        self.claimed = Some((term, attempt));
        (ClaimReply::Claimed, delay)
    }
}

fn is_active(until: Option<Timestamp>, now: Timestamp) -> bool {
    until.is_some_and(|until| now < until)
}
