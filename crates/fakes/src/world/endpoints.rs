//! Endpoints: requests, term checks, promotions and replication.

use goldcrest_decide::{group::Event, promote};
use goldcrest_types::{EndpointIx, RequestId, Role};

use super::{Command, Delivery, HEARTBEAT_INTERVAL, HEARTBEAT_TIMEOUT, PeerMessage, World};
use crate::{
    clients::Op,
    endpoint::{EndpointRequest, Entry},
    faults::{Cut, Step},
};

impl World {
    /// Processes a command, or postpones it to the end of a pause.
    pub(super) fn deliver_to_endpoint(&mut self, ix: EndpointIx, command: Command) {
        let paused = self.endpoints[ix.index()].paused_until;
        if let Some(until) = paused.filter(|until| self.now < *until) {
            return self.push_at(until, Delivery::Endpoint(ix, command));
        }
        match command {
            Command::Run(request) => self.start_request(ix, request),
            Command::Abandon(host, id) => {
                let node = &mut self.endpoints[ix.index()];
                let abandoned = node.running.iter().find(|r| r.id == id && r.host == host);
                let lease = abandoned.map(|r| r.lease);
                node.running.retain(|r| r.id != id || r.host != host);
                node.transactions
                    .retain(|(h, l), _| *h != host || Some(*l) != lease);
            }
            Command::Release(host, lease) => {
                self.endpoints[ix.index()]
                    .transactions
                    .remove(&(host, lease));
            }
            Command::Check(host, epoch, round) => self.answer_check(ix, host, epoch, round),
            Command::Promotion(host, epoch, step) => self.run_promotion_step(ix, host, epoch, step),
        }
    }

    /// Starts a request, which finishes after the service time.
    fn start_request(&mut self, ix: EndpointIx, request: EndpointRequest) {
        let node = &mut self.endpoints[ix.index()];
        let no_transaction = request.in_transaction
            && !node
                .transactions
                .contains_key(&(request.host, request.lease));
        let EndpointRequest {
            host,
            epoch,
            id,
            op,
            ..
        } = request;
        if node.down || no_transaction {
            let event = Event::Lost {
                id,
                endpoint: ix,
                sent: false,
            };
            return self.reply(ix, host, epoch, event);
        }
        node.running.push(request);
        let service = self.plan.service_time;
        self.push(service, Delivery::Finish(ix, id));
        if matches!(op, Op::Write(_)) {
            self.reach_step(Step::Running, Some(id));
        }
    }

    pub(super) fn finish(&mut self, ix: EndpointIx, id: RequestId) {
        let paused = self.endpoints[ix.index()].paused_until;
        if let Some(until) = paused.filter(|until| self.now < *until) {
            return self.push_at(until, Delivery::Finish(ix, id));
        }
        let now = self.now;
        let Some((request, execution)) = self.endpoints[ix.index()].finish(id, now) else {
            return;
        };
        if execution.committed {
            self.record_commit(ix);
        }
        if let Some(pending) = self.in_flight.get_mut(&id) {
            pending.execution = Some(execution.clone());
        }
        let event = Event::Answered {
            id,
            endpoint: ix,
            answer: execution.answer,
        };
        self.reply(ix, request.host, request.epoch, event);
        if execution.committed && matches!(request.op, Op::Write(_)) {
            self.reach_step(Step::Committed, Some(id));
        }
    }

    /// Records the newest commit of an endpoint, and replicates it.
    fn record_commit(&mut self, ix: EndpointIx) {
        let replica = &self.endpoints[ix.index()].replica;
        let Some(entry) = replica.log.last().cloned() else {
            return;
        };
        for write in &entry.writes {
            self.commits.push((write.id, replica.term, self.now));
            *self.commit_counts.entry(write.id).or_default() += 1;
        }
        let term = replica.term;
        let after = goldcrest_types::Position(replica.held().0 - 1);
        self.broadcast(ix, &PeerMessage::Entries(term, after, vec![entry]));
    }

    fn answer_check(
        &mut self,
        ix: EndpointIx,
        host: usize,
        epoch: u64,
        round: goldcrest_types::RoundId,
    ) {
        let node = &self.endpoints[ix.index()];
        let event = if node.down {
            Event::CheckFailed {
                endpoint: ix,
                round,
            }
        } else {
            let connected = node
                .heartbeat_at
                .is_some_and(|at| self.now.since(at) < HEARTBEAT_TIMEOUT);
            Event::Reported {
                endpoint: ix,
                round,
                report: node.replica.report(connected),
            }
        };
        self.reply(ix, host, epoch, event);
    }

