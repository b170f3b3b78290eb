//! Simulates a load peak: for three seconds more work arrives than the two slots of an endpoint can
//! run. Compares what clients get with a plain first-come queue with the same slots and deadlines.

mod fenced_group;

use std::{
    collections::{BTreeMap, VecDeque},
    fmt::Write,
    time::Duration,
};

use fenced_group::member;
use goldcrest_decide::fenced::{Action, Event, FencedGroup, GroupConfig};
use goldcrest_types::{
    ConnectionId, ConnectionNotice, Kind, Mark, Name, RequestId, StatementResult, Timestamp,
    TxStart, TxState, Verdict,
};

/// Statements that the endpoint runs at the same time.
const SLOTS: usize = 2;

/// Duration of one step of the simulation.
const STEP: Duration = Duration::from_micros(100);

/// How long the peak lasts.
const PEAK: Duration = Duration::from_secs(3);

/// How long the simulation lasts.
const END: Duration = Duration::from_secs(5);

/// How long the set-up of a connection takes.
const OPEN_TIME: Duration = Duration::from_millis(12);

/// Kinds of statements: database, time at the endpoint and pause between arrivals, in units of 100
/// µs. Together they need 1.6 times the capacity of two slots.
const KINDS: [(&str, u64, u64); 3] = [("short", 25, 40), ("medium", 76, 60), ("long", 130, 100)];

/// What clients get, by kind of statement. Latencies are in milliseconds.
#[derive(Default)]
struct Outcome {
    latencies: BTreeMap<&'static str, Vec<u64>>,
    refused: BTreeMap<&'static str, usize>,
}

impl Outcome {
    fn served(&self) -> usize {
        self.latencies.values().map(Vec::len).sum()
    }

    fn percentile(&mut self, kind: &'static str, percent: usize) -> u64 {
        let all = self.latencies.entry(kind).or_default();
        all.sort_unstable();
        let at = (all.len() * percent / 100).min(all.len().saturating_sub(1));
        all.get(at).copied().unwrap_or_default()
    }

    fn summary(&mut self) -> String {
        let mut out = String::new();
        for (kind, ..) in KINDS {
            let (p50, p99) = (self.percentile(kind, 50), self.percentile(kind, 99));
            let served = self.latencies[kind].len();
            let refused = self.refused.get(kind).copied().unwrap_or_default();
            writeln!(
                out,
                "{kind}: {served} served, {refused} refused, p50 {p50} ms, p99 {p99} ms"
            )
            .unwrap();
        }
        out
    }
}

/// Returns the statements that arrive at a step.
fn arrivals(step: u64) -> Vec<(&'static str, u64)> {
    let due = KINDS
        .iter()
        .filter(|(_, _, pause)| step.is_multiple_of(*pause));
    due.map(|(kind, cost, _)| (*kind, *cost)).collect()
}

struct Job {
    id: u64,
    kind: &'static str,
    cost: u64,
    arrived: Timestamp,
    connection: u64,
}

fn steps() -> u64 {
    u64::try_from(END.as_nanos() / STEP.as_nanos()).unwrap()
}

/// Moves jobs into free slots, and returns those that finish in this step.
fn serve(queue: &mut VecDeque<Job>, running: &mut Vec<Job>) -> Vec<Job> {
    while running.len() < SLOTS
        && let Some(job) = queue.pop_front()
    {
        running.push(job);
    }
    for job in running.iter_mut() {
        job.cost -= 1;
    }
    running.extract_if(.., |job| job.cost == 0).collect()
}

/// Serves the peak from a first-come queue.
fn first_come() -> Outcome {
    let (mut outcome, mut queue, mut running) = (Outcome::default(), VecDeque::new(), Vec::new());
    let limit = Duration::from_millis(700);
    for step in 0..steps() {
        let now = Timestamp::ZERO + STEP * u32::try_from(step).unwrap();
        if now < Timestamp::ZERO + PEAK {
            for (kind, cost) in arrivals(step) {
                let (id, connection) = (0, 0);
                queue.push_back(Job {
                    id,
                    kind,
                    cost,
                    arrived: now,
                    connection,
                });
            }
        }
        while let Some(job) = queue.pop_front_if(|job: &mut Job| now.since(job.arrived) >= limit) {
            *outcome.refused.entry(job.kind).or_default() += 1;
        }
        for job in serve(&mut queue, &mut running) {
            let latency = u64::try_from(now.since(job.arrived).as_millis()).unwrap();
            outcome.latencies.entry(job.kind).or_default().push(latency);
        }
    }
    outcome
}

