//! Simulates hosts that use one endpoint with a limited number of slots, where setting up a
//! connection also takes a slot.

use std::{collections::VecDeque, time::Duration};

use goldcrest_decide::fenced::{Action, Assignment, Event, FencedGroup, GroupConfig};
use goldcrest_types::{
    ConnectionId, ConnectionNotice, Kind, Mark, Name, OpenError, Refusal, RequestId,
    StatementResult, Timestamp, TxStart, TxState, Verdict,
};

use super::{head, member};

/// Duration of one step of the simulation.
const STEP: Duration = Duration::from_micros(500);

/// A request must be sent at least this long before its deadline, as for requests of sessions.
const SEND_MARGIN: Duration = Duration::from_millis(60);

/// One request in this many is a long one.
const LONG_EACH: u64 = 33;

/// A long request takes this many times as long as others.
const LONG_COST: u32 = 7;

/// The load of a simulation. Costs, latency and pauses are in steps of half a millisecond.
#[derive(Clone, Copy)]
pub struct Load {
    pub connections: usize,
    pub slots: usize,
    /// Requests that may wait at the endpoint, which rejects any more.
    pub queue: usize,
    pub open_cost: u32,
    pub write_cost: u32,
    /// One-way latency between the hosts and the endpoint.
    pub latency: u32,
    /// Pause between the arrivals of two requests.
    pub pause: u32,
    /// Number of steps during which requests arrive.
    pub arrivals: u32,
    /// Number of steps of the whole simulation.
    pub steps: u32,
}

/// Work that occupies a slot of the endpoint.
struct Job {
    host: usize,
    connection: ConnectionId,
    /// `None` for the set-up of the connection.
    request: Option<RequestId>,
    /// Steps that it still needs.
    left: u32,
}

#[derive(Default)]
struct Endpoint {
    open: Vec<(usize, ConnectionId)>,
    queue: VecDeque<Job>,
    running: Vec<Job>,
}

impl Endpoint {
    /// Runs one step and returns the finished jobs.
    fn step(&mut self, slots: usize) -> Vec<Job> {
        while self.running.len() < slots
            && let Some(job) = self.queue.pop_front()
        {
            self.running.push(job);
        }
        for job in &mut self.running {
            job.left -= 1;
        }
        self.running.extract_if(.., |job| job.left == 0).collect()
    }
}

pub struct Simulation {
    load: Load,
    hosts: Vec<FencedGroup>,
    endpoint: Endpoint,
    /// Jobs on their way to the endpoint, with the step of their arrival.
    sent: Vec<(u32, Job)>,
    /// Notices on their way to the hosts, with the step of their arrival.
    answered: Vec<(u32, usize, ConnectionId, ConnectionNotice)>,
    current_step: u32,
    pub served: usize,
    pub refused: usize,
    pub in_doubt: usize,
    pub opened: usize,
}

impl Simulation {
    pub fn new(load: Load, shares: &[usize]) -> Self {
        let mut simulation = Self {
            load,
            hosts: Vec::new(),
            endpoint: Endpoint::default(),
            sent: Vec::new(),
            answered: Vec::new(),
            current_step: 0,
            served: 0,
            refused: 0,
            in_doubt: 0,
            opened: 0,
        };
        for share in shares {
            simulation.hosts.push(FencedGroup::new(GroupConfig {
                name: Name::from("orders"),
                share: *share,
                drain: Duration::from_secs(5),
                settled_at: Timestamp::ZERO,
                limited: false,
            }));
        }
        for host in 0..shares.len() {
            let latency = u64::from(load.latency / 2);
            let listed = vec![member("leader", latency, true)];
            simulation.step(host, Event::Members(listed.into()), Timestamp::ZERO);
        }
        simulation
    }

    /// Allows each host connections beyond its share.
    pub fn allow_borrowing(&mut self, borrowable: usize, shares: &[usize]) {
        for (host, share) in shares.iter().enumerate() {
            let assignment = Assignment {
                connections: *share,
                borrowable,
                settling: 1,
                replaces_leaving: true,
                sync_replicas: 0,
            };
            self.step(host, Event::Assign(assignment), Timestamp::ZERO);
        }
    }

