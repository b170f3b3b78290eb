//! Simulates a group that replicates synchronously while one host can't reach its primary, which goes
//! on committing for others.

use std::time::Duration;

use goldcrest_decide::fenced::{Action, Assignment, Event, FencedGroup, GroupConfig, MemberInfo};
use goldcrest_types::{
    Claim, ConnectionId, ConnectionNotice, EndpointIx, Kind, Mark, Name, OpenError,
    ReplicationStatus, RequestId, Role, StatementResult, StoreError, StoreNotice,
    SuccessionCommand, Term, Timestamp, TxStart, TxState, Verdict,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{head, member};

/// Number of endpoints. The first one leads at first.
const ENDPOINTS: usize = 3;

/// When the simulation ends, in milliseconds.
const END_MS: u64 = 12_000;

/// How long discovery lists an endpoint that is down, in milliseconds.
const LISTED_MS: u64 = 3_600;

/// Pause between two writes of the host's own clients, in milliseconds.
const WRITE_PAUSE_MS: u64 = 100;

/// Which faults a run has, and what the host knows of the group's replication.
#[derive(Debug, Clone, Copy)]
pub struct Rule {
    /// The number of synchronous replicas that the host knows of. The group has one.
    pub sync_replicas: usize,
    /// Whether one replica is shutting down.
    pub leaving: bool,
    /// Whether one replica is out of reach for a while.
    pub unreachable: bool,
    /// Whether the first order gets no answer and is carried out late.
    pub late_order: bool,
    /// Which endpoints discovery lists.
    pub listing: Listing,
}

/// Which endpoints discovery lists.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Listing {
    /// All of them, all the time.
    Complete,
    /// One replica receives nothing for a while, and the other one is down for so long that it is dropped.
    DropsReplica,
}

/// A message that arrives at a given time.
enum Message {
    Open(ConnectionId, usize),
    Command(ConnectionId, usize, Command),
    Notice(ConnectionId, ConnectionNotice),
    Store(StoreNotice),
    Order(EndpointIx, u64),
}

#[derive(Clone, Copy)]
enum Command {
    Probe,
    Report,
    Pause(Term),
    Resume,
    Run(RequestId),
}

/// The endpoint that the host knows by an index. The near replica gets another one when it comes back.
fn endpoint_at(ix: EndpointIx) -> usize {
    let index = usize::from(ix.0);
    if index < ENDPOINTS { index } else { 1 }
}

/// The group, the host and the messages between them.
pub struct World {
    rule: Rule,
    rng: SmallRng,
    host: FencedGroup,
    now: u64,
    messages: Vec<(u64, Message)>,
    connections: Vec<(ConnectionId, usize)>,
    leader: usize,
    term: u64,
    /// Length of each endpoint's log.
    length: [u64; ENDPOINTS],
    paused: [Option<Term>; ENDPOINTS],
    /// When each entry reaches each endpoint.
    arrivals: Vec<[u64; ENDPOINTS]>,
    /// Length of the log that was acknowledged.
    acknowledged: u64,
    newest_token: u64,
    claims: u64,
    orders: u64,
    /// Until when the host can't reach each endpoint.
    cut_until: [u64; ENDPOINTS],
    /// Until when each endpoint receives nothing.
    deaf_until: [u64; ENDPOINTS],
    /// From when to when the near replica is down.
    down: (u64, u64),
    pub promotions: u32,
    pub lost: u64,
    /// Writes of the host's clients that were answered.
    pub served: u32,
}

impl World {
    pub fn new(rule: Rule, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut cut_until = [0; ENDPOINTS];
        cut_until[0] = rng.random_range(2_500..6_000);
        if rule.unreachable {
            cut_until[2] = rng.random_range(1_000..4_000);
        }
        let (mut deaf_until, mut down) = ([0; ENDPOINTS], (u64::MAX, u64::MAX));
        if rule.listing == Listing::DropsReplica {
            deaf_until[2] = rng.random_range(7_000..9_000);
            let crash = rng.random_range(300..2_000);
            down = (crash, rng.random_range(8_000..10_000));
        }
        let host = FencedGroup::new(GroupConfig {
            name: Name::from("orders"),
            share: 3,
            drain: Duration::from_secs(20),
            settled_at: Timestamp::ZERO,
            limited: false,
        });
        Self {
            rule,
            rng,
            host,
            now: 0,
            messages: Vec::new(),
            connections: Vec::new(),
            leader: 0,
            term: 1,
            length: [0; ENDPOINTS],
            paused: [None; ENDPOINTS],
            arrivals: Vec::new(),
            acknowledged: 0,
            newest_token: 0,
            claims: 0,
            orders: 0,
            cut_until,
            deaf_until,
            down,
            promotions: 0,
            lost: 0,
            served: 0,
        }
    }

