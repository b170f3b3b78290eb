//! Hosts: delivers events to their groups and carries out the resulting actions.

use goldcrest_decide::{
    group::{Action, Event},
    promote,
};
use goldcrest_types::{Floor, Pin, Refusal, Reply, RequestId, Timestamp};

use super::{Command, Delivery, World, new_group};
use crate::{
    clients::{ClientOutcome, Op},
    endpoint::EndpointRequest,
    faults::{Cut, Fault, Step},
    table::ClaimReply,
};

impl World {
    pub(super) fn deliver_to_host(&mut self, host: usize, epoch: u64, event: Event) {
        if self.hosts[host].epoch != epoch || self.hosts[host].crashed_at.is_some() {
            return;
        }
        if let Some(until) = self.paused_until(host) {
            return self.push_at(until, Delivery::Host(host, epoch, event));
        }
        self.step_host(host, event);
    }

    pub(super) fn wake_host(&mut self, host: usize, epoch: u64) {
        let simulated = &mut self.hosts[host];
        if simulated.epoch != epoch
            || simulated.crashed_at.is_some()
            || simulated.wake_at != Some(self.now)
        {
            return;
        }
        simulated.wake_at = None;
        if let Some(until) = self.paused_until(host) {
            self.hosts[host].wake_at = Some(until);
            return self.push_at(until, Delivery::Wake(host, epoch));
        }
        self.step_host(host, Event::Tick);
    }

    pub(super) fn paused_until(&self, host: usize) -> Option<Timestamp> {
        self.hosts[host]
            .paused_until
            .filter(|until| self.now < *until)
    }

    /// Passes an event to a host's group, and carries out the actions that it returns.
    pub(super) fn step_host(&mut self, host: usize, event: Event) {
        let actions = self.hosts[host].group.step(event, self.now);
        for action in actions {
            self.execute(host, action);
        }
        self.schedule_wake(host);
    }

    /// Schedules the next wake-up, unless an earlier one is in the queue.
    fn schedule_wake(&mut self, host: usize) {
        let epoch = self.hosts[host].epoch;
        let wake = self.hosts[host].group.wake(self.now);
        let wake = wake.max(self.now + std::time::Duration::from_millis(1));
        let sooner = self.hosts[host].wake_at.is_none_or(|known| wake < known);
        if sooner {
            self.hosts[host].wake_at = Some(wake);
            self.push_at(wake, Delivery::Wake(host, epoch));
        }
    }

    fn execute(&mut self, host: usize, action: Action) {
        let epoch = self.hosts[host].epoch;
        match action {
            Action::Send {
                id,
                endpoint,
                lease,
            } => {
                if let Some(request) = self.endpoint_request(host, id, lease) {
                    let op = request.op;
                    self.send_command(host, endpoint, Command::Run(request));
                    match op {
                        Op::Commit => self.reach_step(Step::Committing, Some(id)),
                        Op::Write(_) => self.reach_step(Step::Sent, Some(id)),
                        _ => {}
                    }
                }
            }
            Action::Deliver { id, floor, pin } => self.answered(id, floor, pin),
            Action::Refuse { id, refusal, floor } => self.refused(id, refusal, floor),
            Action::Discard(_) | Action::Cancel { .. } | Action::PrimaryChanged { .. } => {}
            Action::Abandon { id, endpoint } => {
                self.send_command(host, endpoint, Command::Abandon(host, id));
            }
            Action::Check { endpoint, round } => {
                self.send_command(host, endpoint, Command::Check(host, epoch, round));
                if let Some(id) = self.request_in_check(host) {
                    self.reach_step(Step::Checking, Some(id));
                }
            }
            Action::Promotion(step) => self.run_promotion(host, step),
        }
    }

    /// Returns a committed request of this host whose client still waits: its commit is being
    /// confirmed by a term check.
    fn request_in_check(&self, host: usize) -> Option<RequestId> {
        let mut waiting = self.clients.iter().filter(|c| c.host == host);
        waiting.find_map(|c| {
            let id = c.pending?;
            let request = self.in_flight.get(&id)?;
            let committed = request
                .execution
                .as_ref()
                .is_some_and(|execution| execution.committed);
            committed.then_some(id)
        })
    }

