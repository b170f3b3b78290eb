//! What is known of each endpoint, and its connections.

use std::time::Duration;

use goldcrest_types::{ConnectionId, EndpointIx, Lease, Mark, Name, RequestId, Timestamp};
use smallvec::SmallVec;

use super::MemberInfo;

/// The service time that an endpoint is taken to need before any is known. Between the mean times
/// of the kinds of work in use (2.5 to 13 ms).
const SERVICE_START: Duration = Duration::from_millis(8);

/// A new service time counts one part in this many.
const SERVICE_WEIGHT: u32 = 8;

/// The first pause before an endpoint that failed is tried again; each failure doubles it.
const RETRY_FIRST: Duration = Duration::from_millis(100);

/// The longest such pause.
const RETRY_LAST: Duration = Duration::from_millis(800);

/// How long an endpoint that trails is passed over for reads that it is not expected to serve.
/// Short enough to find within a few statements that it has caught up.
const BEHIND_FOR: Duration = Duration::from_millis(150);

/// How long it is passed over at least: about two pieces of work.
const BEHIND_LEAST: Duration = Duration::from_millis(25);

/// How long a full endpoint gets no further connection.
const FULL_FOR: Duration = Duration::from_millis(400);

/// How long an endpoint without a free slot is passed over: about two pieces of work.
const BUSY_FOR: Duration = Duration::from_millis(25);

/// What a connection does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LinkState {
    /// It is being set up.
    Opening,
    /// It waits for work, since this moment.
    Idle(Timestamp),
    /// It runs a statement.
    Busy(RequestId, Lease),
    /// It waits for the next statement of a transaction.
    Held(Lease),
    /// It runs a statement, sent at this moment, whose answer nobody waits for any longer.
    Abandoned(Timestamp),
    /// It carries a question of the group's own, sent at this moment.
    Own(Timestamp),
}

#[derive(Debug, Clone)]
pub(super) struct Link {
    pub id: ConnectionId,
    pub state: LinkState,
}

/// An endpoint.
#[derive(Debug, Clone)]
pub struct Member {
    /// As discovery gives it.
    pub info: MemberInfo,
    /// Its index, which no other endpoint of the group gets.
    pub ix: EndpointIx,
    /// The position that it last told.
    pub mark: Option<Mark>,
    /// When it was first known to be leaving.
    pub leaving: Option<Timestamp>,
    /// When it last denied that it leads.
    pub denied: Option<Timestamp>,
    pub(super) links: SmallVec<[Link; 4]>,
    pub(super) service: Duration,
    pub(super) planned: u32,
    pub(super) failing: Option<Timestamp>,
    failures: u32,
    retry: Timestamp,
    full: Timestamp,
    busy: Timestamp,
    trail: Option<Trail>,
}

/// How far an endpoint trails its leader.
#[derive(Debug, Clone, Copy)]
struct Trail {
    /// What its log held.
    reached: Mark,
    /// When it said so.
    at: Timestamp,
    /// The age of the oldest entry that it lacked then.
    lag: Duration,
}

impl Member {
    pub(super) fn new(info: MemberInfo, ix: EndpointIx, now: Timestamp) -> Self {
        Self {
            leaving: info.leaving.then_some(now),
            info,
            ix,
            mark: None,
            denied: None,
            links: SmallVec::new(),
            service: SERVICE_START,
            planned: 0,
            failing: None,
            failures: 0,
            retry: Timestamp::ZERO,
            full: Timestamp::ZERO,
            busy: Timestamp::ZERO,
            trail: None,
        }
    }

    /// The endpoint's name.
    #[must_use]
    pub fn name(&self) -> &Name {
        &self.info.name
    }

    pub(super) fn renew(&mut self, info: MemberInfo, now: Timestamp) {
        if info.leads && !self.info.leads {
            self.denied = None;
        }
        self.leaving = match (info.leaving, self.leaving) {
            (false, _) => None,
            (true, None) => Some(now),
            (true, since) => since,
        };
        self.info = info;
    }

    pub(super) fn link(&mut self, id: ConnectionId) -> Option<&mut Link> {
        self.links.iter_mut().find(|l| l.id == id)
    }

