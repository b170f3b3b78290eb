//! Keeps track of the replicas that were paused for a survey, and lets them receive again.
//!
//! A paused replica acknowledges no commit. Where commits are replicated synchronously, writes at the
//! leader wait until enough replicas receive again.

use std::time::Duration;

use goldcrest_types::{EndpointIx, Kind, Term, Timestamp};

use super::{
    Action, Actions, FencedGroup, RunningRequest, succession::LEASE_USE, survey::SURVEY_INTERVAL,
};

/// How long after its claim a host resumes replicas without a proof of leadership. Until then no other
/// host can hold the lease and rely on their pause.
const RESUME_LIMIT: Duration = LEASE_USE.saturating_add(Duration::from_secs(1));

/// How long writes at a responsive leader may stay unanswered before its replicas are resumed. Longer
/// than a survey, which pauses them, may take.
const STALLED_WRITES_LIMIT: Duration = Duration::from_secs(3);

impl FencedGroup {
    /// Stops a replica from receiving, for a survey.
    pub(super) fn pause_replica(
        &mut self,
        replica: EndpointIx,
        term: Term,
        now: Timestamp,
        out: &mut Actions,
    ) {
        let pause = |connection| Action::Pause(connection, term);
        let sent = self.send_query(replica, now, out, pause);
        if sent && !self.succession.paused.contains(&replica) {
            self.succession.paused.push(replica);
        }
    }

    /// Lets the replicas receive again that are paused without need.
    pub(super) fn resume_replicas(&mut self, now: Timestamp, out: &mut Actions) {
        self.forget_paused();
        let due = now.since(self.succession.last_resume) >= SURVEY_INTERVAL;
        if !due || !self.has_needless_pause(now) {
            return;
        }
        self.succession.last_resume = now;
        for replica in self.succession.paused.clone() {
            if self.member(replica).is_some_and(|m| m.may_try(now)) {
                self.send_query(replica, now, out, Action::Resume);
            }
        }
    }

    /// Whether replicas are paused although no survey or order relies on it.
    ///
    /// While the outcome of an order is unknown, nothing may be acknowledged that the ordered endpoint
    /// lacks. After the lease another host may have started a survey.
    pub(super) fn has_needless_pause(&self, now: Timestamp) -> bool {
        let succession = &self.succession;
        let needed = succession.is_active() || succession.unconfirmed.is_some();
        let in_lease = now.since(succession.claimed_at) < RESUME_LIMIT;
        let led = self.leader().is_some_and(|m| !m.is_failing());
        !succession.paused.is_empty() && !needed && (in_lease || led)
    }

    /// Returns when replicas that are paused without need are resumed.
    pub(super) fn resume_wake(&self, now: Timestamp) -> Option<Timestamp> {
        let at = self.succession.last_resume + SURVEY_INTERVAL;
        self.has_needless_pause(now).then_some(at)
    }

    /// Records that all replicas of a new leader are to be resumed. A host that is gone may have
    /// paused some of them.
    pub(super) fn expect_paused(&mut self, leader: EndpointIx) {
        if self.sync_replicas == 0 {
            return;
        }
        let replicas = self.members.iter().map(|m| m.ix);
        self.succession.paused = replicas.filter(|ix| *ix != leader).collect();
    }

    /// Records that a replica receives again.
    pub(super) fn resumed(&mut self, replica: EndpointIx) {
        self.succession.paused.retain(|ix| *ix != replica);
    }

    /// Drops endpoints that are gone or lead, which ends a pause.
    fn forget_paused(&mut self) {
        let mut paused = std::mem::take(&mut self.succession.paused);
        paused.retain(|ix| self.leader != Some(*ix) && self.member(*ix).is_some());
        self.succession.paused = paused;
    }

    /// Records that the leader left a write unanswered: its replicas may be paused.
    pub(super) fn record_unanswered(&mut self, run: &RunningRequest, now: Timestamp) {
        if self.sync_replicas > 0 && self.leader == Some(run.endpoint) && is_write(run) {
            let since = self.succession.stalled_since;
            self.succession.stalled_since = since.or(Some(now));
        }
    }

    /// Records that the leader answered a write.
    pub(super) fn record_answered_write(&mut self, run: &RunningRequest) {
        if is_write(run) {
            self.succession.stalled_since = None;
        }
    }

    /// Returns when the present leader is to be ordered to lead on, so that its replicas may receive:
    /// at once if another endpoint may still be promoted by an order without an answer.
    pub(super) fn stalled_at(&self) -> Option<Timestamp> {
        let ordered = self.succession.unconfirmed.is_some();
        let led = self.leader().is_some_and(|m| !m.is_failing());
        if self.sync_replicas > 0 && ordered && led {
            return Some(Timestamp::ZERO);
        }
        let since = self.succession.stalled_since?;
        Some(since + STALLED_WRITES_LIMIT)
    }
}

fn is_write(run: &RunningRequest) -> bool {
    matches!(run.request.head.kind, Kind::Write | Kind::Commit)
}
