//! Surveys the log positions of a group's endpoints under a claimed lease, and chooses the successor.
//!
//! Where commits are replicated synchronously, a commit may be acknowledged until no replica receives
//! any more. The replicas are therefore paused before their positions count. With `n` replicas of
//! which `k` must receive each commit, any `n - k + 1` of them include one that has them all. A replica that
//! discovery has dropped may be the one: its commits must be covered, too.

use std::time::Duration;

use goldcrest_types::{
    Claim, ConnectionId, EndpointIx, Mark, ReplicationStatus, Role, Term, Timestamp,
};
use smallvec::SmallVec;

use super::{
    Action, Actions, FencedGroup, Member,
    members::ConnectionState,
    succession::{FAILED_PAUSE, LEASE_USE, Reason, Stage},
};

/// How long a survey waits for the reports of all candidates, once the first has arrived. Longer
/// than it takes to notice and reopen a connection that was refused or dropped.
const SURVEY_LIMIT: Duration = Duration::from_millis(900);

/// How long a survey waits for the first report.
const SURVEY_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Interval between the queries of a survey.
pub(super) const SURVEY_INTERVAL: Duration = Duration::from_millis(60);

/// How long a planned switchover waits for the successor to receive the whole log of the leader.
const CATCH_UP_LIMIT: Duration = Duration::from_millis(1_500);

/// An endpoint's report.
#[derive(Debug, Clone, Copy)]
struct Report {
    endpoint: EndpointIx,
    status: ReplicationStatus,
    /// Whether the endpoint receives nothing since.
    paused: bool,
}

/// Reports of the endpoints, gathered under a claimed lease.
#[derive(Debug, Clone)]
pub(super) struct Survey {
    claim: Claim,
    pub last_query: Timestamp,
    first_report: Option<Timestamp>,
    reports: SmallVec<[Report; 4]>,
    /// Whether the leader that is to step down has reported that it leads.
    led: bool,
    /// Log position of the leader when it stepped down.
    leader_mark: Option<Mark>,
}

impl Survey {
    pub(super) fn new(claim: Claim) -> Self {
        Self {
            claim,
            last_query: Timestamp::ZERO,
            first_report: None,
            reports: SmallVec::new(),
            led: false,
            leader_mark: None,
        }
    }

    fn is_paused(&self, endpoint: EndpointIx) -> bool {
        let mut reports = self.reports.iter();
        reports.any(|r| r.endpoint == endpoint && r.paused)
    }

    fn replicas(&self) -> impl Iterator<Item = &Report> {
        self.reports
            .iter()
            .filter(|r| r.status.role == Role::Replica)
    }

    /// Returns a term above all that the endpoints reported.
    fn next_term(&self, newest: Term) -> Term {
        let known = self
            .reports
            .iter()
            .map(|r| r.status.term.max(r.status.held.term));
        known.fold(newest, Term::max).next()
    }
}

impl FencedGroup {
    /// Orders the promotion once a successor can be chosen, and requests reports until then.
    pub(super) fn advance_survey(&mut self, now: Timestamp, out: &mut Actions) {
        let Stage::Surveying(survey) = &self.succession.stage else {
            return;
        };
        let waited = now.since(self.succession.since);
        if now.since(self.succession.claimed_at) > LEASE_USE {
            return self.succession.pause(FAILED_PAUSE, now);
        }
        if let Some(choice) = self.choose_successor(survey, now) {
            let claim = survey.claim.clone();
            return self.order_promotion(choice, claim, now, out);
        }
        if waited >= SURVEY_TIMEOUT && survey.reports.is_empty() {
            return self.succession.pause(FAILED_PAUSE, now);
        }
        if now.since(survey.last_query) >= SURVEY_INTERVAL {
            self.request_reports(now, out);
        }
    }

    /// Returns the endpoint to promote, once it is certain enough or the wait for reports is over.
    fn choose_successor(&self, survey: &Survey, now: Timestamp) -> Option<EndpointIx> {
        if self.succession.reason == Reason::Stalled {
            // The order changes nothing, and fences late orders for other endpoints.
            return self.leader;
        }
        if self.sync_replicas > 0 {
            return self.choose_complete(survey);
        }
        self.choose_most_advanced(survey, now)
    }

