//! The watcher's state, and how it detects a failed primary.

use std::time::Duration;

use goldcrest_types::{AttemptId, EndpointIx, Mark, Term, Timestamp};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use smallvec::SmallVec;

use super::{
    Action, Actions, BACKOFF, CLAIM_TIMEOUT, Event, GroupState, HANDOVER_TIMEOUT, PROMOTE_TIMEOUT,
    RANK_STAGGER, SEAL_TIMEOUT, SUSPECT_AFTER, SUSPECT_DESPITE_REPLICAS,
};
use crate::fence::majority;

/// The stage of a promotion attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Stage {
    /// No attempt is in progress.
    Watching,
    /// Waits for the platform's table to answer the claim.
    Claiming,
    /// A planned switchover: the old primary is sealed, and a replica catches up with it.
    HandingOver {
        /// The old primary.
        from: EndpointIx,
        /// The last entry that the old primary holds, once it is sealed.
        last: Option<Mark>,
    },
    /// Waits for the endpoints to be sealed.
    Sealing {
        /// The endpoints that promised the term to this attempt, with the last entry that each
        /// holds.
        sealed: SmallVec<[(EndpointIx, Mark); 4]>,
        /// When a majority was sealed.
        majority_at: Option<Timestamp>,
    },
    /// Waits for the chosen endpoint to answer the promotion.
    Promoting {
        /// The chosen endpoint.
        chosen: EndpointIx,
    },
}

/// Watches one group from one host, and promotes another endpoint when the primary fails.
#[derive(Debug, Clone)]
pub struct Watcher {
    /// The current stage.
    pub stage: Stage,
    /// The term of the current or last attempt.
    pub(super) term: Term,
    pub(super) attempt: AttemptId,
    /// When the current stage began.
    pub(super) stage_since: Timestamp,
    /// The primary to move away from, in a planned switchover.
    pub(super) leaving: Option<EndpointIx>,
    /// The failed primary that the attempt replaces.
    pub(super) failed: Option<EndpointIx>,
    /// The number of endpoints in the group when the attempt started.
    pub(super) size: usize,
    rank: u32,
    rng: SmallRng,
    suspected_at: Option<Timestamp>,
    /// No attempt starts before this time.
    resume_at: Timestamp,
    /// The term that another attempt was last found to have claimed.
    claimed_term: Term,
}

impl Watcher {
    /// Creates a watcher with the given rank among its group's watchers, 0 first.
    #[must_use]
    pub fn new(rank: u32, seed: u64) -> Self {
        Self {
            stage: Stage::Watching,
            term: Term::default(),
            attempt: AttemptId(0),
            stage_since: Timestamp::ZERO,
            leaving: None,
            failed: None,
            size: 0,
            rank,
            rng: SmallRng::seed_from_u64(seed),
            suspected_at: None,
            resume_at: Timestamp::ZERO,
            claimed_term: Term::default(),
        }
    }

    /// Whether an attempt of this watcher is in progress.
    #[must_use]
    pub fn is_active(&self) -> bool {
        self.stage != Stage::Watching
    }

    /// Whether the primary is suspected.
    #[must_use]
    pub fn suspects_primary(&self) -> bool {
        self.suspected_at.is_some()
    }

