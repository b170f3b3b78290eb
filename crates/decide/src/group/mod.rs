//! Routes one host's requests for one database group and tracks the group's state.
//!
//! [`Group::step`] takes an event and returns the actions to carry out. The bytes of requests and
//! answers stay with the task that drives the group; this module sees heads and marks only.

mod checks;
mod events;
mod explain;
mod replies;
mod requests;
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

/// The time between probes (periodic rounds of term checks) of a group that has a live primary and no
/// blocked requests.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// The time between probes by a standby watcher, whose rank is above 0.
pub const PROBE_INTERVAL_STANDBY: Duration = Duration::from_secs(3);

/// The time between probes while the primary is suspected or unknown.
pub const PROBE_INTERVAL_SUSPECT: Duration = Duration::from_millis(100);

/// How long an endpoint may take to answer a term check.
pub const CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// The time between steps of a group that this host neither watches nor uses.
pub const STEP_INTERVAL_IDLE: Duration = Duration::from_secs(10);

/// How long after its last request a group counts as used.
pub const IDLE_AFTER: Duration = Duration::from_secs(5);

/// The time between steps while requests or term checks are pending.
pub const STEP_INTERVAL: Duration = Duration::from_millis(10);

/// The configuration of an endpoint.
#[derive(Debug, Clone)]
pub struct EndpointPlan {
    /// Its name.
    pub name: Name,
    /// The one-way network latency to it.
    pub latency: Duration,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is being retired.
    pub leaving: bool,
}

/// The configuration of a group.
#[derive(Debug, Clone)]
pub struct GroupPlan {
    /// The database's name.
    pub name: Name,
    /// Its endpoints.
    pub endpoints: SmallVec<[EndpointPlan; 4]>,
    /// When a commit may be acknowledged.
    pub acknowledge: Acknowledge,
    /// The session guarantee for reads.
    pub consistency: Consistency,
    /// This host's rank among the group's watchers, 0 first, if it is one.
    pub rank: Option<u32>,
    /// The seed of the watcher's random number generator.
    pub seed: u64,
}

/// A request that was sent and has no answer yet.
#[derive(Debug, Clone)]
struct Sent {
    head: RequestHead,
    endpoint: EndpointIx,
    lease: Lease,
    /// How often it was sent, including this time.
    attempts: u8,
}

/// Counters of a group, for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Reads sent to replicas, outside transactions.
    pub replica_reads: u64,
    /// Reads sent to the primary, outside transactions.
    pub primary_reads: u64,
    /// Reads that at least one replica was eligible to serve when they were routed.
    pub replica_eligible: u64,
    /// Rounds of term checks.
    pub rounds: u64,
    /// Requests sent again.
    pub retries: u64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Requests whose outcome is unknown.
    pub unknown: u64,
    /// Promotion attempts.
    pub attempts: u64,
    /// Connections closed because an answer did not belong to the running request.
    pub desynchronized: u64,
}

impl Counts {
    /// The sum of two groups' counters.
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
            desynchronized: self.desynchronized + other.desynchronized,
        }
    }
}

/// What one host knows of one group, and its requests for it.
#[derive(Debug, Clone)]
pub struct Group {
    plan: GroupPlan,
    views: Vec<EndpointView>,
    history: History,
    rounds: Rounds,
    waiting: BTreeMap<RequestId, Waiting>,
    sent: BTreeMap<RequestId, Sent>,
    budget: RetryBudget,
    watcher: Option<Watcher>,
    /// The last endpoint that reported to be the primary, unless it has declined a request since.
    primary: Option<EndpointIx>,
    /// Rotates reads among equally ranked endpoints.
    rotation: usize,
    /// When the last round of term checks started.
    probed_at: Option<Timestamp>,
    /// When the last request arrived.
    requested_at: Option<Timestamp>,
    counts: Counts,
}

impl Group {
    /// Creates a group of which only the configuration is known.
    #[must_use]
    pub fn new(plan: GroupPlan) -> Self {
        let views = plan.endpoints.iter().map(EndpointView::new).collect();
        let watcher = plan.rank.map(|rank| Watcher::new(rank, plan.seed));
        Self {
            plan,
            views,
            history: History::default(),
            rounds: Rounds::default(),
            waiting: BTreeMap::new(),
            sent: BTreeMap::new(),
            budget: RetryBudget::new(),
            watcher,
            primary: None,
            rotation: 0,
            probed_at: None,
            requested_at: None,
            counts: Counts::default(),
        }
    }

    /// Processes an event and returns the actions to carry out.
    pub fn step(&mut self, event: Event, now: Timestamp) -> Actions {
        let mut out = Actions::new();
        match event {
            Event::Request(head) => self.on_request(head, now, &mut out),
            Event::Cancel(id) => self.cancel(id, &mut out),
            Event::Answered {
                id,
                endpoint,
                answer,
            } => self.on_answer(id, endpoint, &answer, now, &mut out),
            Event::Lost { id, endpoint, sent } => self.on_loss(id, endpoint, sent, now, &mut out),
            Event::Oversized {
                id,
                endpoint,
                limit,
            } => self.on_oversized(id, endpoint, limit, &mut out),
            Event::Desynchronized => self.counts.desynchronized += 1,
            Event::Reported {
                endpoint,
                round,
                report,
            } => self.on_report(endpoint, round, report, now, &mut out),
            Event::CheckFailed { endpoint, round } => {
                self.on_check_failed(endpoint, round, now, &mut out);
            }
            Event::Leaving { endpoint, leaving } => self.set_leaving(endpoint, leaving),
            Event::Acknowledge(rule) => self.plan.acknowledge = rule,
            Event::EndpointAdded(endpoint) => self.add_endpoint(endpoint),
            Event::RankChanged(rank) => self.set_rank(rank),
            Event::Tick => self.on_tick(now, &mut out),
            Event::Promotion(event) => self.step_watcher(event, now, &mut out),
        }
        self.start_round_if_due(now, &mut out);
        out
    }

    /// When [`Event::Tick`] must be delivered at the latest.
    #[must_use]
    pub fn wake(&self, now: Timestamp) -> Timestamp {
        let probe = self
            .probed_at
            .map_or(now, |at| at + self.probe_interval(now));
        let mut wake = if self.is_watched(now) {
            probe
        } else {
            now + STEP_INTERVAL_IDLE
        };
        if !self.waiting.is_empty() || !self.sent.is_empty() || !self.rounds.open().is_empty() {
            wake = wake.min(now + STEP_INTERVAL);
        }
        if let Some(at) = self.watcher.as_ref().and_then(|w| w.wake(now)) {
            wake = wake.min(at);
        }
        wake
    }

    /// The last known state of each endpoint.
    #[must_use]
    pub fn views(&self) -> &[EndpointView] {
        &self.views
    }

    /// The primary and its term, if known.
    #[must_use]
    pub fn primary(&self) -> Option<(EndpointIx, Term)> {
        let ix = self.primary?;
        Some((ix, self.views.get(ix.index())?.mark.term))
    }

    /// The group's configuration.
    #[must_use]
    pub fn plan(&self) -> &GroupPlan {
        &self.plan
    }

    /// The group's counters since it was created.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// The number of requests that wait or are sent and not answered.
    #[must_use]
    pub fn unfinished(&self) -> usize {
        self.waiting.len() + self.sent.len()
    }

    /// The promotion watcher's stage, if this host watches the group.
    #[must_use]
    pub fn stage(&self) -> Option<&promote::Stage> {
        self.watcher.as_ref().map(|w| &w.stage)
    }
}
