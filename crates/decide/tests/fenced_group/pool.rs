//! Simulates one host whose clients of many workspaces share a few connections to an endpoint, and checks
//! each action against the rules of connections that belong to a workspace.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use goldcrest_decide::fenced::{Action, Event, Eviction, FencedGroup, GroupConfig};
use goldcrest_types::{
    ConnectionId, ConnectionNotice, Kind, Mark, Name, Pin, RequestHead, RequestId, StatementResult,
    Timestamp, TxStart, TxState, Verdict,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{head, member};

/// Time that the set-up of a connection takes at the endpoint.
const OPEN_COST: Duration = Duration::from_millis(12);

/// The time between two statements of a transaction.
const PAUSE: Duration = Duration::from_millis(15);

/// What clients ask, and what the endpoint can run.
#[derive(Clone, Copy)]
pub struct Load {
    pub workspaces: usize,
    /// The demand of the workspace in rank `n` is in proportion to `1 / n` to this power.
    pub skew: f64,
    /// Connections that the host may hold.
    pub share: usize,
    pub slots: usize,
    /// Operations that arrive in a second.
    pub rate: f64,
    /// Time that a statement takes at the endpoint.
    pub cost: Duration,
    /// Share of the operations that are transactions of three writes.
    pub transactions: f64,
    /// How long operations arrive.
    pub length: Duration,
}

/// A client's operation.
struct Operation {
    workspace: Name,
    arrived: Timestamp,
    /// Statements that are left after the one under way. The last one of a transaction is its commit.
    left: u32,
    pin: Option<Pin>,
    is_transaction: bool,
}

/// A connection as the test sees it.
struct Link {
    workspace: Name,
    /// When it was last used. `None` while it is being set up.
    used: Option<Timestamp>,
    /// Whether a statement or a query is under way.
    busy: bool,
    in_transaction: bool,
}

enum Due {
    Arrival,
    /// The next statement of a transaction.
    Next(usize),
    /// The endpoint has finished a job.
    Finished(ConnectionId, Job),
    Answer(ConnectionId, ConnectionNotice),
}

#[derive(Clone, Copy)]
enum Job {
    Open,
    Run(RequestId),
}

pub struct Pool {
    load: Load,
    group: FencedGroup,
    rng: SmallRng,
    now: Timestamp,
    due: BTreeMap<(Timestamp, u64), Due>,
    serial: u64,
    links: BTreeMap<ConnectionId, Link>,
    queue: VecDeque<(ConnectionId, Job)>,
    running: usize,
    operations: Vec<Operation>,
    /// The operation of each request that is under way.
    requests: BTreeMap<RequestId, usize>,
    pub served: usize,
    pub refused: usize,
    latencies: Vec<Duration>,
    /// Operations that were served, by workspace.
    pub by_workspace: BTreeMap<Name, (usize, usize)>,
}

impl Pool {
    /// Plays a load to its end.
    pub fn play(load: Load, seed: u64) -> Self {
        let config = GroupConfig {
            name: Name::from("orders"),
            share: load.share,
            drain: Duration::from_secs(5),
            settled_at: Timestamp::ZERO,
            limited: false,
        };
        let mut pool = Self {
            load,
            group: FencedGroup::new(config),
            rng: SmallRng::seed_from_u64(seed),
            now: Timestamp::from_millis(10_000),
            due: BTreeMap::new(),
            serial: 0,
            links: BTreeMap::new(),
            queue: VecDeque::new(),
            running: 0,
            operations: Vec::new(),
            requests: BTreeMap::new(),
            served: 0,
            refused: 0,
            latencies: Vec::new(),
            by_workspace: BTreeMap::new(),
        };
        let end = pool.now + load.length;
        pool.step(Event::Members(
            [member("leader", 0, true)].into_iter().collect(),
        ));
        pool.schedule(Duration::ZERO, Due::Arrival);
        while !pool.due.is_empty() || !pool.requests.is_empty() {
            let wake = pool.group.wake(pool.now);
            let next = pool.due.first_key_value().map(|((at, _), _)| *at);
            if next.is_none_or(|at| wake < at) {
                pool.now = wake;
                pool.step(Event::Tick);
                continue;
            }
            let ((at, _), due) = pool.due.pop_first().unwrap();
            pool.now = at;
            pool.handle(due, end);
        }
        pool
    }

    fn schedule(&mut self, after: Duration, due: Due) {
        self.serial += 1;
        self.due.insert((self.now + after, self.serial), due);
    }

    fn handle(&mut self, due: Due, end: Timestamp) {
        match due {
            Due::Arrival => {
                self.arrive();
                let pause = -self.rng.random_range(f64::EPSILON..1.0).ln() / self.load.rate;
                if self.now < end {
                    self.schedule(Duration::from_secs_f64(pause), Due::Arrival);
                }
            }
            Due::Next(operation) => self.send(operation),
            Due::Finished(connection, job) => {
                self.running -= 1;
                self.finish(connection, job);
                self.fill_slots();
            }
            Due::Answer(connection, notice) => {
                if let Some(link) = self.links.get_mut(&connection) {
                    link.busy = false;
                    link.used = Some(self.now);
                    self.step(Event::Connection(connection, notice));
                }
            }
        }
    }

    fn arrive(&mut self) {
        let number = self.choose_workspace();
        let is_transaction = self.rng.random_bool(self.load.transactions);
        let workspace = Name::from(format!("w{number}"));
        self.by_workspace.entry(workspace.clone()).or_default().1 += 1;
        self.operations.push(Operation {
            workspace,
            arrived: self.now,
            left: if is_transaction { 3 } else { 0 },
            pin: None,
            is_transaction,
        });
        self.send(self.operations.len() - 1);
    }

    fn choose_workspace(&mut self) -> usize {
        let ranks = u32::try_from(self.load.workspaces).unwrap();
        let demand = |rank: u32| f64::from(rank).powf(-self.load.skew);
        let whole: f64 = (1..=ranks).map(demand).sum();
        let mut left = self.rng.random_range(0.0..whole);
        let mut rank = 1;
        while rank < ranks && left >= demand(rank) {
            left -= demand(rank);
            rank += 1;
        }
        usize::try_from(rank).unwrap() - 1
    }

    fn send(&mut self, number: usize) {
        self.serial += 1;
        let operation = &self.operations[number];
        let ends = operation.is_transaction && operation.left == 0;
        let tx_start = match (operation.is_transaction, operation.pin) {
            (true, None) => TxStart::ReadWrite,
            _ => TxStart::None,
        };
        let request = RequestHead {
            workspace: operation.workspace.clone(),
            pin: operation.pin,
            start_by: self.now + Duration::from_millis(740),
            ..head(
                self.serial,
                if ends { Kind::Commit } else { Kind::Write },
                0,
                self.now,
            )
        };
        self.requests.insert(request.id, number);
        self.step(Event::Request(request, tx_start));
    }

    fn step(&mut self, event: Event) {
        for action in self.group.step(event, self.now) {
            self.carry_out(action);
        }
        self.fill_slots();
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Open(connection, _, workspace) => {
                let link = Link {
                    workspace,
                    used: None,
                    busy: true,
                    in_transaction: false,
                };
                self.links.insert(connection, link);
                assert!(self.links.len() <= self.load.share, "more than the share");
                self.queue.push_back((connection, Job::Open));
            }
            Action::Close(connection) => {
                self.links.remove(&connection);
            }
            Action::Evict(eviction) => self.check_eviction(&eviction),
            Action::Run(connection, id, _) => self.run(connection, id),
            Action::Probe(connection) => {
                self.link(connection).busy = true;
                let mark = Some(Mark::new(1, 5));
                let answer = Due::Answer(connection, ConnectionNotice::Probed(mark));
                self.schedule(Duration::from_millis(1), answer);
            }
            Action::Rollback(connection) => {
                let link = self.link(connection);
                (link.busy, link.in_transaction) = (true, false);
                let answer = Due::Answer(connection, ConnectionNotice::RolledBack);
                self.schedule(Duration::from_millis(1), answer);
            }
            Action::Deliver { id, pin, .. } => self.deliver(id, pin),
            Action::Refuse(id, _) => {
                self.requests.remove(&id);
                self.refused += 1;
            }
            _ => {}
        }
    }

    fn link(&mut self, connection: ConnectionId) -> &mut Link {
        self.links
            .get_mut(&connection)
            .expect("a closed connection")
    }

    /// A statement runs only on a connection of its workspace, and within a transaction on its own one.
    fn run(&mut self, connection: ConnectionId, id: RequestId) {
        let operation = &self.operations[self.requests[&id]];
        let (workspace, pinned) = (operation.workspace.clone(), operation.pin.is_some());
        let link = self.link(connection);
        assert_eq!(link.workspace, workspace, "another workspace's connection");
        assert!(!link.busy, "two statements at once");
        assert_eq!(
            link.in_transaction, pinned,
            "another transaction's connection"
        );
        link.busy = true;
        self.queue.push_back((connection, Job::Run(id)));
    }

    /// Only the connection of another workspace that was not used for the longest time is evicted, and
    /// only if the share is used up.
    fn check_eviction(&mut self, eviction: &Eviction) {
        assert_eq!(self.links.len(), self.load.share, "room is left");
        let link = self.links.remove(&eviction.connection);
        let link = link.expect("a closed connection");
        assert!(!link.busy && !link.in_transaction, "it is in use");
        assert_eq!(link.workspace, eviction.from);
        assert_ne!(link.workspace, eviction.to);
        let idle = self
            .links
            .values()
            .filter(|other| !other.busy && !other.in_transaction && other.workspace != eviction.to);
        let oldest = idle.filter_map(|other| other.used).min();
        assert!(
            oldest.is_none_or(|at| link.used.unwrap() <= at),
            "not the oldest"
        );
        assert_eq!(eviction.idle, self.now.since(link.used.unwrap()));
    }

    fn fill_slots(&mut self) {
        while self.running < self.load.slots
            && let Some((connection, job)) = self.queue.pop_front()
        {
            if !self.links.contains_key(&connection) {
                continue;
            }
            self.running += 1;
            let cost = match job {
                Job::Open => OPEN_COST,
                Job::Run(_) => self.load.cost,
            };
            self.schedule(cost, Due::Finished(connection, job));
        }
    }

    fn finish(&mut self, connection: ConnectionId, job: Job) {
        let notice = match job {
            Job::Open => ConnectionNotice::Opened(Some(Mark::new(1, 5))),
            Job::Run(id) => {
                let Some(number) = self.requests.get(&id) else {
                    return;
                };
                let operation = &self.operations[*number];
                let open = operation.is_transaction && operation.left > 0;
                if let Some(link) = self.links.get_mut(&connection) {
                    link.in_transaction = open;
                }
                let result = StatementResult {
                    verdict: Verdict::Done,
                    body: bytes::Bytes::new(),
                    mark: Some(Mark::new(1, id.0)),
                    led: true,
                    tx: if open { TxState::Open } else { TxState::Idle },
                };
                ConnectionNotice::Answered(id, result)
            }
        };
        self.handle(Due::Answer(connection, notice), Timestamp::ZERO);
    }

    fn deliver(&mut self, id: RequestId, pin: Option<Pin>) {
        let number = self.requests.remove(&id).unwrap();
        let operation = &mut self.operations[number];
        if operation.left > 0 {
            operation.left -= 1;
            operation.pin = pin;
            return self.schedule(PAUSE, Due::Next(number));
        }
        self.served += 1;
        let took = self.now.since(operation.arrived);
        let workspace = operation.workspace.clone();
        self.latencies.push(took);
        self.by_workspace.entry(workspace).or_default().0 += 1;
    }

    /// What clients got.
    pub fn summary(&mut self) -> String {
        self.latencies.sort_unstable();
        let at = |percent: usize| {
            let at = self.latencies.len() * percent / 100;
            self.latencies.get(at).map_or(0, Duration::as_millis)
        };
        let counts = self.group.counts();
        format!(
            "{} served, {} refused, p50 {} ms, p99 {} ms, {} connections opened, {} evicted",
            self.served,
            self.refused,
            at(50),
            at(99),
            counts.opened,
            counts.evicted
        )
    }

    /// The lowest share of its operations that any workspace with at least `count` of them was served.
    pub fn worst_share(&self, count: usize) -> f64 {
        let shares = self.by_workspace.values().filter(|(_, all)| *all >= count);
        let shares = shares.map(|(served, all)| fraction(*served, *all));
        shares.fold(1.0, f64::min)
    }
}

/// A part of a whole.
pub fn fraction(part: usize, whole: usize) -> f64 {
    let number = |n: usize| f64::from(u32::try_from(n).unwrap());
    number(part) / number(whole)
}
