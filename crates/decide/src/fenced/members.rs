//! State of each endpoint and of the connections to it.

use std::time::Duration;

use goldcrest_types::{ConnectionId, EndpointIx, Lease, Mark, Name, RequestId, Timestamp};
use smallvec::SmallVec;

use super::MemberInfo;
use crate::concurrency::Limit;

/// Assumed service time of an endpoint before any measurement. Between the mean times of the kinds
/// of statements in use (2.5 to 13 ms).
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(8);

/// Weight of the moving average of service times: a new value counts one part in this many.
const SERVICE_TIME_SMOOTHING: u32 = 8;

/// Pause after the first failure of an endpoint; each further failure doubles it.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Upper limit of the pause after failures.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(800);

/// Maximum time for which a lagging endpoint is skipped for reads that it is not expected to serve.
/// Short enough to notice within a few statements that it has caught up.
const MAX_BEHIND_PAUSE: Duration = Duration::from_millis(150);

/// Minimum time for which a lagging endpoint is skipped: about two statements.
const MIN_BEHIND_PAUSE: Duration = Duration::from_millis(25);

/// How long no further connection is opened to an endpoint that has reached its connection limit.
const FULL_PAUSE: Duration = Duration::from_millis(400);

/// How long no connection beyond the share is opened after the endpoint reached its limit.
const BORROW_PAUSE: Duration = Duration::from_secs(2);

/// Interval between two connections that are opened beyond the share.
const BORROW_INTERVAL: Duration = Duration::from_millis(50);

/// How long requests must have waited for an endpoint before connections beyond the share are opened
/// to it. Shorter queues come and go.
const BORROW_AFTER: Duration = Duration::from_millis(200);

/// An endpoint whose statements take this many times as long as usual has no free slots, and further
/// connections would only move the queue to the endpoint.
const SATURATED_FACTOR: u32 = 2;

/// The usual service time follows slower answers by one part in this many.
const USUAL_TIME_DRIFT: u32 = 256;

/// How long a connection beyond the share may be idle before it is closed. Hosts that start after a
/// power failure need the room.
pub(super) const BORROW_IDLE: Duration = Duration::from_millis(500);

/// How long an endpoint without a free slot is skipped: about two statements.
const BUSY_PAUSE: Duration = Duration::from_millis(25);

/// State of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ConnectionState {
    /// It is being set up.
    Opening,
    /// It has been idle since this time.
    Idle(Timestamp),
    /// It runs a statement.
    Busy(RequestId, Lease),
    /// It is reserved for the next statement of an open transaction.
    Held(Lease),
    /// It runs a statement, sent at this time, whose request was refused or is retried elsewhere.
    Abandoned(Timestamp),
    /// It runs a probe, report or rollback of the group itself, sent at this time.
    Internal(Timestamp),
}

#[derive(Debug, Clone)]
pub(super) struct Connection {
    pub id: ConnectionId,
    /// The workspace for which it was opened: it runs nothing of another one.
    pub workspace: Name,
    pub state: ConnectionState,
    /// Whether an answer on it can't be relied on.
    pub faulty: bool,
    /// Whether a message on it was answered.
    pub answered: bool,
}

impl Connection {
    pub(super) fn is_idle(&self) -> bool {
        matches!(self.state, ConnectionState::Idle(_)) && !self.faulty
    }
}

/// An endpoint of the group.
#[derive(Debug, Clone)]
pub struct Member {
    /// What discovery reports about it.
    pub info: MemberInfo,
    /// Its index, unique within the group.
    pub ix: EndpointIx,
    /// The log position that it last reported, if any.
    pub mark: Option<Mark>,
    /// When discovery first reported that it is shutting down, or no longer listed it.
    pub leaving_since: Option<Timestamp>,
    /// Whether discovery no longer lists it. It gets no new work, and what it runs may end.
    pub(super) unlisted: bool,
    /// Since when it is known not to be the leader: it denied it, or another endpoint was promoted.
    /// `None` if it has claimed or proved to be the leader since.
    pub denied_at: Option<Timestamp>,
    pub(super) connections: SmallVec<[Connection; 4]>,
    /// Moving average of the time that a statement takes at the endpoint.
    pub(super) service_time: Duration,
    /// The service time while the endpoint has free slots.
    usual_time: Duration,
    /// Requests that were queued for this endpoint during the current dispatch.
    pub(super) queued: u32,
    /// The same by workspace.
    pub(super) queued_for: SmallVec<[(Name, usize); 2]>,
    /// The workspaces of requests that have waited for long and have no connection there. As many idle
    /// connections are kept for them.
    pub(super) overdue: SmallVec<[Name; 4]>,
    /// When it first failed after its last success, if it has.
    pub(super) failing_since: Option<Timestamp>,
    /// Failures since the last success.
    failures: u32,
    /// End of the pause after a failure.
    retry_at: Timestamp,
    /// End of the pause after the endpoint reached its connection limit.
    pub(super) full_until: Timestamp,
    /// Connections that this host may hold there beyond its share.
    pub(super) borrowed: usize,
    /// When another connection may be borrowed.
    borrow_at: Timestamp,
    /// Since when more requests have waited for it than there are connections.
    queue_since: Option<Timestamp>,
    /// End of the pause after the endpoint had no free slot.
    busy_until: Timestamp,
    lag_report: Option<LagReport>,
    /// How many statements of this host it takes well at once, if that is limited.
    pub(super) limit: Option<Limit>,
}

