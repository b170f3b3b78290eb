//! A discrete-event simulation of hosts, endpoints, a platform table and clients in virtual time.

mod endpoints;
mod hosts;
mod injection;
mod plan;
mod requests;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use goldcrest_decide::{
    group::{self, Counts, Group},
    promote,
};
use goldcrest_types::{EndpointIx, Lease, Position, RequestId, RoundId, Term, Timestamp};
use rand::{SeedableRng, rngs::SmallRng};

use self::plan::new_group;
pub use self::plan::{Latency, WorldPlan};
use crate::{
    clients::{Client, ClientOutcome, Op, Record, Write},
    endpoint::{Endpoint, EndpointRequest, Entry, Execution},
    faults::{Cut, Fault, Step},
    replica::Heartbeat,
    table::Table,
};

/// The interval between two heartbeats of a primary.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// A replica reports itself as connected to its primary for this long after a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(700);

/// An event in the queue. The `u64` of a host event is the host's epoch: events for an older
/// epoch are dropped.
#[derive(Debug, Clone)]
enum Delivery {
    /// A host receives an event.
    Host(usize, u64, group::Event),
    /// A host's timer expires.
    Wake(usize, u64),
    /// An endpoint receives a command.
    Endpoint(EndpointIx, Command),
    /// An endpoint completes a request.
    Finish(EndpointIx, RequestId),
    /// An endpoint receives a replication message.
    Peer(EndpointIx, PeerMessage),
    /// A primary's heartbeat is due.
    Heartbeat(EndpointIx),
    /// A replica may apply entries.
    Apply(EndpointIx),
    /// A client sends its next request.
    NextRequest(usize),
    /// A fault starts.
    Inject(Fault),
    /// A fault ends.
    Heal(Fault, EndpointIx),
}

/// A message from a host to an endpoint.
#[derive(Debug, Clone)]
enum Command {
    /// Runs a request.
    Run(EndpointRequest),
    /// Drops a running request of a host and rolls back its transaction.
    Abandon(usize, RequestId),
    /// Rolls back the transaction on a host's lease.
    Release(usize, Lease),
    /// Answers a term check.
    Check(usize, u64, RoundId),
    /// Carries out a step of a promotion.
    Promotion(usize, u64, promote::Action),
}

/// A replication message between endpoints.
#[derive(Debug, Clone)]
enum PeerMessage {
    /// The length and the terms of a primary's log.
    Heartbeat(Heartbeat),
    /// An endpoint requests the entries after a position.
    Fetch(EndpointIx, Position),
    /// The entries that the primary of a term has after a position.
    Entries(Term, Position, Vec<Entry>),
}

/// A simulated host.
#[derive(Debug, Clone)]
struct SimulatedHost {
    group: Group,
    /// Counts the hosts that have run at this index, so that late events of a replaced host are
    /// recognised.
    epoch: u64,
    paused_until: Option<Timestamp>,
    crashed_at: Option<Timestamp>,
    /// The earliest wake-up in the queue.
    wake_at: Option<Timestamp>,
}

/// A pending request: the index of its record, and its result once an endpoint ran it.
#[derive(Debug, Clone)]
struct InFlight {
    record: usize,
    execution: Option<Execution>,
}

/// The simulated system. Equal plans and calls give equal histories.
#[derive(Debug, Clone)]
pub struct World {
    plan: WorldPlan,
    now: Timestamp,
    queue: BTreeMap<(Timestamp, u64), Delivery>,
    /// The number of the latest queued event, which orders events of the same time.
    sequence: u64,
    rng: SmallRng,
    hosts: Vec<SimulatedHost>,
    endpoints: Vec<Endpoint>,
    table: Table,
    clients: Vec<Client>,
    /// Network partitions, and when they end.
    cuts: BTreeMap<Cut, Timestamp>,
    /// The fault to inject when a step is reached.
    trigger: Option<(Step, Fault)>,
    /// When the first fault was injected.
    injected_at: Option<Timestamp>,
    in_flight: BTreeMap<RequestId, InFlight>,
    records: Vec<Record>,
    /// The request whose step triggered the fault.
    target: Option<RequestId>,
    /// Committed writes, with the term and the time of the commit.
    commits: Vec<(u64, Term, Timestamp)>,
    /// How often each write was committed.
    commit_counts: BTreeMap<u64, usize>,
    /// The time and the term of each promotion.
    promotions: Vec<(Timestamp, Term)>,
    /// Stale reads, and misdirected or premature answers.
    anomalies: Vec<String>,
    /// Whether clients send no further requests outside transactions.
    draining: bool,
    /// The number of the latest write.
    last_write: u64,
}