    /// Runs the simulation to its end.
    pub fn run(&mut self) {
        let mut listed = vec![
            member("leader", 12, true),
            member("near", 1, false),
            member("far", 12, false),
        ];
        listed[1].leaving = self.rule.leaving;
        self.step(Event::Members(listed.clone().into()));
        self.step(Event::Assign(Assignment {
            connections: 3,
            borrowable: 0,
            settling: 1,
            replaces_leaving: true,
            sync_replicas: self.rule.sync_replicas,
        }));
        while self.now < END_MS {
            self.now += 1;
            self.crash_and_return(&mut listed);
            self.replicate();
            let due: Vec<_> = self.messages.extract_if(.., |m| m.0 <= self.now).collect();
            for (_, message) in due {
                self.deliver(message);
            }
            if self.now.is_multiple_of(WRITE_PAUSE_MS) {
                let head = head(self.now, Kind::Write, 0, self.time());
                self.step(Event::Request(head, TxStart::None));
            }
            if self.host.wake(self.time()) <= self.time() + Duration::from_millis(1) {
                self.step(Event::Tick);
            }
        }
    }

    /// Has the near replica crash, leave the list, and come back with its log.
    fn crash_and_return(&mut self, listed: &mut [MemberInfo]) {
        let (from, to) = self.down;
        if self.now == from {
            let lost = self.connections.extract_if(.., |(_, e)| *e == 1);
            let lost: Vec<ConnectionId> = lost.map(|(id, _)| id).collect();
            for id in lost {
                self.send(Message::Notice(id, ConnectionNotice::Closed(None)));
            }
        }
        if self.now == from.saturating_add(LISTED_MS) {
            let rest = vec![listed[0].clone(), listed[2].clone()];
            self.step(Event::Members(rest.into()));
        }
        if self.now == to {
            listed[1].incarnation += 1;
            self.paused[1] = None;
            self.step(Event::Members(listed.to_vec().into()));
        }
    }

    fn is_down(&self, endpoint: usize) -> bool {
        endpoint == 1 && (self.down.0..self.down.1).contains(&self.now)
    }

    /// Whether an endpoint receives the log of the leader.
    fn receives(&self, endpoint: usize) -> bool {
        let deaf = self.now < self.deaf_until[endpoint];
        !deaf && !self.is_down(endpoint) && self.paused[endpoint].is_none()
    }

    /// Commits an entry, receives what has arrived, and acknowledges what one replica holds.
    fn replicate(&mut self) {
        let mut arrival = [self.now; ENDPOINTS];
        for (endpoint, at) in arrival.iter_mut().enumerate() {
            if endpoint != self.leader {
                *at += self.rng.random_range(10..110);
            }
        }
        self.arrivals.push(arrival);
        let written = u64::try_from(self.arrivals.len()).unwrap_or(u64::MAX);
        for endpoint in 0..ENDPOINTS {
            if endpoint == self.leader {
                self.length[endpoint] = written;
                continue;
            }
            while self.receives(endpoint) && self.has_arrived(endpoint) {
                self.length[endpoint] += 1;
            }
        }
        let replicas = (0..ENDPOINTS).filter(|e| *e != self.leader);
        let held = replicas.map(|e| self.length[e]).max().unwrap_or_default();
        self.acknowledged = self.acknowledged.max(held);
    }

    fn has_arrived(&self, endpoint: usize) -> bool {
        let next = usize::try_from(self.length[endpoint]).unwrap_or(usize::MAX);
        self.arrivals
            .get(next)
            .is_some_and(|at| at[endpoint] <= self.now)
    }

    fn time(&self) -> Timestamp {
        Timestamp::from_millis(10_000 + self.now)
    }

    fn send(&mut self, message: Message) {
        let delay = self.rng.random_range(1..25);
        self.messages.push((self.now + delay, message));
    }

    fn step(&mut self, event: Event) {
        for action in self.host.step(event, self.time()) {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Open(id, ix, _) => {
                self.connections.push((id, endpoint_at(ix)));
                self.send(Message::Open(id, endpoint_at(ix)));
            }
            Action::Close(id) => self.connections.retain(|(open, _)| *open != id),
            Action::Probe(id) => self.command(id, Command::Probe),
            Action::Report(id) => self.command(id, Command::Report),
            Action::Pause(id, term) => self.command(id, Command::Pause(term)),
            Action::Resume(id) => self.command(id, Command::Resume),
            Action::Run(id, request, _) => self.command(id, Command::Run(request)),
            Action::Deliver { .. } => self.served += 1,
            Action::Succession(SuccessionCommand::Claim(_)) => {
                self.claims += 1;
                let claim = Claim {
                    holder: Name::from("host-1"),
                    token: self.claims,
                };
                self.send(Message::Store(StoreNotice::Claimed(Ok(claim))));
            }
            Action::Succession(SuccessionCommand::Promote {
                endpoint, claim, ..
            }) => self.order(endpoint, claim.token),
            _ => {}
        }
    }