/// Replication lag of an endpoint, as of its last answer.
#[derive(Debug, Clone, Copy)]
struct LagReport {
    /// Position that its log had reached.
    reached: Mark,
    /// When it reported this.
    at: Timestamp,
    /// Age of the oldest entry that it lacked then.
    lag: Duration,
}

impl Member {
    pub(super) fn new(info: MemberInfo, ix: EndpointIx, now: Timestamp) -> Self {
        Self {
            leaving_since: info.leaving.then_some(now),
            info,
            ix,
            unlisted: false,
            mark: None,
            denied_at: None,
            connections: SmallVec::new(),
            service_time: INITIAL_SERVICE_TIME,
            usual_time: INITIAL_SERVICE_TIME,
            queued: 0,
            queued_for: SmallVec::new(),
            overdue: SmallVec::new(),
            failing_since: None,
            failures: 0,
            retry_at: Timestamp::ZERO,
            full_until: Timestamp::ZERO,
            borrowed: 0,
            borrow_at: Timestamp::ZERO,
            queue_since: None,
            busy_until: Timestamp::ZERO,
            lag_report: None,
            limit: None,
        }
    }

    /// Returns the endpoint's name.
    #[must_use]
    pub fn name(&self) -> &Name {
        &self.info.name
    }

    pub(super) fn update(&mut self, info: MemberInfo, now: Timestamp) {
        if info.claims_primary && !self.info.claims_primary {
            self.denied_at = None;
        }
        self.leaving_since = match (info.leaving, self.leaving_since) {
            (false, _) => None,
            (true, None) => Some(now),
            (true, since) => since,
        };
        self.info = info;
        self.unlisted = false;
    }

    /// Records that discovery no longer lists the endpoint. It may only be slow to report.
    pub(super) fn unlist(&mut self, now: Timestamp) {
        self.unlisted = true;
        self.leaving_since = self.leaving_since.or(Some(now));
    }

    pub(super) fn connection(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.connections.iter_mut().find(|c| c.id == id)
    }

    pub(super) fn idle(&self) -> Option<ConnectionId> {
        let mut connections = self.connections.iter();
        connections.find(|c| c.is_idle()).map(|c| c.id)
    }

    pub(super) fn opening(&self) -> usize {
        let opening = |c: &&Connection| c.state == ConnectionState::Opening;
        self.connections.iter().filter(opening).count()
    }

    /// Returns the number of statements that this host runs there.
    pub(super) fn running(&self) -> u32 {
        let busy = |c: &&Connection| matches!(c.state, ConnectionState::Busy(..));
        u32::try_from(self.connections.iter().filter(busy).count()).unwrap_or(u32::MAX)
    }

    /// Returns the number of connections that run a statement or hold a transaction.
    pub(super) fn in_use(&self) -> u32 {
        let in_use = |c: &&Connection| {
            matches!(
                c.state,
                ConnectionState::Busy(..) | ConnectionState::Held(_)
            )
        };
        u32::try_from(self.connections.iter().filter(in_use).count()).unwrap_or(u32::MAX)
    }

    /// Whether another connection may be opened, given a limit of `share` connections.
    pub(super) fn may_open(&self, share: usize, now: Timestamp) -> bool {
        let limit = share + self.borrowed;
        let open = self.connections.len();
        open < limit && !self.unlisted && now >= self.full_until && self.may_try(now)
    }

    /// Allows one more connection beyond the share, up to `limit` of them, if more requests wait
    /// than there are connections.
    ///
    /// Shares follow the demand only within seconds. Until then connections that other hosts do not
    /// use serve the queue of a host that has become busy, as long as the endpoint has free slots.
    pub(super) fn borrow_connection(&mut self, share: usize, limit: usize, now: Timestamp) {
        if self.queued as usize <= self.connections.len() {
            return;
        }
        let since = *self.queue_since.get_or_insert(now);
        let used_up = self.connections.len() >= share + self.borrowed && self.idle().is_none();
        let due = now >= self.borrow_at && now.since(since) >= BORROW_AFTER;
        if used_up && due && self.borrowed < limit && !self.is_saturated() {
            self.borrowed += 1;
            self.borrow_at = now + BORROW_INTERVAL;
        }
    }

