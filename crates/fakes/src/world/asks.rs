//! Callers: they ask, and look at what they are told.

use std::collections::BTreeSet;

use goldcrest_decide::group::Event;
use goldcrest_types::{Acknowledge, Class, Consistency, Floor, Reply, RequestHead, RequestId};
use rand::Rng;

use super::{Delivery, Flight, World};
use crate::{
    callers::{Op, Record, Spoken},
    faults::Step,
};

impl World {
    pub(super) fn caller_asks(&mut self, number: usize) {
        if self.callers[number].waiting.is_some() {
            return;
        }
        self.maybe_roam(number);
        if self.quiet && self.callers[number].session.pin.is_none() {
            return;
        }
        let host = self.callers[number].host;
        if self.hosts[host].dead.is_some() {
            let think = self.plan.think;
            return self.push(think, Delivery::Ask(number));
        }
        self.numbers += 1;
        let write = self.numbers;
        let reads = self.plan.reads;
        let op = self.callers[number].next_op(write, reads, &mut self.rng);
        self.ask(number, op);
    }

    fn maybe_roam(&mut self, number: usize) {
        let caller = &self.callers[number];
        let bound = caller.session.pin.is_some();
        let dead = self.hosts[caller.host].dead.is_some();
        let wants = dead || self.rng.random_bool(self.plan.roams);
        if bound && !dead || !wants {
            return;
        }
        let hosts = self.hosts.len();
        let next = (caller.host + 1) % hosts;
        let tokens = self.plan.tokens;
        self.callers[number].roam(next, tokens);
    }

    fn ask(&mut self, number: usize, op: Op) {
        let id = RequestId(self.records.len() as u64);
        let caller = &mut self.callers[number];
        caller.waiting = Some(id);
        let idempotent = self.plan.repeatable && matches!(op, Op::Write(_));
        let head = RequestHead {
            id,
            workspace: caller.session.workspace.clone(),
            kind: op.kind(),
            class: Class::Short,
            floor: caller.session.floor(),
            max_age: caller.session.max_age,
            pin: caller.session.pin,
            idempotent,
            arrived: self.now,
            start_by: self.now + self.plan.start_limit,
            deadline: self.now + self.plan.answer_limit,
        };
        let covers = match op {
            Op::Inside(_) | Op::Commit => caller.opened.clone(),
            _ => Vec::new(),
        };
        let host = caller.host;
        self.records.push(Record {
            id,
            caller: number,
            op,
            covers,
            asked: self.now,
            told: None,
            idempotent,
        });
        let record = self.records.len() - 1;
        self.flights.insert(id, Flight { record, ran: None });
        let life = self.hosts[host].life;
        let event = Event::Request(head);
        if matches!(op, Op::Write(_)) {
            self.reach(Step::Asked, Some(id));
        }
        let delay = std::time::Duration::ZERO;
        self.push(delay, Delivery::Host(host, life, event));
    }

    /// Tells a caller how its request ended.
    pub(super) fn end(&mut self, record: usize, reply: &Reply, spoken: Spoken) {
        let number = self.records[record].caller;
        let caller = &mut self.callers[number];
        if caller.waiting != Some(reply.id) {
            self.stale
                .push(format!("{} was answered to another", reply.id));
            return;
        }
        caller.waiting = None;
        caller.session.apply_reply(reply);
        self.look(record, &spoken);
        self.records[record].told = Some((self.now, spoken));
        self.after(record);
        let think = self.plan.think;
        self.push(think, Delivery::Ask(number));
    }

    fn after(&mut self, record: usize) {
        let Record { id, op, .. } = self.records[record];
        match op {
            Op::Begin => self.reach(Step::Begun, Some(id)),
            Op::Inside(_) => self.reach(Step::Inside, Some(id)),
            Op::Write(_) => self.reach(Step::Answered, Some(id)),
            _ => {}
        }
    }

    /// Compares what a caller is told with what it was told before.
    fn look(&mut self, record: usize, spoken: &Spoken) {
        let Record {
            id, op, ref covers, ..
        } = self.records[record];
        let number = self.records[record].caller;
        let caller = &mut self.callers[number];
        match (spoken, op) {
            (Spoken::Done(_), Op::Write(write)) => {
                caller.acked.insert(write);
            }
            (Spoken::Done(_), Op::Commit) => caller.acked.extend(covers),
            (Spoken::WriteLost, _) => {
                // The caller knows now that earlier work may be gone.
                caller.acked.clear();
                caller.seen.clear();
            }
            (Spoken::Done(seen), Op::Read) => {
                self.look_at_read(id, number, seen);
                self.callers[number].seen.extend(seen);
            }
            _ => {}
        }
    }

    fn look_at_read(&mut self, id: RequestId, number: usize, seen: &[u64]) {
        let caller = &self.callers[number];
        let mut known = caller.acked.clone();
        if self.plan.consistency == Consistency::Monotonic {
            known.extend(&caller.seen);
        }
        let mut missing: Vec<u64> = known.into_iter().filter(|w| !seen.contains(w)).collect();
        if self.may_forget() {
            let kept: BTreeSet<u64> = self.newest_log().into_iter().flatten().collect();
            missing.retain(|w| kept.contains(w));
        }
        if !missing.is_empty() {
            let text = format!("{id} did not see writes {missing:?} of its caller");
            self.stale.push(text);
        }
    }

    /// Whether a session may not learn of a write that a failover dropped: only a majority's hold
    /// prevents the loss, and only a token carries the floor that names it to a later session.
    fn may_forget(&self) -> bool {
        self.plan.acknowledge == Acknowledge::Primary && !self.plan.tokens
    }

    /// Ends the requests of callers whose host died.
    pub(super) fn host_gone(&mut self, host: usize) {
        for number in 0..self.callers.len() {
            if self.callers[number].host != host {
                continue;
            }
            let Some(id) = self.callers[number].waiting else {
                self.callers[number].session.pin = None;
                continue;
            };
            let Some(flight) = self.flights.remove(&id) else {
                continue;
            };
            let reply = Reply {
                id,
                result: Err(goldcrest_types::Refusal::TransactionLost),
                floor: Floor::Unknown,
                pin: None,
            };
            let floor = self.callers[number].session.floor();
            self.end(flight.record, &Reply { floor, ..reply }, Spoken::HostGone);
        }
    }
}