struct Simulation {
    group: FencedGroup,
    outcome: Outcome,
    requests: BTreeMap<u64, (&'static str, u64, Timestamp)>,
    opening: Vec<(Timestamp, ConnectionId)>,
    queue: VecDeque<Job>,
}

impl Simulation {
    fn step(&mut self, event: Event, now: Timestamp) {
        for action in self.group.step(event, now) {
            match action {
                Action::Open(connection, ..) => self.opening.push((now + OPEN_TIME, connection)),
                Action::Run(connection, id, _) => {
                    let (kind, cost, arrived) = self.requests[&id.0];
                    let (id, connection) = (id.0, connection.0);
                    self.queue.push_back(Job {
                        id,
                        kind,
                        cost,
                        arrived,
                        connection,
                    });
                }
                Action::Deliver { id, .. } => {
                    let (kind, _, arrived) = self.requests[&id.0];
                    let latency = u64::try_from(now.since(arrived).as_millis()).unwrap();
                    self.outcome
                        .latencies
                        .entry(kind)
                        .or_default()
                        .push(latency);
                }
                Action::Refuse(id, _) => {
                    let (kind, ..) = self.requests[&id.0];
                    *self.outcome.refused.entry(kind).or_default() += 1;
                }
                _ => {}
            }
        }
    }

    fn finish(&mut self, job: &Job, now: Timestamp) {
        let result = StatementResult {
            verdict: Verdict::Done,
            body: bytes::Bytes::new(),
            mark: Some(Mark::new(1, job.id)),
            led: true,
            tx: TxState::Idle,
        };
        let notice = ConnectionNotice::Answered(RequestId(job.id), result);
        self.step(Event::Connection(ConnectionId(job.connection), notice), now);
    }
}

/// Serves the peak by the decisions of a fenced group.
fn short_first() -> Outcome {
    let config = GroupConfig {
        name: Name::from("orders"),
        share: 3,
        drain: Duration::from_secs(5),
        settled_at: Timestamp::ZERO,
    };
    let mut simulation = Simulation {
        group: FencedGroup::new(config),
        outcome: Outcome::default(),
        requests: BTreeMap::new(),
        opening: Vec::new(),
        queue: VecDeque::new(),
    };
    let listed = vec![member("leader", 0, true)];
    simulation.step(Event::Members(listed.into()), Timestamp::ZERO);
    let (mut running, mut next) = (Vec::new(), 1);
    for step in 0..steps() {
        let now = Timestamp::ZERO + STEP * u32::try_from(step).unwrap();
        let in_peak = now < Timestamp::ZERO + PEAK;
        for (kind, cost) in arrivals(step).into_iter().filter(|_| in_peak) {
            simulation.requests.insert(next, (kind, cost, now));
            let mut head = fenced_group::head(next, Kind::Write, 0, now);
            head.database = Name::from(kind);
            next += 1;
            simulation.step(Event::Request(head, TxStart::None), now);
        }
        let opened: Vec<_> = simulation
            .opening
            .extract_if(.., |(at, _)| *at <= now)
            .collect();
        for (_, connection) in opened {
            let notice = ConnectionNotice::Opened(None);
            simulation.step(Event::Connection(connection, notice), now);
        }
        for job in serve(&mut simulation.queue, &mut running) {
            simulation.finish(&job, now);
        }
        simulation.step(Event::Tick, now);
    }
    simulation.outcome
}

#[test]
fn short_work_is_served_through_a_load_peak_and_long_work_is_not_starved() {
    let (mut baseline, mut ours) = (first_come(), short_first());
    let summary = format!(
        "first come\n{}\nshort first\n{}",
        baseline.summary(),
        ours.summary()
    );
    assert!(ours.served() >= baseline.served(), "{summary}");
    assert!(
        ours.percentile("short", 99) < baseline.percentile("short", 99),
        "{summary}"
    );
    assert!(
        ours.percentile("short", 50) < baseline.percentile("short", 50),
        "{summary}"
    );
    assert!(
        ours.latencies["long"].len() * 2 >= baseline.latencies["long"].len(),
        "{summary}"
    );
    insta::assert_snapshot!(summary);
}
