//! Decides how many connections a host keeps and how many bytes each of them may make it hold.
//!
//! Load: crowds of clients that send large messages at once, or stop half-way, or take no answers. A
//! client gets a grant before its bytes are read. Grants are given in order of request. When one has
//! to wait, the client that has been sending a message or taking an answer for longest is closed, since
//! it holds much and is slow. Statements that run are left alone: they end by their deadlines.

mod model;
mod pools;

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use goldcrest_types::Timestamp;
use smallvec::SmallVec;

pub use self::{
    model::{Decision, Decisions, HolderId, Reason, Use},
    pools::{BASE_BYTES, Pool},
};
use self::{
    model::{Holder, Phase},
    pools::{Charge, Pools, charge, covers},
};

/// How long a request for a grant waits before the slowest client makes room for it.
const PATIENCE: Duration = Duration::from_secs(1);

/// How long a client may take for a message or an answer before it is closed for one that waits. A
/// message of 1 MiB takes 0.9 s on a link of 10 Mbit/s.
const SLOW_AFTER: Duration = Duration::from_secs(2);

/// How long a request for a grant waits at most.
const WAIT_LIMIT: Duration = Duration::from_secs(15);

/// How long a client may take to send a message that it has begun.
const MESSAGE_TIME: Duration = Duration::from_mins(2);

/// Descriptors that files take.
const FILE_DESCRIPTORS: u64 = 200;

/// The share of the other descriptors that clients may use, in tenths. The rest is for endpoints,
/// hosts, the store and the pages.
const CLIENT_TENTHS: u64 = 8;

#[derive(Debug)]
struct Waiting {
    id: HolderId,
    purpose: Use,
    charge: Charge,
    since: Timestamp,
}

/// The connections and bytes that clients make a host hold.
#[derive(Debug)]
pub struct Budget {
    pools: Pools,
    /// Connections of clients that the host keeps, if they are limited.
    connections: Option<usize>,
    clients: usize,
    holders: BTreeMap<HolderId, Holder>,
    waiting: VecDeque<Waiting>,
    next: u64,
}

impl Budget {
    /// Creates the budget of a process with this memory in bytes and this number of descriptors. What
    /// is not given is not limited.
    #[must_use]
    pub fn new(memory: Option<u64>, descriptors: Option<u64>) -> Self {
        let connections = descriptors.map(|all| {
            let clients = all.saturating_sub(FILE_DESCRIPTORS) * CLIENT_TENTHS / 10;
            usize::try_from(clients).unwrap_or(usize::MAX).max(1)
        });
        Self {
            pools: Pools::new(memory),
            connections,
            clients: 0,
            holders: BTreeMap::new(),
            waiting: VecDeque::new(),
            next: 0,
        }
    }

    /// Accepts a client's connection. At the limit, the oldest one without a session is closed for
    /// it; if all have sessions, it gets no id.
    pub fn connect(&mut self) -> (Option<HolderId>, Decisions) {
        let mut out = Decisions::new();
        if self.connections.is_some_and(|limit| self.clients >= limit) {
            let unstarted = self
                .holders
                .iter()
                .find(|(_, h)| h.is_client && !h.started && !h.closed);
            let Some(oldest) = unstarted.map(|(id, _)| *id) else {
                return (None, out);
            };
            self.close(oldest, Reason::NotStarted, &mut out);
        }
        self.clients += 1;
        (Some(self.add(true)), out)
    }

    /// Adds a connection to an endpoint.
    pub fn attach(&mut self) -> HolderId {
        self.add(false)
    }

    fn add(&mut self, is_client: bool) -> HolderId {
        let id = HolderId(self.next);
        self.next += 1;
        self.holders.insert(id, Holder::new(is_client));
        id
    }

