//! A simulation of gossip membership among many hosts, in virtual time.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Duration,
};

use goldcrest_decide::{
    configuration::{ConfigFollower, ConfigHead, Offer, Preset},
    fleet::{Action, Event, Health, MemberUpdates, Members, PING_TIMEOUT},
};
use goldcrest_types::{ChangeId, Name, Timestamp};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Size of a ping or an ack without its updates, with framing, in bytes.
const MESSAGE_BYTES: u64 = 200;

/// Size of one member update without its names, in bytes.
const UPDATE_BYTES: u64 = 40;

/// The parameters of a gossip simulation.
#[derive(Debug, Clone, Copy)]
pub struct GossipPlan {
    /// The number of hosts.
    pub hosts: usize,
    /// The seed of the random generators.
    pub seed: u64,
    /// The one-way latency between hosts.
    pub latency: Duration,
    /// The probability that a message is lost.
    pub loss: f64,
}

/// An event in the queue. The numbers are indices of hosts.
#[derive(Debug, Clone)]
enum Delivery {
    /// At a host whose timer expires.
    Tick(usize),
    /// From a host, to a host.
    Ping(usize, usize, MemberUpdates, Option<ConfigHead>),
    /// From a host, to a host.
    Ack(usize, usize, MemberUpdates, Option<ConfigHead>),
    /// At a host, for the host that it pinged.
    PingTimeout(usize, usize),
    /// At a helper, for the requesting host, with the host to ping.
    RequestPing(usize, usize, usize),
    /// At the requesting host, for the host that answered the helper.
    RelayedAck(usize, usize),
}

/// The state of a simulated host.
#[derive(Debug, Clone)]
struct Node {
    members: Members,
    follower: ConfigFollower,
    live: bool,
    /// The hosts that have answered their latest ping.
    answered: BTreeSet<usize>,
    /// The bytes that the host has sent and received.
    bytes: u64,
    /// The number of messages that the host has sent and received.
    messages: u64,
}

/// The simulated hosts and the messages between them.
#[derive(Debug, Clone)]
pub struct GossipWorld {
    plan: GossipPlan,
    now: Timestamp,
    queue: BTreeMap<(Timestamp, u64), Delivery>,
    sequence: u64,
    nodes: Vec<Node>,
    index: BTreeMap<Name, usize>,
    rng: SmallRng,
    /// The first hosts, up to this number, are partitioned from the others.
    partitioned: usize,
}

impl GossipWorld {
    /// Creates hosts that all know each other.
    #[must_use]
    pub fn new(plan: GossipPlan) -> Self {
        let nodes: Vec<Node> = (0..plan.hosts).map(|h| node(h, plan.seed)).collect();
        let index = (0..plan.hosts).map(|h| (name(h), h)).collect();
        let mut world = Self {
            plan,
            now: Timestamp::ZERO,
            queue: BTreeMap::new(),
            sequence: 0,
            nodes,
            index,
            rng: SmallRng::seed_from_u64(plan.seed),
            partitioned: 0,
        };
        let everyone: MemberUpdates = world
            .nodes
            .iter()
            .filter_map(|n| n.members.all().next().cloned())
            .collect();
        for host in 0..world.nodes.len() {
            let known = Event::Updates(everyone.clone());
            world.nodes[host].members.step(known, Timestamp::ZERO);
            let start = Duration::from_micros(world.rng.random_range(0..500_000));
            world.push(start, Delivery::Tick(host));
        }
        world
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

    /// Runs until a condition holds, and returns how long that took. Returns `None` at the limit.
    pub fn run_until<F>(&mut self, limit: Duration, condition: F) -> Option<Duration>
    where
        F: Fn(&Self) -> bool,
    {
        const STEP: Duration = Duration::from_millis(50);
        let start = self.now;
        while self.now.since(start) < limit {
            self.run_for(STEP);
            if condition(self) {
                return Some(self.now.since(start));
            }
        }
        None
    }

    /// Partitions the first `count` hosts from the others. Zero ends the partition.
    pub fn partition(&mut self, count: usize) {
        self.partitioned = count;
    }

    /// Crashes a host.
    pub fn crash(&mut self, host: usize) {
        self.nodes[host].live = false;
    }

    /// Lets a host announce that it is leaving.
    pub fn leave(&mut self, host: usize) {
        self.nodes[host].members.leave();
    }

    /// Offers a new configuration revision to a host, as if an operator had changed it there.
    pub fn change_configuration(&mut self, host: usize, revision: u64) {
        let head = ConfigHead {
            revision,
            hash: Name::from("declaration"),
            preset: Preset::Peak,
            change: ChangeId(revision),
        };
        self.nodes[host].offer(head, self.now);
        self.step(host, Event::Announce);
    }

    /// Whether all other live hosts know a host to be of this health or worse, or have forgotten
    /// it.
    #[must_use]
    pub fn all_know(&self, host: usize, health: Health) -> bool {
        let name = name(host);
        let others = self.nodes.iter().enumerate();
        let mut others = others.filter(|(h, n)| *h != host && n.live);
        others.all(|(_, n)| {
            let known = n.members.all().find(|update| update.name == name);
            known.is_none_or(|update| update.health >= health)
        })
    }

    /// Whether a live host considers another live host as failed.
    #[must_use]
    pub fn has_false_failure(&self) -> bool {
        let alive = |name: &Name| self.index.get(name).is_some_and(|h| self.nodes[*h].live);
        let live = self.nodes.iter().filter(|n| n.live);
        let mut members = live.flat_map(|n| n.members.all());
        members.any(|m| m.health == Health::Failed && alive(&m.name))
    }

    /// Whether the revision, or a newer one, is in force at all live hosts.
    #[must_use]
    pub fn all_have_revision(&self, revision: u64) -> bool {
        let mut live = self.nodes.iter().filter(|n| n.live);
        live.all(|n| n.follower.current().is_some_and(|h| h.revision >= revision))
    }

    /// Returns the messages and bytes that the busiest host has sent and received so far.
    #[must_use]
    pub fn busiest(&self) -> (u64, u64) {
        let nodes = self.nodes.iter().map(|n| (n.messages, n.bytes));
        nodes.max_by_key(|(_, bytes)| *bytes).unwrap_or_default()
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Tick(host) => self.tick(host),
            Delivery::Ping(from, to, updates, head) => {
                if self.receive(to, updates, head) {
                    self.send(to, from, false);
                }
            }
            Delivery::Ack(from, to, updates, head) => {
                if self.receive(to, updates, head) {
                    self.nodes[to].answered.insert(from);
                    self.step(to, Event::Answered(name(from)));
                }
            }
            Delivery::PingTimeout(host, target) => {
                if !self.nodes[host].answered.contains(&target) {
                    self.step(host, Event::TimedOut(name(target)));
                }
            }
            Delivery::RequestPing(helper, host, target) => {
                let reached = self.nodes[helper].live
                    && self.nodes[target].live
                    && !self.is_partitioned(helper, host)
                    && !self.is_partitioned(helper, target);
                if reached && !self.is_lost() && !self.is_lost() {
                    let delay = self.plan.latency * 3;
                    self.push(delay, Delivery::RelayedAck(host, target));
                }
            }
            Delivery::RelayedAck(host, target) => self.step(host, Event::Answered(name(target))),
        }
    }