    fn command(&mut self, id: ConnectionId, command: Command) {
        let mut connections = self.connections.iter();
        if let Some((_, endpoint)) = connections.find(|(open, _)| *open == id).copied() {
            self.send(Message::Command(id, endpoint, command));
        }
    }

    /// Sends an order to the platform. A late one is carried out seconds later, if its token is still
    /// the newest.
    fn order(&mut self, ix: EndpointIx, token: u64) {
        self.orders += 1;
        if self.rule.late_order && self.orders == 1 {
            let late = self.now + self.rng.random_range(300..4_000);
            self.messages.push((late, Message::Order(ix, token)));
            let lost = StoreNotice::Promoted(ix, Err(StoreError::Unknown));
            return self.messages.push((self.now + 400, Message::Store(lost)));
        }
        self.send(Message::Order(ix, token));
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Open(id, endpoint) if self.is_cut(endpoint) => {
                let failed = ConnectionNotice::OpenFailed(OpenError::Unreachable);
                self.connections.retain(|(open, _)| *open != id);
                self.messages
                    .push((self.now + 200, Message::Notice(id, failed)));
            }
            Message::Open(id, _) => self.send(Message::Notice(id, ConnectionNotice::Opened(None))),
            Message::Command(id, endpoint, command) => {
                if let Some(notice) = self.answer(endpoint, command) {
                    self.send(Message::Notice(id, notice));
                }
            }
            Message::Notice(id, notice) => self.step(Event::Connection(id, notice)),
            Message::Store(notice) => self.step(Event::Store(notice)),
            Message::Order(ix, token) => self.promote(ix, token),
        }
    }

    fn is_cut(&self, endpoint: usize) -> bool {
        self.now < self.cut_until[endpoint] || self.is_down(endpoint)
    }

    fn mark(&self, endpoint: usize) -> Mark {
        Mark::new(1, self.length[endpoint])
    }

    /// Whether no replica receives, so that no write is acknowledged.
    fn is_stalled(&self) -> bool {
        (0..ENDPOINTS).all(|e| e == self.leader || !self.receives(e))
    }

    /// Whether a replica is paused.
    pub fn is_paused(&self) -> bool {
        (0..ENDPOINTS).any(|e| e != self.leader && self.paused[e].is_some())
    }

    /// The endpoint's answer. A write that is not acknowledged has none.
    fn answer(&mut self, endpoint: usize, command: Command) -> Option<ConnectionNotice> {
        if self.is_down(endpoint) {
            return None;
        }
        let leads = endpoint == self.leader;
        Some(match command {
            Command::Run(_) if leads && self.is_stalled() => return None,
            Command::Probe => {
                let mark = Mark::new(self.term, self.length[endpoint]);
                ConnectionNotice::Probed(leads.then_some(mark))
            }
            Command::Report => ConnectionNotice::Reported(Some(self.status(endpoint))),
            Command::Pause(term) => {
                if !leads && term.0 > self.term {
                    self.paused[endpoint] = Some(term);
                }
                ConnectionNotice::Paused(term, Some(self.status(endpoint)))
            }
            Command::Resume => {
                self.paused[endpoint] = None;
                ConnectionNotice::Resumed(true)
            }
            Command::Run(id) => ConnectionNotice::Answered(
                id,
                StatementResult {
                    verdict: if leads {
                        Verdict::Done
                    } else {
                        Verdict::NotPrimary
                    },
                    body: bytes::Bytes::new(),
                    mark: Some(Mark::new(self.term, self.length[endpoint])),
                    led: leads,
                    tx: TxState::Idle,
                },
            ),
        })
    }

    fn status(&self, endpoint: usize) -> ReplicationStatus {
        ReplicationStatus {
            role: if endpoint == self.leader {
                Role::Primary
            } else {
                Role::Replica
            },
            term: Term(self.term),
            held: self.mark(endpoint),
            paused: self.paused[endpoint].unwrap_or_default(),
        }
    }

    /// Promotes an endpoint with what it has received, and counts the acknowledged entries that it
    /// lacks.
    fn promote(&mut self, ix: EndpointIx, token: u64) {
        let endpoint = endpoint_at(ix);
        if token < self.newest_token {
            let fenced = StoreNotice::Promoted(ix, Err(StoreError::Outrun));
            return self.send(Message::Store(fenced));
        }
        self.newest_token = token;
        self.send(Message::Store(StoreNotice::Promoted(ix, Ok(()))));
        if endpoint == self.leader {
            return;
        }
        self.promotions += 1;
        self.lost += self.acknowledged.saturating_sub(self.length[endpoint]);
        self.leader = endpoint;
        self.term += 1;
        self.paused = [None; ENDPOINTS];
        let kept = self.length[endpoint];
        self.acknowledged = self.acknowledged.min(kept);
        self.length = self.length.map(|length| length.min(kept));
        self.arrivals
            .truncate(usize::try_from(kept).unwrap_or(usize::MAX));
        let now = self.now;
        for arrival in &mut self.arrivals {
            *arrival = arrival.map(|at| at.max(now));
        }
    }
}
