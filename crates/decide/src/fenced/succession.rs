//! Replaces the leader when it fails or is about to shut down.
//!
//! The steps are: suspect the leader, claim the group's lease, survey the log positions of the
//! other endpoints, order the promotion under the lease's fencing token, and wait for the new
//! leader's proof of leadership. An attempt can be abandoned after any step, as the platform rejects
//! a late order by its fencing token.

use std::time::Duration;

use goldcrest_types::{
    Claim, EndpointIx, Name, StoreError, StoreNotice, SuccessionCommand, Term, Timestamp,
};
use smallvec::SmallVec;

use super::{
    Action, Actions, FencedGroup, Member,
    survey::{SURVEY_INTERVAL, Survey},
};

/// How long a leader may be unresponsive before it is suspected. Longer than TCP's second
/// retransmission (0.6 s), so that one lost packet triggers no promotion.
pub(super) const SUSPECT_AFTER: Duration = Duration::from_millis(700);

/// How long a group may be without a leader before this host orders a promotion. Longer than the
/// longest promotion in use (1 s), as another host may have ordered one.
const LEADERLESS_LIMIT: Duration = Duration::from_millis(1_800);

/// How long an answer of the platform is awaited before the attempt is abandoned. Long enough for a
/// call that gets no connection (0.6 s) and a second one through another host.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_700);

/// How long a promoted endpoint may take to prove that it leads: three times the longest promotion
/// in use (1 s).
const PROOF_TIMEOUT: Duration = Duration::from_secs(3);

/// Pause after a conflict: another host holds the lease, or a newer fencing token was seen. About the
/// shortest promotion in use (0.3 s), after which the platform lists the promoted endpoint.
const CONFLICT_PAUSE: Duration = Duration::from_millis(400);

/// Pause after a failed attempt.
pub(super) const FAILED_PAUSE: Duration = Duration::from_millis(400);

/// How long a claimed lease may be used, counted from when the claim was sent. Half of the time for
/// which other hosts respect it.
pub const LEASE_USE: Duration = Duration::from_millis(2_500);

/// Consecutive failures that a suspected leader must have, in addition to being unresponsive.
const SUSPECT_FAILURES: u32 = 2;

/// Why a successor is sought.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Reason {
    /// The leader does not respond, or there is none.
    Failed,
    /// The leader is about to shut down. Holds the leader and the next term.
    Planned(EndpointIx, Term),
    /// The leader responds, and its writes do not end: a host that is gone may have paused its
    /// replicas. It is ordered to lead on, and the replicas to receive.
    Stalled,
}

/// Current step of the succession.
#[derive(Debug, Clone, Default)]
pub(super) enum Stage {
    /// No attempt is in progress.
    #[default]
    Idle,
    /// Waits for the platform to grant the lease.
    Claiming,
    /// Waits for the reports of the candidates.
    Surveying(Box<Survey>),
    /// Waits for the platform to accept the order of the promotion.
    Promoting,
    /// Waits for this endpoint to prove that it leads.
    AwaitingProof(EndpointIx),
    /// No attempt starts before this time.
    Paused(Timestamp),
}

/// State of the succession.
#[derive(Debug, Clone)]
pub struct Succession {
    pub(super) stage: Stage,
    pub(super) reason: Reason,
    /// When the current stage began.
    pub(super) since: Timestamp,
    /// When the last claim was sent.
    pub(super) claimed_at: Timestamp,
    /// The leader that the platform last named, or that was last promoted.
    pub(super) last_leader: Option<Name>,
    /// The endpoint whose promotion was ordered without an answer. It may lead already.
    pub(super) unconfirmed: Option<EndpointIx>,
    /// Replicas that may not receive, because a survey paused them.
    pub(super) paused: SmallVec<[EndpointIx; 4]>,
    /// When the replicas were last told to receive again.
    pub(super) last_resume: Timestamp,
    /// Since when the leader has left all writes unanswered.
    pub(super) stalled_since: Option<Timestamp>,
}

impl Default for Succession {
    fn default() -> Self {
        Self {
            stage: Stage::Idle,
            reason: Reason::Failed,
            since: Timestamp::ZERO,
            claimed_at: Timestamp::ZERO,
            last_leader: None,
            unconfirmed: None,
            paused: SmallVec::new(),
            last_resume: Timestamp::ZERO,
            stalled_since: None,
        }
    }
}

