//! Hosts that count operations, the table of hosts and the messages between hosts, in virtual time.
#![allow(dead_code, reason = "each test file uses only a part")]

mod checks;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use goldcrest_decide::{
    allowance::{Action, Allowances, Decision, Listed, Listing, Rules, START_TIME},
    owners::Candidate,
};
use goldcrest_types::{Allowance, AllowanceAnswer, AllowanceAsk, Name, Timestamp};
use rand::{Rng, SeedableRng, rngs::SmallRng};

pub const RULES: Rules = Rules {
    window: Duration::from_secs(5),
    overage: 0.1,
    slack: 20.0,
};

const REGIONS: u32 = 3;

/// Longest time between two reads of the table of hosts, in milliseconds.
const READ_INTERVAL: u64 = 20_000;

/// How long an entry lives in the table, in milliseconds.
const LIFETIME: u64 = 160_000;

/// How long a host takes at most to apply a new configuration, in milliseconds.
const CONFIGURATION_DELAY: u64 = 5_000;

/// What happens at a time.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Start(usize),
    Read(usize, u32),
    Tick(usize, u32),
    Limits(usize, usize),
    Demand(usize),
    Deliver(usize),
    Act(usize),
}

/// A fault or a change that a test brings about.
#[derive(Debug, Clone)]
pub enum Act {
    /// Hosts lose power, and start again after a time if one is given.
    Kill(Vec<usize>, Option<u64>),
    /// A host stands still for a time.
    Pause(usize, u64),
    /// Hosts don't reach the others for a time.
    CutHosts(Vec<usize>, u64),
    /// Hosts don't reach the store for a time.
    CutStore(Vec<usize>, u64),
    /// A host joins.
    Join(usize),
    /// Each workspace's limit is multiplied.
    Limit(f64),
    /// A workspace asks many times its usual for a time.
    Hot(usize, f64, u64),
    /// The demand moves to another host.
    Move(usize, usize),
}

enum Message {
    Ask(usize, usize, u64, u32, Vec<AllowanceAsk>),
    Answer(usize, u64, u32, Vec<AllowanceAnswer>),
}

struct Host {
    name: Name,
    region: u32,
    capacity: f64,
    /// The state, while the host runs.
    running: Option<Running>,
    /// How often it has started.
    life: u32,
    paused_until: u64,
    cut_until: u64,
    store_cut_until: u64,
}

struct Running {
    state: Allowances,
    started: u64,
    /// Whether it has read the table.
    listed: bool,
    applied: usize,
    /// When the next tick is due.
    tick_at: Option<u64>,
}

#[derive(Clone, Copy)]
struct Entry {
    listed: Listed,
    expiry: u64,
}

/// A workspace and what happened to its operations.
pub struct Workspace {
    pub name: Name,
    pub allowance: Allowance,
    /// Operations a second, in calm.
    pub usual: f64,
    pub home: usize,
    hot: (f64, u64),
    pub asked: Vec<u64>,
    pub ran: Vec<u64>,
    /// How many of those that ran had to be sent at once.
    pub hurried: usize,
    pub refused: Vec<u64>,
    pub unreachable: Vec<u64>,
}

/// A fleet of hosts.
pub struct Fleet {
    now: u64,
    rng: SmallRng,
    hosts: Vec<Host>,
    table: BTreeMap<usize, Entry>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    messages: BTreeMap<usize, Message>,
    acts: Vec<Act>,
    pub workspaces: Vec<Workspace>,
    /// The factors of the limits, with the time at which the last host took up the next one.
    versions: Vec<(f64, u64)>,
    /// The workspace and the time of each operation that waits.
    asks: BTreeMap<(usize, u32, u64), (usize, u64)>,
    /// How long each operation took that needed another host's word.
    pub remote: Vec<u64>,
    /// Asks that each host answered.
    pub answered: Vec<u64>,
}