    fn tick(&mut self, host: usize) {
        if !self.nodes[host].live {
            return;
        }
        self.step(host, Event::Tick);
        let wake = self.nodes[host].members.wake();
        let pause = wake.since(self.now).max(Duration::from_millis(1));
        self.push(pause, Delivery::Tick(host));
    }

    fn step(&mut self, host: usize, event: Event) {
        if !self.nodes[host].live {
            return;
        }
        let actions = self.nodes[host].members.step(event, self.now);
        for action in actions {
            match action {
                Action::Ping(target, _) => {
                    let to = self.index[&target];
                    self.nodes[host].answered.remove(&to);
                    self.send(host, to, true);
                    self.push(PING_TIMEOUT, Delivery::PingTimeout(host, to));
                }
                Action::RequestPing { helper, target, .. } => {
                    let target = self.index[&target];
                    let helper = host_of(helper);
                    let delay = self.plan.latency;
                    self.push(delay, Delivery::RequestPing(helper, host, target));
                }
                Action::Changed => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, ping: bool) {
        let target = name(to);
        let updates = self.nodes[from].members.updates_for(Some(&target));
        let head = self.nodes[from].follower.current().cloned();
        self.nodes[from].count(&updates);
        if self.is_lost() || self.is_partitioned(from, to) {
            return;
        }
        let delivery = if ping {
            Delivery::Ping(from, to, updates, head)
        } else {
            Delivery::Ack(from, to, updates, head)
        };
        self.push(self.plan.latency, delivery);
    }

    fn receive(&mut self, to: usize, updates: MemberUpdates, head: Option<ConfigHead>) -> bool {
        if !self.nodes[to].live {
            return false;
        }
        self.nodes[to].count(&updates);
        self.step(to, Event::Updates(updates));
        if let Some(head) = head
            && self.nodes[to].offer(head, self.now)
        {
            self.step(to, Event::Announce);
        }
        true
    }

    fn is_partitioned(&self, a: usize, b: usize) -> bool {
        (a < self.partitioned) != (b < self.partitioned)
    }

    fn is_lost(&mut self) -> bool {
        self.plan.loss > 0.0 && self.rng.random_bool(self.plan.loss)
    }

    fn push(&mut self, delay: Duration, delivery: Delivery) {
        self.sequence += 1;
        self.queue
            .insert((self.now + delay, self.sequence), delivery);
    }
}

impl Node {
    /// Adopts a revision if it is newer. Fetching its document is simulated as immediate.
    fn offer(&mut self, head: ConfigHead, now: Timestamp) -> bool {
        match self.follower.offer(head, now) {
            Offer::Stale => false,
            Offer::Adopted => true,
            Offer::Fetch(hash) => self.follower.fetched(&hash),
        }
    }

    fn count(&mut self, updates: &MemberUpdates) {
        let bytes = updates
            .iter()
            .map(|u| UPDATE_BYTES + (u.name.len() + u.zone.len()) as u64);
        self.messages += 1;
        self.bytes += MESSAGE_BYTES + bytes.sum::<u64>();
    }
}

fn node(host: usize, seed: u64) -> Node {
    let node_seed = seed ^ (host as u64).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    let zone = Name::from(format!("region-{}-zone-{}", host % 8, host % 19));
    Node {
        members: Members::new(name(host), zone, address_of(host), 1, node_seed),
        follower: ConfigFollower::new(node_seed),
        live: true,
        answered: BTreeSet::new(),
        bytes: 0,
        messages: 0,
    }
}

fn name(host: usize) -> Name {
    Name::from(format!("host-{host:05}"))
}

fn address_of(host: usize) -> SocketAddr {
    let bits = u32::try_from(host).unwrap_or(0);
    SocketAddr::new(IpAddr::V4(Ipv4Addr::from_bits(bits)), 1)
}

fn host_of(address: SocketAddr) -> usize {
    match address.ip() {
        IpAddr::V4(ip) => ip.to_bits() as usize,
        IpAddr::V6(_) => 0,
    }
}
