//! Finds a successor when the leader fails or is about to leave.
//!
//! The steps are: suspect, claim the group's lease, survey what the endpoints have received, order
//! the promotion under the lease's fencing token, and wait for the proof of leadership. Each step
//! may be abandoned: a late order is stopped by its token.

use std::time::Duration;

use goldcrest_types::{
    Claim, EndpointIx, Mark, Name, ReplicationStatus, Role, StoreError, StoreNotice,
    SuccessionCommand, Term, Timestamp,
};
use smallvec::SmallVec;

use super::{Action, Actions, Cluster, Member, members::LinkState};

/// How long a leader may be silent before it is suspected. Above TCP's second resend (0.6 s), so
/// that one lost packet starts no promotion.
pub(super) const SUSPECT_AFTER: Duration = Duration::from_millis(700);

/// How long a group may be without a leader before one is sought by promotion. Above the longest
/// promotion in use (1 s), since another host may have ordered one.
const LEADERLESS_LIMIT: Duration = Duration::from_millis(1_800);

/// How long the reports of all candidates are awaited, once one has come. Above the time in which
/// a connection that is refused or dropped is noticed and opened again.
const SURVEY_LIMIT: Duration = Duration::from_millis(900);

/// How long the first report is awaited.
const SURVEY_GIVE_UP: Duration = Duration::from_millis(1_500);

/// The time between questions to the endpoints in a survey.
const SURVEY_EVERY: Duration = Duration::from_millis(60);

/// How long a planned change waits for the successor to receive all that the leader holds.
const CATCH_UP_LIMIT: Duration = Duration::from_millis(1_500);

/// How long an answer of the platform is awaited before the step is repeated: a call that gets no
/// connection (0.6 s), and the same through another host.
const ANSWER_LIMIT: Duration = Duration::from_millis(1_700);

/// How long a promoted endpoint is given to prove that it leads: three times the longest promotion
/// in use (1 s).
const SETTLE_LIMIT: Duration = Duration::from_secs(3);

/// The pause after another host went first: about the shortest promotion in use (0.3 s), since the
/// store then tells who was promoted.
const OUTRUN_PAUSE: Duration = Duration::from_millis(400);

/// The pause after an attempt that came to nothing.
const FAILED_PAUSE: Duration = Duration::from_millis(400);

/// How long a claimed lease may be used, measured from before it was asked for. Half of the time
/// for which other hosts leave it alone.
pub const LEASE_USE: Duration = Duration::from_millis(2_500);

/// The failures of the leader that make it suspect, together with its silence.
const SUSPECT_FAILURES: u32 = 2;

/// Why a successor is sought.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cause {
    /// The leader is silent, or there is none.
    Failed,
    /// The leader is about to leave.
    Planned(EndpointIx, Term),
}

#[derive(Debug, Clone, Default)]
enum Stage {
    #[default]
    Quiet,
    Claiming,
    Surveying(Box<Survey>),
    Promoting,
    Settling(EndpointIx),
    Paused(Timestamp),
}

#[derive(Debug, Clone)]
struct Survey {
    claim: Claim,
    asked: Timestamp,
    first: Option<Timestamp>,
    reports: SmallVec<[(EndpointIx, ReplicationStatus); 4]>,
    /// What the leader held when it stepped down.
    target: Option<Mark>,
    stepped: bool,
}

/// The state of the search for a successor.
#[derive(Debug, Clone)]
pub struct Succession {
    stage: Stage,
    cause: Cause,
    since: Timestamp,
    claimed: Timestamp,
    /// The leader that the last claim was told of.
    told: Option<Name>,
}

impl Default for Succession {
    fn default() -> Self {
        Self {
            stage: Stage::Quiet,
            cause: Cause::Failed,
            since: Timestamp::ZERO,
            claimed: Timestamp::ZERO,
            told: None,
        }
    }
}

impl Succession {
    pub(super) fn is_active(&self) -> bool {
        !matches!(self.stage, Stage::Quiet | Stage::Paused(_))
    }

    fn enter(&mut self, stage: Stage, now: Timestamp) {
        self.stage = stage;
        self.since = now;
    }

    fn pause(&mut self, span: Duration, now: Timestamp) {
        self.enter(Stage::Paused(now + span), now);
    }
}

