//! Many hosts that know of each other by heartbeats alone, in virtual time.

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

/// Bytes of a greeting beside its news, with framing.
const GREETING_BYTES: u64 = 200;

/// Bytes of one piece of news beside its names.
const NEWS_BYTES: u64 = 40;

/// How a fleet's hosts reach each other.
#[derive(Debug, Clone, Copy)]
pub struct GossipPlan {
    /// Hosts.
    pub hosts: usize,
    /// The seed of all random choices.
    pub seed: u64,
    /// The one-way latency between hosts.
    pub latency: Duration,
    /// The share of messages that are lost.
    pub loss: f64,
}

#[derive(Debug, Clone)]
enum Delivery {
    Tick(usize),
    Ping(usize, usize, MemberUpdates, Option<ConfigHead>),
    Answer(usize, usize, MemberUpdates, Option<ConfigHead>),
    Silent(usize, usize),
    Help(usize, usize, usize),
    Helped(usize, usize),
}

#[derive(Debug, Clone)]
struct Node {
    members: Members,
    follower: ConfigFollower,
    alive: bool,
    answered: BTreeSet<usize>,
    bytes: u64,
    messages: u64,
}

/// The hosts and their messages.
#[derive(Debug, Clone)]
pub struct GossipWorld {
    plan: GossipPlan,
    now: Timestamp,
    queue: BTreeMap<(Timestamp, u64), Delivery>,
    sequence: u64,
    nodes: Vec<Node>,
    index: BTreeMap<Name, usize>,
    rng: SmallRng,
    cut: usize,
}

impl GossipWorld {
    /// Hosts that all know each other.
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
            cut: 0,
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

    /// Lets time pass until a condition holds, and returns how long that took.
    pub fn run_until<F>(&mut self, limit: Duration, holds: F) -> Option<Duration>
    where
        F: Fn(&Self) -> bool,
    {
        const STEP: Duration = Duration::from_millis(50);
        let start = self.now;
        while self.now.since(start) < limit {
            self.run_for(STEP);
            if holds(self) {
                return Some(self.now.since(start));
            }
        }
        None
    }

    /// Cuts the first `count` hosts off from the others. Zero ends the cut.
    pub fn partition(&mut self, count: usize) {
        self.cut = count;
    }

    /// A host dies.
    pub fn kill(&mut self, host: usize) {
        self.nodes[host].alive = false;
    }

    /// A host says that it is leaving.
    pub fn leave(&mut self, host: usize) {
        self.nodes[host].members.leave();
    }

    /// A change is accepted at a host.
    pub fn change(&mut self, host: usize, revision: u64) {
        let head = ConfigHead {
            revision,
            hash: Name::from("declaration"),
            preset: Preset::Peak,
            change: ChangeId(revision),
        };
        self.nodes[host].offer(head, self.now);
        self.step(host, Event::Announce);
    }

    /// Whether all other live hosts hold that a host is of this health or worse.
    #[must_use]
    pub fn all_know(&self, host: usize, health: Health) -> bool {
        let name = name(host);
        let others = self.nodes.iter().enumerate();
        let mut others = others.filter(|(h, n)| *h != host && n.alive);
        others.all(|(_, n)| {
            let known = n.members.all().find(|news| news.name == name);
            known.is_none_or(|news| news.health >= health)
        })
    }

    /// Whether some live host holds another live host for gone.
    #[must_use]
    pub fn has_false_failure(&self) -> bool {
        let alive = |name: &Name| self.index.get(name).is_some_and(|h| self.nodes[*h].alive);
        let live = self.nodes.iter().filter(|n| n.alive);
        let mut news = live.flat_map(|n| n.members.all());
        news.any(|n| n.health == Health::Failed && alive(&n.name))
    }

    /// Whether all live hosts have a revision in force.
    #[must_use]
    pub fn all_have_revision(&self, revision: u64) -> bool {
        let mut live = self.nodes.iter().filter(|n| n.alive);
        live.all(|n| n.follower.current().is_some_and(|h| h.revision >= revision))
    }

