//! One host's decisions for one database group.
//!
//! [`Group::step`] takes an event and returns what to do. The bytes of requests and answers stay
//! with the task that drives the group; decisions see heads and marks only.

mod asked;
mod checks;
mod events;
mod explain;
mod replies;
mod views;
mod waiting;
mod watching;

use std::{collections::BTreeMap, time::Duration};

use goldcrest_types::{
    Acknowledge, Consistency, EndpointIx, History, Lease, Name, RequestHead, RequestId, Term,
    Timestamp,
};
use smallvec::SmallVec;

pub use self::{
    events::{Action, Actions, AnswerHead, Event},
    explain::Explanation,
    views::EndpointView,
    waiting::{Wait, Waiting},
};
use crate::{
    fence::Rounds,
    promote::{self, Watcher},
    retry::RetryBudget,
};

/// The time between probes of a quiet group.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// The time between probes by a host that only stands in for another watcher.
pub const PROBE_INTERVAL_STANDBY: Duration = Duration::from_secs(3);

/// The time between probes while the primary is suspect.
pub const PROBE_INTERVAL_SUSPECT: Duration = Duration::from_millis(100);

/// How long an endpoint may take to answer a check.
pub const CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// The time between steps of a group that is neither watched nor used.
pub const STEP_INTERVAL_IDLE: Duration = Duration::from_secs(10);

/// How long a group counts as used after a request.
pub const IDLE_AFTER: Duration = Duration::from_secs(5);

/// The time between steps while requests wait.
pub const STEP_INTERVAL: Duration = Duration::from_millis(10);

/// An endpoint as the settings give it.
#[derive(Debug, Clone)]
pub struct EndpointPlan {
    /// Its name.
    pub name: Name,
    /// The one-way latency to it.
    pub distance: Duration,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is being retired.
    pub leaving: bool,
}

/// A group as the settings give it.
#[derive(Debug, Clone)]
pub struct GroupPlan {
    /// The database's name.
    pub name: Name,
    /// Its endpoints.
    pub endpoints: SmallVec<[EndpointPlan; 4]>,
    /// When a commit may be acknowledged.
    pub acknowledge: Acknowledge,
    /// What reads never go back behind.
    pub consistency: Consistency,
    /// This host's rank among the group's watchers, if it is one.
    pub rank: Option<u32>,
    /// The seed of the watcher's random choices.
    pub seed: u64,
}

/// A request that was sent and not answered.
#[derive(Debug, Clone)]
struct Sent {
    head: RequestHead,
    endpoint: EndpointIx,
    lease: Lease,
    tries: u8,
}

/// Counts of what a group did, for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Reads that replicas served.
    pub replica_reads: u64,
    /// Reads that the primary served.
    pub primary_reads: u64,
    /// Reads that some replica could have served when they were routed.
    pub replica_eligible: u64,
    /// Rounds of term checks.
    pub rounds: u64,
    /// Requests sent again.
    pub retries: u64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Requests whose outcome is unknown.
    pub unknown: u64,
    /// Attempts to promote.
    pub attempts: u64,
}

impl Counts {
    /// The counts of two groups together.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            replica_reads: self.replica_reads + other.replica_reads,
            primary_reads: self.primary_reads + other.primary_reads,
            replica_eligible: self.replica_eligible + other.replica_eligible,
            rounds: self.rounds + other.rounds,
            retries: self.retries + other.retries,
            refused: self.refused + other.refused,
            unknown: self.unknown + other.unknown,
            attempts: self.attempts + other.attempts,
        }
    }
}

/// One host's state for one group.
#[derive(Debug, Clone)]
pub struct Group {
    plan: GroupPlan,
    views: Vec<EndpointView>,
    history: History,
    rounds: Rounds,
    waiting: BTreeMap<RequestId, Waiting>,
    sent: BTreeMap<RequestId, Sent>,
    budget: RetryBudget,
    watch: Option<Watcher>,
    primary: Option<EndpointIx>,
    turn: usize,
    probed: Option<Timestamp>,
    asked: Option<Timestamp>,
    counts: Counts,
}

impl Group {
    /// A group of which nothing is known yet.
    #[must_use]
    pub fn new(plan: GroupPlan) -> Self {
        let views = plan.endpoints.iter().map(EndpointView::new).collect();
        let watch = plan.rank.map(|rank| Watcher::new(rank, plan.seed));
        Self {
            plan,
            views,
            history: History::default(),
            rounds: Rounds::default(),
            waiting: BTreeMap::new(),
            sent: BTreeMap::new(),
            budget: RetryBudget::new(),
            watch,
            primary: None,
            turn: 0,
            probed: None,
            asked: None,
            counts: Counts::default(),
        }
    }

    /// Takes an event and returns what to do.
    pub fn step(&mut self, event: Event, now: Timestamp) -> Actions {
        let mut out = Actions::new();
        match event {
            Event::Request(head) => self.ask(head, now, &mut out),
            Event::Cancel(id) => self.cancel(id, &mut out),
            Event::Answered {
                id,
                endpoint,
                answer,
            } => self.answered(id, endpoint, &answer, now, &mut out),
            Event::Lost { id, endpoint, sent } => self.lost(id, endpoint, sent, now, &mut out),
            Event::Oversized {
                id,
                endpoint,
                limit,
            } => self.oversized(id, endpoint, limit, &mut out),
            Event::Reported {
                endpoint,
                round,
                report,
            } => self.reported(endpoint, round, report, now, &mut out),
            Event::CheckFailed { endpoint, round } => {
                self.unreported(endpoint, round, now, &mut out);
            }
            Event::Leaving { endpoint, leaving } => self.set_leaving(endpoint, leaving),
            Event::Acknowledge(rule) => self.plan.acknowledge = rule,
            Event::EndpointAdded(endpoint) => self.grow(endpoint),
            Event::RankChanged(rank) => self.set_rank(rank),
            Event::Tick => self.tick(now, &mut out),
            Event::Promotion(event) => self.watch_event(event, now, &mut out),
        }
        self.open_round(now, &mut out);
        out
    }

    /// When [`Event::Tick`] is due.
    #[must_use]
    pub fn wake(&self, now: Timestamp) -> Timestamp {
        let probe = self.probed.map_or(now, |at| at + self.probe_pause(now));
        let mut wake = if self.is_watched(now) {
            probe
        } else {
            now + STEP_INTERVAL_IDLE
        };
        if !self.waiting.is_empty() || !self.sent.is_empty() || !self.rounds.open().is_empty() {
            wake = wake.min(now + STEP_INTERVAL);
        }
        if let Some(at) = self.watch.as_ref().and_then(|w| w.wake(now)) {
            wake = wake.min(at);
        }
        wake
    }

    /// What is known of each endpoint.
    #[must_use]
    pub fn views(&self) -> &[EndpointView] {
        &self.views
    }

    /// The primary and its term, if one is known.
    #[must_use]
    pub fn primary(&self) -> Option<(EndpointIx, Term)> {
        let ix = self.primary?;
        Some((ix, self.views.get(ix.index())?.mark.term))
    }

    /// The group's plan.
    #[must_use]
    pub fn plan(&self) -> &GroupPlan {
        &self.plan
    }

    /// What the group did so far.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Requests that have not ended.
    #[must_use]
    pub fn unfinished(&self) -> usize {
        self.waiting.len() + self.sent.len()
    }

    /// The watcher's present step, for `status`.
    #[must_use]
    pub fn stage(&self) -> Option<&promote::Stage> {
        self.watch.as_ref().map(|w| &w.stage)
    }
}
