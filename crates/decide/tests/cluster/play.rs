//! Plays hosts before one endpoint with slots, where a connection's set-up takes a slot too.

use std::{collections::VecDeque, time::Duration};

use goldcrest_decide::fenced::{Action, Cluster, ClusterPlan, Event};
use goldcrest_types::{
    ConnectionId, ConnectionNotice, Kind, Mark, Name, OpenError, Refusal, RequestId,
    StatementResult, Timestamp, TxStart, TxState, Verdict,
};

use super::{head, member};

/// The time that a step of a play takes.
const STEP: Duration = Duration::from_micros(500);

/// How long before its deadline a request is sent at the latest, as sessions set it.
const SEND_MARGIN: Duration = Duration::from_millis(60);

/// One request in this many takes so many times as long.
const LONG_EACH: u64 = 33;
const LONG_COST: u32 = 7;

/// What is played. Costs and pauses are in steps of half a millisecond.
#[derive(Clone, Copy)]
pub struct Load {
    pub connections: usize,
    pub slots: usize,
    /// Requests that may wait at the endpoint; it turns away more.
    pub queue: usize,
    pub open_cost: u32,
    pub write_cost: u32,
    /// One way between hosts and the endpoint.
    pub distance: u32,
    pub pause: u32,
    /// How long requests arrive, and how long is played.
    pub arrivals: u32,
    pub steps: u32,
}

/// Work in a slot of the endpoint.
struct Job {
    host: usize,
    link: ConnectionId,
    /// None for the set-up of the connection.
    request: Option<RequestId>,
    left: u32,
}

#[derive(Default)]
struct Endpoint {
    open: Vec<(usize, ConnectionId)>,
    queue: VecDeque<Job>,
    running: Vec<Job>,
}

impl Endpoint {
    /// Runs a step, and returns what is over.
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

pub struct Play {
    load: Load,
    hosts: Vec<Cluster>,
    endpoint: Endpoint,
    /// Work that is on its way to the endpoint, with the step of its arrival.
    sent: Vec<(u32, Job)>,
    /// Answers that are on their way back.
    answered: Vec<(u32, usize, ConnectionId, ConnectionNotice)>,
    at: u32,
    pub served: usize,
    pub refused: usize,
    pub in_doubt: usize,
    pub opened: usize,
}

impl Play {
    pub fn new(load: Load, shares: &[usize]) -> Self {
        let mut play = Self {
            load,
            hosts: Vec::new(),
            endpoint: Endpoint::default(),
            sent: Vec::new(),
            answered: Vec::new(),
            at: 0,
            served: 0,
            refused: 0,
            in_doubt: 0,
            opened: 0,
        };
        for share in shares {
            play.hosts.push(Cluster::new(ClusterPlan {
                name: Name::from("orders"),
                share: *share,
                drain: Duration::from_secs(5),
            }));
        }
        for host in 0..shares.len() {
            let distance = u64::from(load.distance / 2);
            let listed = vec![member("leader", distance, true)];
            play.step(host, Event::Members(listed.into()), Timestamp::ZERO);
        }
        play
    }

    fn step(&mut self, host: usize, event: Event, now: Timestamp) {
        for action in self.hosts[host].step(event, now) {
            match action {
                Action::Open(link, _) => self.send(host, link, None),
                Action::Close(link) => self.endpoint.open.retain(|open| *open != (host, link)),
                Action::Run(link, id, _) => self.send(host, link, Some(id)),
                Action::Deliver { .. } => self.served += 1,
                Action::Refuse(_, Refusal::Unknown { .. }) => self.in_doubt += 1,
                Action::Refuse(..) => self.refused += 1,
                _ => {}
            }
        }
    }

    fn send(&mut self, host: usize, link: ConnectionId, request: Option<RequestId>) {
        let left = match request {
            None => self.load.open_cost,
            Some(id) if id.0.is_multiple_of(LONG_EACH) => self.load.write_cost * LONG_COST,
            Some(_) => self.load.write_cost,
        };
        let job = Job {
            host,
            link,
            request,
            left,
        };
        self.sent.push((self.at + self.load.distance, job));
    }

    /// Queues work that arrives at the endpoint, or turns it away.
    fn arrive(&mut self, job: Job) {
        let full = self.endpoint.open.len() >= self.load.connections;
        let busy = self.endpoint.queue.len() >= self.load.queue;
        let notice = match job.request {
            None if full => ConnectionNotice::OpenFailed(OpenError::Full),
            Some(id) if busy => ConnectionNotice::Answered(id, ran(id, Verdict::Busy)),
            Some(_) => return self.endpoint.queue.push_back(job),
            None => {
                self.endpoint.open.push((job.host, job.link));
                self.opened += 1;
                return self.endpoint.queue.push_back(job);
            }
        };
        self.answer(&job, notice);
    }

    fn answer(&mut self, job: &Job, notice: ConnectionNotice) {
        let due = self.at + self.load.distance;
        self.answered.push((due, job.host, job.link, notice));
    }

    fn finish(&mut self, job: &Job) {
        if !self.endpoint.open.contains(&(job.host, job.link)) {
            // Closed meanwhile: what ran has taken its slot for nothing.
            return;
        }
        let notice = match job.request {
            None => ConnectionNotice::Opened(None),
            Some(id) => ConnectionNotice::Answered(id, ran(id, Verdict::Done)),
        };
        self.answer(job, notice);
    }

    /// Plays the load. `serves` tells which host runs a request by its number.
    pub fn run<F>(&mut self, serves: F)
    where
        F: Fn(u64) -> usize,
    {
        for step in 0..self.load.steps {
            self.at = step;
            let now = Timestamp::from_millis(1_000) + STEP * step;
            if step < self.load.arrivals && step.is_multiple_of(self.load.pause) {
                let number = u64::from(step / self.load.pause);
                let mut head = head(number, Kind::Write, 0, now);
                head.start_by = head.deadline.before(SEND_MARGIN);
                self.step(serves(number), Event::Ask(head, TxStart::None), now);
            }
            let arrived: Vec<_> = self.sent.extract_if(.., |(due, _)| *due <= step).collect();
            for (_, job) in arrived {
                self.arrive(job);
            }
            for job in self.endpoint.step(self.load.slots) {
                self.finish(&job);
            }
            let back: Vec<_> = self.answered.extract_if(.., |a| a.0 <= step).collect();
            for (_, host, link, notice) in back {
                self.step(host, Event::Connection(link, notice), now);
            }
            for host in 0..self.hosts.len() {
                if self.hosts[host].wake(now) <= now + STEP {
                    self.step(host, Event::Tick, now);
                }
            }
        }
    }

    pub fn told(&self) -> String {
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

fn ran(id: RequestId, verdict: Verdict) -> StatementResult {
    StatementResult {
        verdict,
        body: bytes::Bytes::new(),
        mark: Some(Mark::new(1, id.0)),
        led: true,
        tx: TxState::Idle,
    }
}