    fn step(&mut self, host: usize, event: Event, now: Timestamp) {
        for action in self.hosts[host].step(event, now) {
            match action {
                Action::Open(connection, ..) => self.send(host, connection, None),
                Action::Close(connection) => self
                    .endpoint
                    .open
                    .retain(|open| *open != (host, connection)),
                Action::Run(connection, id, _) => self.send(host, connection, Some(id)),
                Action::Deliver { .. } => self.served += 1,
                Action::Refuse(_, Refusal::Unknown { .. }) => self.in_doubt += 1,
                Action::Refuse(..) => self.refused += 1,
                _ => {}
            }
        }
    }

    fn send(&mut self, host: usize, connection: ConnectionId, request: Option<RequestId>) {
        let left = match request {
            None => self.load.open_cost,
            Some(id) if id.0.is_multiple_of(LONG_EACH) => self.load.write_cost * LONG_COST,
            Some(_) => self.load.write_cost,
        };
        let job = Job {
            host,
            connection,
            request,
            left,
        };
        self.sent.push((self.current_step + self.load.latency, job));
    }

    /// Queues a job that arrives at the endpoint, or rejects it.
    fn arrive(&mut self, job: Job) {
        let full = self.endpoint.open.len() >= self.load.connections;
        let busy = self.endpoint.queue.len() >= self.load.queue;
        let notice = match job.request {
            None if full => ConnectionNotice::OpenFailed(OpenError::Full),
            Some(id) if busy => ConnectionNotice::Answered(id, result(id, Verdict::Busy)),
            Some(_) => return self.endpoint.queue.push_back(job),
            None => {
                self.endpoint.open.push((job.host, job.connection));
                self.opened += 1;
                return self.endpoint.queue.push_back(job);
            }
        };
        self.answer(&job, notice);
    }

    fn answer(&mut self, job: &Job, notice: ConnectionNotice) {
        let due = self.current_step + self.load.latency;
        self.answered.push((due, job.host, job.connection, notice));
    }

    fn finish(&mut self, job: &Job) {
        if !self.endpoint.open.contains(&(job.host, job.connection)) {
            // The connection was closed in the meantime, so the result is dropped.
            return;
        }
        let notice = match job.request {
            None => ConnectionNotice::Opened(None),
            Some(id) => ConnectionNotice::Answered(id, result(id, Verdict::Done)),
        };
        self.answer(job, notice);
    }

    /// Runs the simulation. `serves` returns the host that serves a request, given its number.
    pub fn run<F>(&mut self, serves: F)
    where
        F: Fn(u64) -> usize,
    {
        for step in 0..self.load.steps {
            self.current_step = step;
            let now = Timestamp::from_millis(1_000) + STEP * step;
            if step < self.load.arrivals && step.is_multiple_of(self.load.pause) {
                let number = u64::from(step / self.load.pause);
                let mut head = head(number, Kind::Write, 0, now);
                head.start_by = head.deadline.before(SEND_MARGIN);
                self.step(serves(number), Event::Request(head, TxStart::None), now);
            }
            let arrived: Vec<_> = self.sent.extract_if(.., |(due, _)| *due <= step).collect();
            for (_, job) in arrived {
                self.arrive(job);
            }
            for job in self.endpoint.step(self.load.slots) {
                self.finish(&job);
            }
            let notices: Vec<_> = self.answered.extract_if(.., |a| a.0 <= step).collect();
            for (_, host, connection, notice) in notices {
                self.step(host, Event::Connection(connection, notice), now);
            }
            for host in 0..self.hosts.len() {
                if self.hosts[host].wake(now) <= now + STEP {
                    self.step(host, Event::Tick, now);
                }
            }
        }
    }

    pub fn summary(&self) -> String {
        let Self {
            served,
            refused,
            in_doubt,
            opened,
            ..
        } = self;
        format!(
            "{served} served, {refused} refused, {in_doubt} in doubt, {opened} connections opened"
        )
    }
}

fn result(id: RequestId, verdict: Verdict) -> StatementResult {
    StatementResult {
        verdict,
        body: bytes::Bytes::new(),
        mark: Some(Mark::new(1, id.0)),
        led: true,
        tx: TxState::Idle,
    }
}
