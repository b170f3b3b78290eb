//! The virtual world: hosts, endpoints, a table and clients, moved by one queue of events.

mod hosts;
mod injection;
mod nodes;
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

use self::plan::fresh_group;
pub use self::plan::{Latency, WorldPlan};
use crate::{
    clients::{Client, ClientOutcome, Op, Record, Write},
    endpoint::{Endpoint, Entry, Ran, Run},
    faults::{Cut, Fault, Step},
    replica::Heartbeat,
    table::Table,
};

/// The time between two beats of a primary.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// How long a replica connected its primary after a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(700);

/// A message on its way.
#[derive(Debug, Clone)]
enum Delivery {
    Host(usize, u64, group::Event),
    Wake(usize, u64),
    Endpoint(EndpointIx, Command),
    Finish(EndpointIx, RequestId),
    Peer(EndpointIx, PeerMessage),
    Heartbeat(EndpointIx),
    Apply(EndpointIx),
    Ask(usize),
    Strike(Fault),
    Heal(Fault, EndpointIx),
}

#[derive(Debug, Clone)]
enum Command {
    Run(Run),
    Abandon(usize, RequestId),
    Release(usize, Lease),
    Check(usize, u64, RoundId),
    Promotion(usize, u64, promote::Action),
}

#[derive(Debug, Clone)]
enum PeerMessage {
    Heartbeat(Heartbeat),
    Fetch(EndpointIx, Position),
    Entries(Term, Position, Vec<Entry>),
}

/// A host of the world.
#[derive(Debug, Clone)]
struct HostSim {
    group: Group,
    life: u64,
    paused: Option<Timestamp>,
    dead: Option<Timestamp>,
    wake: Option<Timestamp>,
}

/// A request under way.
#[derive(Debug, Clone)]
struct Flight {
    record: usize,
    ran: Option<Ran>,
}

/// The virtual world.
#[derive(Debug, Clone)]
pub struct World {
    plan: WorldPlan,
    now: Timestamp,
    queue: BTreeMap<(Timestamp, u64), Delivery>,
    sequence: u64,
    rng: SmallRng,
    hosts: Vec<HostSim>,
    endpoints: Vec<Endpoint>,
    table: Table,
    clients: Vec<Client>,
    cuts: BTreeMap<Cut, Timestamp>,
    trigger: Option<(Step, Fault)>,
    injected_at: Option<Timestamp>,
    flights: BTreeMap<RequestId, Flight>,
    records: Vec<Record>,
    target: Option<RequestId>,
    commits: Vec<(u64, Term, Timestamp)>,
    commit_counts: BTreeMap<u64, usize>,
    promotions: Vec<(Timestamp, Term)>,
    stale: Vec<String>,
    quiet: bool,
    numbers: u64,
}

impl World {
    /// A world in which clients start at once.
    #[must_use]
    pub fn new(plan: WorldPlan) -> Self {
        let mut world = Self::empty(plan);
        for ix in world.ixes() {
            world.push(HEARTBEAT_INTERVAL, Delivery::Heartbeat(ix));
        }
        for host in 0..world.hosts.len() {
            world.step_host(host, group::Event::Tick);
        }
        for client in 0..world.clients.len() {
            let start = Duration::from_millis(100 + client as u64);
            world.push(start, Delivery::Ask(client));
        }
        world
    }