    fn endpoint_request(
        &self,
        host: usize,
        id: RequestId,
        lease: goldcrest_types::Lease,
    ) -> Option<EndpointRequest> {
        let record = &self.records[self.in_flight.get(&id)?.record];
        Some(EndpointRequest {
            host,
            epoch: self.hosts[host].epoch,
            id,
            lease,
            in_transaction: matches!(
                record.op,
                Op::TransactionWrite(_) | Op::Commit | Op::Rollback
            ),
            client: record.client,
            op: record.op,
            idempotent: record.idempotent,
        })
    }

    /// Sends a command to an endpoint. A partition drops it.
    pub(super) fn send_command(
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

    fn run_promotion(&mut self, host: usize, step: promote::Action) {
        let epoch = self.hosts[host].epoch;
        match step {
            promote::Action::Claim { term, attempt } => {
                let (answer, delay) = self.table.claim(term, attempt, self.now);
                let event = match answer {
                    ClaimReply::Claimed => promote::Event::Claimed(attempt),
                    ClaimReply::Taken(term) => promote::Event::ClaimTaken { attempt, term },
                    ClaimReply::Lost => promote::Event::ClaimUnknown(attempt),
                };
                let event = Event::Promotion(event);
                self.push(delay, Delivery::Host(host, epoch, event));
                self.reach_step(Step::Claimed, None);
            }
            promote::Action::Seal { endpoint, .. } => {
                self.send_command(host, endpoint, Command::Promotion(host, epoch, step));
            }
            promote::Action::Promote { endpoint, .. } => {
                self.send_command(host, endpoint, Command::Promotion(host, epoch, step));
                self.reach_step(Step::Chosen, None);
            }
            promote::Action::Record { .. } => self.reach_step(Step::Recording, None),
        }
    }

    /// Completes a request that the group answered.
    fn answered(&mut self, id: RequestId, floor: Floor, pin: Option<Pin>) {
        let Some(request) = self.in_flight.remove(&id) else {
            return;
        };
        let Some(execution) = request.execution else {
            self.anomalies
                .push(format!("{id} was answered before it was run"));
            return;
        };
        let reply = Reply {
            id,
            result: Ok(goldcrest_types::Answer {
                outcome: execution.answer.outcome,
                body: Vec::new().into(),
                mark: execution.answer.mark,
                role: execution.answer.role,
                tx: execution.answer.tx,
            }),
            floor,
            pin,
        };
        self.complete(request.record, &reply, ClientOutcome::Done(execution.seen));
    }

    /// Completes a request that the group refused, and releases its transaction.
    fn refused(&mut self, id: RequestId, refusal: Refusal, floor: Floor) {
        let Some(request) = self.in_flight.remove(&id) else {
            return;
        };
        let outcome = ClientOutcome::from_refusal(&refusal);
        let reply = Reply {
            id,
            result: Err(refusal),
            floor,
            pin: None,
        };
        let record = &self.records[request.record];
        let client = &self.clients[record.client];
        let (host, pin) = (client.host, client.session.pin);
        self.complete(request.record, &reply, outcome);
        if let Some(pin) = pin {
            let release = Command::Release(host, pin.lease);
            self.send_command(host, pin.endpoint, release);
        }
    }

    /// Starts a new host for each one that crashed long enough ago.
    pub(super) fn replace_crashed_hosts(&mut self) {
        for host in 0..self.hosts.len() {
            let crashed_at = self.hosts[host].crashed_at;
            if crashed_at.is_some_and(|at| self.now.since(at) >= Fault::HostDown.duration()) {
                self.replace_host(host);
            }
        }
    }

    fn replace_host(&mut self, host: usize) {
        let epoch = self.hosts[host].epoch + 1;
        let simulated = &mut self.hosts[host];
        simulated.epoch = epoch;
        simulated.crashed_at = None;
        simulated.wake_at = None;
        simulated.group = new_group(&self.plan, host, epoch);
        self.step_host(host, Event::Tick);
    }
}
