//! The clients' requests, and checks of what the clients observe.

use std::collections::BTreeSet;

use goldcrest_decide::group::Event;
use goldcrest_types::{Acknowledge, Class, Consistency, Floor, Reply, RequestHead, RequestId};
use rand::Rng;

use super::{Delivery, InFlight, World};
use crate::{
    clients::{ClientOutcome, Op, Record},
    faults::Step,
};

impl World {
    /// Lets a client send its next request, if it has none pending. Retries later if its host is
    /// down.
    pub(super) fn next_request(&mut self, number: usize) {
        if self.clients[number].pending.is_some() {
            return;
        }
        self.maybe_switch_host(number);
        if self.draining && self.clients[number].session.pin.is_none() {
            return;
        }
        let host = self.clients[number].host;
        if self.hosts[host].crashed_at.is_some() {
            let think = self.plan.think_time;
            return self.push(think, Delivery::NextRequest(number));
        }
        self.last_write += 1;
        let write = self.last_write;
        let reads = self.plan.read_share;
        let op = self.clients[number].next_op(write, reads, &mut self.rng);
        self.submit(number, op);
    }

    /// Moves a client to the next host if its host is down, or at random outside transactions.
    fn maybe_switch_host(&mut self, number: usize) {
        let client = &self.clients[number];
        let pinned = client.session.pin.is_some();
        let crashed = self.hosts[client.host].crashed_at.is_some();
        let switches = crashed || self.rng.random_bool(self.plan.roam_share);
        if pinned && !crashed || !switches {
            return;
        }
        let hosts = self.hosts.len();
        let next = (client.host + 1) % hosts;
        let tokens = self.plan.tokens;
        self.clients[number].move_to(next, tokens);
    }

    /// Records a request, and delivers it to the client's host.
    fn submit(&mut self, number: usize, op: Op) {
        let id = RequestId(self.records.len() as u64);
        let client = &mut self.clients[number];
        client.pending = Some(id);
        let idempotent = self.plan.idempotent && matches!(op, Op::Write(_));
        let head = RequestHead {
            id,
            workspace: client.session.workspace.clone(),
            database: client.session.database.clone(),
            priority: 0,
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
        let tx_writes = match op {
            Op::TransactionWrite(_) | Op::Commit => client.tx_writes.clone(),
            _ => Vec::new(),
        };
        let host = client.host;
        self.records.push(Record {
            id,
            client: number,
            op,
            tx_writes,
            sent_at: self.now,
            outcome: None,
            idempotent,
        });
        let record = self.records.len() - 1;
        self.in_flight.insert(
            id,
            InFlight {
                record,
                execution: None,
            },
        );
        let epoch = self.hosts[host].epoch;
        let event = Event::Request(head);
        if matches!(op, Op::Write(_)) {
            self.reach_step(Step::Received, Some(id));
        }
        let delay = std::time::Duration::ZERO;
        self.push(delay, Delivery::Host(host, epoch, event));
    }

    /// Delivers the outcome of a request to its client.
    pub(super) fn complete(&mut self, record: usize, reply: &Reply, outcome: ClientOutcome) {
        let number = self.records[record].client;
        let client = &mut self.clients[number];
        if client.pending != Some(reply.id) {
            self.anomalies.push(format!(
                "the answer to {} reached a client that was not waiting for it",
                reply.id
            ));
            return;
        }
        client.pending = None;
        client.session.apply_reply(reply);
        self.track_outcome(record, &outcome);
        self.records[record].outcome = Some((self.now, outcome));
        self.reach_client_step(record);
        let think = self.plan.think_time;
        self.push(think, Delivery::NextRequest(number));
    }

    fn reach_client_step(&mut self, record: usize) {
        let Record { id, op, .. } = self.records[record];
        match op {
            Op::Begin => self.reach_step(Step::Begun, Some(id)),
            Op::TransactionWrite(_) => self.reach_step(Step::TransactionWrite, Some(id)),
            Op::Write(_) => self.reach_step(Step::Answered, Some(id)),
            _ => {}
        }
    }

    /// Updates what the client has observed, and checks reads against it.
    fn track_outcome(&mut self, record: usize, outcome: &ClientOutcome) {
        let Record {
            id,
            op,
            ref tx_writes,
            ..
        } = self.records[record];
        let number = self.records[record].client;
        let client = &mut self.clients[number];
        match (outcome, op) {
            (ClientOutcome::Done(_), Op::Write(write)) => {
                client.acknowledged.insert(write);
            }
            (ClientOutcome::Done(_), Op::Commit) => client.acknowledged.extend(tx_writes),
            (ClientOutcome::WriteLost, _) => {
                // From here on the client expects that earlier writes may be lost.
                client.acknowledged.clear();
                client.seen.clear();
            }
            (ClientOutcome::Done(seen), Op::Read) => {
                self.check_read(id, number, seen);
                self.clients[number].seen.extend(seen);
            }
            _ => {}
        }
    }

    /// Records an anomaly if a read does not return a write that the session guarantee covers.
    fn check_read(&mut self, id: RequestId, number: usize, seen: &[u64]) {
        let client = &self.clients[number];
        let mut known = client.acknowledged.clone();
        if self.plan.consistency == Consistency::Monotonic {
            known.extend(&client.seen);
        }
        let mut missing: Vec<u64> = known.into_iter().filter(|w| !seen.contains(w)).collect();
        if self.may_miss_dropped_writes() {
            let kept: BTreeSet<u64> = self.newest_log().into_iter().flatten().collect();
            missing.retain(|w| kept.contains(w));
        }
        if !missing.is_empty() {
            let text = format!("{id} did not see writes {missing:?} of its client");
            self.anomalies.push(text);
        }
    }

    /// Whether a session may stay unaware of a write that a failover dropped. Only acknowledgement
    /// by a majority prevents the loss, and only a token carries the floor that reveals it to a
    /// later session.
    fn may_miss_dropped_writes(&self) -> bool {
        self.plan.acknowledge == Acknowledge::Primary && !self.plan.tokens
    }

    /// Ends the pending requests of a crashed host's clients.
    pub(super) fn end_requests_of(&mut self, host: usize) {
        for number in 0..self.clients.len() {
            if self.clients[number].host != host {
                continue;
            }
            let Some(id) = self.clients[number].pending else {
                self.clients[number].session.pin = None;
                continue;
            };
            let Some(request) = self.in_flight.remove(&id) else {
                continue;
            };
            let reply = Reply {
                id,
                result: Err(goldcrest_types::Refusal::TransactionLost),
                floor: Floor::Unknown,
                pin: None,
            };
            let floor = self.clients[number].session.floor();
            self.complete(
                request.record,
                &Reply { floor, ..reply },
                ClientOutcome::HostLost,
            );
        }
    }
}