impl Cluster {
    /// Moves the search for a successor on.
    pub(super) fn succeed(&mut self, now: Timestamp, out: &mut Actions) {
        let waited = now.since(self.succession.since);
        match &self.succession.stage {
            Stage::Quiet => self.suspect(now, out),
            Stage::Paused(until) if *until <= now => {
                self.succession.enter(Stage::Quiet, now);
                self.suspect(now, out);
            }
            Stage::Claiming | Stage::Promoting if waited >= ANSWER_LIMIT => {
                self.succession.pause(FAILED_PAUSE, now);
            }
            Stage::Settling(_) if waited >= SETTLE_LIMIT => {
                self.succession.pause(FAILED_PAUSE, now);
            }
            Stage::Surveying(_) => self.survey(now, out),
            _ => {}
        }
    }

    pub(super) fn succession_wake(&self, now: Timestamp) -> Option<Timestamp> {
        let since = self.succession.since;
        match &self.succession.stage {
            Stage::Quiet => self.suspicion().map(|at| at.max(now + SURVEY_EVERY)),
            Stage::Paused(until) => Some(*until),
            Stage::Claiming | Stage::Promoting => Some(since + ANSWER_LIMIT),
            Stage::Surveying(survey) => Some(survey.asked + SURVEY_EVERY),
            Stage::Settling(_) => Some(self.searched + super::SEARCH_EVERY),
        }
    }

    /// When the present state becomes a reason to seek a successor.
    fn suspicion(&self) -> Option<Timestamp> {
        if self.members.len() < 2 {
            return None;
        }
        let Some(leader) = self.leader() else {
            // Without demand nobody has searched, so nothing is known.
            return Some(self.leaderless.max(self.wanted?) + LEADERLESS_LIMIT);
        };
        if leader.leaving.is_some() && (self.watches || self.wanted.is_some()) {
            return Some(Timestamp::ZERO);
        }
        let silent = leader.failing?;
        (leader.failures() >= SUSPECT_FAILURES).then_some(silent + SUSPECT_AFTER)
    }

    fn suspect(&mut self, now: Timestamp, out: &mut Actions) {
        let due = self.suspicion().is_some_and(|at| at <= now);
        if !due || !self.has_successor(now) {
            return;
        }
        let newest = self.samples.newest().map(|(_, mark)| mark.term);
        self.succession.cause = match self.leader() {
            Some(m) if m.leaving.is_some() => {
                Cause::Planned(m.ix, newest.unwrap_or_default().next())
            }
            _ => Cause::Failed,
        };
        self.succession.claimed = now;
        self.succession.enter(Stage::Claiming, now);
        let believed = self.leader().map(|m| m.name().clone());
        let replaced = believed.or_else(|| self.succession.told.clone());
        out.push(Action::Succession(SuccessionCommand::Claim(replaced)));
    }

    /// Whether some other endpoint is reached and stays.
    fn has_successor(&self, now: Timestamp) -> bool {
        self.candidates().any(|m| m.answers(now))
    }

    fn candidates(&self) -> impl Iterator<Item = &Member> {
        let leader = self.leader;
        self.members
            .iter()
            .filter(move |m| m.leaving.is_none() && Some(m.ix) != leader)
    }

