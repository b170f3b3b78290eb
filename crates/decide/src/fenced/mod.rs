//! One host's decisions for a database group whose platform orders promotions and fences replaced
//! primaries.
//!
//! A replaced primary refuses writes and new transactions from the moment of the promotion. A
//! success is therefore final and needs no acknowledgement by a majority. [`FencedGroup::step`]
//! takes an event and returns the actions to carry out.

mod absent;
mod answers;
mod closing;
mod dispatch;
mod events;
mod hopeless;
mod limits;
mod members;
mod membership;
mod order;
mod pausing;
mod requests;
mod samples;
mod succession;
mod survey;
mod workspaces;

use std::{collections::BTreeMap, time::Duration};

use goldcrest_types::{
    ConnectionId, EndpointIx, Guard, Kind, Lease, Name, NotRun, RequestHead, RequestId, Timestamp,
    TxStart,
};
use smallvec::SmallVec;

use self::{
    absent::Absent, hopeless::ServiceRate, members::ConnectionState, requests::ABANDONED_LIMIT,
    samples::Samples, succession::Succession,
};
pub use self::{
    events::{Action, Actions, Assignment, Event, Eviction, MemberInfo},
    hopeless::Estimate,
    members::Member,
    succession::LEASE_USE,
};
use crate::retry::RetryBudget;

/// Interval between samples of the leader's position while replicas serve reads. A third of the
/// shortest staleness in use (1.5 s), so that one lost sample affects no read.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between samples while a read waits for one. Reads that arrive within it share a sample.
const URGENT_SAMPLE_INTERVAL: Duration = Duration::from_millis(4);

/// How long after its last read a group still counts as serving reads.
const READ_DEMAND_WINDOW: Duration = Duration::from_secs(3);

/// Interval between probes of the endpoints while no leader is known.
const SEARCH_INTERVAL: Duration = Duration::from_millis(100);

/// How long a connection may stay idle before it is closed.
const IDLE_LIMIT: Duration = Duration::from_secs(12);

/// How long a read may stay unanswered before it is retried at another endpoint. Longer than the
/// slowest statement in use (140 ms) takes when it waits for another one like it.
const READ_RETRY_TIMEOUT: Duration = Duration::from_millis(350);

/// An event that comes this much later than it was due shows that this host stood still.
const STALL_LIMIT: Duration = Duration::from_millis(100);

/// How long answers are awaited after this host stood still, even past their time limits: they may
/// have arrived meanwhile.
const RESUME_MARGIN: Duration = Duration::from_millis(100);

/// Configuration of a group.
#[derive(Debug, Clone)]
pub struct GroupConfig {
    /// Name of the service.
    pub name: Name,
    /// Connections that this host may open to each endpoint.
    pub share: usize,
    /// How long a leader that is shutting down still receives writes.
    pub drain: Duration,
    /// Until then this host opens few connections to each endpoint. After a power failure an endpoint
    /// still counts the lost connections of all hosts, and what is left must do for all.
    pub settled_at: Timestamp,
    /// Whether the endpoints slow down long before they are full, so that each gets no more statements
    /// at once than it takes well.
    pub limited: bool,
}

/// A request that waits for a connection, a leader or a sufficiently fresh endpoint.
#[derive(Debug, Clone)]
struct WaitingRequest {
    head: RequestHead,
    /// A read must reflect everything that was acknowledged before this time.
    since: Timestamp,
    tx_start: TxStart,
    /// Position in the queue: requests with an earlier time are dispatched first.
    queue_key: Timestamp,
    /// Whether an earlier attempt may have run.
    maybe_run: bool,
    attempts: u8,
    /// Endpoints at which the request failed before.
    avoid: SmallVec<[EndpointIx; 2]>,
    /// Why the request has not run yet.
    reason: NotRun,
    /// Whether an endpoint's limit of concurrent statements has made it wait.
    held_back: bool,
}

/// A request that was sent to an endpoint and has no answer yet.
#[derive(Debug, Clone)]
struct RunningRequest {
    request: WaitingRequest,
    endpoint: EndpointIx,
    connection: ConnectionId,
    lease: Lease,
    guard: Guard,
    sent_at: Timestamp,
}