    /// Notes that a client has a session.
    pub fn started(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.started = true;
            holder.phase = Phase::Running;
        }
    }

    /// Requests that a connection may hold `bytes` for a purpose in all. Returns whether it may now;
    /// if not, a decision follows.
    pub fn request(&mut self, id: HolderId, purpose: Use, bytes: usize, now: Timestamp) -> bool {
        let Some(holder) = self.holders.get_mut(&id) else {
            return false;
        };
        if purpose == Use::Message && holder.phase == Phase::Idle {
            holder.phase = Phase::Receiving(now);
        }
        let held = *holder.slot(purpose);
        let Some(charge) = charge(purpose, bytes).filter(|c| !covers(held, *c)) else {
            return !holder.closed;
        };
        if holder.closed {
            return false;
        }
        let is_first = self.waiting.iter().all(|w| w.charge.pool != charge.pool);
        if is_first && self.grant(id, purpose, charge) {
            return true;
        }
        if self.waiting.iter().all(|waiting| waiting.id != id) {
            self.waiting.push_back(Waiting {
                id,
                purpose,
                charge,
                since: now,
            });
        }
        false
    }

    /// Takes a charge in place of the present one if there is room.
    fn grant(&mut self, id: HolderId, purpose: Use, charge: Charge) -> bool {
        let Some(holder) = self.holders.get_mut(&id) else {
            return false;
        };
        let held = *holder.slot(purpose);
        let same = held.filter(|held| held.pool == charge.pool);
        let more = charge.bytes - same.map_or(0, |held| held.bytes.min(charge.bytes));
        if !self.pools.has_room(charge.pool, more) {
            return false;
        }
        *holder.slot(purpose) = Some(charge);
        if let Some(held) = held {
            self.pools.give_back(held);
        }
        self.pools.take(charge);
        true
    }

    /// Keeps bytes between messages, in place of those that were kept for this purpose before. Returns false
    /// if there is no room for them.
    pub fn keep(&mut self, id: HolderId, purpose: Use, bytes: usize) -> bool {
        let Some(charge) = charge(purpose, bytes) else {
            self.replace(id, purpose, None);
            return true;
        };
        self.grant(id, purpose, charge)
    }

    /// Notes that the message of a client is complete and runs.
    pub fn run(&mut self, id: HolderId) {
        self.set_phase(id, Phase::Running);
    }

    /// Notes that `bytes` of a client's next message are held, and nothing of the earlier ones.
    pub fn finish_message(&mut self, id: HolderId, bytes: usize, now: Timestamp) -> Decisions {
        let phase = if bytes == 0 {
            Phase::Idle
        } else {
            Phase::Receiving(now)
        };
        self.set_phase(id, phase);
        if !self.replace(id, Use::Message, charge(Use::Message, bytes)) {
            return Decisions::new();
        }
        self.grant_waiting()
    }

    /// Notes that a client gets an answer of `bytes`. Where there is no room, the clients that have
    /// been taking theirs for longest are closed.
    pub fn send(&mut self, id: HolderId, bytes: usize, now: Timestamp) -> Decisions {
        let mut out = Decisions::new();
        self.set_phase(id, Phase::Sending(now));
        self.replace(id, Use::Answer, charge(Use::Answer, bytes));
        while self.pools.is_over(Pool::Answers) {
            let Some(slow) = self.slowest(Pool::Answers, Some(id), now, Duration::ZERO) else {
                break;
            };
            self.close(slow, Reason::Slow, &mut out);
        }
        out
    }

    /// Notes that a client has its answer, or that a connection to an endpoint holds none any longer.
    pub fn finish_answer(&mut self, id: HolderId) -> Decisions {
        self.set_phase(id, Phase::Running);
        if !self.replace(id, Use::Answer, None) {
            return Decisions::new();
        }
        self.grant_waiting()
    }

    /// Removes a connection.
    pub fn remove(&mut self, id: HolderId) -> Decisions {
        self.waiting.retain(|waiting| waiting.id != id);
        for purpose in Use::ALL {
            self.replace(id, purpose, None);
        }
        if let Some(holder) = self.holders.remove(&id)
            && holder.is_client
            && !holder.closed
        {
            self.clients -= 1;
        }
        self.grant_waiting()
    }

    /// Closes what has taken too long, and the slowest client for each part in which a request waits.
    pub fn tick(&mut self, now: Timestamp) -> Decisions {
        let mut out = Decisions::new();
        let overdue: Vec<HolderId> = self
            .holders
            .iter()
            .filter(|(_, h)| matches!(h.phase, Phase::Receiving(t) if now.since(t) >= MESSAGE_TIME))
            .map(|(id, _)| *id)
            .collect();
        for id in overdue {
            self.close(id, Reason::MessageTime, &mut out);
        }
        while let Some(first) = self.waiting.front()
            && now.since(first.since) >= WAIT_LIMIT
        {
            let id = first.id;
            self.close(id, Reason::NoMemory, &mut out);
        }
        for pool in [Pool::Medium, Pool::Large, Pool::Answers] {
            let waits = self.waiting.iter().find(|w| w.charge.pool == pool);
            if waits.is_some_and(|w| now.since(w.since) >= PATIENCE)
                && let Some(slow) = self.slowest(pool, None, now, SLOW_AFTER)
            {
                self.close(slow, Reason::Slow, &mut out);
            }
        }
        out.extend(self.grant_waiting());
        out
    }

    /// The bytes that clients make the host hold at present, as they are counted.
    #[must_use]
    pub fn used(&self) -> usize {
        self.pools.used()
    }

    /// The number of clients' connections.
    #[must_use]
    pub fn clients(&self) -> usize {
        self.clients
    }

    /// Returns the connection that holds a grant and has been in the hands of its client for longest,
    /// at least for `least`, other than `except`.
    fn slowest(
        &self,
        pool: Pool,
        except: Option<HolderId>,
        now: Timestamp,
        least: Duration,
    ) -> Option<HolderId> {
        let held = |charge: Option<Charge>| charge.is_some_and(|c| c.pool == pool);
        let since = |holder: &Holder| match holder.phase {
            Phase::Receiving(since) if held(holder.message) => Some(since),
            Phase::Sending(since) if held(holder.answer) || held(holder.message) => Some(since),
            _ => None,
        };
        let open = self.holders.iter().filter(|(_, holder)| !holder.closed);
        let slow = open.filter(|(id, _)| Some(**id) != except);
        slow.filter_map(|(id, holder)| Some((since(holder)?, *id)))
            .filter(|(since, _)| now.since(*since) >= least)
            .min()
            .map(|(_, id)| id)
    }

    fn close(&mut self, id: HolderId, reason: Reason, out: &mut Decisions) {
        self.waiting.retain(|waiting| waiting.id != id);
        let Some(holder) = self.holders.get_mut(&id) else {
            return;
        };
        if holder.closed {
            return;
        }
        holder.closed = true;
        holder.phase = Phase::Idle;
        self.clients -= usize::from(holder.is_client);
        for purpose in Use::ALL {
            self.replace(id, purpose, None);
        }
        out.push(Decision::Close(id, reason));
    }

    fn set_phase(&mut self, id: HolderId, phase: Phase) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.phase = phase;
        }
    }

    /// Replaces a charge, also if there is no room. Returns whether there was one before.
    fn replace(&mut self, id: HolderId, purpose: Use, charge: Option<Charge>) -> bool {
        let Some(holder) = self.holders.get_mut(&id) else {
            return false;
        };
        let charge = charge.filter(|_| !holder.closed);
        let held = std::mem::replace(holder.slot(purpose), charge);
        if let Some(held) = held {
            self.pools.give_back(held);
        }
        if let Some(charge) = charge {
            self.pools.take(charge);
        }
        held.is_some()
    }

    /// Grants the requests that have room now, in order within each part.
    fn grant_waiting(&mut self) -> Decisions {
        let mut out = Decisions::new();
        if self.waiting.is_empty() {
            return out;
        }
        let mut blocked: SmallVec<[Pool; 4]> = SmallVec::new();
        for waiting in std::mem::take(&mut self.waiting) {
            let pool = waiting.charge.pool;
            if !blocked.contains(&pool) && self.grant(waiting.id, waiting.purpose, waiting.charge) {
                out.push(Decision::Grant(waiting.id));
            } else {
                blocked.push(pool);
                self.waiting.push_back(waiting);
            }
        }
        out
    }
}