    /// Returns the candidate with the highest log position, once enough reports have arrived or the
    /// wait for them is over.
    ///
    /// An endpoint whose promotion may have been carried out is chosen again, which changes nothing
    /// where it leads. Promoting another one would roll back what it has acknowledged since.
    fn choose_most_advanced(&self, survey: &Survey, now: Timestamp) -> Option<EndpointIx> {
        let first = survey.first_report?;
        let reported = |ix: &EndpointIx| survey.reports.iter().any(|r| r.endpoint == *ix);
        if let Some(ordered) = self.succession.unconfirmed.filter(reported) {
            return Some(ordered);
        }
        if self.reported_leader(survey).is_some() {
            // It is asked for a proof of leadership, which ends the succession.
            return None;
        }
        let candidates = self.candidates().count();
        let best = self.best_candidate(survey)?;
        if let Reason::Planned(..) = self.succession.reason {
            let waited = now.since(self.succession.since) >= CATCH_UP_LIMIT;
            let caught_up = survey
                .leader_mark
                .is_some_and(|mark| best.status.held >= mark);
            return (caught_up || waited).then_some(best.endpoint);
        }
        let all = survey.reports.len() >= candidates;
        (all || now.since(first) >= SURVEY_LIMIT).then_some(best.endpoint)
    }

    /// Returns a replica that holds every acknowledged commit: one that has the whole log of a leader
    /// that stepped down, or the most advanced of enough paused ones.
    ///
    /// A replica that is shutting down is chosen only if no other one is as advanced. It is replaced
    /// once another one has caught up with it.
    fn choose_complete(&self, survey: &Survey) -> Option<EndpointIx> {
        if self.reported_leader(survey).is_some() {
            return None;
        }
        let caught_up = self.best_candidate(survey).filter(|best| {
            let mark = survey.leader_mark;
            mark.is_some_and(|mark| best.status.held >= mark)
        });
        if let Some(best) = caught_up {
            return Some(best.endpoint);
        }
        let paused: SmallVec<[&Report; 4]> = survey
            .replicas()
            .filter(|r| r.paused && self.is_replica(r.endpoint))
            .collect();
        if paused.len() < self.survey_quorum() {
            return None;
        }
        let best = paused.iter().max_by_key(|r| {
            let ordered = self.succession.unconfirmed == Some(r.endpoint);
            let stays = self
                .member(r.endpoint)
                .is_some_and(|m| m.leaving_since.is_none());
            (r.status.held, ordered, stays)
        });
        let best = best.filter(|r| self.covers_absent(r.status.held));
        best.map(|r| r.endpoint)
    }