/// Counters of a group, for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Statements that were answered.
    pub answered: u64,
    /// Reads answered by an endpoint other than the known leader.
    pub replica_reads: u64,
    /// Reads answered by the leader.
    pub primary_reads: u64,
    /// Statements that an endpoint did not run because its log lacks the required position.
    pub behind: u64,
    /// Statements that an endpoint did not run because all of its slots were in use.
    pub busy: u64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Those of them that were refused at their arrival.
    pub refused_early: u64,
    /// Requests whose outcome is unknown.
    pub unknown: u64,
    /// Connections opened.
    pub opened: u64,
    /// Idle connections closed in favour of another workspace.
    pub evicted: u64,
    /// Times that an endpoint's limit of concurrent statements was lowered.
    pub limits_lowered: u64,
    /// Times that an endpoint's limit of concurrent statements was raised.
    pub limits_raised: u64,
    /// Requests that waited because of such a limit.
    pub held_back: u64,
    /// Connections that an endpoint rejected because it was at its connection limit.
    pub full: u64,
    /// Connections lost.
    pub lost: u64,
    /// Promotions that this host ordered.
    pub promotions: u64,
    /// Times that an endpoint sent data that was not asked for.
    pub unrequested: u64,
    /// Answers that an endpoint gave again.
    pub repeated: u64,
    /// Answers that did not fit their message.
    pub mismatched: u64,
    /// Answers that did not follow the protocol.
    pub malformed: u64,
    /// Errors that could not be told from copies of earlier ones.
    pub unverified: u64,
}

/// One host's state of one group.
#[derive(Debug, Clone)]
pub struct FencedGroup {
    config: GroupConfig,
    members: Vec<Member>,
    samples: Samples,
    /// The endpoint that this host takes for the primary.
    leader: Option<EndpointIx>,
    /// Time at which the leader was last lost.
    leaderless_since: Timestamp,
    /// When the endpoints were last probed for the leader.
    last_search: Timestamp,
    /// When the leader was last probed for a sample.
    last_sample: Timestamp,
    /// When the last read arrived.
    last_read: Option<Timestamp>,
    /// The workspace of the last request, for which connections are opened that no request waits for.
    last_workspace: Name,
    /// Time since which there has been demand for a leader.
    demand_since: Option<Timestamp>,
    waiting: Vec<WaitingRequest>,
    running: BTreeMap<RequestId, RunningRequest>,
    succession: Succession,
    /// Connections to an endpoint that may be opened beyond the share.
    borrowable: usize,
    /// Connections that may be opened to each endpoint until `settled_at`.
    settling: usize,
    /// Whether a leader that is shutting down is replaced even without requests.
    replaces_leaving: bool,
    /// Replicas that have received a commit before it is acknowledged.
    sync_replicas: usize,
    /// Replicas that discovery has dropped and that may hold commits which no listed one holds.
    absent: SmallVec<[Absent; 2]>,
    budget: RetryBudget,
    /// Moving average of the time that a database's statements take at an endpoint.
    costs: BTreeMap<Name, Duration>,
    /// The rates of service of requests that only the leader may run, and of the others.
    rates: [ServiceRate; 2],
    last_estimate: Option<Estimate>,
    counts: Counts,
    next_connection: u64,
    next_member: u16,
    /// When the next event is due at the latest. A later event shows that this host stood still.
    due: Option<Timestamp>,
    /// When this host last continued after it stood still.
    resumed_at: Timestamp,
}

