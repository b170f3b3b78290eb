//! Dispatches waiting requests to endpoints and connections, and probes for the leader.

use std::time::Duration;

use goldcrest_types::{ConnectionId, EndpointIx, Guard, Lease, Mark, Name, NotRun, Timestamp};
use smallvec::SmallVec;

use super::{
    Action, Actions, FencedGroup, Member, RunningRequest, SAMPLE_INTERVAL, SEARCH_INTERVAL,
    URGENT_SAMPLE_INTERVAL, WaitingRequest,
    members::{Connection, ConnectionState},
    succession::SUSPECT_AFTER,
};

/// Penalty for a read at the leader, which keeps the leader's slots free for writes.
const LEADER_COST: Duration = Duration::from_millis(12);

/// Expected delay of a first connection: its set-up occupies a slot of the endpoint for 12 to 27
/// ms, plus a round trip.
const OPEN_COST: Duration = Duration::from_millis(25);

/// Penalty for an endpoint at which the same request failed before. High enough to prefer any other
/// endpoint.
const FAILED_COST: Duration = Duration::from_secs(1);

/// The expected answer time is capped at this fraction of a request's total time, so that an
/// endpoint that was slow for a while is tried again.
const ANSWER_TIME_DIVISOR: u32 = 4;

/// Maximum number of connections to one endpoint that are set up for one workspace at the same time.
const OPENING_LIMIT: usize = 2;

/// Maximum number of connections to one endpoint that are set up at the same time. Each occupies a
/// slot.
const TOTAL_OPENING_LIMIT: usize = 4;

/// How long a request waits before it takes a connection from a workspace that is using it. Shorter
/// waits end with a connection of its own that becomes free.
const OVERDUE_AFTER: Duration = Duration::from_millis(50);

/// Where a request is dispatched to.
enum Dispatch {
    /// Runs on this connection.
    Run(EndpointIx, ConnectionId, Guard),
    /// Waits for a connection to this endpoint.
    Queue(EndpointIx),
    /// No endpoint can serve the request at present, for this reason.
    Blocked(NotRun),
    /// No endpoint can answer before the deadline.
    Late,
}

impl FencedGroup {
    /// Dispatches waiting requests in the order of the queue.
    pub(super) fn dispatch_waiting(&mut self, now: Timestamp, out: &mut Actions) {
        for member in &mut self.members {
            member.clear_queue();
        }
        if self.waiting.is_empty() {
            return;
        }
        let waiting = std::mem::take(&mut self.waiting);
        let mut unopened: SmallVec<[(EndpointIx, Name); 4]> = SmallVec::new();
        for mut request in waiting {
            match self.choose_endpoint(&request, now) {
                Dispatch::Run(endpoint, connection, guard) => {
                    let lease = Lease(request.head.id.0);
                    let run = RunningRequest {
                        request,
                        endpoint,
                        connection,
                        lease,
                        guard,
                        sent_at: now,
                    };
                    self.run(run, out);
                }
                Dispatch::Queue(endpoint) => {
                    if !self.queue_at(endpoint, &mut request, now, out) {
                        unopened.push((endpoint, request.head.workspace.clone()));
                    }
                    request.reason = NotRun::Late;
                    self.waiting.push(request);
                }
                Dispatch::Late => self.refuse_waiting(&request, NotRun::Late, out),
                Dispatch::Blocked(reason) => {
                    request.reason = reason;
                    self.waiting.push(request);
                }
            }
        }
        for (endpoint, workspace) in unopened {
            self.replace_connection(endpoint, &workspace, now, out);
        }
    }

    /// Chooses the endpoint with the lowest expected cost.
    fn choose_endpoint(&self, request: &WaitingRequest, now: Timestamp) -> Dispatch {
        let floor = self
            .read_floor(request)
            .filter(|_| request.allows_replica());
        if floor.is_none() && request.allows_replica() {
            return Dispatch::Blocked(self.blocked_reason(floor));
        }
        let best = self
            .members
            .iter()
            .filter(|m| self.may_serve(m, &request.head.workspace, floor, now))
            .min_by_key(|m| {
                (
                    is_late(m, request, now),
                    self.cost(m, request, floor.is_some()),
                )
            });
        let Some(member) = best else {
            return Dispatch::Blocked(self.blocked_reason(floor));
        };
        if is_late(member, request, now) {
            return Dispatch::Late;
        }
        let guard = match floor {
            Some(mark) => Guard::Contains(mark),
            None => Guard::None,
        };
        let idle = member.idle_for(&request.head.workspace);
        match idle.filter(|connection| member.may_use(*connection) && member.has_room()) {
            Some(connection) => Dispatch::Run(member.ix, connection, guard),
            None => Dispatch::Queue(member.ix),
        }
    }

