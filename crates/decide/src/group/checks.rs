//! Term checks: when a round starts, and what its answers teach.

use std::time::Duration;

use goldcrest_types::{EndpointIx, Report, RoundId, Timestamp};
use smallvec::SmallVec;

use super::{
    Action, Actions, CHECK_TIMEOUT, Group, IDLE_AFTER, PROBE_INTERVAL, PROBE_INTERVAL_STANDBY,
    PROBE_INTERVAL_SUSPECT, STEP_INTERVAL, waiting::Wait,
};
use crate::fence::{Round, is_primary};

impl Group {
    pub(super) fn reported(
        &mut self,
        endpoint: EndpointIx,
        round: RoundId,
        report: Report,
        now: Timestamp,
        out: &mut Actions,
    ) {
        let Some(view) = self.views.get_mut(endpoint.index()) else {
            return;
        };
        view.report(&report, now);
        if is_primary(&report) {
            self.note_primary(endpoint, &report, out);
        }
        self.rounds.report(round, endpoint, report);
        self.settle(now, out);
        self.end_rounds(now, Round::is_complete);
        self.watch_step(now, out);
    }

    pub(super) fn unreported(
        &mut self,
        endpoint: EndpointIx,
        round: RoundId,
        now: Timestamp,
        out: &mut Actions,
    ) {
        if let Some(view) = self.view(endpoint) {
            view.miss();
        }
        self.rounds.failed(round, endpoint);
        self.end_rounds(now, Round::is_complete);
        self.watch_step(now, out);
    }

    fn note_primary(&mut self, endpoint: EndpointIx, report: &Report, out: &mut Actions) {
        let term = report.applied.term;
        if report.history.latest() >= self.history.latest() {
            self.history = report.history.clone();
        }
        let newer = self.primary().is_none_or(|(_, known)| term >= known);
        if !newer || self.primary == Some(endpoint) {
            return;
        }
        self.primary = Some(endpoint);
        out.push(Action::PrimaryChanged { endpoint, term });
    }

    pub(super) fn tick(&mut self, now: Timestamp, out: &mut Actions) {
        self.expire_rounds(now);
        self.expire_sent(now, out);
        self.settle(now, out);
        self.expire_waiting(now, out);
        self.watch_step(now, out);
    }

    fn expire_rounds(&mut self, now: Timestamp) {
        let late = |r: &Round| now.since(r.sent) >= CHECK_TIMEOUT;
        let silent: SmallVec<[EndpointIx; 8]> = self
            .rounds
            .open()
            .iter()
            .filter(|r| late(r))
            .flat_map(Round::silent)
            .collect();
        for ix in silent {
            if let Some(view) = self.view(ix) {
                view.miss();
            }
        }
        self.end_rounds(now, late);
    }

    fn end_rounds<F>(&mut self, now: Timestamp, over: F)
    where
        F: Fn(&Round) -> bool,
    {
        for round in self.rounds.take(over) {
            self.defer_fences(round.sent, now);
        }
    }

    /// Starts a round when some request needs one, or a probe is due.
    pub(super) fn open_round(&mut self, now: Timestamp, out: &mut Actions) {
        if !self.wants_round(now) {
            return;
        }
        let Some(round) = self.rounds.start(self.size(), now) else {
            return;
        };
        self.probed = Some(now);
        self.counts.rounds += 1;
        let all = (0..self.size()).filter_map(|i| u16::try_from(i).ok());
        out.extend(all.map(|i| Action::Check {
            endpoint: EndpointIx(i),
            round,
        }));
    }

    fn wants_round(&self, now: Timestamp) -> bool {
        let waiting = self.waiting.values().filter_map(|p| p.wait.round_since());
        let mut due = waiting.filter(|since| *since <= now);
        if due.any(|since| !self.rounds.covers(since)) {
            return true;
        }
        let probe = self
            .probed
            .is_none_or(|at| now >= at + self.probe_pause(now));
        probe && self.rounds.open().is_empty() && self.is_watched(now)
    }

    /// Whether this host must know the group's state: it watches the group, or uses it.
    pub(super) fn is_watched(&self, now: Timestamp) -> bool {
        self.is_used(now) || self.watch.is_some() || !self.waiting.is_empty()
    }

    fn is_used(&self, now: Timestamp) -> bool {
        self.asked.is_some_and(|at| now.since(at) < IDLE_AFTER)
    }

    pub(super) fn probe_pause(&self, now: Timestamp) -> Duration {
        let waits = |p: &super::Waiting| matches!(p.wait, Wait::Endpoint | Wait::Primary);
        if self.waiting.values().any(waits) {
            return STEP_INTERVAL * 2;
        }
        let suspicious = self
            .watch
            .as_ref()
            .is_some_and(super::Watcher::is_suspicious);
        let active = self.watch.as_ref().is_some_and(super::Watcher::is_active);
        let missing = self.writable().is_none();
        if suspicious || active || missing {
            return PROBE_INTERVAL_SUSPECT;
        }
        if self.is_used(now) || self.plan.rank == Some(0) {
            return PROBE_INTERVAL;
        }
        PROBE_INTERVAL_STANDBY
    }
}