    fn empty(plan: WorldPlan) -> Self {
        let hosts = (0..plan.hosts).map(|h| HostSim {
            group: fresh_group(&plan, h, 0),
            life: 0,
            paused: None,
            dead: None,
            wake: None,
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
            flights: BTreeMap::new(),
            records: Vec::new(),
            target: None,
            commits: Vec::new(),
            commit_counts: BTreeMap::new(),
            promotions: Vec::new(),
            stale: Vec::new(),
            quiet: false,
            numbers: 0,
            plan,
        }
    }

    /// Lets a fault strike when a step is next reached.
    pub fn inject_at(&mut self, step: Step, fault: Fault) {
        self.trigger = Some((step, fault));
    }

    /// Lets a fault strike after a time.
    pub fn inject_after(&mut self, delay: Duration, fault: Fault) {
        self.push(delay, Delivery::Strike(fault));
    }

    /// Lets an operator at the first host move the primary.
    pub fn switch_primary(&mut self) {
        let from = self.present_primary();
        let switch = promote::Event::Switch { from };
        self.step_host(0, group::Event::Promotion(switch));
    }

    /// Lets time pass.
    pub fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
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

    /// Lets clients ask for nothing more, and time pass until all is settled.
    pub fn drain(&mut self, span: Duration) {
        self.quiet = true;
        self.run_for(span);
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Host(host, life, event) => self.host_gets(host, life, event),
            Delivery::Wake(host, life) => self.wake_host(host, life),
            Delivery::Endpoint(ix, command) => self.endpoint_gets(ix, command),
            Delivery::Finish(ix, id) => self.finish(ix, id),
            Delivery::Peer(ix, message) => self.peer_gets(ix, message),
            Delivery::Heartbeat(ix) => self.heartbeat(ix),
            Delivery::Apply(ix) => self.apply(ix),
            Delivery::Ask(client) => self.client_requests(client),
            Delivery::Strike(fault) => self.strike(fault),
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

    fn ixes(&self) -> Vec<EndpointIx> {
        self.endpoints.iter().map(|e| e.replica.ix).collect()
    }

    fn is_cut(&self, cut: Cut) -> bool {
        self.cuts.get(&cut).is_some_and(|until| self.now < *until)
    }

    /// The world's plan.
    #[must_use]
    pub fn plan(&self) -> &WorldPlan {
        &self.plan
    }

    /// The present moment.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        self.now
    }

    /// When the fault struck.
    #[must_use]
    pub fn injected_at(&self) -> Option<Timestamp> {
        self.injected_at
    }

    /// All requests.
    #[must_use]
    pub fn records(&self) -> &[Record] {
        &self.records
    }

    /// The request that the fault struck.
    #[must_use]
    pub fn target(&self) -> Option<&Record> {
        let target = self.target?;
        self.records.iter().find(|r| r.id == target)
    }

    /// When each promotion took effect, and its term.
    #[must_use]
    pub fn promotions(&self) -> &[(Timestamp, Term)] {
        &self.promotions
    }

    /// When each write was committed, and in which term.
    #[must_use]
    pub fn commits(&self) -> &[(u64, Term, Timestamp)] {
        &self.commits
    }

    /// How often each write was committed.
    #[must_use]
    pub fn commit_counts(&self) -> &BTreeMap<u64, usize> {
        &self.commit_counts
    }

    /// Reads that lacked something.
    #[must_use]
    pub fn stale_reads(&self) -> &[String] {
        &self.stale
    }

    /// What all hosts' groups did.
    #[must_use]
    pub fn counts(&self) -> Counts {
        let counts = self.hosts.iter().map(|h| h.group.counts());
        counts.fold(Counts::default(), Counts::plus)
    }

    /// The longest time between two acknowledged writes while clients ask.
    #[must_use]
    pub fn longest_gap(&self) -> Duration {
        let acked = self
            .records
            .iter()
            .filter_map(|r| match (&r.outcome, r.op) {
                (Some((at, ClientOutcome::Done(_))), Op::Write(_) | Op::Commit) => Some(*at),
                _ => None,
            });
        let mut times: Vec<Timestamp> = acked.collect();
        times.sort_unstable();
        let gaps = times.windows(2).map(|pair| pair[1].since(pair[0]));
        gaps.max().unwrap_or_default()
    }

    /// The log of each endpoint, by transaction.
    #[must_use]
    pub fn logs(&self) -> Vec<Vec<Vec<u64>>> {
        self.endpoints.iter().map(log_of).collect()
    }

    /// The log of the newest primary.
    #[must_use]
    pub fn newest_log(&self) -> Vec<Vec<u64>> {
        let newest = self.endpoints.iter().max_by_key(|e| {
            let primary = e.replica.is_writable();
            (e.replica.term, primary, e.replica.held())
        });
        newest.map(log_of).unwrap_or_default()
    }

    /// The clients of each committed transaction that holds work of more than one.
    #[must_use]
    pub fn mixed_entries(&self) -> Vec<BTreeSet<usize>> {
        let entries = self.endpoints.iter().flat_map(|e| &e.replica.log);
        let writers = entries.map(|e| e.writes.iter().map(|w: &Write| w.client).collect());
        writers.filter(|w: &BTreeSet<usize>| w.len() > 1).collect()
    }
}

fn log_of(endpoint: &Endpoint) -> Vec<Vec<u64>> {
    let entries = endpoint.replica.log.iter();
    entries
        .map(|e| e.writes.iter().map(|w| w.id).collect())
        .collect()
}
