//! The members that a host knows, and the probe that is under way.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
};

use goldcrest_types::{Name, Timestamp};
use rand::{
    Rng, SeedableRng,
    rngs::SmallRng,
    seq::{IndexedRandom, SliceRandom},
};

use super::{
    ANNOUNCE_PEERS, Action, Actions, Event, FORGET_AFTER, Health, INDIRECT_PROBES, MemberUpdate,
    MemberUpdates, PING_PERIOD, PING_PERIOD_SMALL, PROBE_TIMEOUT, RETRY_FAILED_EVERY, SMALL_FLEET,
    SUSPECT_TIMEOUT, UPDATES_PER_MESSAGE,
};

/// How often each piece of news is passed on, for each doubling of the fleet.
const REPEATS: u32 = 4;

#[derive(Debug, Clone)]
struct Member {
    news: MemberUpdate,
    since: Timestamp,
    tellings: u32,
}

#[derive(Debug, Clone)]
struct Probe {
    target: Name,
    started: Timestamp,
    helped: bool,
}

/// The members of the fleet as one host knows them.
#[derive(Debug, Clone)]
pub struct Members {
    own: MemberUpdate,
    others: BTreeMap<Name, Member>,
    order: VecDeque<Name>,
    eager: bool,
    pings: u32,
    probe: Option<Probe>,
    next: Timestamp,
    rng: SmallRng,
}

