//! One host's decisions for a database group whose platform orders promotions and fences replaced
//! primaries.
//!
//! A replaced primary refuses writes and new transactions from the moment of the promotion, so a
//! success is final and needs no majority. [`Cluster::step`] takes an event and returns what to do.

mod answers;
mod asks;
mod events;
mod members;
mod place;
mod roster;
mod samples;
mod succession;

use std::{collections::BTreeMap, time::Duration};

use goldcrest_types::{
    ConnectionId, EndpointIx, Guard, Kind, Lease, Name, NotRun, RequestHead, RequestId, Timestamp,
    TxStart,
};
use smallvec::SmallVec;

use self::{asks::ABANDONED_LIMIT, members::LinkState, samples::Samples, succession::Succession};
pub use self::{
    events::{Action, Actions, Event, Holding, MemberInfo},
    members::Member,
    succession::LEASE_USE,
};
use crate::retry::RetryBudget;

/// The time between samples of the leader while replicas are read. A third of the shortest
/// staleness in use (1.5 s), so that one lost sample costs no read.
const SAMPLE_EVERY: Duration = Duration::from_millis(500);

/// The time between samples while a read waits for one, so that one question serves the reads of
/// a moment.
const SAMPLE_SOON: Duration = Duration::from_millis(4);

/// How long a group counts as read after a read.
const READ_FOR: Duration = Duration::from_secs(3);

/// The time between questions for the leader while none is known.
const SEARCH_EVERY: Duration = Duration::from_millis(100);

/// How long a connection may wait for work before it is closed.
const IDLE_LIMIT: Duration = Duration::from_secs(12);

/// How long a read may stay unanswered before it is tried elsewhere. Above the longest single
/// piece of work in use (140 ms) behind another one.
const READ_PATIENCE: Duration = Duration::from_millis(350);

/// A group as the configuration gives it.
#[derive(Debug, Clone)]
pub struct ClusterPlan {
    /// The service's name.
    pub name: Name,
    /// Connections that this host may hold to one endpoint.
    pub share: usize,
    /// How long a leader that is leaving still gets writes.
    pub drain: Duration,
}

/// A request that waits for a connection, a leader or a fresh endpoint.
#[derive(Debug, Clone)]
struct Waiting {
    head: RequestHead,
    /// A read must hold everything that was acknowledged before this moment.
    since: Timestamp,
    opening: TxStart,
    /// Earlier turns go first.
    turn: Timestamp,
    /// Whether an earlier try may have run.
    sent: bool,
    tries: u8,
    avoid: SmallVec<[EndpointIx; 2]>,
    cause: NotRun,
}

/// A request that was sent and not answered.
#[derive(Debug, Clone)]
struct Running {
    ask: Waiting,
    endpoint: EndpointIx,
    link: ConnectionId,
    lease: Lease,
    guard: Guard,
    sent: Timestamp,
}

/// Counts of what a group did, for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Statements answered.
    pub answered: u64,
    /// Reads answered by an endpoint that was not believed to lead.
    pub replica: u64,
    /// Reads answered by the leader.
    pub primary: u64,
    /// Answers that an endpoint lacked a part of its log.
    pub behind: u64,
    /// Answers that an endpoint had no slot free.
    pub busy: u64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Requests whose outcome is unknown.
    pub unknown: u64,
    /// Connections opened.
    pub opened: u64,
    /// Connections that an endpoint had no room for.
    pub full: u64,
    /// Connections lost.
    pub lost: u64,
    /// Promotions ordered.
    pub promotions: u64,
}

/// One host's state for one group.
#[derive(Debug, Clone)]
pub struct Cluster {
    plan: ClusterPlan,
    members: Vec<Member>,
    samples: Samples,
    leader: Option<EndpointIx>,
    leaderless: Timestamp,
    searched: Timestamp,
    sampled: Timestamp,
    read: Option<Timestamp>,
    wanted: Option<Timestamp>,
    waiting: Vec<Waiting>,
    running: BTreeMap<RequestId, Running>,
    succession: Succession,
    /// Whether leaders that leave are replaced without demand.
    watches: bool,
    budget: RetryBudget,
    /// What a workspace's statements take at an endpoint.
    costs: BTreeMap<Name, Duration>,
    counts: Counts,
    next_link: u64,
    next_member: u16,
}

impl Cluster {
    /// A group of which nothing is known yet.
    #[must_use]
    pub fn new(plan: ClusterPlan) -> Self {
        Self {
            plan,
            members: Vec::new(),
            samples: Samples::default(),
            leader: None,
            leaderless: Timestamp::ZERO,
            searched: Timestamp::ZERO,
            sampled: Timestamp::ZERO,
            read: None,
            wanted: None,
            waiting: Vec::new(),
            running: BTreeMap::new(),
            succession: Succession::default(),
            watches: true,
            budget: RetryBudget::new(),
            costs: BTreeMap::new(),
            counts: Counts::default(),
            next_link: 0,
            next_member: 0,
        }
    }