    fn run_promotion_step(
        &mut self,
        ix: EndpointIx,
        host: usize,
        epoch: u64,
        step: promote::Action,
    ) {
        let node = &mut self.endpoints[ix.index()];
        if node.down {
            return;
        }
        let event = match step {
            promote::Action::Seal { term, attempt, .. } => promote::Event::Sealed {
                endpoint: ix,
                attempt,
                reply: node.replica.seal(term, attempt),
            },
            promote::Action::Promote { term, attempt, .. } => {
                let accepted = node.replica.accepts_promotion(term, attempt);
                let promoted = accepted && node.replica.term != term;
                if accepted {
                    node.replica.promote(term);
                }
                if promoted {
                    self.promotions.push((self.now, term));
                }
                promote::Event::Promoted {
                    endpoint: ix,
                    attempt,
                    accepted,
                }
            }
            _ => return,
        };
        let reached = if matches!(event, promote::Event::Sealed { .. }) {
            Step::Sealed
        } else {
            Step::Promoted
        };
        self.reply(ix, host, epoch, Event::Promotion(event));
        if reached == Step::Promoted {
            self.send_heartbeat(ix);
        }
        self.reach_step(reached, None);
    }

    fn reply(&mut self, ix: EndpointIx, host: usize, epoch: u64, event: Event) {
        if !self.is_cut(Cut::Host(host, ix)) {
            let delay = self.plan.latency.endpoint;
            self.push(delay, Delivery::Host(host, epoch, event));
        }
    }

    pub(super) fn heartbeat(&mut self, ix: EndpointIx) {
        self.push(HEARTBEAT_INTERVAL, Delivery::Heartbeat(ix));
        self.send_heartbeat(ix);
    }

    fn send_heartbeat(&mut self, ix: EndpointIx) {
        let node = &self.endpoints[ix.index()];
        let unresponsive = node.down || node.paused_until.is_some_and(|until| self.now < until);
        if let Some(heartbeat) = node.replica.heartbeat().filter(|_| !unresponsive) {
            self.broadcast(ix, &PeerMessage::Heartbeat(heartbeat));
        }
    }

    fn broadcast(&mut self, from: EndpointIx, message: &PeerMessage) {
        for to in self.indices().into_iter().filter(|to| *to != from) {
            self.send_peer(from, to, message.clone());
        }
    }

    fn send_peer(&mut self, from: EndpointIx, to: EndpointIx, message: PeerMessage) {
        if !self.is_cut(Cut::Group(from)) && !self.is_cut(Cut::Group(to)) {
            let delay = self.plan.latency.group;
            self.push(delay, Delivery::Peer(to, message));
        }
    }

    pub(super) fn deliver_to_peer(&mut self, ix: EndpointIx, message: PeerMessage) {
        let node = &mut self.endpoints[ix.index()];
        if node.down {
            return;
        }
        if let Some(until) = node.paused_until.filter(|until| self.now < *until) {
            return self.push_at(until, Delivery::Peer(ix, message));
        }
        match message {
            PeerMessage::Heartbeat(heartbeat) => {
                let Some(outcome) = node.replica.on_heartbeat(&heartbeat) else {
                    return;
                };
                node.heartbeat_at = Some(self.now);
                if let Some(after) = outcome.fetch {
                    self.send_peer(ix, heartbeat.from, PeerMessage::Fetch(ix, after));
                }
            }
            PeerMessage::Fetch(from, after) => {
                let term = node.replica.term;
                if let Some(entries) = node.replica.entries_after(after) {
                    self.send_peer(ix, from, PeerMessage::Entries(term, after, entries));
                }
            }
            PeerMessage::Entries(term, after, entries) => {
                let received_at = self.now;
                let entries = entries.into_iter().map(|e| Entry { received_at, ..e });
                node.replica.on_entries(term, after, entries.collect());
                self.schedule_apply(ix);
            }
        }
    }

    /// Schedules the time at which the next entry is applied.
    fn schedule_apply(&mut self, ix: EndpointIx) {
        let node = &self.endpoints[ix.index()];
        let lag = node
            .lagging_until
            .filter(|until| self.now < *until)
            .map_or(self.plan.lag, |until| until.since(self.now));
        if let Some(entry) = node.replica.log.get(node.replica.applied) {
            let due = (entry.received_at + lag).max(self.now);
            self.push_at(due, Delivery::Apply(ix));
        }
    }

    pub(super) fn apply(&mut self, ix: EndpointIx) {
        let lag = self.plan.lag;
        let node = &mut self.endpoints[ix.index()];
        let lagging = node.lagging_until.is_some_and(|until| self.now < until);
        if node.down || lagging || node.replica.role == Role::Primary {
            return;
        }
        while let Some(entry) = node.replica.log.get(node.replica.applied) {
            if self.now < entry.received_at + lag {
                break;
            }
            node.replica.applied += 1;
        }
        self.schedule_apply(ix);
    }
}
