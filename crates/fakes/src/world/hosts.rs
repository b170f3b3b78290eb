//! Hosts: their events, and the actions of their decisions.

use goldcrest_decide::{
    group::{Action, Event},
    promote,
};
use goldcrest_types::{Floor, Pin, Refusal, Reply, RequestId, Timestamp};

use super::{Command, Delivery, World, fresh_group};
use crate::{
    clients::{ClientOutcome, Op},
    endpoint::Run,
    faults::{Cut, Fault, Step},
    table::ClaimAnswer,
};

impl World {
    pub(super) fn host_gets(&mut self, host: usize, life: u64, event: Event) {
        if self.hosts[host].life != life || self.hosts[host].dead.is_some() {
            return;
        }
        if let Some(until) = self.paused_until(host) {
            return self.push_at(until, Delivery::Host(host, life, event));
        }
        self.step_host(host, event);
    }

    pub(super) fn wake_host(&mut self, host: usize, life: u64) {
        let sim = &mut self.hosts[host];
        if sim.life != life || sim.dead.is_some() || sim.wake != Some(self.now) {
            return;
        }
        sim.wake = None;
        if let Some(until) = self.paused_until(host) {
            self.hosts[host].wake = Some(until);
            return self.push_at(until, Delivery::Wake(host, life));
        }
        self.step_host(host, Event::Tick);
    }

    pub(super) fn paused_until(&self, host: usize) -> Option<Timestamp> {
        self.hosts[host].paused.filter(|until| self.now < *until)
    }

    pub(super) fn step_host(&mut self, host: usize, event: Event) {
        let actions = self.hosts[host].group.step(event, self.now);
        for action in actions {
            self.act(host, action);
        }
        self.plan_wake(host);
    }

    fn plan_wake(&mut self, host: usize) {
        let life = self.hosts[host].life;
        let wake = self.hosts[host].group.wake(self.now);
        let wake = wake.max(self.now + std::time::Duration::from_millis(1));
        let sooner = self.hosts[host].wake.is_none_or(|known| wake < known);
        if sooner {
            self.hosts[host].wake = Some(wake);
            self.push_at(wake, Delivery::Wake(host, life));
        }
    }

    fn act(&mut self, host: usize, action: Action) {
        let life = self.hosts[host].life;
        match action {
            Action::Send {
                id,
                endpoint,
                lease,
            } => {
                if let Some(run) = self.run_of(host, id, lease) {
                    let op = run.op;
                    self.command(host, endpoint, Command::Run(run));
                    match op {
                        Op::Commit => self.reach(Step::Committing, Some(id)),
                        Op::Write(_) => self.reach(Step::Sent, Some(id)),
                        _ => {}
                    }
                }
            }
            Action::Deliver { id, floor, pin } => self.answered(id, floor, pin),
            Action::Refuse { id, refusal, floor } => self.refused(id, refusal, floor),
            Action::Discard(_) | Action::Cancel { .. } | Action::PrimaryChanged { .. } => {}
            Action::Abandon { id, endpoint } => {
                self.command(host, endpoint, Command::Abandon(host, id));
            }
            Action::Check { endpoint, round } => {
                self.command(host, endpoint, Command::Check(host, life, round));
                if let Some(id) = self.fenced(host) {
                    self.reach(Step::Checking, Some(id));
                }
            }
            Action::Promotion(step) => self.promotion(host, step),
        }
    }

    /// A request of this host that waits for a term check.
    fn fenced(&self, host: usize) -> Option<RequestId> {
        let mut waiting = self.clients.iter().filter(|c| c.host == host);
        waiting.find_map(|c| {
            let id = c.waiting?;
            let flight = self.flights.get(&id)?;
            let committed = flight.ran.as_ref().is_some_and(|ran| ran.committed);
            committed.then_some(id)
        })
    }

    fn run_of(&self, host: usize, id: RequestId, lease: goldcrest_types::Lease) -> Option<Run> {
        let record = &self.records[self.flights.get(&id)?.record];
        Some(Run {
            host,
            life: self.hosts[host].life,
            id,
            lease,
            held: matches!(
                record.op,
                Op::TransactionWrite(_) | Op::Commit | Op::Rollback
            ),
            client: record.client,
            op: record.op,
            repeatable: record.idempotent,
        })
    }

    pub(super) fn command(
        &mut self,
        host: usize,
        endpoint: goldcrest_types::EndpointIx,
        command: Command,
    ) {
        if !self.is_cut(Cut::Host(host, endpoint)) {
            let delay = self.plan.latency.endpoint;
            self.push(delay, Delivery::Endpoint(endpoint, command));
        }
    }

    fn promotion(&mut self, host: usize, step: promote::Action) {
        let life = self.hosts[host].life;
        match step {
            promote::Action::Claim { term, attempt } => {
                let (answer, delay) = self.table.claim(term, attempt, self.now);
                let event = match answer {
                    ClaimAnswer::Claimed => promote::Event::Claimed(attempt),
                    ClaimAnswer::Taken(term) => promote::Event::ClaimTaken { attempt, term },
                    ClaimAnswer::Lost => promote::Event::ClaimUnknown(attempt),
                };
                let event = Event::Promotion(event);
                self.push(delay, Delivery::Host(host, life, event));
                self.reach(Step::Claimed, None);
            }
            promote::Action::Seal { endpoint, .. } => {
                self.command(host, endpoint, Command::Promotion(host, life, step));
            }
            promote::Action::Promote { endpoint, .. } => {
                self.command(host, endpoint, Command::Promotion(host, life, step));
                self.reach(Step::Chosen, None);
            }
            promote::Action::Record { .. } => self.reach(Step::Recording, None),
        }
    }

    fn answered(&mut self, id: RequestId, floor: Floor, pin: Option<Pin>) {
        let Some(flight) = self.flights.remove(&id) else {
            return;
        };
        let Some(ran) = flight.ran else {
            self.stale.push(format!("{id} was answered before it ran"));
            return;
        };
        let reply = Reply {
            id,
            result: Ok(goldcrest_types::Answer {
                outcome: ran.answer.outcome,
                body: Vec::new().into(),
                mark: ran.answer.mark,
                role: ran.answer.role,
                tx: ran.answer.tx,
            }),
            floor,
            pin,
        };
        self.end(flight.record, &reply, ClientOutcome::Done(ran.seen));
    }

    fn refused(&mut self, id: RequestId, refusal: Refusal, floor: Floor) {
        let Some(flight) = self.flights.remove(&id) else {
            return;
        };
        let outcome = ClientOutcome::of_refusal(&refusal);
        let reply = Reply {
            id,
            result: Err(refusal),
            floor,
            pin: None,
        };
        let record = &self.records[flight.record];
        let client = &self.clients[record.client];
        let (host, pin) = (client.host, client.session.pin);
        self.end(flight.record, &reply, outcome);
        if let Some(pin) = pin {
            let release = Command::Release(host, pin.lease);
            self.command(host, pin.endpoint, release);
        }
    }

    /// New hosts take the places of those that have been dead for long enough.
    pub(super) fn replace_dead_hosts(&mut self) {
        for host in 0..self.hosts.len() {
            let dead = self.hosts[host].dead;
            if dead.is_some_and(|at| self.now.since(at) >= Fault::HostDown.lasts()) {
                self.replace_host(host);
            }
        }
    }

    fn replace_host(&mut self, host: usize) {
        let life = self.hosts[host].life + 1;
        let sim = &mut self.hosts[host];
        sim.life = life;
        sim.dead = None;
        sim.wake = None;
        sim.group = fresh_group(&self.plan, host, life);
        self.step_host(host, Event::Tick);
    }
}