    /// Whether an endpoint may serve a request. With a `floor`, any endpoint that is expected to
    /// contain it may; without one, only the leader.
    fn may_serve(&self, m: &Member, workspace: &Name, floor: Option<Mark>, now: Timestamp) -> bool {
        if m.is_busy(now) || (!m.may_try(now) && m.idle_for(workspace).is_none()) {
            return false;
        }
        let is_leader = self.leader == Some(m.ix);
        if let Some(since) = m.leaving_since {
            return is_leader && floor.is_none() && now.since(since) < self.config.drain;
        }
        match floor {
            Some(mark) => {
                let age = self.samples.age(mark, false, now).unwrap_or_default();
                is_leader || !m.likely_lacks(mark, age, now)
            }
            None => is_leader,
        }
    }

    /// Estimates how long a request takes at an endpoint, with penalties.
    fn cost(&self, m: &Member, request: &WaitingRequest, read: bool) -> Duration {
        let mut cost = m.info.latency * 2 + m.service_time + m.service_time * m.running() / 2;
        if m.connections.is_empty() {
            cost += OPEN_COST;
        } else if m.idle_for(&request.head.workspace).is_none() || !m.has_room() {
            cost += m.service_time * (m.queued + 1) / m.width();
            if !m.serves(&request.head.workspace) {
                cost += OPEN_COST;
            }
        }
        if read && self.leader == Some(m.ix) {
            cost += LEADER_COST;
        }
        if request.avoid.contains(&m.ix) {
            cost += FAILED_COST;
        }
        cost
    }

    /// Why no endpoint can serve a request.
    fn blocked_reason(&self, floor: Option<Mark>) -> NotRun {
        match (floor, self.leader) {
            (Some(_), _) => NotRun::Behind,
            (None, None) => NotRun::NoPrimary,
            (None, Some(_)) => NotRun::Unreachable,
        }
    }

    /// Counts a request that waits for this endpoint, and opens a connection if that helps. Returns
    /// false if the share leaves no room for the connection that the request needs.
    fn queue_at(
        &mut self,
        endpoint: EndpointIx,
        request: &mut WaitingRequest,
        now: Timestamp,
        out: &mut Actions,
    ) -> bool {
        let (share, borrowable) = (self.share_at(now), self.borrowable);
        let workspace = &request.head.workspace.clone();
        let Some(member) = self.member_mut(endpoint) else {
            return true;
        };
        let wanted = member.count_queued(workspace);
        if !member.has_room() && member.serves(workspace) {
            // A further connection would wait for the limit, too.
            self.record_held_back(endpoint, request);
            return true;
        }
        member.borrow_connection(share, borrowable, now);
        let is_under_way = member.opening_for(workspace) >= wanted.min(OPENING_LIMIT);
        if is_under_way || member.opening() >= TOTAL_OPENING_LIMIT {
            return true;
        }
        if self.open_connection(endpoint, workspace, now, out) {
            return true;
        }
        if let Some(member) = self.member_mut(endpoint)
            && now.since(request.head.arrived) >= OVERDUE_AFTER
        {
            let limit = TOTAL_OPENING_LIMIT - member.opening();
            member.keep_idle_for(workspace, limit, now);
        }
        false
    }

    /// Opens a connection, unless this host's share is used up or the endpoint must not be tried yet.
    /// Returns whether it does.
    pub(super) fn open_connection(
        &mut self,
        endpoint: EndpointIx,
        workspace: &Name,
        now: Timestamp,
        out: &mut Actions,
    ) -> bool {
        let share = self.share_at(now);
        let id = ConnectionId(self.next_connection);
        let Some(member) = self.member_mut(endpoint) else {
            return false;
        };
        if !member.may_open(share, now) {
            return false;
        }
        member.connections.push(Connection {
            id,
            workspace: workspace.clone(),
            state: ConnectionState::Opening,
            faulty: false,
            answered: false,
        });
        self.next_connection += 1;
        out.push(Action::Open(id, endpoint, workspace.clone()));
        true
    }

