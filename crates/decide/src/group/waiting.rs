//! Requests that wait: for a floor, an endpoint, a primary or a term check.

use std::{mem, time::Duration};

use goldcrest_types::{
    Floor, Mark, Name, NotRun, Pin, Refusal, RequestHead, RequestId, Survival, Timestamp,
};

use super::{Action, Actions, Group};
use crate::fence::{Confirmed, Round};

/// The first pause between rounds for a commit that too few endpoints hold.
const HOLD_PAUSE: Duration = Duration::from_millis(2);

/// The longest pause between such rounds.
const HOLD_PAUSE_LIMIT: Duration = Duration::from_millis(50);

/// What a waiting request waits for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Wait {
    /// A confirmed position of the primary, checked at this moment or later.
    Floor {
        /// The request's arrival.
        since: Timestamp,
    },
    /// A confirmed position that is recent enough for the read's stated age.
    Age {
        /// The request's arrival.
        since: Timestamp,
    },
    /// An endpoint that is recent enough.
    Endpoint,
    /// A primary.
    Primary,
    /// A term check after a commit.
    Fence {
        /// Checks count when sent at this moment or later.
        since: Timestamp,
        /// The commit.
        mark: Mark,
        /// The transaction that is still open after the answer.
        pin: Option<Pin>,
        /// The pause before the next round.
        pause: Duration,
    },
}

/// A request that waits.
#[derive(Debug, Clone)]
pub struct Waiting {
    /// The request.
    pub head: RequestHead,
    /// What it waits for.
    pub wait: Wait,
    /// Endpoints that it was sent to before.
    pub tries: u8,
}

impl Wait {
    /// The moment since which a round must have been sent, if the wait is for a round.
    pub(super) fn round_since(&self) -> Option<Timestamp> {
        match self {
            Self::Floor { since } | Self::Age { since } | Self::Fence { since, .. } => Some(*since),
            Self::Endpoint | Self::Primary => None,
        }
    }
}

impl Group {
    /// Looks again at every waiting request after something was learned.
    pub(super) fn settle(&mut self, now: Timestamp, out: &mut Actions) {
        let confirmed = self.newest_confirmed();
        for (id, waiting) in mem::take(&mut self.waiting) {
            match waiting.wait {
                Wait::Fence { .. } => self.settle_fence(id, waiting, out),
                Wait::Floor { since } => match confirmed.filter(|c| c.sent >= since) {
                    Some(c) => self.place_at(waiting, Some(c.mark), now, out),
                    None => self.keep(id, waiting),
                },
                Wait::Age { since } => match confirmed.filter(|c| c.sent >= since) {
                    Some(_) => self.place_at(waiting, None, now, out),
                    None => self.keep(id, waiting),
                },
                Wait::Endpoint | Wait::Primary => self.place_at(waiting, None, now, out),
            }
        }
    }

    fn place_at(
        &mut self,
        waiting: Waiting,
        floor: Option<Mark>,
        now: Timestamp,
        out: &mut Actions,
    ) {
        let Waiting {
            mut head, tries, ..
        } = waiting;
        if let Some(mark) = floor {
            head.floor = Floor::At(mark);
        }
        self.place(head, tries, now, out);
    }

    fn keep(&mut self, id: RequestId, waiting: Waiting) {
        self.waiting.insert(id, waiting);
    }

    fn newest_confirmed(&self) -> Option<Confirmed> {
        let mut rounds = self.rounds.open().iter().rev();
        rounds.find_map(Round::confirmed)
    }

    /// Ends the wait of a commit whose checks came in.
    ///
    /// After a change of primary the commit is judged by the new log: kept, it is acknowledged on
    /// the new primary's word; dropped, its caller is told that the outcome is not what it asked.
    fn settle_fence(&mut self, id: RequestId, waiting: Waiting, out: &mut Actions) {
        let Wait::Fence {
            since, mark, pin, ..
        } = waiting.wait
        else {
            return;
        };
        let Some(present) = self.present_mark(mark, since) else {
            let detail = Name::from("a change of primary dropped the commit");
            return self.unknown(&waiting.head, detail, out);
        };
        let rule = self.plan.acknowledge;
        let mut rounds = self.rounds.open().iter().filter(|r| r.sent >= since);
        if rounds.any(|r| r.is_safe(present, rule)) {
            let floor = waiting.head.floor.raised(present);
            return out.push(Action::Deliver { id, floor, pin });
        }
        self.keep(id, waiting);
    }

    /// The mark of a commit in the log of the primary that is confirmed now. Nothing means that
    /// this log dropped it.
    fn present_mark(&self, mark: Mark, since: Timestamp) -> Option<Mark> {
        let confirmed = self.newest_confirmed();
        let later = confirmed.filter(|c| c.sent >= since && c.mark.term > mark.term);
        let Some(term) = later.map(|c| c.mark.term) else {
            return Some(mark);
        };
        if self.history.latest() < term {
            return Some(mark);
        }
        let position = mark.position;
        (self.history.survival(mark) == Survival::Kept).then_some(Mark { term, position })
    }

    /// Lets commits that an ended round did not settle ask again after a pause.
    pub(super) fn defer_fences(&mut self, sent: Timestamp, now: Timestamp) {
        for waiting in self.waiting.values_mut() {
            let Wait::Fence { since, pause, .. } = &mut waiting.wait else {
                continue;
            };
            if *since <= sent {
                *since = now + *pause;
                *pause = (*pause * 2).min(HOLD_PAUSE_LIMIT);
            }
        }
    }

    /// Ends the waits whose time is over.
    pub(super) fn expire_waiting(&mut self, now: Timestamp, out: &mut Actions) {
        for (id, waiting) in mem::take(&mut self.waiting) {
            let fenced = matches!(waiting.wait, Wait::Fence { .. });
            let limit = if fenced {
                waiting.head.deadline
            } else {
                waiting.head.start_by
            };
            if now < limit {
                self.waiting.insert(id, waiting);
            } else if fenced {
                let detail = Name::from("the commit could not be confirmed in time");
                self.unknown(&waiting.head, detail, out);
            } else {
                let reason = self.not_run(&waiting.wait);
                self.refuse(&waiting.head, reason, out);
            }
        }
    }

    fn not_run(&self, wait: &Wait) -> NotRun {
        let nobody = self.views.iter().all(|v| !v.is_reachable());
        match wait {
            _ if nobody => NotRun::Unreachable,
            Wait::Endpoint => NotRun::Behind,
            _ => NotRun::NoPrimary,
        }
    }

    pub(super) fn unknown(&mut self, head: &RequestHead, detail: Name, out: &mut Actions) {
        self.counts.unknown += 1;
        out.push(Action::Refuse {
            id: head.id,
            refusal: Refusal::Unknown { detail },
            floor: head.floor,
        });
    }

    pub(super) fn fence(
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
            pause: HOLD_PAUSE,
        };
        let id = head.id;
        let waiting = Waiting {
            head,
            wait,
            tries: 0,
        };
        self.waiting.insert(id, waiting);
    }

    pub(super) fn cancel(&mut self, id: RequestId, out: &mut Actions) {
        if let Some(sent) = self.sent.get(&id) {
            let endpoint = sent.endpoint;
            return out.push(Action::Cancel { id, endpoint });
        }
        let waits = self
            .waiting
            .get(&id)
            .is_some_and(|p| !matches!(p.wait, Wait::Fence { .. }));
        if !waits {
            return;
        }
        if let Some(waiting) = self.waiting.remove(&id) {
            self.refuse(&waiting.head, NotRun::Cancelled, out);
        }
    }
}
