//! Requests that wait for a floor, an endpoint, a primary or a term check.

use std::{mem, time::Duration};

use goldcrest_types::{
    Floor, Mark, Name, NotRun, Pin, Refusal, RequestHead, RequestId, Survival, Timestamp,
};

use super::{Action, Actions, Group};
use crate::fence::{Confirmed, Round};

/// The pause before another round is requested for a commit that the last one did not confirm. It
/// doubles each time.
const FENCE_PAUSE: Duration = Duration::from_millis(2);

/// The upper limit of that pause.
const FENCE_PAUSE_LIMIT: Duration = Duration::from_millis(50);

/// What a request waits for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Wait {
    /// The session's floor is unknown. Waits for a position of the primary that a round sent at
    /// `since` or later confirms.
    Floor {
        /// When the wait began.
        since: Timestamp,
    },
    /// A confirmed position that is recent enough for the read's maximum age.
    Age {
        /// When the wait began.
        since: Timestamp,
    },
    /// An endpoint whose log is recent enough.
    Endpoint,
    /// A primary.
    Primary,
    /// A round of term checks that confirms a commit before it is acknowledged.
    Fence {
        /// Only rounds sent at this time or later count.
        since: Timestamp,
        /// The commit's mark.
        mark: Mark,
        /// The transaction that is still open after the answer, if any.
        pin: Option<Pin>,
        /// The pause before the next round is requested.
        pause: Duration,
    },
}

/// A waiting request.
#[derive(Debug, Clone)]
pub struct Waiting {
    /// The request.
    pub head: RequestHead,
    /// What it waits for.
    pub wait: Wait,
    /// How often it was sent before.
    pub attempts: u8,
}

impl Wait {
    /// The time before which no useful round is sent, if the request waits for a round.
    pub(super) fn round_since(&self) -> Option<Timestamp> {
        match self {
            Self::Floor { since } | Self::Age { since } | Self::Fence { since, .. } => Some(*since),
            Self::Endpoint | Self::Primary => None,
        }
    }
}

impl Group {
    /// Re-evaluates every waiting request after the group's state changed.
    pub(super) fn resume_waiting(&mut self, now: Timestamp, out: &mut Actions) {
        let confirmed = self.newest_confirmed();
        for (id, waiting) in mem::take(&mut self.waiting) {
            match waiting.wait {
                Wait::Fence { .. } => self.resolve_fence(id, waiting, out),
                Wait::Floor { since } => match confirmed.filter(|c| c.sent_at >= since) {
                    Some(c) => self.dispatch_waiting(waiting, Some(c.mark), now, out),
                    None => self.keep_waiting(id, waiting),
                },
                Wait::Age { since } => match confirmed.filter(|c| c.sent_at >= since) {
                    Some(_) => self.dispatch_waiting(waiting, None, now, out),
                    None => self.keep_waiting(id, waiting),
                },
                Wait::Endpoint | Wait::Primary => self.dispatch_waiting(waiting, None, now, out),
            }
        }
    }

    fn dispatch_waiting(
        &mut self,
        waiting: Waiting,
        floor: Option<Mark>,
        now: Timestamp,
        out: &mut Actions,
    ) {
        let Waiting {
            mut head, attempts, ..
        } = waiting;
        if let Some(mark) = floor {
            head.floor = Floor::At(mark);
        }
        self.dispatch(head, attempts, now, out);
    }

    fn keep_waiting(&mut self, id: RequestId, waiting: Waiting) {
        self.waiting.insert(id, waiting);
    }

    fn newest_confirmed(&self) -> Option<Confirmed> {
        let mut rounds = self.rounds.open().iter().rev();
        rounds.find_map(Round::confirmed)
    }