impl Succession {
    pub(super) fn is_active(&self) -> bool {
        !matches!(self.stage, Stage::Idle | Stage::Paused(_))
    }

    fn enter(&mut self, stage: Stage, now: Timestamp) {
        self.stage = stage;
        self.since = now;
    }

    pub(super) fn pause(&mut self, duration: Duration, now: Timestamp) {
        self.enter(Stage::Paused(now + duration), now);
    }
}

impl FencedGroup {
    /// Advances the succession by one step if it is due.
    pub(super) fn advance_succession(&mut self, now: Timestamp, out: &mut Actions) {
        let waited = now.since(self.succession.since);
        match &self.succession.stage {
            Stage::Idle => self.claim_if_suspect(now, out),
            Stage::Paused(until) if *until <= now => {
                self.succession.enter(Stage::Idle, now);
                self.claim_if_suspect(now, out);
            }
            Stage::Claiming | Stage::Promoting if waited >= STORE_TIMEOUT => {
                self.succession.pause(FAILED_PAUSE, now);
            }
            Stage::AwaitingProof(_) if waited >= PROOF_TIMEOUT => {
                self.succession.pause(FAILED_PAUSE, now);
            }
            Stage::Surveying(_) => self.advance_survey(now, out),
            _ => {}
        }
    }

    pub(super) fn succession_wake(&self, now: Timestamp) -> Option<Timestamp> {
        let since = self.succession.since;
        let resume = self.resume_wake(now);
        let advance = match &self.succession.stage {
            Stage::Idle => self.suspect_at().map(|at| at.max(now + SURVEY_INTERVAL)),
            Stage::Paused(until) => Some(*until),
            Stage::Claiming | Stage::Promoting => Some(since + STORE_TIMEOUT),
            Stage::Surveying(survey) => Some(survey.last_query + SURVEY_INTERVAL),
            Stage::AwaitingProof(_) => Some(self.last_search + super::SEARCH_INTERVAL),
        };
        advance.into_iter().chain(resume).min()
    }

    /// Returns when the current state becomes a reason to replace the leader.
    fn suspect_at(&self) -> Option<Timestamp> {
        if self.members.len() < 2 {
            return None;
        }
        let Some(leader) = self.leader() else {
            // Without requests no leader was searched for, so its absence proves nothing.
            return Some(self.leaderless_since.max(self.demand_since?) + LEADERLESS_LIMIT);
        };
        if leader.leaving_since.is_some() && (self.replaces_leaving || self.demand_since.is_some())
        {
            return Some(Timestamp::ZERO);
        }
        failed_at(leader).into_iter().chain(self.stalled_at()).min()
    }

    /// Claims the lease if there is reason to replace the leader and an endpoint can succeed it.
    fn claim_if_suspect(&mut self, now: Timestamp, out: &mut Actions) {
        let due = self.suspect_at().is_some_and(|at| at <= now);
        if !due || !self.has_successor(now) {
            return;
        }
        let newest = self.samples.newest().map(|(_, mark)| mark.term);
        self.succession.reason = match self.leader() {
            Some(m) if m.leaving_since.is_some() => {
                Reason::Planned(m.ix, newest.unwrap_or_default().next())
            }
            Some(m) if failed_at(m).is_none_or(|at| at > now) => Reason::Stalled,
            _ => Reason::Failed,
        };
        self.succession.stalled_since = None;
        self.succession.claimed_at = now;
        self.succession.enter(Stage::Claiming, now);
        let leader = self.leader().map(|m| m.name().clone());
        let replaced = leader.or_else(|| self.succession.last_leader.clone());
        out.push(Action::Succession(SuccessionCommand::Claim(replaced)));
    }

    /// Whether another endpoint responds and is not shutting down.
    fn has_successor(&self, now: Timestamp) -> bool {
        self.candidates().any(|m| m.may_try(now))
    }