impl FencedGroup {
    /// Creates a group without endpoints.
    #[must_use]
    pub fn new(config: GroupConfig) -> Self {
        Self {
            config,
            members: Vec::new(),
            samples: Samples::default(),
            leader: None,
            leaderless_since: Timestamp::ZERO,
            last_search: Timestamp::ZERO,
            last_sample: Timestamp::ZERO,
            last_read: None,
            last_workspace: Name::new(),
            demand_since: None,
            waiting: Vec::new(),
            running: BTreeMap::new(),
            succession: Succession::default(),
            borrowable: 0,
            settling: 1,
            replaces_leaving: true,
            sync_replicas: 0,
            absent: SmallVec::new(),
            budget: RetryBudget::new(),
            costs: BTreeMap::new(),
            rates: <[ServiceRate; 2]>::default(),
            last_estimate: None,
            counts: Counts::default(),
            next_connection: 0,
            next_member: 0,
            due: None,
            resumed_at: Timestamp::ZERO,
        }
    }

    /// Processes an event and returns the actions to carry out.
    pub fn step(&mut self, event: Event, now: Timestamp) -> Actions {
        let mut out = Actions::new();
        if self.due.is_some_and(|due| now > due + STALL_LIMIT) {
            self.resumed_at = now;
        }
        match event {
            Event::Request(head, tx_start) => self.accept_request(head, tx_start, now, &mut out),
            Event::Cancel(id) => self.cancel(id, &mut out),
            Event::Release(endpoint, lease) => self.release(endpoint, lease, now, &mut out),
            Event::Connection(id, notice) => self.handle_notice(id, notice, now, &mut out),
            Event::Members(discovered) => self.update_members(discovered, now, &mut out),
            Event::Assign(assignment) => self.assign(assignment),
            Event::Store(notice) => self.handle_store_notice(notice, now, &mut out),
            Event::Tick => {}
        }
        self.demand_since = self
            .has_demand(now)
            .then(|| self.demand_since.unwrap_or(now));
        self.assume_leader();
        self.expire(now, &mut out);
        self.advance_succession(now, &mut out);
        self.resume_replicas(now, &mut out);
        self.dispatch_waiting(now, &mut out);
        self.record_queues(now);
        self.probe_leader(now, &mut out);
        self.close_idle(now, &mut out);
        self.close_abandoned(now, &mut out);
        self.remove_unlisted(now);
        self.due = Some(self.wake(now));
        out
    }

    /// Returns the time at which [`Event::Tick`] is due.
    #[must_use]
    pub fn wake(&self, now: Timestamp) -> Timestamp {
        let mut wake = now + IDLE_LIMIT;
        for request in &self.waiting {
            wake = wake.min(request.head.start_by);
        }
        for run in self.running.values() {
            wake = wake.min(self.expiry(run));
        }
        let abandoned = self
            .members
            .iter()
            .filter_map(|m| m.abandoned_deadline(ABANDONED_LIMIT));
        wake = abandoned.fold(wake, Timestamp::min);
        if !self.waiting.is_empty() {
            let retries = self.members.iter().map(Member::available_at);
            let next = retries.filter(|at| *at > now).min();
            wake = next.map_or(wake, |at| wake.min(at));
        }
        if self.has_recent_reads(now) {
            wake = wake.min(self.last_sample + SAMPLE_INTERVAL);
        }
        if self.needs_sample() {
            wake = wake.min(self.last_sample + URGENT_SAMPLE_INTERVAL);
        }
        if self.needs_search(now) && self.has_demand(now) {
            wake = wake.min(self.last_search + SEARCH_INTERVAL);
        }
        if let Some(at) = self.absent_wake() {
            wake = wake.min(at);
        }
        if let Some(at) = self.succession_wake(now) {
            wake = wake.min(at);
        }
        wake.max(now + MIN_TICK_INTERVAL)
    }

    /// Returns the configuration.
    #[must_use]
    pub fn config(&self) -> &GroupConfig {
        &self.config
    }

    /// Returns the known endpoints.
    #[must_use]
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns the counters.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the number of waiting and of running requests.
    #[must_use]
    pub fn load(&self) -> (usize, usize) {
        (self.waiting.len(), self.running.len())
    }

    /// Returns the number of connections to the leader that are in use or waited for.
    #[must_use]
    pub fn need(&self) -> u32 {
        let in_use = self.leader().map_or(0, Member::in_use);
        let waiting = self.waiting.iter().filter(|w| !w.allows_replica()).count();
        in_use + u32::try_from(waiting).unwrap_or(u32::MAX)
    }

