//! The watcher's state and its suspicion of a primary.

use std::time::Duration;

use goldcrest_types::{AttemptId, EndpointIx, Mark, Term, Timestamp};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use smallvec::SmallVec;

use super::{
    Action, Actions, BACKOFF, CLAIM_TIMEOUT, Event, GroupState, HANDOVER_TIMEOUT, PROMOTE_TIMEOUT,
    RANK_STAGGER, SEAL_TIMEOUT, SUSPECT_AFTER, SUSPECT_DESPITE_REPLICAS,
};
use crate::fence::majority;

/// A step of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Stage {
    /// No attempt is under way.
    Watching,
    /// Waits for the platform's table.
    Claiming,
    /// A planned switch: the old primary is sealed, and a successor catches up.
    HandingOver {
        /// The old primary.
        from: EndpointIx,
        /// What the old primary holds, once it has said so.
        last: Option<Mark>,
    },
    /// Collects seals.
    Sealing {
        /// Endpoints that promised the term to this attempt, and what they hold.
        sealed: SmallVec<[(EndpointIx, Mark); 4]>,
        /// When a majority had promised.
        majority_at: Option<Timestamp>,
    },
    /// Waits for the chosen endpoint.
    Promoting {
        /// The chosen endpoint.
        chosen: EndpointIx,
    },
}

/// One host's watcher of one group.
#[derive(Debug, Clone)]
pub struct Watcher {
    /// The present step.
    pub stage: Stage,
    pub(super) term: Term,
    pub(super) attempt: AttemptId,
    pub(super) entered: Timestamp,
    pub(super) leaving: Option<EndpointIx>,
    pub(super) failed: Option<EndpointIx>,
    pub(super) size: usize,
    rank: u32,
    rng: SmallRng,
    suspect: Option<Timestamp>,
    resume: Timestamp,
    claimed: Term,
}

impl Watcher {
    /// A watcher of the given rank among its group's watchers, 0 first.
    #[must_use]
    pub fn new(rank: u32, seed: u64) -> Self {
        Self {
            stage: Stage::Watching,
            term: Term::default(),
            attempt: AttemptId(0),
            entered: Timestamp::ZERO,
            leaving: None,
            failed: None,
            size: 0,
            rank,
            rng: SmallRng::seed_from_u64(seed),
            suspect: None,
            resume: Timestamp::ZERO,
            claimed: Term::default(),
        }
    }

    /// Whether an attempt of this watcher is under way.
    #[must_use]
    pub fn is_active(&self) -> bool {
        self.stage != Stage::Watching
    }

    /// Whether the primary is under suspicion.
    #[must_use]
    pub fn is_suspicious(&self) -> bool {
        self.suspect.is_some()
    }

    /// Takes an event and returns what to do.
    pub fn step(&mut self, event: Event, state: &GroupState, now: Timestamp) -> Actions {
        match event {
            Event::Tick => self.tick(state, now),
            Event::Claimed(a) | Event::ClaimUnknown(a) if self.claiming(a) => {
                self.seal_all(state, now)
            }
            Event::ClaimTaken { attempt, term } if self.claiming(attempt) => {
                self.claimed = term;
                self.give_up(now)
            }
            Event::Sealed {
                endpoint,
                attempt,
                reply,
            } if attempt == self.attempt => self.on_seal(endpoint, reply, state, now),
            Event::Promoted {
                endpoint,
                attempt,
                accepted,
            } if attempt == self.attempt => self.on_promoted(endpoint, accepted, now),
            Event::Switch { from } => self.on_switch(from, state, now),
            _ => Actions::new(),
        }
    }

    fn claiming(&self, attempt: AttemptId) -> bool {
        self.stage == Stage::Claiming && attempt == self.attempt
    }

    fn tick(&mut self, state: &GroupState, now: Timestamp) -> Actions {
        let spent = now.since(self.entered);
        match &self.stage {
            Stage::Watching => self.watch(state, now),
            Stage::Claiming if spent >= CLAIM_TIMEOUT => self.seal_all(state, now),
            Stage::HandingOver { .. } => self.hand_over(state, now, spent >= HANDOVER_TIMEOUT),
            Stage::Sealing { .. } if spent >= SEAL_TIMEOUT => self.seals_over(now),
            Stage::Sealing { .. } => self.choose_if_settled(state, now),
            Stage::Promoting { .. } if spent >= PROMOTE_TIMEOUT => self.give_up(now),
            Stage::Claiming | Stage::Promoting { .. } => Actions::new(),
        }
    }

    fn watch(&mut self, state: &GroupState, now: Timestamp) -> Actions {
        if !suspicious(state) {
            self.suspect = None;
            return self.retire(state, now);
        }
        let since = *self.suspect.get_or_insert(now);
        let due = since + SUSPECT_AFTER + RANK_STAGGER * self.rank;
        if now < due || now < self.resume {
            return Actions::new();
        }
        self.claim(state, now)
    }

    /// Moves the primary away from an endpoint that is being retired. One watcher is enough.
    fn retire(&mut self, state: &GroupState, now: Timestamp) -> Actions {
        match state.primary {
            Some(from) if state.leaving && self.rank == 0 && now >= self.resume => {
                self.on_switch(from, state, now)
            }
            _ => Actions::new(),
        }
    }

    /// Changes the watcher's rank.
    pub fn set_rank(&mut self, rank: u32) {
        self.rank = rank;
    }

    fn claim(&mut self, state: &GroupState, now: Timestamp) -> Actions {
        self.open_attempt(state, now);
        self.failed = state.primary;
        self.stage = Stage::Claiming;
        Actions::from_iter([Action::Claim {
            term: self.term,
            attempt: self.attempt,
        }])
    }

    /// Takes the next term and a fresh attempt id.
    pub(super) fn open_attempt(&mut self, state: &GroupState, now: Timestamp) {
        // A claim whose holder died must not stop later attempts, so these go beyond it.
        self.term = state.promised.max(self.claimed).next();
        self.attempt = AttemptId(self.rng.random());
        self.failed = None;
        self.leaving = None;
        self.size = state.size;
        self.entered = now;
    }

    /// Goes back to watching, after a pause that differs between watchers.
    pub(super) fn give_up(&mut self, now: Timestamp) -> Actions {
        let jitter = BACKOFF.mul_f64(self.rng.random::<f64>());
        self.stage = Stage::Watching;
        self.resume = now + BACKOFF + jitter;
        self.leaving = None;
        Actions::new()
    }

    /// Goes back to watching after a promotion.
    pub(super) fn rest(&mut self) {
        self.stage = Stage::Watching;
        self.suspect = None;
        self.leaving = None;
    }

    /// When the watcher must be stepped again, if it waits for the clock.
    #[must_use]
    pub fn wake(&self, now: Timestamp) -> Option<Timestamp> {
        const STEP: Duration = Duration::from_millis(20);
        (self.is_active() || self.is_suspicious()).then(|| now + STEP)
    }
}

fn suspicious(state: &GroupState) -> bool {
    if state.reachable < majority(state.size) {
        return false;
    }
    if state.primary.is_none() {
        return true;
    }
    if state.primary_up {
        // Replicas that hear no primary are only better off when they are a majority by themselves.
        let deaf = 1 + state.connected < majority(state.size);
        return deaf && state.reachable > majority(state.size);
    }
    state.connected == 0 || state.silent_for >= SUSPECT_DESPITE_REPLICAS
}