    /// Acknowledges a commit that a round confirms.
    ///
    /// After a change of primary, the new primary's log decides: a commit that it contains is
    /// acknowledged at the new term, and one that it dropped is refused with an unknown outcome.
    fn resolve_fence(&mut self, id: RequestId, waiting: Waiting, out: &mut Actions) {
        let Wait::Fence {
            since, mark, pin, ..
        } = waiting.wait
        else {
            return;
        };
        let Some(current) = self.mark_in_current_log(mark, since) else {
            let detail = Name::from("a change of primary dropped the commit");
            return self.refuse_unknown(&waiting.head, detail, out);
        };
        let rule = self.plan.acknowledge;
        let mut rounds = self.rounds.open().iter().filter(|r| r.sent_at >= since);
        if rounds.any(|r| r.confirms_commit(current, rule)) {
            let floor = waiting.head.floor.raised(current);
            return out.push(Action::Deliver { id, floor, pin });
        }
        self.keep_waiting(id, waiting);
    }

    /// The mark of a commit in the log of the currently confirmed primary. `None` if that log dropped
    /// the commit.
    fn mark_in_current_log(&self, mark: Mark, since: Timestamp) -> Option<Mark> {
        let confirmed = self.newest_confirmed();
        let later = confirmed.filter(|c| c.sent_at >= since && c.mark.term > mark.term);
        let Some(term) = later.map(|c| c.mark.term) else {
            return Some(mark);
        };
        if self.history.latest() < term {
            return Some(mark);
        }
        let position = mark.position;
        (self.history.survival(mark) == Survival::Kept).then_some(Mark { term, position })
    }

    /// Schedules another round, after a pause, for the commits that an ended round did not confirm.
    pub(super) fn defer_fences(&mut self, sent_at: Timestamp, now: Timestamp) {
        for waiting in self.waiting.values_mut() {
            let Wait::Fence { since, pause, .. } = &mut waiting.wait else {
                continue;
            };
            if *since <= sent_at {
                *since = now + *pause;
                *pause = (*pause * 2).min(FENCE_PAUSE_LIMIT);
            }
        }
    }

    /// Refuses the waiting requests whose time limit has passed.
    pub(super) fn expire_waiting(&mut self, now: Timestamp, out: &mut Actions) {
        for (id, waiting) in mem::take(&mut self.waiting) {
            let is_commit = matches!(waiting.wait, Wait::Fence { .. });
            let limit = if is_commit {
                waiting.head.deadline
            } else {
                waiting.head.start_by
            };
            if now < limit {
                self.waiting.insert(id, waiting);
            } else if is_commit {
                let detail = Name::from("the commit could not be confirmed in time");
                self.refuse_unknown(&waiting.head, detail, out);
            } else {
                let reason = self.not_run_reason(&waiting.wait);
                self.refuse(&waiting.head, reason, out);
            }
        }
    }

    fn not_run_reason(&self, wait: &Wait) -> NotRun {
        let none_reachable = self.views.iter().all(|v| !v.is_reachable());
        match wait {
            _ if none_reachable => NotRun::Unreachable,
            Wait::Endpoint => NotRun::Behind,
            _ => NotRun::NoPrimary,
        }
    }

    pub(super) fn refuse_unknown(&mut self, head: &RequestHead, detail: Name, out: &mut Actions) {
        self.counts.unknown += 1;
        out.push(Action::Refuse {
            id: head.id,
            refusal: Refusal::Unknown { detail },
            floor: head.floor,
        });
    }

    /// Makes an answered commit wait for a round of term checks that confirms it.
    pub(super) fn await_fence(
        &mut self,
        head: RequestHead,
        mark: Mark,
        pin: Option<Pin>,
        now: Timestamp,
    ) {
        let wait = Wait::Fence {
            since: now,
            mark,
            pin,
            pause: FENCE_PAUSE,
        };
        let id = head.id;
        let waiting = Waiting {
            head,
            wait,
            attempts: 0,
        };
        self.waiting.insert(id, waiting);
    }

    /// Cancels a request, unless it is a commit that only waits to be confirmed.
    pub(super) fn cancel(&mut self, id: RequestId, out: &mut Actions) {
        if let Some(sent) = self.sent.get(&id) {
            let endpoint = sent.endpoint;
            return out.push(Action::Cancel { id, endpoint });
        }
        let cancellable = self
            .waiting
            .get(&id)
            .is_some_and(|p| !matches!(p.wait, Wait::Fence { .. }));
        if !cancellable {
            return;
        }
        if let Some(waiting) = self.waiting.remove(&id) {
            self.refuse(&waiting.head, NotRun::Cancelled, out);
        }
    }
}