    /// Messages and bytes that the busiest host sent and got so far.
    #[must_use]
    pub fn busiest(&self) -> (u64, u64) {
        let nodes = self.nodes.iter().map(|n| (n.messages, n.bytes));
        nodes.max_by_key(|(_, bytes)| *bytes).unwrap_or_default()
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Tick(host) => self.tick(host),
            Delivery::Ping(from, to, news, head) => {
                if self.receive(to, news, head) {
                    self.send(to, from, false);
                }
            }
            Delivery::Answer(from, to, news, head) => {
                if self.receive(to, news, head) {
                    self.nodes[to].answered.insert(from);
                    self.step(to, Event::Answered(name(from)));
                }
            }
            Delivery::Silent(host, target) => {
                if !self.nodes[host].answered.contains(&target) {
                    self.step(host, Event::TimedOut(name(target)));
                }
            }
            Delivery::Help(helper, host, target) => {
                let reached = self.nodes[helper].alive
                    && self.nodes[target].alive
                    && !self.is_cut(helper, host)
                    && !self.is_cut(helper, target);
                if reached && !self.is_lost() && !self.is_lost() {
                    let delay = self.plan.latency * 3;
                    self.push(delay, Delivery::Helped(host, target));
                }
            }
            Delivery::Helped(host, target) => self.step(host, Event::Answered(name(target))),
        }
    }

    fn tick(&mut self, host: usize) {
        if !self.nodes[host].alive {
            return;
        }
        self.step(host, Event::Tick);
        let wake = self.nodes[host].members.wake();
        let pause = wake.since(self.now).max(Duration::from_millis(1));
        self.push(pause, Delivery::Tick(host));
    }

    fn step(&mut self, host: usize, event: Event) {
        if !self.nodes[host].alive {
            return;
        }
        let actions = self.nodes[host].members.step(event, self.now);
        for action in actions {
            match action {
                Action::Ping(target, _) => {
                    let to = self.index[&target];
                    self.nodes[host].answered.remove(&to);
                    self.send(host, to, true);
                    self.push(PING_TIMEOUT, Delivery::Silent(host, to));
                }
                Action::RequestPing { helper, target, .. } => {
                    let target = self.index[&target];
                    let helper = host_of(helper);
                    let delay = self.plan.latency;
                    self.push(delay, Delivery::Help(helper, host, target));
                }
                Action::Changed => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, ping: bool) {
        let target = name(to);
        let news = self.nodes[from].members.updates_for(Some(&target));
        let head = self.nodes[from].follower.current().cloned();
        self.nodes[from].count(&news);
        if self.is_lost() || self.is_cut(from, to) {
            return;
        }
        let delivery = if ping {
            Delivery::Ping(from, to, news, head)
        } else {
            Delivery::Answer(from, to, news, head)
        };
        self.push(self.plan.latency, delivery);
    }

    fn receive(&mut self, to: usize, news: MemberUpdates, head: Option<ConfigHead>) -> bool {
        if !self.nodes[to].alive {
            return false;
        }
        self.nodes[to].count(&news);
        self.step(to, Event::Updates(news));
        if let Some(head) = head
            && self.nodes[to].offer(head, self.now)
        {
            self.step(to, Event::Announce);
        }
        true
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        (a < self.cut) != (b < self.cut)
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
    /// Takes up a revision, if it is newer. Its document is taken to come at once.
    fn offer(&mut self, head: ConfigHead, now: Timestamp) -> bool {
        match self.follower.offer(head, now) {
            Offer::Stale => false,
            Offer::Adopted => true,
            Offer::Fetch(hash) => self.follower.fetched(&hash),
        }
    }

    fn count(&mut self, news: &MemberUpdates) {
        let bytes = news
            .iter()
            .map(|n| NEWS_BYTES + (n.name.len() + n.zone.len()) as u64);
        self.messages += 1;
        self.bytes += GREETING_BYTES + bytes.sum::<u64>();
    }
}

fn node(host: usize, seed: u64) -> Node {
    let own = seed ^ (host as u64).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    let zone = Name::from(format!("region-{}-zone-{}", host % 8, host % 19));
    Node {
        members: Members::new(name(host), zone, address_of(host), 1, own),
        follower: ConfigFollower::new(own),
        alive: true,
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