impl World {
    /// Creates a world whose clients start to send requests at once.
    #[must_use]
    pub fn new(plan: WorldPlan) -> Self {
        let mut world = Self::empty(plan);
        for ix in world.indices() {
            world.push(HEARTBEAT_INTERVAL, Delivery::Heartbeat(ix));
        }
        for host in 0..world.hosts.len() {
            world.step_host(host, group::Event::Tick);
        }
        for client in 0..world.clients.len() {
            let start = Duration::from_millis(100 + client as u64);
            world.push(start, Delivery::NextRequest(client));
        }
        world
    }

    fn empty(plan: WorldPlan) -> Self {
        let hosts = (0..plan.hosts).map(|h| SimulatedHost {
            group: new_group(&plan, h, 0),
            epoch: 0,
            paused_until: None,
            crashed_at: None,
            wake_at: None,
        });
        let indices = (0..plan.endpoints).filter_map(|i| u16::try_from(i).ok());
        let clients = (0..plan.clients).map(|c| Client::new(c, c % plan.hosts));
        Self {
            now: Timestamp::ZERO,
            queue: BTreeMap::new(),
            sequence: 0,
            rng: SmallRng::seed_from_u64(plan.seed),
            hosts: hosts.collect(),
            endpoints: indices.map(|i| Endpoint::new(EndpointIx(i))).collect(),
            table: Table::default(),
            clients: clients.collect(),
            cuts: BTreeMap::new(),
            trigger: None,
            injected_at: None,
            in_flight: BTreeMap::new(),
            records: Vec::new(),
            target: None,
            commits: Vec::new(),
            commit_counts: BTreeMap::new(),
            promotions: Vec::new(),
            anomalies: Vec::new(),
            draining: false,
            last_write: 0,
            plan,
        }
    }

    /// Injects a fault when a step is next reached.
    pub fn inject_at(&mut self, step: Step, fault: Fault) {
        self.trigger = Some((step, fault));
    }

    /// Injects a fault after a delay.
    pub fn inject_after(&mut self, delay: Duration, fault: Fault) {
        self.push(delay, Delivery::Inject(fault));
    }

    /// Starts a planned switchover of the primary at the first host.
    pub fn switch_primary(&mut self) {
        let from = self.current_primary();
        let switch = promote::Event::Switch { from };
        self.step_host(0, group::Event::Promotion(switch));
    }

