//! Rounds of term checks: when one starts, and how its reports update the group.

use std::time::Duration;

use goldcrest_types::{EndpointIx, Report, RoundId, Timestamp};
use smallvec::SmallVec;

use super::{
    Action, Actions, CHECK_TIMEOUT, Group, IDLE_AFTER, PROBE_INTERVAL, PROBE_INTERVAL_STANDBY,
    PROBE_INTERVAL_SUSPECT, STEP_INTERVAL, waiting::Wait,
};
use crate::fence::{Round, is_primary};

impl Group {
    pub(super) fn on_report(
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
        view.apply_report(&report, now);
        if is_primary(&report) {
            self.update_primary(endpoint, &report, out);
        }
        self.rounds.add_report(round, endpoint, report);
        self.resume_waiting(now, out);
        self.end_rounds(now, Round::is_complete);
        self.tick_watcher(now, out);
    }

    pub(super) fn on_check_failed(
        &mut self,
        endpoint: EndpointIx,
        round: RoundId,
        now: Timestamp,
        out: &mut Actions,
    ) {
        if let Some(view) = self.view(endpoint) {
            view.record_missed_check();
        }
        self.rounds.add_failure(round, endpoint);
        self.end_rounds(now, Round::is_complete);
        self.tick_watcher(now, out);
    }

    /// Takes the endpoint of a primary's report for the primary, unless one of a higher term is known.
    fn update_primary(&mut self, endpoint: EndpointIx, report: &Report, out: &mut Actions) {
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

    pub(super) fn on_tick(&mut self, now: Timestamp, out: &mut Actions) {
        self.expire_rounds(now);
        self.expire_sent(now, out);
        self.resume_waiting(now, out);
        self.expire_waiting(now, out);
        self.tick_watcher(now, out);
    }

    fn expire_rounds(&mut self, now: Timestamp) {
        let late = |r: &Round| now.since(r.sent_at) >= CHECK_TIMEOUT;
        let unanswered: SmallVec<[EndpointIx; 8]> = self
            .rounds
            .open()
            .iter()
            .filter(|r| late(r))
            .flat_map(Round::unanswered)
            .collect();
        for ix in unanswered {
            if let Some(view) = self.view(ix) {
                view.record_missed_check();
            }
        }
        self.end_rounds(now, late);
    }

    /// Removes the ended rounds, and schedules other ones for the commits that they did not confirm.
    fn end_rounds<F>(&mut self, now: Timestamp, ended: F)
    where
        F: Fn(&Round) -> bool,
    {
        for round in self.rounds.take(ended) {
            self.defer_fences(round.sent_at, now);
        }
    }

    /// Starts a round if a waiting request needs one or a periodic probe is due.
    pub(super) fn start_round_if_due(&mut self, now: Timestamp, out: &mut Actions) {
        if !self.is_round_due(now) {
            return;
        }
        let Some(round) = self.rounds.start(self.size(), now) else {
            return;
        };
        self.probed_at = Some(now);
        self.counts.rounds += 1;
        let all = (0..self.size()).filter_map(|i| u16::try_from(i).ok());
        out.extend(all.map(|i| Action::Check {
            endpoint: EndpointIx(i),
            round,
        }));
    }

    fn is_round_due(&self, now: Timestamp) -> bool {
        let waiting = self.waiting.values().filter_map(|p| p.wait.round_since());
        let mut due = waiting.filter(|since| *since <= now);
        if due.any(|since| !self.rounds.covers(since)) {
            return true;
        }
        let probe = self
            .probed_at
            .is_none_or(|at| now >= at + self.probe_interval(now));
        probe && self.rounds.open().is_empty() && self.is_watched(now)
    }

    /// Whether this host must keep the group's state current: it is one of the group's watchers, has
    /// recent requests for it, or has requests that wait.
    pub(super) fn is_watched(&self, now: Timestamp) -> bool {
        self.has_recent_requests(now) || self.watcher.is_some() || !self.waiting.is_empty()
    }

    fn has_recent_requests(&self, now: Timestamp) -> bool {
        self.requested_at
            .is_some_and(|at| now.since(at) < IDLE_AFTER)
    }

    pub(super) fn probe_interval(&self, now: Timestamp) -> Duration {
        let blocked = |p: &super::Waiting| matches!(p.wait, Wait::Endpoint | Wait::Primary);
        if self.waiting.values().any(blocked) {
            return STEP_INTERVAL * 2;
        }
        let suspected = self
            .watcher
            .as_ref()
            .is_some_and(super::Watcher::suspects_primary);
        let active = self.watcher.as_ref().is_some_and(super::Watcher::is_active);
        let no_primary = self.writable_primary().is_none();
        if suspected || active || no_primary {
            return PROBE_INTERVAL_SUSPECT;
        }
        if self.has_recent_requests(now) || self.plan.rank == Some(0) {
            return PROBE_INTERVAL;
        }
        PROBE_INTERVAL_STANDBY
    }
}
