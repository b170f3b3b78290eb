//! The member list of a host, and its probe in progress.

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

/// How often each update is gossiped, for each doubling of the fleet.
const GOSSIP_FACTOR: u32 = 4;

#[derive(Debug, Clone)]
struct Member {
    update: MemberUpdate,
    /// When the update was received or made.
    since: Timestamp,
    /// How often the update was gossiped.
    times_sent: u32,
}

#[derive(Debug, Clone)]
struct Probe {
    target: Name,
    sent_at: Timestamp,
    /// Whether the direct ping timed out and other hosts were requested to ping the target.
    is_indirect: bool,
}

/// The members of the fleet that one host knows, by a SWIM-style membership protocol.
#[derive(Debug, Clone)]
pub struct Members {
    own: MemberUpdate,
    others: BTreeMap<Name, Member>,
    /// The hosts still to be probed in the current round.
    probe_order: VecDeque<Name>,
    /// Whether some hosts are to be pinged at once, to announce a change.
    announce_due: bool,
    /// The number of pings sent, which wraps around.
    pings: u32,
    probe: Option<Probe>,
    next_ping: Timestamp,
    rng: SmallRng,
}

impl Members {
    /// Creates the member list of a host that knows no other host.
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
            probe_order: VecDeque::new(),
            announce_due: false,
            pings: 0,
            probe: None,
            next_ping: Timestamp::ZERO,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Processes an event and returns the actions to carry out.
    pub fn step(&mut self, event: Event, now: Timestamp) -> Actions {
        let mut out = Actions::new();
        match event {
            Event::Tick => self.on_tick(now, &mut out),
            Event::Updates(updates) => {
                for update in updates {
                    self.merge(update, now, &mut out);
                }
            }
            Event::Answered(name) => self.on_answer(&name),
            Event::TimedOut(name) => self.on_timeout(&name, &mut out),
            Event::Announce => self.announce_due = true,
        }
        self.announce(&mut out);
        out
    }

    /// When [`Event::Tick`] must be delivered at the latest.
    #[must_use]
    pub fn wake(&self) -> Timestamp {
        match &self.probe {
            Some(probe) => self.next_ping.min(probe.sent_at + PROBE_TIMEOUT),
            None => self.next_ping,
        }
    }

    /// The names of the live and suspected hosts, including this one unless it is leaving.
    pub fn live(&self) -> impl Iterator<Item = &Name> {
        let others = self.others.values().map(|m| &m.update);
        let all = others.chain([&self.own]);
        all.filter(|n| n.health <= Health::Suspect).map(|n| &n.name)
    }

    /// The latest update of every known host, this host's first.
    pub fn all(&self) -> impl Iterator<Item = &MemberUpdate> {
        [&self.own]
            .into_iter()
            .chain(self.others.values().map(|m| &m.update))
    }

    /// Announces that this host is leaving.
    pub fn leave(&mut self) {
        self.own.health = Health::Leaving;
        self.own.incarnation += 1;
        self.announce_due = true;
    }

    /// The updates for the next message to `to`: this host's own, and the newest of those that have
    /// not been gossiped often enough yet.
    ///
    /// A host that does not count as live always gets the update about itself, so that it can refute
    /// it in its answer.
    pub fn updates_for(&mut self, to: Option<&Name>) -> MemberUpdates {
        let limit = self.times_sent_limit();
        let mut out = vec![self.own.clone()];
        let known = to.and_then(|name| self.others.get(name)).map(|m| &m.update);
        out.extend(known.filter(|n| n.health != Health::Live).cloned());
        let mut pending: Vec<&mut Member> = self
            .others
            .values_mut()
            .filter(|m| m.times_sent < limit)
            .collect();
        pending.sort_by_key(|m| (Reverse(m.since), m.times_sent));
        for member in pending.into_iter().take(UPDATES_PER_MESSAGE - out.len()) {
            member.times_sent += 1;
            out.push(member.update.clone());
        }
        out
    }

    /// The updates for a host that joins: this host and some other live ones. The new host learns of
    /// the others by gossip.
    pub fn join_updates(&mut self) -> MemberUpdates {
        let mut known = self.sample(UPDATES_PER_MESSAGE - 1);
        known.insert(0, self.own.clone());
        known
    }

    /// Pings some live hosts at once if there is a change to announce.
    fn announce(&mut self, out: &mut Actions) {
        if !std::mem::take(&mut self.announce_due) {
            return;
        }
        for update in self.sample(ANNOUNCE_PEERS) {
            out.push(Action::Ping(update.name, update.address));
        }
    }

    /// A random sample of the live hosts.
    fn sample(&mut self, count: usize) -> Vec<MemberUpdate> {
        let others = self.others.values().map(|m| &m.update);
        let live: Vec<&MemberUpdate> = others.filter(|n| n.health == Health::Live).collect();
        let chosen = live.choose_multiple(&mut self.rng, count);
        chosen.map(|n| (*n).clone()).collect()
    }

    fn times_sent_limit(&self) -> u32 {
        let size = u32::try_from(self.others.len() + 1).unwrap_or(u32::MAX);
        GOSSIP_FACTOR * (u32::BITS - size.leading_zeros())
    }

