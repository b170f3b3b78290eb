//! Clients: they ask, and look at what they are told.

use std::collections::BTreeSet;

use goldcrest_decide::group::Event;
use goldcrest_types::{Acknowledge, Class, Consistency, Floor, Reply, RequestHead, RequestId};
use rand::Rng;

use super::{Delivery, Flight, World};
use crate::{
    clients::{ClientOutcome, Op, Record},
    faults::Step,
};

impl World {
    pub(super) fn client_requests(&mut self, number: usize) {
        if self.clients[number].waiting.is_some() {
            return;
        }
        self.maybe_roam(number);
        if self.quiet && self.clients[number].session.pin.is_none() {
            return;
        }
        let host = self.clients[number].host;
        if self.hosts[host].dead.is_some() {
            let think = self.plan.think_time;
            return self.push(think, Delivery::Ask(number));
        }
        self.numbers += 1;
        let write = self.numbers;
        let reads = self.plan.read_share;
        let op = self.clients[number].next_op(write, reads, &mut self.rng);
        self.ask(number, op);
    }

    fn maybe_roam(&mut self, number: usize) {
        let client = &self.clients[number];
        let bound = client.session.pin.is_some();
        let dead = self.hosts[client.host].dead.is_some();
        let wants = dead || self.rng.random_bool(self.plan.roam_share);
        if bound && !dead || !wants {
            return;
        }
        let hosts = self.hosts.len();
        let next = (client.host + 1) % hosts;
        let tokens = self.plan.tokens;
        self.clients[number].roam(next, tokens);
    }

    fn ask(&mut self, number: usize, op: Op) {
        let id = RequestId(self.records.len() as u64);
        let client = &mut self.clients[number];
        client.waiting = Some(id);
        let idempotent = self.plan.repeatable && matches!(op, Op::Write(_));
        let head = RequestHead {
            id,
            workspace: client.session.workspace.clone(),
            kind: op.kind(),
            class: Class::Short,
            floor: client.session.floor(),
            max_age: client.session.max_age,
            pin: client.session.pin,
            idempotent,
            arrived: self.now,
            start_by: self.now + self.plan.start_limit,
            deadline: self.now + self.plan.answer_limit,
        };
        let covers = match op {
            Op::TransactionWrite(_) | Op::Commit => client.opened.clone(),
            _ => Vec::new(),
        };
        let host = client.host;
        self.records.push(Record {
            id,
            client: number,
            op,
            covers,
            sent_at: self.now,
            outcome: None,
            idempotent,
        });
        let record = self.records.len() - 1;
        self.flights.insert(id, Flight { record, ran: None });
        let life = self.hosts[host].life;
        let event = Event::Request(head);
        if matches!(op, Op::Write(_)) {
            self.reach(Step::Received, Some(id));
        }
        let delay = std::time::Duration::ZERO;
        self.push(delay, Delivery::Host(host, life, event));
    }

    /// Tells a client how its request ended.
    pub(super) fn end(&mut self, record: usize, reply: &Reply, outcome: ClientOutcome) {
        let number = self.records[record].client;
        let client = &mut self.clients[number];
        if client.waiting != Some(reply.id) {
            self.stale
                .push(format!("{} was answered to another", reply.id));
            return;
        }
        client.waiting = None;
        client.session.apply_reply(reply);
        self.look(record, &outcome);
        self.records[record].outcome = Some((self.now, outcome));
        self.after(record);
        let think = self.plan.think_time;
        self.push(think, Delivery::Ask(number));
    }

    fn after(&mut self, record: usize) {
        let Record { id, op, .. } = self.records[record];
        match op {
            Op::Begin => self.reach(Step::Begun, Some(id)),
            Op::TransactionWrite(_) => self.reach(Step::TransactionWrite, Some(id)),
            Op::Write(_) => self.reach(Step::Answered, Some(id)),
            _ => {}
        }
    }

    /// Compares what a client is told with what it was told before.
    fn look(&mut self, record: usize, outcome: &ClientOutcome) {
        let Record {
            id, op, ref covers, ..
        } = self.records[record];
        let number = self.records[record].client;
        let client = &mut self.clients[number];
        match (outcome, op) {
            (ClientOutcome::Done(_), Op::Write(write)) => {
                client.acked.insert(write);
            }
            (ClientOutcome::Done(_), Op::Commit) => client.acked.extend(covers),
            (ClientOutcome::WriteLost, _) => {
                // The client knows now that earlier work may be gone.
                client.acked.clear();
                client.seen.clear();
            }
            (ClientOutcome::Done(seen), Op::Read) => {
                self.look_at_read(id, number, seen);
                self.clients[number].seen.extend(seen);
            }
            _ => {}
        }
    }

    fn look_at_read(&mut self, id: RequestId, number: usize, seen: &[u64]) {
        let client = &self.clients[number];
        let mut known = client.acked.clone();
        if self.plan.consistency == Consistency::Monotonic {
            known.extend(&client.seen);
        }
        let mut missing: Vec<u64> = known.into_iter().filter(|w| !seen.contains(w)).collect();
        if self.may_forget() {
            let kept: BTreeSet<u64> = self.newest_log().into_iter().flatten().collect();
            missing.retain(|w| kept.contains(w));
        }
        if !missing.is_empty() {
            let text = format!("{id} did not see writes {missing:?} of its client");
            self.stale.push(text);
        }
    }

    /// Whether a session may not learn of a write that a failover dropped: only a majority's hold
    /// prevents the loss, and only a token carries the floor that names it to a later session.
    fn may_forget(&self) -> bool {
        self.plan.acknowledge == Acknowledge::Primary && !self.plan.tokens
    }

    /// Ends the requests of clients whose host died.
    pub(super) fn host_gone(&mut self, host: usize) {
        for number in 0..self.clients.len() {
            if self.clients[number].host != host {
                continue;
            }
            let Some(id) = self.clients[number].waiting else {
                self.clients[number].session.pin = None;
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
            let floor = self.clients[number].session.floor();
            self.end(
                flight.record,
                &Reply { floor, ..reply },
                ClientOutcome::HostLost,
            );
        }
    }
}