    /// Advances virtual time by `duration` and processes the events due.
    pub fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), delivery) = entry.remove_entry();
            self.now = at;
            self.deliver(delivery);
        }
        self.now = end;
    }

    /// Stops new work of the clients and runs for `duration`, so that pending requests can end.
    /// Open transactions are continued to their end.
    pub fn drain(&mut self, duration: Duration) {
        self.draining = true;
        self.run_for(duration);
    }

    /// Processes an event of the queue.
    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Host(host, epoch, event) => self.deliver_to_host(host, epoch, event),
            Delivery::Wake(host, epoch) => self.wake_host(host, epoch),
            Delivery::Endpoint(ix, command) => self.deliver_to_endpoint(ix, command),
            Delivery::Finish(ix, id) => self.finish(ix, id),
            Delivery::Peer(ix, message) => self.deliver_to_peer(ix, message),
            Delivery::Heartbeat(ix) => self.heartbeat(ix),
            Delivery::Apply(ix) => self.apply(ix),
            Delivery::NextRequest(client) => self.next_request(client),
            Delivery::Inject(fault) => self.inject(fault),
            Delivery::Heal(fault, ix) => self.heal(fault, ix),
        }
    }

    fn push(&mut self, delay: Duration, delivery: Delivery) {
        self.push_at(self.now + delay, delivery);
    }

    fn push_at(&mut self, at: Timestamp, delivery: Delivery) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), delivery);
    }

    fn indices(&self) -> Vec<EndpointIx> {
        self.endpoints.iter().map(|e| e.replica.ix).collect()
    }

    fn is_cut(&self, cut: Cut) -> bool {
        self.cuts.get(&cut).is_some_and(|until| self.now < *until)
    }

    /// Returns the parameters of the simulation.
    #[must_use]
    pub fn plan(&self) -> &WorldPlan {
        &self.plan
    }

    /// Returns the current virtual time.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        self.now
    }

    /// Returns when the first fault was injected.
    #[must_use]
    pub fn injected_at(&self) -> Option<Timestamp> {
        self.injected_at
    }

    /// Returns the records of all requests.
    #[must_use]
    pub fn records(&self) -> &[Record] {
        &self.records
    }

    /// Returns the request whose step triggered the fault.
    #[must_use]
    pub fn target(&self) -> Option<&Record> {
        let target = self.target?;
        self.records.iter().find(|r| r.id == target)
    }

    /// Returns the time and the term of each promotion.
    #[must_use]
    pub fn promotions(&self) -> &[(Timestamp, Term)] {
        &self.promotions
    }

    /// Returns each commit of a write, with its term and time.
    #[must_use]
    pub fn commits(&self) -> &[(u64, Term, Timestamp)] {
        &self.commits
    }

    /// Returns how often each write was committed.
    #[must_use]
    pub fn commit_counts(&self) -> &BTreeMap<u64, usize> {
        &self.commit_counts
    }

    /// Returns descriptions of stale reads and of misdirected or premature answers.
    #[must_use]
    pub fn anomalies(&self) -> &[String] {
        &self.anomalies
    }

    /// Returns the counters of all hosts' groups, summed.
    #[must_use]
    pub fn counts(&self) -> Counts {
        let counts = self.hosts.iter().map(|h| h.group.counts());
        counts.fold(Counts::default(), Counts::plus)
    }

    /// Returns the longest time between two consecutive acknowledged writes.
    #[must_use]
    pub fn longest_gap(&self) -> Duration {
        let acknowledged = self
            .records
            .iter()
            .filter_map(|r| match (&r.outcome, r.op) {
                (Some((at, ClientOutcome::Done(_))), Op::Write(_) | Op::Commit) => Some(*at),
                _ => None,
            });
        let mut times: Vec<Timestamp> = acknowledged.collect();
        times.sort_unstable();
        let gaps = times.windows(2).map(|pair| pair[1].since(pair[0]));
        gaps.max().unwrap_or_default()
    }

    /// Returns the log of each endpoint: the writes of each transaction.
    #[must_use]
    pub fn logs(&self) -> Vec<Vec<Vec<u64>>> {
        self.endpoints.iter().map(write_log).collect()
    }

    /// Returns the log of the endpoint with the newest term, the primary first.
    #[must_use]
    pub fn newest_log(&self) -> Vec<Vec<u64>> {
        let newest = self.endpoints.iter().max_by_key(|e| {
            let primary = e.replica.is_writable();
            (e.replica.term, primary, e.replica.held())
        });
        newest.map(write_log).unwrap_or_default()
    }

    /// Returns the clients of each committed transaction that contains writes of more than one.
    #[must_use]
    pub fn mixed_entries(&self) -> Vec<BTreeSet<usize>> {
        let entries = self.endpoints.iter().flat_map(|e| &e.replica.log);
        let writers = entries.map(|e| e.writes.iter().map(|w: &Write| w.client).collect());
        writers.filter(|w: &BTreeSet<usize>| w.len() > 1).collect()
    }
}

fn write_log(endpoint: &Endpoint) -> Vec<Vec<u64>> {
    let entries = endpoint.replica.log.iter();
    entries
        .map(|e| e.writes.iter().map(|w| w.id).collect())
        .collect()
}