    fn on_tick(&mut self, now: Timestamp, out: &mut Actions) {
        self.end_probe(now, out);
        self.expire_members(now, out);
        if now < self.next_ping {
            return;
        }
        // Jitter, as hosts that were started together would otherwise ping at the same time.
        let period = if self.others.len() < SMALL_FLEET {
            PING_PERIOD_SMALL
        } else {
            PING_PERIOD
        };
        self.next_ping = now + period.mul_f64(0.9 + 0.2 * self.rng.random::<f64>());
        self.pings = self.pings.wrapping_add(1);
        if self.pings.is_multiple_of(RETRY_FAILED_EVERY) {
            self.probe_failed_host(out);
        }
        let Some(target) = self.next_target() else {
            return;
        };
        out.push(Action::Ping(target.name.clone(), target.address));
        self.probe = Some(Probe {
            target: target.name,
            sent_at: now,
            is_indirect: false,
        });
    }

    /// Pings a random host that counts as failed. If it is live, it refutes that in its answer.
    fn probe_failed_host(&mut self, out: &mut Actions) {
        let others = self.others.values().map(|m| &m.update);
        let failed: Vec<&MemberUpdate> = others.filter(|n| n.health == Health::Failed).collect();
        if let Some(update) = failed.choose(&mut self.rng) {
            out.push(Action::Ping(update.name.clone(), update.address));
        }
    }

    /// The next member to probe: each in turn, in an order that is shuffled for each round.
    fn next_target(&mut self) -> Option<MemberUpdate> {
        for _ in 0..2 {
            while let Some(name) = self.probe_order.pop_front() {
                let known = self.others.get(&name).map(|m| &m.update);
                let probed = known.filter(|n| n.health <= Health::Suspect);
                if let Some(update) = probed {
                    return Some(update.clone());
                }
            }
            let mut names: Vec<Name> = self.others.keys().cloned().collect();
            names.shuffle(&mut self.rng);
            self.probe_order = names.into();
        }
        None
    }

    /// Ends the probe of a host that answered. A suspicion ends only with an update from the host
    /// itself, which comes with its answer.
    fn on_answer(&mut self, name: &Name) {
        self.probe.take_if(|p| p.target == *name);
    }

    fn on_timeout(&mut self, name: &Name, out: &mut Actions) {
        let Some(probe) = &mut self.probe else {
            return;
        };
        if probe.target != *name || probe.is_indirect {
            return;
        }
        probe.is_indirect = true;
        let Some(target) = self.others.get(name).map(|m| m.update.clone()) else {
            return;
        };
        for helper in self.sample(INDIRECT_PROBES + 1) {
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
        let expired = self
            .probe
            .take_if(|p| now.since(p.sent_at) >= PROBE_TIMEOUT);
        let Some(probe) = expired else { return };
        let Some(member) = self.others.get(&probe.target) else {
            return;
        };
        if member.update.health == Health::Live {
            let update = MemberUpdate {
                health: Health::Suspect,
                ..member.update.clone()
            };
            self.merge(update, now, out);
        }
    }

    /// Declares hosts failed that were suspected for [`SUSPECT_TIMEOUT`], and forgets those that left
    /// or failed [`FORGET_AFTER`] ago.
    fn expire_members(&mut self, now: Timestamp, out: &mut Actions) {
        for member in self.others.values_mut() {
            let expired = now.since(member.since) >= SUSPECT_TIMEOUT;
            if member.update.health == Health::Suspect && expired {
                member.update.health = Health::Failed;
                member.since = now;
                member.times_sent = 0;
                out.push(Action::Changed);
            }
        }
        self.others
            .retain(|_, m| m.update.health <= Health::Suspect || now.since(m.since) < FORGET_AFTER);
    }

    /// Merges an update: a higher incarnation overrides a lower one, and at the same incarnation a
    /// worse health overrides a better one.
    fn merge(&mut self, update: MemberUpdate, now: Timestamp, out: &mut Actions) {
        if update.name == self.own.name {
            return self.refute(&update);
        }
        let known = self.others.get(&update.name).map(|m| &m.update);
        let newer =
            known.is_none_or(|k| (update.incarnation, update.health) > (k.incarnation, k.health));
        if !newer {
            return;
        }
        let changed = known.is_none_or(|k| k.health != update.health);
        let name = update.name.clone();
        let member = Member {
            update,
            since: now,
            times_sent: 0,
        };
        if self.others.insert(name.clone(), member).is_none() {
            let at = self.rng.random_range(0..=self.probe_order.len());
            self.probe_order.insert(at, name);
        }
        if changed {
            self.announce_due = true;
            out.push(Action::Changed);
        }
    }

    /// Refutes a wrong update about this host by raising its incarnation.
    fn refute(&mut self, update: &MemberUpdate) {
        let wrong = update.health != self.own.health || update.address != self.own.address;
        if wrong && update.incarnation >= self.own.incarnation {
            self.own.incarnation = update.incarnation + 1;
            self.announce_due = true;
        }
    }
}