    /// Closes the connection that another workspace has not used for the longest time, and opens one for
    /// this workspace instead.
    fn replace_connection(
        &mut self,
        endpoint: EndpointIx,
        workspace: &Name,
        now: Timestamp,
        out: &mut Actions,
    ) {
        let Some(member) = self.member_mut(endpoint) else {
            return;
        };
        let opening = member.opening_for(workspace) > 0 || member.opening() >= TOTAL_OPENING_LIMIT;
        if opening || !member.may_replace(now) {
            return;
        }
        let Some(eviction) = member.evict_for(workspace, now) else {
            return;
        };
        out.push(Action::Evict(eviction));
        self.counts.evicted += 1;
        self.open_connection(endpoint, workspace, now, out);
    }

    /// If no leader is known, takes for it the only endpoint that claims to be the primary and has not
    /// denied it since.
    pub(super) fn assume_leader(&mut self) {
        if self.leader.is_some() {
            return;
        }
        let mut claimants = self
            .members
            .iter()
            .filter(|m| m.info.claims_primary && m.denied_at.is_none() && !m.unlisted);
        if let (Some(only), None) = (claimants.next(), claimants.next()) {
            self.leader = Some(only.ix);
        }
    }

    /// Searches for the leader while none is known, and samples its position while replicas serve
    /// reads.
    pub(super) fn probe_leader(&mut self, now: Timestamp, out: &mut Actions) {
        let absent = self.absent_wake().is_some_and(|at| at <= now);
        if !self.has_demand(now) && !absent {
            return;
        }
        if self.needs_search(now) && now.since(self.last_search) >= SEARCH_INTERVAL {
            self.last_search = now;
            self.search_leader(now, out);
        }
        let Some(leader) = self.leader else {
            return;
        };
        let newest = self.samples.newest().map(|(requested_at, _)| requested_at);
        let age = newest.map_or(SAMPLE_INTERVAL, |requested_at| now.since(requested_at));
        let pause = if self.needs_sample() {
            URGENT_SAMPLE_INTERVAL
        } else {
            SAMPLE_INTERVAL
        };
        let old = self.needs_sample() || absent || age >= SAMPLE_INTERVAL;
        if old && now.since(self.last_sample) >= pause {
            self.last_sample = now;
            self.probe(leader, now, out);
        }
    }

    /// Whether the leader is unknown, or has been failing for so long that another host may have
    /// replaced it.
    pub(super) fn needs_search(&self, now: Timestamp) -> bool {
        let Some(leader) = self.leader() else {
            return true;
        };
        // During a succession the connections are needed for its queries.
        let free = !self.succession.is_active();
        free && leader
            .failing_since
            .is_some_and(|at| now.since(at) >= SUSPECT_AFTER)
    }

    fn search_leader(&mut self, now: Timestamp, out: &mut Actions) {
        let members = self.members.iter();
        let candidates: smallvec::SmallVec<[EndpointIx; 4]> = members
            .filter(|m| m.may_try(now) && !m.unlisted && Some(m.ix) != self.leader)
            .map(|m| m.ix)
            .collect();
        for ix in candidates {
            self.probe(ix, now, out);
        }
    }

    /// Requests a proof of leadership from an endpoint, over an idle connection or a new one.
    pub(super) fn probe(&mut self, endpoint: EndpointIx, now: Timestamp, out: &mut Actions) {
        let idle = self.member(endpoint).and_then(Member::idle);
        let Some(connection) = idle else {
            let opening = self.member(endpoint).map_or(0, Member::opening);
            if opening == 0 {
                let workspace = self.last_workspace.clone();
                self.open_connection(endpoint, &workspace, now, out);
            }
            return;
        };
        self.set_state(connection, ConnectionState::Internal(now));
        out.push(Action::Probe(connection));
    }
}

/// Whether a request that is sent now would not be answered before its deadline.
///
/// Under overload, a statement that ends too late would occupy a slot although its client has given
/// up, and leave the outcome of a write unknown.
fn is_late(m: &Member, request: &WaitingRequest, now: Timestamp) -> bool {
    let whole = request.head.deadline.since(request.head.arrived);
    let needed = m.answer_time().min(whole / ANSWER_TIME_DIVISOR);
    now + needed > request.head.deadline
}