    pub(super) fn idle(&self) -> Option<ConnectionId> {
        let mut links = self.links.iter();
        let idle = links.find(|l| matches!(l.state, LinkState::Idle(_)));
        idle.map(|l| l.id)
    }

    pub(super) fn opening(&self) -> usize {
        let opening = |l: &&Link| l.state == LinkState::Opening;
        self.links.iter().filter(opening).count()
    }

    /// Statements that run here for this host.
    pub(super) fn running(&self) -> u32 {
        let busy = |l: &&Link| matches!(l.state, LinkState::Busy(..));
        u32::try_from(self.links.iter().filter(busy).count()).unwrap_or(u32::MAX)
    }

    /// Connections that carry work or a transaction.
    pub(super) fn used(&self) -> u32 {
        let used = |l: &&Link| matches!(l.state, LinkState::Busy(..) | LinkState::Held(_));
        u32::try_from(self.links.iter().filter(used).count()).unwrap_or(u32::MAX)
    }

    /// Whether a further connection may be opened, with at most `share` in all.
    pub(super) fn has_room(&self, share: usize, now: Timestamp) -> bool {
        self.links.len() < share && now >= self.full && self.answers(now)
    }

    /// Whether the endpoint may be tried.
    pub(super) fn answers(&self, now: Timestamp) -> bool {
        now >= self.retry
    }

    /// The moment at which the oldest abandoned work is given up.
    pub(super) fn abandoned_until(&self, limit: Duration) -> Option<Timestamp> {
        let since = self.links.iter().filter_map(|l| match l.state {
            LinkState::Abandoned(since) => Some(since),
            _ => None,
        });
        since.min().map(|at| at + limit)
    }

    /// How long a statement that is sent now takes until its answer is here, with some reserve.
    pub(super) fn answer_time(&self) -> Duration {
        self.info.latency * 2 + self.service * 3 / 2
    }

    /// When the endpoint may take more than now.
    pub(super) fn retry(&self) -> Timestamp {
        self.retry.max(self.full).max(self.busy)
    }

    /// Whether the endpoint is expected to lack `floor`, which the leader has held for `age`.
    pub(super) fn lacks(&self, floor: Mark, age: Duration, now: Timestamp) -> bool {
        self.trail.is_some_and(|t| {
            let told = now.since(t.at);
            let due = age > t.lag + t.lag / 4 && told >= BEHIND_LEAST;
            floor > t.reached && !due && told < BEHIND_FOR
        })
    }

    pub(super) fn is_busy(&self, now: Timestamp) -> bool {
        now < self.busy
    }

    pub(super) fn note_success(&mut self, mark: Option<Mark>) {
        self.failing = None;
        self.failures = 0;
        self.retry = Timestamp::ZERO;
        if mark.is_some() {
            self.mark = mark;
        }
    }

    pub(super) fn note_service(&mut self, took: Duration) {
        let own = took.saturating_sub(self.info.latency * 2);
        self.service = (self.service * (SERVICE_WEIGHT - 1) + own) / SERVICE_WEIGHT;
    }

    pub(super) fn note_failure(&mut self, now: Timestamp) {
        self.failing = self.failing.or(Some(now));
        let doubled = RETRY_FIRST * (1 << self.failures.min(3));
        self.failures += 1;
        self.retry = now + doubled.min(RETRY_LAST);
    }

    pub(super) fn note_full(&mut self, now: Timestamp) {
        self.full = now + FULL_FOR;
    }

    pub(super) fn note_busy(&mut self, now: Timestamp) {
        self.busy = now + BUSY_FOR;
    }

    /// Notes what the endpoint's log holds, and the age of the oldest entry that it lacks.
    pub(super) fn note_trail(&mut self, reached: Mark, lag: Option<Duration>, now: Timestamp) {
        self.trail = lag.map(|lag| Trail {
            reached,
            at: now,
            lag,
        });
    }

    /// Whether it has failed since its last success.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        self.failing.is_some()
    }

    /// The number of failures since the last success.
    pub(super) fn failures(&self) -> u32 {
        self.failures
    }
}