    /// Takes an event and returns what to do.
    pub fn step(&mut self, event: Event, now: Timestamp) -> Actions {
        let mut out = Actions::new();
        match event {
            Event::Ask(head, opening) => self.ask(head, opening, now, &mut out),
            Event::Cancel(id) => self.cancel(id, &mut out),
            Event::Release(endpoint, lease) => self.release(endpoint, lease, now, &mut out),
            Event::Connection(link, notice) => self.connection(link, notice, now, &mut out),
            Event::Members(plans) => self.renew_members(plans, now, &mut out),
            Event::Hold(holding) => self.hold(holding),
            Event::Store(notice) => self.store_answered(notice, now, &mut out),
            Event::Tick => {}
        }
        self.wanted = self.is_wanted(now).then(|| self.wanted.unwrap_or(now));
        self.presume_leader();
        self.expire(now, &mut out);
        self.succeed(now, &mut out);
        self.place_waiting(now, &mut out);
        self.question_leader(now, &mut out);
        self.close_idle(now, &mut out);
        self.close_abandoned(now, &mut out);
        out
    }

    /// When [`Event::Tick`] is due.
    #[must_use]
    pub fn wake(&self, now: Timestamp) -> Timestamp {
        let mut wake = now + IDLE_LIMIT;
        for ask in &self.waiting {
            wake = wake.min(ask.head.start_by);
        }
        for run in self.running.values() {
            wake = wake.min(run.expiry());
        }
        let abandoned = self
            .members
            .iter()
            .filter_map(|m| m.abandoned_until(ABANDONED_LIMIT));
        wake = abandoned.fold(wake, Timestamp::min);
        if !self.waiting.is_empty() {
            let retries = self.members.iter().map(Member::retry);
            let next = retries.filter(|at| *at > now).min();
            wake = next.map_or(wake, |at| wake.min(at));
        }
        if self.is_read(now) {
            wake = wake.min(self.sampled + SAMPLE_EVERY);
        }
        if self.lacks_sample() {
            wake = wake.min(self.sampled + SAMPLE_SOON);
        }
        if self.seeks_leader(now) && self.is_wanted(now) {
            wake = wake.min(self.searched + SEARCH_EVERY);
        }
        if let Some(at) = self.succession_wake(now) {
            wake = wake.min(at);
        }
        wake.max(now + MIN_STEP)
    }

    /// The group's plan.
    #[must_use]
    pub fn plan(&self) -> &ClusterPlan {
        &self.plan
    }

    /// The endpoints.
    #[must_use]
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// What the group did so far.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Requests that wait, and requests under way.
    #[must_use]
    pub fn load(&self) -> (usize, usize) {
        (self.waiting.len(), self.running.len())
    }

    /// Connections to the leader that are in use or wanted.
    #[must_use]
    pub fn need(&self) -> u32 {
        let used = self.leader().map_or(0, Member::used);
        let waiting = self.waiting.iter().filter(|w| !w.reads()).count();
        used + u32::try_from(waiting).unwrap_or(u32::MAX)
    }

    /// The endpoint that is believed to lead.
    #[must_use]
    pub fn leader(&self) -> Option<&Member> {
        self.member(self.leader?)
    }

    /// The age of the newest sample of the leader.
    #[must_use]
    pub fn sample_age(&self, now: Timestamp) -> Option<Duration> {
        self.samples.newest().map(|(asked, _)| now.since(asked))
    }

    pub(super) fn member(&self, ix: EndpointIx) -> Option<&Member> {
        self.members.iter().find(|m| m.ix == ix)
    }

    pub(super) fn member_mut(&mut self, ix: EndpointIx) -> Option<&mut Member> {
        self.members.iter_mut().find(|m| m.ix == ix)
    }

    fn hold(&mut self, holding: Holding) {
        self.plan.share = holding.connections;
        self.watches = holding.watches;
    }

    /// The endpoint of a connection.
    fn owner(&self, link: ConnectionId) -> Option<EndpointIx> {
        let mut members = self.members.iter();
        let owner = members.find(|m| m.links.iter().any(|l| l.id == link));
        owner.map(|m| m.ix)
    }

    fn set_link(&mut self, link: ConnectionId, state: LinkState) {
        for member in &mut self.members {
            if let Some(link) = member.link(link) {
                link.state = state;
            }
        }
    }

    fn drop_link(&mut self, link: ConnectionId) {
        for member in &mut self.members {
            member.links.retain(|l| l.id != link);
        }
    }

    /// Whether replicas are read, and need samples of the leader.
    fn is_read(&self, now: Timestamp) -> bool {
        self.read.is_some_and(|at| now.since(at) < READ_FOR)
    }

    /// Whether a read waits for a newer sample of the leader.
    fn lacks_sample(&self) -> bool {
        let newest = self.samples.newest().map(|(asked, _)| asked);
        let reads = self.waiting.iter().filter(|w| w.reads());
        reads.map(|w| w.since).max() > newest
    }

    /// Whether anybody needs a leader.
    fn is_wanted(&self, now: Timestamp) -> bool {
        self.is_read(now) || !self.waiting.is_empty() || self.succession.is_active()
    }
}

/// The shortest time between two ticks.
const MIN_STEP: Duration = Duration::from_millis(2);

impl Waiting {
    /// Whether an endpoint that does not lead may serve the request.
    fn reads(&self) -> bool {
        self.head.kind != Kind::Write && self.opening != TxStart::ReadWrite
    }
}

impl Running {
    /// When the request is given up or tried elsewhere.
    fn expiry(&self) -> Timestamp {
        if self.may_move() {
            return self.ask.head.deadline.min(self.sent + READ_PATIENCE);
        }
        self.ask.head.deadline
    }

    /// Whether the request is a read that may be tried elsewhere.
    fn may_move(&self) -> bool {
        let head = &self.ask.head;
        head.kind == Kind::Read && head.pin.is_none()
    }
}
