//! Endpoints: requests, checks, promotions and replication.

use goldcrest_decide::{group::Event, promote};
use goldcrest_types::{EndpointIx, RequestId, Role};

use super::{Command, Delivery, HEARTBEAT_INTERVAL, HEARTBEAT_TIMEOUT, PeerMessage, World};
use crate::{
    clients::Op,
    endpoint::{Entry, Run},
    faults::{Cut, Step},
};

impl World {
    pub(super) fn endpoint_gets(&mut self, ix: EndpointIx, command: Command) {
        let paused = self.endpoints[ix.index()].paused;
        if let Some(until) = paused.filter(|until| self.now < *until) {
            return self.push_at(until, Delivery::Endpoint(ix, command));
        }
        match command {
            Command::Run(run) => self.run_at(ix, run),
            Command::Abandon(host, id) => {
                let node = &mut self.endpoints[ix.index()];
                let abandoned = node.running.iter().find(|r| r.id == id && r.host == host);
                let lease = abandoned.map(|r| r.lease);
                node.running.retain(|r| r.id != id || r.host != host);
                node.open
                    .retain(|(h, l), _| *h != host || Some(*l) != lease);
            }
            Command::Release(host, lease) => {
                self.endpoints[ix.index()].open.remove(&(host, lease));
            }
            Command::Check(host, life, round) => self.check(ix, host, life, round),
            Command::Promotion(host, life, step) => self.promotion_at(ix, host, life, step),
        }
    }

    fn run_at(&mut self, ix: EndpointIx, run: Run) {
        let node = &mut self.endpoints[ix.index()];
        let unheld = run.held && !node.open.contains_key(&(run.host, run.lease));
        let Run {
            host, life, id, op, ..
        } = run;
        if node.down || unheld {
            let event = Event::Lost {
                id,
                endpoint: ix,
                sent: false,
            };
            return self.reply(ix, host, life, event);
        }
        node.running.push(run);
        let service = self.plan.service_time;
        self.push(service, Delivery::Finish(ix, id));
        if matches!(op, Op::Write(_)) {
            self.reach(Step::Running, Some(id));
        }
    }

    pub(super) fn finish(&mut self, ix: EndpointIx, id: RequestId) {
        let paused = self.endpoints[ix.index()].paused;
        if let Some(until) = paused.filter(|until| self.now < *until) {
            return self.push_at(until, Delivery::Finish(ix, id));
        }
        let now = self.now;
        let Some((run, ran)) = self.endpoints[ix.index()].finish(id, now) else {
            return;
        };
        if ran.committed {
            self.note_commit(ix);
        }
        if let Some(flight) = self.flights.get_mut(&id) {
            flight.ran = Some(ran.clone());
        }
        let event = Event::Answered {
            id,
            endpoint: ix,
            answer: ran.answer,
        };
        self.reply(ix, run.host, run.life, event);
        if ran.committed && matches!(run.op, Op::Write(_)) {
            self.reach(Step::Committed, Some(id));
        }
    }

    fn note_commit(&mut self, ix: EndpointIx) {
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

    fn check(&mut self, ix: EndpointIx, host: usize, life: u64, round: goldcrest_types::RoundId) {
        let node = &self.endpoints[ix.index()];
        let event = if node.down {
            Event::CheckFailed {
                endpoint: ix,
                round,
            }
        } else {
            let connected = node
                .heard
                .is_some_and(|at| self.now.since(at) < HEARTBEAT_TIMEOUT);
            Event::Reported {
                endpoint: ix,
                round,
                report: node.replica.report(connected),
            }
        };
        self.reply(ix, host, life, event);
    }

    fn promotion_at(&mut self, ix: EndpointIx, host: usize, life: u64, step: promote::Action) {
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
                let accepted = node.replica.may_promote(term, attempt);
                let fresh = accepted && node.replica.term != term;
                if accepted {
                    node.replica.promote(term);
                }
                if fresh {
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
        self.reply(ix, host, life, Event::Promotion(event));
        if reached == Step::Promoted {
            self.send_heartbeat(ix);
        }
        self.reach(reached, None);
    }

    fn reply(&mut self, ix: EndpointIx, host: usize, life: u64, event: Event) {
        if !self.is_cut(Cut::Host(host, ix)) {
            let delay = self.plan.latency.endpoint;
            self.push(delay, Delivery::Host(host, life, event));
        }
    }

    pub(super) fn heartbeat(&mut self, ix: EndpointIx) {
        self.push(HEARTBEAT_INTERVAL, Delivery::Heartbeat(ix));
        self.send_heartbeat(ix);
    }

    fn send_heartbeat(&mut self, ix: EndpointIx) {
        let node = &self.endpoints[ix.index()];
        let silent = node.down || node.paused.is_some_and(|until| self.now < until);
        if let Some(heartbeat) = node.replica.heartbeat().filter(|_| !silent) {
            self.broadcast(ix, &PeerMessage::Heartbeat(heartbeat));
        }
    }

    fn broadcast(&mut self, from: EndpointIx, message: &PeerMessage) {
        for to in self.ixes().into_iter().filter(|to| *to != from) {
            self.send_peer(from, to, message.clone());
        }
    }

    fn send_peer(&mut self, from: EndpointIx, to: EndpointIx, message: PeerMessage) {
        if !self.is_cut(Cut::Group(from)) && !self.is_cut(Cut::Group(to)) {
            let delay = self.plan.latency.group;
            self.push(delay, Delivery::Peer(to, message));
        }
    }

    pub(super) fn peer_gets(&mut self, ix: EndpointIx, message: PeerMessage) {
        let node = &mut self.endpoints[ix.index()];
        if node.down {
            return;
        }
        if let Some(until) = node.paused.filter(|until| self.now < *until) {
            return self.push_at(until, Delivery::Peer(ix, message));
        }
        match message {
            PeerMessage::Heartbeat(heartbeat) => {
                let Some(heard) = node.replica.on_heartbeat(&heartbeat) else {
                    return;
                };
                node.heard = Some(self.now);
                if let Some(after) = heard.fetch {
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
                let received = self.now;
                let entries = entries.into_iter().map(|e| Entry { received, ..e });
                node.replica.on_entries(term, after, entries.collect());
                self.plan_apply(ix);
            }
        }
    }

    fn plan_apply(&mut self, ix: EndpointIx) {
        let node = &self.endpoints[ix.index()];
        let lag = node
            .behind
            .filter(|until| self.now < *until)
            .map_or(self.plan.lag, |until| until.since(self.now));
        if let Some(entry) = node.replica.log.get(node.replica.applied) {
            let due = (entry.received + lag).max(self.now);
            self.push_at(due, Delivery::Apply(ix));
        }
    }

    pub(super) fn apply(&mut self, ix: EndpointIx) {
        let lag = self.plan.lag;
        let node = &mut self.endpoints[ix.index()];
        let behind = node.behind.is_some_and(|until| self.now < until);
        if node.down || behind || node.replica.role == Role::Primary {
            return;
        }
        while let Some(entry) = node.replica.log.get(node.replica.applied) {
            if self.now < entry.received + lag {
                break;
            }
            node.replica.applied += 1;
        }
        self.plan_apply(ix);
    }
}
