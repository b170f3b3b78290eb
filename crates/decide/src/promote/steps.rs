//! The steps of a promotion attempt after its claim.

use goldcrest_types::{EndpointIx, Mark, SealReply, Timestamp};
use smallvec::SmallVec;

use super::{Action, Actions, GroupState, SEAL_GRACE, Stage, Watcher};
use crate::fence::majority;

impl Watcher {
    /// Seals every endpoint: each promises the new term to this attempt.
    pub(super) fn seal_all(&mut self, state: &GroupState, now: Timestamp) -> Actions {
        self.stage = Stage::Sealing {
            sealed: SmallVec::new(),
            majority_at: None,
        };
        self.stage_since = now;
        (0..state.size)
            .filter_map(|i| u16::try_from(i).ok())
            .map(|i| self.seal(EndpointIx(i)))
            .collect()
    }

    /// Starts a planned switchover: seals the primary first, so that a replica can catch up with it.
    pub(super) fn on_switch(
        &mut self,
        from: EndpointIx,
        state: &GroupState,
        now: Timestamp,
    ) -> Actions {
        if self.is_active() || state.primary != Some(from) || !state.primary_up {
            return Actions::new();
        }
        self.start_attempt(state, now);
        self.leaving = Some(from);
        self.stage = Stage::HandingOver { from, last: None };
        Actions::from_iter([self.seal(from)])
    }

    /// Seals every endpoint once a replica holds everything that the old primary holds, or if the wait
    /// for that has `expired`.
    pub(super) fn hand_over(
        &mut self,
        state: &GroupState,
        now: Timestamp,
        expired: bool,
    ) -> Actions {
        let Stage::HandingOver { from, last } = &self.stage else {
            return Actions::new();
        };
        let caught_up = last.is_some_and(|last| {
            let others = state.held.iter().filter(|(ix, _)| ix != from);
            others.into_iter().any(|(_, held)| *held >= last)
        });
        if caught_up || expired {
            return self.seal_all(state, now);
        }
        Actions::new()
    }

    pub(super) fn on_seal(
        &mut self,
        endpoint: EndpointIx,
        reply: SealReply,
        state: &GroupState,
        now: Timestamp,
    ) -> Actions {
        match reply {
            SealReply::Sealed { held } => self.on_sealed(endpoint, held, state, now),
            SealReply::Refused { promised } if promised >= self.term && self.is_sealing() => {
                self.give_up(now)
            }
            SealReply::Refused { .. } => Actions::new(),
        }
    }

    fn is_sealing(&self) -> bool {
        matches!(
            self.stage,
            Stage::Sealing { .. } | Stage::HandingOver { .. }
        )
    }

    fn on_sealed(
        &mut self,
        endpoint: EndpointIx,
        held: Mark,
        state: &GroupState,
        now: Timestamp,
    ) -> Actions {
        match &mut self.stage {
            Stage::HandingOver { from, last } if *from == endpoint => {
                *last = Some(held);
                self.hand_over(state, now, false)
            }
            Stage::Sealing {
                sealed,
                majority_at,
            } => {
                if sealed.iter().all(|(ix, _)| *ix != endpoint) {
                    sealed.push((endpoint, held));
                }
                if sealed.len() >= majority(state.size) && majority_at.is_none() {
                    *majority_at = Some(now);
                }
                self.promote_if_sealed(state, now)
            }
            _ => Actions::new(),
        }
    }

    /// Promotes the best endpoint once all are sealed, or once a majority is and [`SEAL_GRACE`] has
    /// passed.
    pub(super) fn promote_if_sealed(&mut self, state: &GroupState, now: Timestamp) -> Actions {
        let Stage::Sealing {
            sealed,
            majority_at,
        } = &self.stage
        else {
            return Actions::new();
        };
        let Some(majority_at) = *majority_at else {
            return Actions::new();
        };
        if sealed.len() < state.size && now.since(majority_at) < SEAL_GRACE {
            return Actions::new();
        }
        self.promote(now)
    }

    /// Ends the wait for seals: promotes if a majority is sealed, and gives up otherwise.
    pub(super) fn end_sealing(&mut self, now: Timestamp) -> Actions {
        match &self.stage {
            Stage::Sealing {
                majority_at: Some(_),
                ..
            } => self.promote(now),
            _ => self.give_up(now),
        }
    }

    /// Promotes the best sealed endpoint, or gives up if there is none.
    fn promote(&mut self, now: Timestamp) -> Actions {
        let Stage::Sealing { sealed, .. } = &self.stage else {
            return Actions::new();
        };
        let chosen = match self.failed {
            Some(failed) => best_without(sealed, failed, self.size),
            None => best(sealed, self.leaving),
        };
        let Some(chosen) = chosen else {
            return self.give_up(now);
        };
        self.stage = Stage::Promoting { chosen };
        self.stage_since = now;
        Actions::from_iter([Action::Promote {
            endpoint: chosen,
            term: self.term,
            attempt: self.attempt,
        }])
    }

    pub(super) fn on_promoted(
        &mut self,
        endpoint: EndpointIx,
        accepted: bool,
        now: Timestamp,
    ) -> Actions {
        if self.stage != (Stage::Promoting { chosen: endpoint }) {
            return Actions::new();
        }
        if !accepted {
            return self.give_up(now);
        }
        self.finish();
        Actions::from_iter([Action::Record {
            endpoint,
            term: self.term,
            attempt: self.attempt,
        }])
    }

    fn seal(&self, endpoint: EndpointIx) -> Action {
        Action::Seal {
            endpoint,
            term: self.term,
            attempt: self.attempt,
        }
    }
}

/// The best sealed endpoint other than the failed primary, if the others form a majority without it.
/// Everything that a majority acknowledged is then among them, and the failed primary would be
/// likely to fail again.
fn best_without(
    sealed: &[(EndpointIx, Mark)],
    failed: EndpointIx,
    size: usize,
) -> Option<EndpointIx> {
    let others = sealed.iter().filter(|(ix, _)| *ix != failed).copied();
    let others: SmallVec<[(EndpointIx, Mark); 4]> = others.collect();
    if others.len() >= majority(size) {
        return best(&others, None);
    }
    best(sealed, None)
}

/// The sealed endpoint that holds the most entries of the newest log. Among equals, an endpoint that
/// is being retired comes last.
fn best(sealed: &[(EndpointIx, Mark)], leaving: Option<EndpointIx>) -> Option<EndpointIx> {
    sealed
        .iter()
        .max_by_key(|(ix, held)| (*held, Some(*ix) != leaving, std::cmp::Reverse(*ix)))
        .map(|(ix, _)| *ix)
}