    /// Processes an event and returns the actions to carry out.
    pub fn step(&mut self, event: Event, state: &GroupState, now: Timestamp) -> Actions {
        match event {
            Event::Tick => self.on_tick(state, now),
            Event::Claimed(a) | Event::ClaimUnknown(a) if self.is_claiming(a) => {
                self.seal_all(state, now)
            }
            Event::ClaimTaken { attempt, term } if self.is_claiming(attempt) => {
                self.claimed_term = term;
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

    fn is_claiming(&self, attempt: AttemptId) -> bool {
        self.stage == Stage::Claiming && attempt == self.attempt
    }

    fn on_tick(&mut self, state: &GroupState, now: Timestamp) -> Actions {
        let elapsed = now.since(self.stage_since);
        match &self.stage {
            Stage::Watching => self.check_primary(state, now),
            Stage::Claiming if elapsed >= CLAIM_TIMEOUT => self.seal_all(state, now),
            Stage::HandingOver { .. } => self.hand_over(state, now, elapsed >= HANDOVER_TIMEOUT),
            Stage::Sealing { .. } if elapsed >= SEAL_TIMEOUT => self.end_sealing(now),
            Stage::Sealing { .. } => self.promote_if_sealed(state, now),
            Stage::Promoting { .. } if elapsed >= PROMOTE_TIMEOUT => self.give_up(now),
            Stage::Claiming | Stage::Promoting { .. } => Actions::new(),
        }
    }

    fn check_primary(&mut self, state: &GroupState, now: Timestamp) -> Actions {
        if !is_primary_suspect(state) {
            self.suspected_at = None;
            return self.switch_if_leaving(state, now);
        }
        let since = *self.suspected_at.get_or_insert(now);
        let due = since + SUSPECT_AFTER + RANK_STAGGER * self.rank;
        if now < due || now < self.resume_at {
            return Actions::new();
        }
        self.claim(state, now)
    }

    /// Starts a planned switchover if the primary is being retired. Only the watcher of rank 0 does.
    fn switch_if_leaving(&mut self, state: &GroupState, now: Timestamp) -> Actions {
        match state.primary {
            Some(from) if state.leaving && self.rank == 0 && now >= self.resume_at => {
                self.on_switch(from, state, now)
            }
            _ => Actions::new(),
        }
    }

    /// Sets the watcher's rank.
    pub fn set_rank(&mut self, rank: u32) {
        self.rank = rank;
    }

    fn claim(&mut self, state: &GroupState, now: Timestamp) -> Actions {
        self.start_attempt(state, now);
        self.failed = state.primary;
        self.stage = Stage::Claiming;
        Actions::from_iter([Action::Claim {
            term: self.term,
            attempt: self.attempt,
        }])
    }

    /// Starts an attempt at the next term, with a new attempt id.
    pub(super) fn start_attempt(&mut self, state: &GroupState, now: Timestamp) {
        // A claim whose holder has failed must not block later attempts, so they use a higher term.
        self.term = state.promised.max(self.claimed_term).next();
        self.attempt = AttemptId(self.rng.random());
        self.failed = None;
        self.leaving = None;
        self.size = state.size;
        self.stage_since = now;
    }

    /// Abandons the attempt and goes back to watching. The next attempt waits for a randomized
    /// pause.
    pub(super) fn give_up(&mut self, now: Timestamp) -> Actions {
        let jitter = BACKOFF.mul_f64(self.rng.random::<f64>());
        self.stage = Stage::Watching;
        self.resume_at = now + BACKOFF + jitter;
        self.leaving = None;
        Actions::new()
    }

    /// Goes back to watching after a successful promotion.
    pub(super) fn finish(&mut self) {
        self.stage = Stage::Watching;
        self.suspected_at = None;
        self.leaving = None;
    }

    /// When the watcher must be stepped again, if it is waiting for a time.
    #[must_use]
    pub fn wake(&self, now: Timestamp) -> Option<Timestamp> {
        const STEP_INTERVAL: Duration = Duration::from_millis(20);
        (self.is_active() || self.suspects_primary()).then(|| now + STEP_INTERVAL)
    }
}

/// Whether the primary is to be suspected. A group without a reachable majority is left alone, as no
/// promotion could succeed there.
fn is_primary_suspect(state: &GroupState) -> bool {
    if state.reachable < majority(state.size) {
        return false;
    }
    if state.primary.is_none() {
        return true;
    }
    if state.primary_up {
        // The primary has lost its majority of replicas. Replacing it helps only if the endpoints
        // other than the primary form a majority.
        let isolated = 1 + state.connected < majority(state.size);
        return isolated && state.reachable > majority(state.size);
    }
    state.connected == 0 || state.silent_for >= SUSPECT_DESPITE_REPLICAS
}