    /// Whether more connections may be opened to a usable endpoint, up to `limit` of them.
    pub(super) fn may_grow(&self, limit: usize) -> bool {
        !self.unlisted
            && !self.is_failing()
            && self.connections.len() < limit
            && !self.is_saturated()
    }

    /// Records that no request waits for the endpoint any more.
    pub(super) fn queue_ended(&mut self, share: usize) {
        self.queue_since = None;
        self.return_connections(share);
    }

    /// Gives up the part of the borrowed connections that is not open.
    fn return_connections(&mut self, share: usize) {
        self.borrowed = self
            .borrowed
            .min(self.connections.len().saturating_sub(share));
    }

    /// Whether the pause after a failure is over.
    pub(super) fn may_try(&self, now: Timestamp) -> bool {
        now >= self.retry_at
    }

    /// Returns when the connection of the oldest abandoned statement is to be closed.
    pub(super) fn abandoned_deadline(&self, limit: Duration) -> Option<Timestamp> {
        let since = self.connections.iter().filter_map(|c| match c.state {
            ConnectionState::Abandoned(since) => Some(since),
            _ => None,
        });
        since.min().map(|at| at + limit)
    }

    /// Estimates the time from sending a statement to its answer, with a margin of half the service
    /// time.
    pub(super) fn answer_time(&self) -> Duration {
        self.info.latency * 2 + self.service_time * 3 / 2
    }

    /// Returns the end of the current pauses.
    pub(super) fn available_at(&self) -> Timestamp {
        self.retry_at.max(self.full_until).max(self.busy_until)
    }

    /// Whether the endpoint is expected to lack `floor`, which the leader reached `age` ago.
    pub(super) fn likely_lacks(&self, floor: Mark, age: Duration, now: Timestamp) -> bool {
        self.lag_report.is_some_and(|t| {
            let elapsed = now.since(t.at);
            let due = age > t.lag + t.lag / 4 && elapsed >= MIN_BEHIND_PAUSE;
            floor > t.reached && !due && elapsed < MAX_BEHIND_PAUSE
        })
    }

    pub(super) fn is_busy(&self, now: Timestamp) -> bool {
        now < self.busy_until
    }

    pub(super) fn record_success(&mut self, mark: Option<Mark>) {
        self.failing_since = None;
        self.failures = 0;
        self.retry_at = Timestamp::ZERO;
        if mark.is_some() {
            self.mark = mark;
        }
    }

    pub(super) fn record_service_time(&mut self, elapsed: Duration) {
        let service_time = elapsed.saturating_sub(self.info.latency * 2);
        self.service_time = (self.service_time * (SERVICE_TIME_SMOOTHING - 1) + service_time)
            / SERVICE_TIME_SMOOTHING;
        let drifted = self.usual_time + self.usual_time / USUAL_TIME_DRIFT;
        self.usual_time = drifted.min(self.service_time);
    }

    fn is_saturated(&self) -> bool {
        self.service_time > self.usual_time * SATURATED_FACTOR
    }

    pub(super) fn record_failure(&mut self, now: Timestamp) {
        self.failing_since = self.failing_since.or(Some(now));
        let doubled = MIN_RETRY_PAUSE * (1 << self.failures.min(3));
        self.failures += 1;
        self.retry_at = now + doubled.min(MAX_RETRY_PAUSE);
    }

    /// Pauses after a connection that was of no use. The endpoint answers, so it has not failed.
    pub(super) fn record_useless(&mut self, now: Timestamp) {
        self.retry_at = now + MIN_RETRY_PAUSE;
    }

    pub(super) fn record_full(&mut self, share: usize, now: Timestamp) {
        self.full_until = now + FULL_PAUSE;
        self.return_connections(share);
        self.borrow_at = now + BORROW_PAUSE;
    }

    pub(super) fn record_busy(&mut self, now: Timestamp) {
        self.busy_until = now + BUSY_PAUSE;
    }

    /// Records the position that the endpoint's log reached, and the age of the oldest entry that
    /// it lacks.
    pub(super) fn record_lag(&mut self, reached: Mark, lag: Option<Duration>, now: Timestamp) {
        self.lag_report = lag.map(|lag| LagReport {
            reached,
            at: now,
            lag,
        });
    }

    /// Whether the endpoint has failed since its last success.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        self.failing_since.is_some()
    }

    /// Returns the number of failures since the last success.
    pub(super) fn failures(&self) -> u32 {
        self.failures
    }
}