    /// Returns the endpoints that may succeed the leader.
    pub(super) fn candidates(&self) -> impl Iterator<Item = &Member> {
        let leader = self.leader;
        self.members
            .iter()
            .filter(move |m| m.leaving_since.is_none() && Some(m.ix) != leader)
    }

    pub(super) fn handle_store_notice(
        &mut self,
        notice: StoreNotice,
        now: Timestamp,
        out: &mut Actions,
    ) {
        match (notice, &self.succession.stage) {
            (StoreNotice::Claimed(Err(StoreError::Replaced(name))), Stage::Claiming) => {
                self.follow_promoted(name, now);
            }
            (StoreNotice::Claimed(Ok(claim)), Stage::Claiming) => {
                let survey = Survey::new(claim);
                self.succession
                    .enter(Stage::Surveying(Box::new(survey)), now);
            }
            (StoreNotice::Promoted(ix, Ok(())), Stage::Promoting) => {
                self.promotion_ordered(ix, now, out);
            }
            (StoreNotice::Promoted(_, Err(StoreError::Outrun)), Stage::Promoting) => {
                self.succession.unconfirmed = None;
                self.succession.pause(CONFLICT_PAUSE, now);
            }
            (StoreNotice::Claimed(Err(error)), Stage::Claiming)
            | (StoreNotice::Promoted(_, Err(error)), Stage::Promoting) => {
                let pause = match error {
                    StoreError::Outrun => CONFLICT_PAUSE,
                    StoreError::Unknown | StoreError::Replaced(_) => FAILED_PAUSE,
                };
                self.succession.pause(pause, now);
            }
            _ => {}
        }
    }

    /// Takes the endpoint that another host promoted for the leader. Failures of the replaced leader
    /// no longer count.
    fn follow_promoted(&mut self, name: Name, now: Timestamp) {
        self.succession.pause(FAILED_PAUSE, now);
        self.clear_leader(now);
        let promoted = self.members.iter_mut().find(|m| *m.name() == name);
        if let Some(member) = promoted {
            member.denied_at = None;
            self.leader = Some(member.ix);
        }
        self.succession.last_leader = Some(name);
    }

    /// Handles the platform's confirmation of the promotion: probes the promoted endpoint.
    fn promotion_ordered(&mut self, endpoint: EndpointIx, now: Timestamp, out: &mut Actions) {
        self.succession.unconfirmed = None;
        self.succession.enter(Stage::AwaitingProof(endpoint), now);
        self.expect_paused(endpoint);
        self.clear_leader(now);
        for member in &mut self.members {
            if member.ix == endpoint {
                self.succession.last_leader = Some(member.info.name.clone());
            } else {
                member.denied_at = Some(now);
            }
        }
        self.probe(endpoint, now, out);
    }

    /// Orders the promotion of an endpoint under the claimed lease.
    pub(super) fn order_promotion(
        &mut self,
        endpoint: EndpointIx,
        claim: Claim,
        now: Timestamp,
        out: &mut Actions,
    ) {
        let Some(member) = self.member(endpoint) else {
            return;
        };
        let name = member.name().clone();
        self.counts.promotions += 1;
        self.succession.unconfirmed = Some(endpoint);
        self.succession.enter(Stage::Promoting, now);
        out.push(Action::Succession(SuccessionCommand::Promote {
            endpoint,
            name,
            claim,
        }));
    }

    /// Ends the succession if it waits for this endpoint's proof, or if it was started for a failed
    /// leader and an endpoint leads again.
    pub(super) fn leader_proved(&mut self, endpoint: EndpointIx) {
        let ordered = self.succession.unconfirmed;
        if self.sync_replicas == 0 || ordered == Some(endpoint) {
            self.succession.unconfirmed = None;
        }
        let resolved = match &self.succession.stage {
            Stage::AwaitingProof(promoted) => *promoted == endpoint,
            Stage::Claiming | Stage::Surveying(_) => self.succession.reason == Reason::Failed,
            _ => false,
        };
        if resolved {
            self.succession.stage = Stage::Idle;
        }
    }
}

/// Returns when a leader that fails is suspected.
fn failed_at(leader: &Member) -> Option<Timestamp> {
    let since = leader.failing_since?;
    (leader.failures() >= SUSPECT_FAILURES).then_some(since + SUSPECT_AFTER)
}