    /// Returns the report of the most advanced endpoint that is not shutting down.
    fn best_candidate<'a>(&self, survey: &'a Survey) -> Option<&'a Report> {
        let listed = |ix: EndpointIx| self.candidates().any(|m| m.ix == ix);
        let replicas = survey.replicas().filter(|r| listed(r.endpoint));
        replicas.max_by_key(|r| r.status.held)
    }

    /// Returns the endpoints that receive the log of the leader.
    fn replicas(&self) -> impl Iterator<Item = &Member> {
        let leader = self.leader;
        let last = self
            .succession
            .last_leader
            .as_ref()
            .filter(|_| leader.is_none());
        let leads = move |m: &Member| Some(m.ix) == leader || Some(m.name()) == last;
        self.members.iter().filter(move |m| !leads(m))
    }

    pub(super) fn is_replica(&self, endpoint: EndpointIx) -> bool {
        self.replicas().any(|m| m.ix == endpoint)
    }

    /// Returns how many paused replicas include one that holds every acknowledged commit.
    fn survey_quorum(&self) -> usize {
        self.replicas().count().saturating_sub(self.sync_replicas) + 1
    }

    /// Whether replicas may be paused: enough of them respond, one holds what absent ones may have
    /// acknowledged, and a leader that shuts down has had the time to step down and to send its log.
    fn may_pause(&self, survey: &Survey, now: Timestamp) -> bool {
        let responding = survey.replicas().filter(|r| self.is_replica(r.endpoint));
        let planned = matches!(self.succession.reason, Reason::Planned(..));
        let due = !planned || now.since(self.succession.since) >= CATCH_UP_LIMIT;
        // A paused replica never reaches what it lacks.
        let best = survey.replicas().map(|r| r.status.held).max();
        let covers = best.is_some_and(|held| self.covers_absent(held));
        self.sync_replicas > 0 && due && covers && responding.count() >= self.survey_quorum()
    }

    /// Requests the log positions of the candidates, after ordering a leader that shuts down to
    /// step down.
    fn request_reports(&mut self, now: Timestamp, out: &mut Actions) {
        let reason = self.succession.reason;
        let newest = self.samples.newest().map(|(_, mark)| mark.term);
        let Stage::Surveying(survey) = &mut self.succession.stage else {
            return;
        };
        survey.last_query = now;
        if let Reason::Planned(ix, term) = reason
            && survey.leader_mark.is_none()
        {
            // Where commits must not be lost, only one that led before can be shown to step down.
            let may_step_down = survey.led || self.sync_replicas == 0;
            self.send_query(ix, now, out, |connection| {
                if may_step_down {
                    Action::StepDown(connection, term)
                } else {
                    Action::Report(connection)
                }
            });
        }
        let Stage::Surveying(survey) = &self.succession.stage else {
            return;
        };
        let pause = self
            .may_pause(survey, now)
            .then(|| survey.next_term(newest.unwrap_or_default()));
        let leading = self.reported_leader(survey);
        for ix in self.surveyed(survey, now) {
            if leading == Some(ix) {
                self.probe(ix, now, out);
            } else if let Some(term) = pause {
                self.pause_replica(ix, term, now, out);
            } else {
                self.send_query(ix, now, out, Action::Report);
            }
        }
    }

    /// Returns the endpoints whose report is needed: the candidates, and where commits are replicated
    /// synchronously all replicas that are not paused yet.
    fn surveyed(&self, survey: &Survey, now: Timestamp) -> SmallVec<[EndpointIx; 4]> {
        let wanted = |m: &&Member| {
            let open = self.sync_replicas > 0 && !survey.is_paused(m.ix);
            open || (self.sync_replicas == 0 && m.leaving_since.is_none())
        };
        let replicas = self.members.iter().filter(|m| Some(m.ix) != self.leader);
        let reachable = replicas.filter(wanted).filter(|m| m.may_try(now));
        reachable.map(|m| m.ix).collect()
    }

    /// Returns an endpoint that reported that it leads, and has not denied it since the survey began.
    fn reported_leader(&self, survey: &Survey) -> Option<EndpointIx> {
        let began = self.succession.since;
        let denied = |ix: EndpointIx| {
            let member = self.member(ix);
            member.is_none_or(|m| m.denied_at.is_some_and(|at| at >= began))
        };
        let mut reports = survey.reports.iter();
        let leading = reports.find(|r| r.status.role == Role::Primary && !denied(r.endpoint));
        leading.map(|r| r.endpoint)
    }

    /// Sends a query over an idle connection. If there is none, opens a connection, and the next round
    /// of queries uses it. Returns whether the query was sent.
    pub(super) fn send_query<F>(
        &mut self,
        endpoint: EndpointIx,
        now: Timestamp,
        out: &mut Actions,
        query: F,
    ) -> bool
    where
        F: FnOnce(ConnectionId) -> Action,
    {
        let Some(member) = self.member(endpoint) else {
            return false;
        };
        let (idle, opening) = (member.idle(), member.opening());
        if let Some(connection) = idle {
            self.set_state(connection, ConnectionState::Internal(now));
            out.push(query(connection));
        } else if opening == 0 {
            let workspace = self.last_workspace.clone();
            self.open_connection(endpoint, &workspace, now, out);
        }
        idle.is_some()
    }

    /// Whether a report on a connection counts for the present survey. Where commits must not be lost, it has
    /// to answer a query of this survey: the endpoint may have led since it answered an earlier one.
    pub(super) fn counts_for_survey(&self, connection: ConnectionId) -> bool {
        let asked = self.requested_at(connection);
        self.sync_replicas == 0 || asked.is_some_and(|at| at >= self.succession.since)
    }

    /// Records a report of the survey. `paused_at` is the term of the pause command that the endpoint
    /// answered.
    pub(super) fn record_report(
        &mut self,
        endpoint: EndpointIx,
        status: Option<ReplicationStatus>,
        paused_at: Option<Term>,
        now: Timestamp,
    ) {
        let reason = self.succession.reason;
        let Stage::Surveying(survey) = &mut self.succession.stage else {
            return;
        };
        let Some(status) = status else { return };
        if let Reason::Planned(ix, term) = reason
            && ix == endpoint
        {
            match status.role {
                // It ignores a command to step down at a term that is not above its own.
                Role::Primary => {
                    let next = term.max(status.term.next());
                    self.succession.reason = Reason::Planned(ix, next);
                    if !survey.led || next > term {
                        survey.last_query = Timestamp::ZERO;
                    }
                    survey.led = true;
                }
                Role::Replica if survey.led || self.sync_replicas == 0 => {
                    survey.leader_mark = Some(status.held);
                }
                // It may have been a replica all the time, while another endpoint leads.
                Role::Replica => {}
            }
            return;
        }
        // An endpoint ignores a pause at a term that is not above all it knows.
        let accepted = |term| status.paused >= term || status.term < term;
        survey.first_report = survey.first_report.or(Some(now));
        survey.reports.retain(|r| r.endpoint != endpoint);
        survey.reports.push(Report {
            endpoint,
            status,
            paused: status.role == Role::Replica && paused_at.is_some_and(accepted),
        });
    }
}
