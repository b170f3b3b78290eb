//! Chooses the endpoint and the connection for each waiting request.

use std::time::Duration;

use goldcrest_types::{ConnectionId, EndpointIx, Guard, Lease, Mark, NotRun, Timestamp};

use super::{
    Action, Actions, Cluster, Member, Running, SAMPLE_EVERY, SAMPLE_SOON, SEARCH_EVERY, Waiting,
    members::{Link, LinkState},
    succession::SUSPECT_AFTER,
};

/// What a read at the leader costs beyond its time, so that its slots stay free for writes.
const LEADER_COST: Duration = Duration::from_millis(12);

/// What it costs to wait for a first connection: its set-up takes a slot of the endpoint for 12 to
/// 27 ms, and a round trip.
const OPEN_COST: Duration = Duration::from_millis(25);

/// What an endpoint costs that has failed the same request before: any other one goes first.
const FAILED_COST: Duration = Duration::from_secs(1);

/// The part of a request's time that its answer is expected to take at most, so that an endpoint
/// that was slow for a while is tried again.
const LATE_PART: u32 = 4;

/// Connections to one endpoint that may be set up at the same time.
const OPENING_LIMIT: usize = 2;

/// Where a request goes.
enum Place {
    /// To this connection.
    Run(EndpointIx, ConnectionId, Guard),
    /// It waits for a connection of this endpoint.
    Queue(EndpointIx),
    /// No endpoint can take it.
    Nowhere(NotRun),
    /// It would not be answered in time.
    Late,
}

impl Cluster {
    /// Gives waiting requests to connections, the most urgent first.
    pub(super) fn place_waiting(&mut self, now: Timestamp, out: &mut Actions) {
        if self.waiting.is_empty() {
            return;
        }
        for member in &mut self.members {
            member.planned = 0;
        }
        let waiting = std::mem::take(&mut self.waiting);
        for mut ask in waiting {
            match self.place(&ask, now) {
                Place::Run(endpoint, link, guard) => {
                    let lease = Lease(ask.head.id.0);
                    let run = Running {
                        ask,
                        endpoint,
                        link,
                        lease,
                        guard,
                        sent: now,
                    };
                    self.run(run, out);
                }
                Place::Queue(endpoint) => {
                    self.plan_connection(endpoint, now, out);
                    ask.cause = NotRun::Late;
                    self.waiting.push(ask);
                }
                Place::Late => self.refuse_waiting(&ask, NotRun::Late, out),
                Place::Nowhere(cause) => {
                    ask.cause = cause;
                    self.waiting.push(ask);
                }
            }
        }
    }

    fn place(&self, ask: &Waiting, now: Timestamp) -> Place {
        let floor = self.read_floor(ask).filter(|_| ask.reads());
        if floor.is_none() && ask.reads() {
            return Place::Nowhere(self.obstacle(floor));
        }
        let best = self
            .members
            .iter()
            .filter(|m| self.may_serve(m, floor, now))
            .min_by_key(|m| (is_late(m, ask, now), self.cost(m, ask, floor.is_some())));
        let Some(member) = best else {
            return Place::Nowhere(self.obstacle(floor));
        };
        if is_late(member, ask, now) {
            return Place::Late;
        }
        let guard = match floor {
            Some(mark) => Guard::Contains(mark),
            None => Guard::None,
        };
        match member.idle() {
            Some(link) => Place::Run(member.ix, link, guard),
            None => Place::Queue(member.ix),
        }
    }

    /// Whether an endpoint may serve. With a floor any endpoint may, else the leader.
    fn may_serve(&self, m: &Member, floor: Option<Mark>, now: Timestamp) -> bool {
        if m.is_busy(now) || (!m.answers(now) && m.idle().is_none()) {
            return false;
        }
        let leads = self.leader == Some(m.ix);
        if let Some(since) = m.leaving {
            return leads && floor.is_none() && now.since(since) < self.plan.drain;
        }
        match floor {
            Some(mark) => {
                let age = self.samples.age(mark, false, now).unwrap_or_default();
                leads || !m.lacks(mark, age, now)
            }
            None => leads,
        }
    }

    fn cost(&self, m: &Member, ask: &Waiting, read: bool) -> Duration {
        let links = u32::try_from(m.links.len().max(1)).unwrap_or(u32::MAX);
        let mut cost = m.info.latency * 2 + m.service + m.service * m.running() / 2;
        if m.links.is_empty() {
            cost += OPEN_COST;
        } else if m.idle().is_none() {
            cost += m.service * (m.planned + 1) / links;
        }
        if read && self.leader == Some(m.ix) {
            cost += LEADER_COST;
        }
        if ask.avoid.contains(&m.ix) {
            cost += FAILED_COST;
        }
        cost
    }