impl Members {
    /// A host that knows nobody else.
    #[must_use]
    pub fn new(name: Name, zone: Name, address: SocketAddr, incarnation: u64, seed: u64) -> Self {
        Self {
            own: MemberUpdate {
                name,
                zone,
                address,
                incarnation,
                health: Health::Live,
            },
            others: BTreeMap::new(),
            order: VecDeque::new(),
            eager: false,
            pings: 0,
            probe: None,
            next: Timestamp::ZERO,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Takes an event and returns what to do.
    pub fn step(&mut self, event: Event, now: Timestamp) -> Actions {
        let mut out = Actions::new();
        match event {
            Event::Tick => self.tick(now, &mut out),
            Event::Updates(news) => {
                for item in news {
                    self.learn(item, now, &mut out);
                }
            }
            Event::Answered(name) => self.answered(&name),
            Event::TimedOut(name) => self.silent(&name, &mut out),
            Event::Announce => self.eager = true,
        }
        self.push_news(&mut out);
        out
    }

    /// When [`Event::Tick`] is due.
    #[must_use]
    pub fn wake(&self) -> Timestamp {
        match &self.probe {
            Some(probe) => self.next.min(probe.started + PROBE_TIMEOUT),
            None => self.next,
        }
    }

    /// The names of the live hosts, this one included unless it leaves.
    pub fn live(&self) -> impl Iterator<Item = &Name> {
        let others = self.others.values().map(|m| &m.news);
        let all = others.chain([&self.own]);
        all.filter(|n| n.health <= Health::Suspect).map(|n| &n.name)
    }

    /// What is known of all hosts, this one first.
    pub fn all(&self) -> impl Iterator<Item = &MemberUpdate> {
        [&self.own]
            .into_iter()
            .chain(self.others.values().map(|m| &m.news))
    }

    /// Says of this host that it is leaving.
    pub fn leave(&mut self) {
        self.own.health = Health::Leaving;
        self.own.incarnation += 1;
        self.eager = true;
    }

    /// The news for the next message: this host's own, and the newest of what is still passed on.
    ///
    /// A suspect is always told of the suspicion, so that it can speak up in its answer.
    pub fn updates_for(&mut self, to: Option<&Name>) -> MemberUpdates {
        let limit = self.tellings_limit();
        let mut out = vec![self.own.clone()];
        let suspect = to.and_then(|name| self.others.get(name)).map(|m| &m.news);
        out.extend(suspect.filter(|n| n.health != Health::Live).cloned());
        let mut fresh: Vec<&mut Member> = self
            .others
            .values_mut()
            .filter(|m| m.tellings < limit)
            .collect();
        fresh.sort_by_key(|m| (Reverse(m.since), m.tellings));
        for member in fresh.into_iter().take(UPDATES_PER_MESSAGE - out.len()) {
            member.tellings += 1;
            out.push(member.news.clone());
        }
        out
    }

    /// Some live hosts for a newcomer, which then learns of the others by and by.
    pub fn join_updates(&mut self) -> MemberUpdates {
        let mut known = self.choose(UPDATES_PER_MESSAGE - 1);
        known.insert(0, self.own.clone());
        known
    }

    /// Tells some peers of a change at once.
    fn push_news(&mut self, out: &mut Actions) {
        if !std::mem::take(&mut self.eager) {
            return;
        }
        for news in self.choose(ANNOUNCE_PEERS) {
            out.push(Action::Ping(news.name, news.address));
        }
    }

    /// Live hosts, chosen anew each time.
    fn choose(&mut self, count: usize) -> Vec<MemberUpdate> {
        let others = self.others.values().map(|m| &m.news);
        let live: Vec<&MemberUpdate> = others.filter(|n| n.health == Health::Live).collect();
        let chosen = live.choose_multiple(&mut self.rng, count);
        chosen.map(|n| (*n).clone()).collect()
    }

    fn tellings_limit(&self) -> u32 {
        let size = u32::try_from(self.others.len() + 1).unwrap_or(u32::MAX);
        REPEATS * (u32::BITS - size.leading_zeros())
    }

    fn tick(&mut self, now: Timestamp, out: &mut Actions) {
        self.end_probe(now, out);
        self.bury(now, out);
        if now < self.next {
            return;
        }
        // Hosts that were started together would otherwise ping in step.
        let period = if self.others.len() < SMALL_FLEET {
            PING_PERIOD_SMALL
        } else {
            PING_PERIOD
        };
        self.next = now + period.mul_f64(0.9 + 0.2 * self.rng.random::<f64>());
        self.pings = self.pings.wrapping_add(1);
        if self.pings.is_multiple_of(RETRY_FAILED_EVERY) {
            self.retry_gone(out);
        }
        let Some(target) = self.next_target() else {
            return;
        };
        out.push(Action::Ping(target.name.clone(), target.address));
        self.probe = Some(Probe {
            target: target.name,
            started: now,
            helped: false,
        });
    }

    /// Tries a host that counts as gone. If it lives, it hears of that and speaks up.
    fn retry_gone(&mut self, out: &mut Actions) {
        let others = self.others.values().map(|m| &m.news);
        let gone: Vec<&MemberUpdate> = others.filter(|n| n.health == Health::Failed).collect();
        if let Some(news) = gone.choose(&mut self.rng) {
            out.push(Action::Ping(news.name.clone(), news.address));
        }
    }

    /// Each member in turn, in an order that is drawn anew for each round.
    fn next_target(&mut self) -> Option<MemberUpdate> {
        for _ in 0..2 {
            while let Some(name) = self.order.pop_front() {
                let known = self.others.get(&name).map(|m| &m.news);
                let probed = known.filter(|n| n.health <= Health::Suspect);
                if let Some(news) = probed {
                    return Some(news.clone());
                }
            }
            let mut names: Vec<Name> = self.others.keys().cloned().collect();
            names.shuffle(&mut self.rng);
            self.order = names.into();
        }
        None
    }

    /// Ends the probe of a host that answered. A suspicion ends by the host's own word alone, which
    /// comes with its answer.
    fn answered(&mut self, name: &Name) {
        self.probe.take_if(|p| p.target == *name);
    }

    fn silent(&mut self, name: &Name, out: &mut Actions) {
        let Some(probe) = &mut self.probe else {
            return;
        };
        if probe.target != *name || probe.helped {
            return;
        }
        probe.helped = true;
        let Some(target) = self.others.get(name).map(|m| m.news.clone()) else {
            return;
        };
        for helper in self.choose(INDIRECT_PROBES + 1) {
            if helper.name != target.name {
                out.push(Action::RequestPing {
                    helper: helper.address,
                    target: target.name.clone(),
                    address: target.address,
                });
            }
        }
    }

    fn end_probe(&mut self, now: Timestamp, out: &mut Actions) {
        let over = self
            .probe
            .take_if(|p| now.since(p.started) >= PROBE_TIMEOUT);
        let Some(probe) = over else { return };
        let Some(member) = self.others.get(&probe.target) else {
            return;
        };
        if member.news.health == Health::Live {
            let news = MemberUpdate {
                health: Health::Suspect,
                ..member.news.clone()
            };
            self.learn(news, now, out);
        }
    }

    /// Declares suspects gone whose time is over, and forgets those that are gone for long.
    fn bury(&mut self, now: Timestamp, out: &mut Actions) {
        for member in self.others.values_mut() {
            let over = now.since(member.since) >= SUSPECT_TIMEOUT;
            if member.news.health == Health::Suspect && over {
                member.news.health = Health::Failed;
                member.since = now;
                member.tellings = 0;
                out.push(Action::Changed);
            }
        }
        self.others
            .retain(|_, m| m.news.health <= Health::Suspect || now.since(m.since) < FORGET_AFTER);
    }

    /// Takes in news: a higher incarnation beats a lower one, then the worse health beats the better.
    fn learn(&mut self, news: MemberUpdate, now: Timestamp, out: &mut Actions) {
        if news.name == self.own.name {
            return self.contradict(&news);
        }
        let known = self.others.get(&news.name).map(|m| &m.news);
        let newer =
            known.is_none_or(|k| (news.incarnation, news.health) > (k.incarnation, k.health));
        if !newer {
            return;
        }
        let changed = known.is_none_or(|k| k.health != news.health);
        let name = news.name.clone();
        let member = Member {
            news,
            since: now,
            tellings: 0,
        };
        if self.others.insert(name.clone(), member).is_none() {
            let at = self.rng.random_range(0..=self.order.len());
            self.order.insert(at, name);
        }
        if changed {
            self.eager = true;
            out.push(Action::Changed);
        }
    }

    /// Speaks up against news of this host that is not true.
    fn contradict(&mut self, news: &MemberUpdate) {
        let wrong = news.health != self.own.health || news.address != self.own.address;
        if wrong && news.incarnation >= self.own.incarnation {
            self.own.incarnation = news.incarnation + 1;
            self.eager = true;
        }
    }
}