    pub(super) fn store_answered(
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
                let survey = Survey {
                    claim,
                    asked: Timestamp::ZERO,
                    first: None,
                    reports: SmallVec::new(),
                    target: None,
                    stepped: false,
                };
                self.succession
                    .enter(Stage::Surveying(Box::new(survey)), now);
            }
            (StoreNotice::Promoted(ix, Ok(())), Stage::Promoting) => {
                self.promoted(ix, now, out);
            }
            (StoreNotice::Claimed(Err(error)), Stage::Claiming)
            | (StoreNotice::Promoted(_, Err(error)), Stage::Promoting) => {
                let pause = match error {
                    StoreError::Outrun => OUTRUN_PAUSE,
                    StoreError::Unknown | StoreError::Replaced(_) => FAILED_PAUSE,
                };
                self.succession.pause(pause, now);
            }
            _ => {}
        }
    }

    /// Takes up the leader that another host has promoted. It is suspected for its own silence
    /// only.
    fn follow_promoted(&mut self, name: Name, now: Timestamp) {
        self.succession.pause(FAILED_PAUSE, now);
        self.forget_leader(now);
        let promoted = self.members.iter_mut().find(|m| *m.name() == name);
        if let Some(member) = promoted {
            member.denied = None;
            self.leader = Some(member.ix);
        }
        self.succession.told = Some(name);
    }

    fn promoted(&mut self, endpoint: EndpointIx, now: Timestamp, out: &mut Actions) {
        self.succession.enter(Stage::Settling(endpoint), now);
        self.forget_leader(now);
        for member in &mut self.members {
            if member.ix == endpoint {
                self.succession.told = Some(member.info.name.clone());
            } else {
                member.denied = Some(now);
            }
        }
        self.probe(endpoint, now, out);
    }

    fn survey(&mut self, now: Timestamp, out: &mut Actions) {
        let Stage::Surveying(survey) = &self.succession.stage else {
            return;
        };
        let waited = now.since(self.succession.since);
        if now.since(self.succession.claimed) > LEASE_USE {
            return self.succession.pause(FAILED_PAUSE, now);
        }
        if let Some(choice) = self.choose(survey, now) {
            let claim = survey.claim.clone();
            return self.order(choice, claim, now, out);
        }
        if waited >= SURVEY_GIVE_UP && survey.reports.is_empty() {
            return self.succession.pause(FAILED_PAUSE, now);
        }
        if now.since(survey.asked) >= SURVEY_EVERY {
            self.ask_reports(now, out);
        }
    }

    /// The successor, once enough is known: the candidate that has received the most.
    fn choose(&self, survey: &Survey, now: Timestamp) -> Option<EndpointIx> {
        let first = survey.first?;
        let candidates = self.candidates().count();
        let listed = |ix: EndpointIx| self.candidates().any(|m| m.ix == ix);
        let best = survey
            .reports
            .iter()
            .filter(|(ix, r)| listed(*ix) && r.role == Role::Replica)
            .max_by_key(|(_, r)| r.held)?;
        if let Cause::Planned(..) = self.succession.cause {
            let waited = now.since(self.succession.since) >= CATCH_UP_LIMIT;
            let caught_up = survey.target.is_some_and(|t| best.1.held >= t);
            return (caught_up || waited).then_some(best.0);
        }
        let all = survey.reports.len() >= candidates;
        (all || now.since(first) >= SURVEY_LIMIT).then_some(best.0)
    }

    fn order(&mut self, endpoint: EndpointIx, claim: Claim, now: Timestamp, out: &mut Actions) {
        let Some(member) = self.member(endpoint) else {
            return;
        };
        let name = member.name().clone();
        self.counts.promotions += 1;
        self.succession.enter(Stage::Promoting, now);
        out.push(Action::Succession(SuccessionCommand::Promote {
            endpoint,
            name,
            claim,
        }));
    }

    /// Asks the candidates what they have received, and a leaving leader to step down first.
    fn ask_reports(&mut self, now: Timestamp, out: &mut Actions) {
        let cause = self.succession.cause;
        let Stage::Surveying(survey) = &mut self.succession.stage else {
            return;
        };
        survey.asked = now;
        let step_down = match cause {
            Cause::Planned(ix, term) if !survey.stepped => Some((ix, term)),
            _ => None,
        };
        if let Some((ix, term)) = step_down {
            self.ask_one(ix, now, out, |link| Action::StepDown(link, term));
        }
        let asked: SmallVec<[EndpointIx; 4]> = self
            .candidates()
            .filter(|m| m.answers(now))
            .map(|m| m.ix)
            .collect();
        for ix in asked {
            self.ask_one(ix, now, out, Action::Report);
        }
    }

    fn ask_one<F>(&mut self, endpoint: EndpointIx, now: Timestamp, out: &mut Actions, question: F)
    where
        F: FnOnce(goldcrest_types::ConnectionId) -> Action,
    {
        let Some(member) = self.member(endpoint) else {
            return;
        };
        let (idle, opening) = (member.idle(), member.opening());
        match idle {
            Some(link) => {
                self.set_link(link, LinkState::Own(now));
                out.push(question(link));
            }
            None if opening == 0 => self.open_link(endpoint, now, out),
            None => {}
        }
    }

    pub(super) fn note_report(
        &mut self,
        endpoint: EndpointIx,
        report: Option<ReplicationStatus>,
        now: Timestamp,
    ) {
        let cause = self.succession.cause;
        let Stage::Surveying(survey) = &mut self.succession.stage else {
            return;
        };
        let Some(report) = report else { return };
        if matches!(cause, Cause::Planned(ix, _) if ix == endpoint) {
            survey.stepped = true;
            survey.target = Some(report.held);
            return;
        }
        survey.first = survey.first.or(Some(now));
        survey.reports.retain(|(ix, _)| *ix != endpoint);
        survey.reports.push((endpoint, report));
    }

    /// Notes that an endpoint proved that it leads.
    pub(super) fn note_leader(&mut self, endpoint: EndpointIx) {
        let over = match &self.succession.stage {
            Stage::Settling(promoted) => *promoted == endpoint,
            Stage::Claiming | Stage::Surveying(_) => self.succession.cause == Cause::Failed,
            _ => false,
        };
        if over {
            self.succession.stage = Stage::Quiet;
        }
    }
}