impl Fleet {
    /// Creates `live` hosts that start together, and `spare` ones that may join.
    pub fn new(seed: u64, live: usize, spare: usize, workspaces: Vec<Workspace>) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let hosts = (0..live + spare).map(|number| Host {
            name: Name::from(format!("host-{number}")),
            region: u32::try_from(number).unwrap() % REGIONS,
            capacity: rng.random_range(0.2..0.5),
            running: None,
            life: 0,
            paused_until: 0,
            cut_until: 0,
            store_cut_until: 0,
        });
        let hosts = hosts.collect();
        let mut fleet = Self {
            now: 0,
            rng,
            hosts,
            table: BTreeMap::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            messages: BTreeMap::new(),
            acts: Vec::new(),
            workspaces,
            versions: vec![(1.0, 0)],
            asks: BTreeMap::new(),
            remote: Vec::new(),
            answered: vec![0; live + spare],
        };
        for host in 0..live {
            let at = fleet.rng.random_range(0..300);
            fleet.push(at, Event::Start(host));
        }
        for workspace in 0..fleet.workspaces.len() {
            fleet.push(14_000, Event::Demand(workspace));
        }
        fleet
    }

    /// Brings something about at a time, in milliseconds.
    pub fn at(&mut self, time: u64, act: Act) {
        self.acts.push(act);
        self.push(time, Event::Act(self.acts.len() - 1));
    }

    /// Goes on until a time, in milliseconds.
    pub fn run_until(&mut self, end: u64) {
        while let Some(Reverse((at, _, _))) = self.events.peek() {
            if *at > end {
                break;
            }
            let Some(Reverse((at, _, event))) = self.events.pop() else {
                break;
            };
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    fn push(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        let at = at.max(self.now);
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn handle(&mut self, event: Event) {
        // What reaches a paused host waits until it goes on.
        let host = match &event {
            Event::Read(host, _) | Event::Tick(host, _) | Event::Limits(host, _) => Some(*host),
            Event::Deliver(message) => match &self.messages[message] {
                Message::Ask(_, host, ..) | Message::Answer(host, ..) => Some(*host),
            },
            _ => None,
        };
        if let Some(until) = host.map(|h| self.hosts[h].paused_until)
            && until > self.now
        {
            return self.push(until, event);
        }
        match event {
            Event::Start(host) => self.start(host),
            Event::Read(host, life) => self.read(host, life),
            Event::Tick(host, life) => self.tick(host, life),
            Event::Limits(host, version) => self.apply_limits(host, version),
            Event::Demand(workspace) => self.demand(workspace),
            Event::Deliver(message) => self.deliver(message),
            Event::Act(act) => self.act(&self.acts[act].clone()),
        }
    }

    fn local(&self, host: usize) -> Timestamp {
        let started = self.hosts[host].running.as_ref().map_or(0, |r| r.started);
        Timestamp::from_millis(self.now - started)
    }

    fn start(&mut self, host: usize) {
        let now = self.now;
        let entry = &mut self.hosts[host];
        entry.life += 1;
        let life = entry.life;
        entry.running = Some(Running {
            state: Allowances::new(entry.name.clone(), RULES),
            started: now,
            listed: false,
            applied: usize::MAX,
            tick_at: None,
        });
        let version = self.versions.len() - 1;
        let delay = self.rng.random_range(5..400);
        self.push(now + delay, Event::Limits(host, version));
        self.push(now + delay, Event::Read(host, life));
    }

    /// Reads the table of hosts and renews the host's own entry, as the adapter does.
    fn read(&mut self, host: usize, life: u32) {
        if self.hosts[host].life != life || self.hosts[host].running.is_none() {
            return;
        }
        let next = self.rng.random_range(READ_INTERVAL * 3 / 4..READ_INTERVAL);
        if self.hosts[host].store_cut_until > self.now {
            return self.push(self.now + next, Event::Read(host, life));
        }
        let clock = Duration::from_millis(self.now);
        let mut entries = self.table.clone();
        entries.retain(|_, entry| entry.expiry >= self.now);
        let read_at = self.local(host);
        let own = self.hosts[host].name.clone();
        let Some(running) = &mut self.hosts[host].running else {
            return;
        };
        let others = entries.values().map(|entry| entry.listed);
        let listed = Listed::enter(entries.get(&host).map(|e| e.listed), others, clock);
        let first = !std::mem::replace(&mut running.listed, true);
        let listing = Listing {
            own,
            read_at,
            clock,
            expiry: Duration::from_millis(entries.get(&host).map_or(0, |e| e.expiry)),
        };
        let expiry = self.now + LIFETIME;
        self.table.insert(host, Entry { listed, expiry });
        let members = entries.iter().map(|(number, entry)| {
            let host = &self.hosts[*number];
            let candidate = Candidate {
                host: host.name.clone(),
                region: Name::from(format!("region-{}", host.region)),
                capacity: host.capacity,
            };
            listing.member(candidate, entry.listed)
        });
        let members = members.collect();
        if let Some(running) = &mut self.hosts[host].running {
            let valid_until = listing.valid_until(listed);
            running.state.set_hosts(members, valid_until, read_at);
        }
        let starts = first && listed.is_starting(clock);
        let next = if starts {
            u64::try_from(START_TIME.as_millis()).unwrap()
        } else {
            next
        };
        self.push(self.now + next, Event::Read(host, life));
    }

    fn apply_limits(&mut self, host: usize, version: usize) {
        if self.hosts[host].store_cut_until > self.now {
            let until = self.hosts[host].store_cut_until;
            return self.push(until + 500, Event::Limits(host, version));
        }
        let (factor, _) = self.versions[version];
        let limits = self.workspaces.iter().map(|workspace| {
            let Allowance { rate, burst } = workspace.allowance;
            let scaled = Allowance {
                rate: rate * factor,
                burst: burst * factor,
            };
            (workspace.name.clone(), scaled)
        });
        let limits = limits.collect();
        if let Some(running) = &mut self.hosts[host].running
            && (running.applied == usize::MAX || running.applied < version)
        {
            running.applied = version;
            running.state.set_limits(limits);
            for older in &mut self.versions[..version] {
                older.1 = older.1.max(self.now);
            }
        }
    }

    fn demand(&mut self, number: usize) {
        let workspace = &self.workspaces[number];
        let (factor, until) = workspace.hot;
        let rate = workspace.usual * if until > self.now { factor } else { 1.0 };
        // One client in three of the workspace is at any host.
        let host = if self.rng.random_bool(0.67) {
            workspace.home
        } else {
            self.rng.random_range(0..self.hosts.len())
        };
        let gap = self.rng.random_range(0.2..1.8) * 1000.0 / rate;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "small"
        )]
        let gap = (gap.round() as u64).max(1);
        self.push(self.now + gap, Event::Demand(number));
        let now = self.local(host);
        let Host {
            running,
            life,
            paused_until,
            ..
        } = &mut self.hosts[host];
        let Some(running) = running.as_mut().filter(|_| *paused_until <= self.now) else {
            return;
        };
        if running.applied == usize::MAX {
            return;
        }
        let workspace = &mut self.workspaces[number];
        workspace.asked.push(self.now);
        let id = self.sequence;
        self.asks.insert((host, *life, id), (number, self.now));
        let actions = running.state.ask(id, &workspace.name, now);
        self.execute(host, actions.into_iter());
        self.settle(host);
    }

    /// Has a host do what is due, and come back when more is.
    fn settle(&mut self, host: usize) {
        let now = self.local(host);
        let Some(running) = &mut self.hosts[host].running else {
            return;
        };
        let actions = running.state.tick(now);
        let wake = running.state.wake().map(|at| at.since(now));
        self.execute(host, actions.into_iter());
        let Some(wake) = wake else { return };
        let at = self.now + u64::try_from(wake.as_millis()).unwrap() + 1;
        let Host { running, life, .. } = &mut self.hosts[host];
        let (life, Some(running)) = (*life, running) else {
            return;
        };
        if running.tick_at.is_none_or(|known| at < known) {
            running.tick_at = Some(at);
            self.push(at, Event::Tick(host, life));
        }
    }

    fn tick(&mut self, host: usize, life: u32) {
        let Host {
            running,
            life: current,
            ..
        } = &mut self.hosts[host];
        if let Some(running) = running.as_mut().filter(|_| *current == life) {
            running.tick_at = None;
            self.settle(host);
        }
    }

    fn execute<I>(&mut self, host: usize, actions: I)
    where
        I: Iterator<Item = Action>,
    {
        let life = self.hosts[host].life;
        for action in actions {
            match action {
                Action::Call(call, to, asks) => {
                    let to = self.hosts.iter().position(|h| h.name == to).unwrap();
                    self.send(host, to, Message::Ask(host, to, call, life, asks));
                }
                Action::Decide(id, decision, counters) => {
                    let (number, asked) = self.asks.remove(&(host, life, id)).unwrap();
                    let name = &self.hosts[host].name;
                    if counters.iter().any(|c| c != name) {
                        self.remote.push(self.now - asked);
                    }
                    let workspace = &mut self.workspaces[number];
                    match decision {
                        Decision::Run(within) => {
                            workspace.ran.push(self.now);
                            workspace.hurried += usize::from(within.is_some());
                        }
                        Decision::Refuse(_) => workspace.refused.push(self.now),
                        Decision::Unreachable(_) => workspace.unreachable.push(self.now),
                    }
                }
                Action::Silent(_) | Action::Abstained(_) => {}
            }
        }
    }

    /// Sends a message, unless the network is cut. A message that is lost is never answered.
    fn send(&mut self, from: usize, to: usize, message: Message) {
        if self.hosts[from].cut_until > self.now || self.hosts[to].cut_until > self.now {
            return;
        }
        let near = self.hosts[from].region == self.hosts[to].region;
        let delay = if near { 1..4 } else { 12..18 };
        let delay = self.rng.random_range(delay);
        self.sequence += 1;
        let number = usize::try_from(self.sequence).unwrap();
        self.messages.insert(number, message);
        self.push(self.now + delay, Event::Deliver(number));
    }

    fn deliver(&mut self, message: usize) {
        match self.messages.remove(&message).unwrap() {
            Message::Ask(from, to, call, life, asks) => {
                let now = self.local(to);
                let Some(running) = &mut self.hosts[to].running else {
                    return;
                };
                let answers = running.state.answer(&asks, now);
                self.answered[to] += 1;
                self.send(to, from, Message::Answer(from, call, life, answers));
            }
            Message::Answer(to, call, life, answers) => {
                let now = self.local(to);
                if self.hosts[to].life != life {
                    return;
                }
                let Some(running) = &mut self.hosts[to].running else {
                    return;
                };
                let actions = running.state.answered(call, Some(&answers), now);
                self.execute(to, actions.into_iter());
                self.settle(to);
            }
        }
    }

    fn act(&mut self, act: &Act) {
        let now = self.now;
        match act {
            Act::Kill(hosts, back) => {
                for host in hosts {
                    self.hosts[*host].running = None;
                    if let Some(back) = back {
                        let delay = self.rng.random_range(0..300);
                        self.push(now + back + delay, Event::Start(*host));
                    }
                }
            }
            Act::Pause(host, time) => self.hosts[*host].paused_until = now + time,
            Act::CutHosts(hosts, time) => {
                for host in hosts {
                    self.hosts[*host].cut_until = now + time;
                }
            }
            Act::CutStore(hosts, time) => {
                for host in hosts {
                    self.hosts[*host].store_cut_until = now + time;
                }
            }
            Act::Join(host) => self.push(now, Event::Start(*host)),
            Act::Limit(factor) => {
                self.versions.push((*factor, u64::MAX));
                let version = self.versions.len() - 1;
                self.versions[version - 1].1 = now;
                for host in 0..self.hosts.len() {
                    let delay = self.rng.random_range(50..CONFIGURATION_DELAY);
                    self.push(now + delay, Event::Limits(host, version));
                }
            }
            Act::Hot(workspace, factor, time) => {
                self.workspaces[*workspace].hot = (*factor, now + time);
            }
            Act::Move(workspace, host) => self.workspaces[*workspace].home = *host,
        }
    }

    pub fn random(&mut self) -> &mut SmallRng {
        &mut self.rng
    }
}