    fn obstacle(&self, floor: Option<Mark>) -> NotRun {
        match (floor, self.leader) {
            (Some(_), _) => NotRun::Behind,
            (None, None) => NotRun::NoPrimary,
            (None, Some(_)) => NotRun::Unreachable,
        }
    }

    /// Notes that a request waits for this endpoint, and opens a connection if that helps.
    fn plan_connection(&mut self, endpoint: EndpointIx, now: Timestamp, out: &mut Actions) {
        let Some(member) = self.member_mut(endpoint) else {
            return;
        };
        member.planned += 1;
        let wanted = member.planned as usize;
        if member.opening() < wanted.min(OPENING_LIMIT) {
            self.open_link(endpoint, now, out);
        }
    }

    pub(super) fn open_link(&mut self, endpoint: EndpointIx, now: Timestamp, out: &mut Actions) {
        let share = self.plan.share;
        let id = ConnectionId(self.next_link);
        let Some(member) = self.member_mut(endpoint) else {
            return;
        };
        if !member.has_room(share, now) {
            return;
        }
        member.links.push(Link {
            id,
            state: LinkState::Opening,
        });
        self.next_link += 1;
        out.push(Action::Open(id, endpoint));
    }

    /// Takes the one endpoint that says it leads for the leader, unless it has denied that.
    pub(super) fn presume_leader(&mut self) {
        if self.leader.is_some() {
            return;
        }
        let mut claimants = self
            .members
            .iter()
            .filter(|m| m.info.leads && m.denied.is_none());
        if let (Some(only), None) = (claimants.next(), claimants.next()) {
            self.leader = Some(only.ix);
        }
    }

    /// Asks for the leader where none is known, and for its position where replicas are read.
    pub(super) fn question_leader(&mut self, now: Timestamp, out: &mut Actions) {
        if !self.is_wanted(now) {
            return;
        }
        if self.seeks_leader(now) && now.since(self.searched) >= SEARCH_EVERY {
            self.searched = now;
            self.search_leader(now, out);
        }
        let Some(leader) = self.leader else {
            return;
        };
        let newest = self.samples.newest().map(|(asked, _)| asked);
        let age = newest.map_or(SAMPLE_EVERY, |asked| now.since(asked));
        let pause = if self.lacks_sample() {
            SAMPLE_SOON
        } else {
            SAMPLE_EVERY
        };
        let old = self.lacks_sample() || age >= SAMPLE_EVERY;
        if old && now.since(self.sampled) >= pause {
            self.sampled = now;
            self.probe(leader, now, out);
        }
    }

    /// Whether the leader is unknown, or silent for so long that another host may have replaced it.
    pub(super) fn seeks_leader(&self, now: Timestamp) -> bool {
        let Some(leader) = self.leader() else {
            return true;
        };
        // A survey needs the connections for its own questions.
        let free = !self.succession.is_active();
        free && leader
            .failing
            .is_some_and(|at| now.since(at) >= SUSPECT_AFTER)
    }

    fn search_leader(&mut self, now: Timestamp, out: &mut Actions) {
        let members = self.members.iter();
        let candidates: smallvec::SmallVec<[EndpointIx; 4]> = members
            .filter(|m| m.answers(now) && Some(m.ix) != self.leader)
            .map(|m| m.ix)
            .collect();
        for ix in candidates {
            self.probe(ix, now, out);
        }
    }

    /// Asks an endpoint for a proof of leadership, over an idle connection or a new one.
    pub(super) fn probe(&mut self, endpoint: EndpointIx, now: Timestamp, out: &mut Actions) {
        let idle = self.member(endpoint).and_then(Member::idle);
        let Some(link) = idle else {
            let opening = self.member(endpoint).map_or(0, Member::opening);
            if opening == 0 {
                self.open_link(endpoint, now, out);
            }
            return;
        };
        self.set_link(link, LinkState::Own(now));
        out.push(Action::Probe(link));
    }
}

/// Whether a request that is sent now would not be answered before its deadline.
///
/// Answers the load where one endpoint gets more than it can run: work that ends too late takes
/// its slot for nobody, and leaves a write in doubt.
fn is_late(m: &Member, ask: &Waiting, now: Timestamp) -> bool {
    let whole = ask.head.deadline.since(ask.head.arrived);
    let needed = m.answer_time().min(whole / LATE_PART);
    now + needed > ask.head.deadline
}