    /// Returns the endpoint that this host takes for the primary, or `None` if none is known.
    #[must_use]
    pub fn leader(&self) -> Option<&Member> {
        self.member(self.leader?)
    }

    /// Returns the time since the newest sample of the leader was requested, or `None` without a
    /// sample.
    #[must_use]
    pub fn sample_age(&self, now: Timestamp) -> Option<Duration> {
        self.samples
            .newest()
            .map(|(requested_at, _)| now.since(requested_at))
    }

    pub(super) fn member(&self, ix: EndpointIx) -> Option<&Member> {
        self.members.iter().find(|m| m.ix == ix)
    }

    pub(super) fn member_mut(&mut self, ix: EndpointIx) -> Option<&mut Member> {
        self.members.iter_mut().find(|m| m.ix == ix)
    }

    fn assign(&mut self, assignment: Assignment) {
        self.config.share = assignment.connections;
        self.borrowable = assignment.borrowable;
        self.settling = assignment.settling;
        self.replaces_leaving = assignment.replaces_leaving;
        self.sync_replicas = assignment.sync_replicas;
    }

    /// Returns the number of connections that this host may open to an endpoint.
    fn share_at(&self, now: Timestamp) -> usize {
        let limit = if now < self.config.settled_at {
            self.settling
        } else {
            usize::MAX
        };
        self.config.share.min(limit)
    }

    /// Returns when the wait for a running request's answer ends; it is then retried or refused.
    fn expiry(&self, run: &RunningRequest) -> Timestamp {
        run.expiry().max(self.resumed_at + RESUME_MARGIN)
    }

    /// Returns the endpoint of a connection.
    fn endpoint_of(&self, connection: ConnectionId) -> Option<EndpointIx> {
        let mut members = self.members.iter();
        let member = members.find(|m| m.connections.iter().any(|c| c.id == connection));
        member.map(|m| m.ix)
    }

    fn set_state(&mut self, connection: ConnectionId, state: ConnectionState) {
        for member in &mut self.members {
            if let Some(found) = member.connection(connection) {
                found.state = state;
            }
        }
    }

    fn drop_connection(&mut self, connection: ConnectionId) {
        for member in &mut self.members {
            member.connections.retain(|c| c.id != connection);
        }
    }

    /// Whether the group serves reads at present. If so, it needs samples of the leader.
    fn has_recent_reads(&self, now: Timestamp) -> bool {
        self.last_read
            .is_some_and(|at| now.since(at) < READ_DEMAND_WINDOW)
    }

    /// Whether a read waits for a newer sample of the leader.
    fn needs_sample(&self) -> bool {
        let newest = self.samples.newest().map(|(requested_at, _)| requested_at);
        let reads = self.waiting.iter().filter(|w| w.allows_replica());
        reads.map(|w| w.since).max() > newest
    }

    /// Whether recent reads, waiting requests or a running succession need a leader.
    fn has_demand(&self, now: Timestamp) -> bool {
        self.has_recent_reads(now) || !self.waiting.is_empty() || self.succession.is_active()
    }
}

/// Shortest interval between two ticks.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(2);

impl WaitingRequest {
    /// Whether an endpoint other than the leader may serve the request.
    fn allows_replica(&self) -> bool {
        self.head.kind != Kind::Write && self.tx_start != TxStart::ReadWrite
    }
}

impl RunningRequest {
    /// Returns when the wait for the answer ends; the request is then retried or refused.
    fn expiry(&self) -> Timestamp {
        if self.may_retry_elsewhere() {
            return self
                .request
                .head
                .deadline
                .min(self.sent_at + READ_RETRY_TIMEOUT);
        }
        self.request.head.deadline
    }

    /// Whether the request is a read outside a transaction, which may be retried at another
    /// endpoint.
    fn may_retry_elsewhere(&self) -> bool {
        let head = &self.request.head;
        head.kind == Kind::Read && head.pin.is_none()
    }
}
