//! Plays a load peak at one host and one endpoint, and tells what clients get.

use std::{
    collections::{BTreeMap, VecDeque},
    fmt::Write,
    time::Duration,
};

use goldcrest_decide::fenced::{Action, Event, FencedGroup, GroupConfig};
use goldcrest_types::{
    ConnectionId, ConnectionNotice, Kind, Mark, Name, Refusal, RequestId, StatementResult,
    Timestamp, TxStart, TxState, Verdict,
};

use super::member;

/// Duration of one step.
pub const STEP: Duration = Duration::from_micros(100);

/// How long the peak lasts.
pub const PEAK: Duration = Duration::from_secs(3);

/// How long the play lasts.
const END: Duration = Duration::from_secs(5);

/// How long the set-up of a connection takes.
const OPEN_TIME: Duration = Duration::from_millis(12);

/// A stream of statements.
#[derive(Clone, Copy)]
pub struct Stream {
    pub database: &'static str,
    pub workspace: &'static str,
    pub priority: u8,
    /// Time at the endpoint, in steps.
    pub cost: u64,
    /// Pause between two arrivals, in steps.
    pub pause: u64,
}

impl Stream {
    pub const fn new(database: &'static str, cost: u64, pause: u64) -> Self {
        Self {
            database,
            workspace: "",
            priority: 0,
            cost,
            pause,
        }
    }

    pub const fn urgent(self, priority: u8) -> Self {
        Self { priority, ..self }
    }

    pub const fn of(self, workspace: &'static str) -> Self {
        Self { workspace, ..self }
    }

    /// Returns the name under which it is counted.
    pub fn name(&self) -> &'static str {
        if self.workspace.is_empty() {
            self.database
        } else {
            self.workspace
        }
    }

    fn arrives(&self, step: u64) -> bool {
        step.is_multiple_of(self.pause)
    }
}

/// The endpoint and this host's part of it.
#[derive(Clone, Copy)]
pub struct Endpoint {
    pub slots: usize,
    /// Whether each further statement that waits there slows all of them down.
    pub drags: bool,
    pub share: usize,
    pub limited: bool,
}

/// What clients get, by stream. Times are in milliseconds.
#[derive(Default)]
pub struct Outcome {
    pub latencies: BTreeMap<&'static str, Vec<u64>>,
    /// How long refused requests were held.
    pub refused: BTreeMap<&'static str, Vec<u64>>,
    /// The times after which refused clients are to return.
    pub returns: Vec<u64>,
}

pub fn percentile(values: &[u64], percent: usize) -> u64 {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    let at = (sorted.len() * percent / 100).min(sorted.len().saturating_sub(1));
    sorted.get(at).copied().unwrap_or_default()
}

impl Outcome {
    pub fn served(&self) -> usize {
        self.latencies.values().map(Vec::len).sum()
    }

    /// Returns the time at the endpoint of what was served, in steps.
    pub fn work(&self, streams: &[Stream]) -> u64 {
        let each = streams.iter();
        each.map(|s| s.cost * u64::try_from(self.served_of(s.name())).unwrap())
            .sum()
    }

    pub fn served_of(&self, stream: &str) -> usize {
        self.latencies.get(stream).map_or(0, Vec::len)
    }

    pub fn percentile(&self, stream: &str, percent: usize) -> u64 {
        let all = self.latencies.get(stream);
        all.map_or(0, |all| percentile(all, percent))
    }

    /// Returns how many requests were refused after they had been held for more than `limit` ms.
    pub fn held(&self, limit: u64) -> usize {
        let all = self.refused.values().flatten();
        all.filter(|held| **held > limit).count()
    }

    pub fn summary(&self, streams: &[Stream]) -> String {
        let mut out = String::new();
        for name in streams.iter().map(Stream::name) {
            let (p50, p99) = (self.percentile(name, 50), self.percentile(name, 99));
            let served = self.served_of(name);
            let refused = self.refused.get(name).map_or(0, Vec::len);
            writeln!(
                out,
                "{name}: {served} served, {refused} refused, p50 {p50} ms, p99 {p99} ms"
            )
            .unwrap();
        }
        out
    }
}

pub struct Job {
    pub id: u64,
    pub stream: Stream,
    pub left: u64,
    pub arrived: Timestamp,
    connection: u64,
}

impl Job {
    pub fn new(id: u64, stream: Stream, arrived: Timestamp) -> Self {
        Self {
            id,
            stream,
            left: stream.cost,
            arrived,
            connection: 0,
        }
    }
}

/// Returns the number and the time of each step, and whether it belongs to the peak.
pub fn steps() -> impl Iterator<Item = (u64, Timestamp, bool)> {
    let count = u64::try_from(END.as_nanos() / STEP.as_nanos()).unwrap();
    (0..count).map(|step| {
        let now = Timestamp::ZERO + STEP * u32::try_from(step).unwrap();
        (step, now, now < Timestamp::ZERO + PEAK)
    })
}

/// Moves jobs into free slots, and returns those that finish in this step.
pub fn serve(slots: usize, queue: &mut VecDeque<Job>, running: &mut Vec<Job>) -> Vec<Job> {
    while running.len() < slots
        && let Some(job) = queue.pop_front()
    {
        running.push(job);
    }
    for job in running.iter_mut() {
        job.left -= 1;
    }
    running.extract_if(.., |job| job.left == 0).collect()
}

struct Play {
    group: FencedGroup,
    outcome: Outcome,
    requests: BTreeMap<u64, (Stream, Timestamp)>,
    opening: Vec<(Timestamp, ConnectionId)>,
    queue: VecDeque<Job>,
}

impl Play {
    fn step(&mut self, event: Event, now: Timestamp) {
        for action in self.group.step(event, now) {
            match action {
                Action::Open(connection, ..) => self.opening.push((now + OPEN_TIME, connection)),
                Action::Run(connection, id, _) => {
                    let (stream, arrived) = self.requests[&id.0];
                    let mut job = Job::new(id.0, stream, arrived);
                    job.connection = connection.0;
                    self.queue.push_back(job);
                }
                Action::Deliver { id, .. } => {
                    let (name, held) = self.ended(id, now);
                    self.outcome.latencies.entry(name).or_default().push(held);
                }
                Action::Refuse(id, refusal) => {
                    let (name, held) = self.ended(id, now);
                    self.outcome.refused.entry(name).or_default().push(held);
                    if let Refusal::NotRun {
                        retry: Some(retry), ..
                    } = refusal
                    {
                        let retry = u64::try_from(retry.as_millis()).unwrap();
                        self.outcome.returns.push(retry);
                    }
                }
                _ => {}
            }
        }
    }

    fn ended(&self, id: RequestId, now: Timestamp) -> (&'static str, u64) {
        let (stream, arrived) = self.requests[&id.0];
        let held = u64::try_from(now.since(arrived).as_millis()).unwrap();
        (stream.name(), held)
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
pub fn play(streams: &[Stream], endpoint: Endpoint) -> Outcome {
    let config = GroupConfig {
        name: Name::from("orders"),
        share: endpoint.share,
        drain: Duration::from_secs(5),
        settled_at: Timestamp::ZERO,
        limited: endpoint.limited,
    };
    let mut play = Play {
        group: FencedGroup::new(config),
        outcome: Outcome::default(),
        requests: BTreeMap::new(),
        opening: Vec::new(),
        queue: VecDeque::new(),
    };
    let listed = vec![member("leader", 0, true)];
    play.step(Event::Members(listed.into()), Timestamp::ZERO);
    let (mut running, mut next) = (Vec::new(), 1);
    for (step, now, in_peak) in steps() {
        for stream in streams.iter().filter(|s| in_peak && s.arrives(step)) {
            play.requests.insert(next, (*stream, now));
            let mut head = super::head(next, Kind::Write, 0, now);
            head.database = Name::from(stream.database);
            head.workspace = Name::from(stream.workspace);
            head.priority = stream.priority;
            next += 1;
            play.step(Event::Request(head, TxStart::None), now);
        }
        let opened: Vec<_> = play.opening.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, connection) in opened {
            let notice = ConnectionNotice::Opened(None);
            play.step(Event::Connection(connection, notice), now);
        }
        let inside = u64::try_from((play.queue.len() + running.len()) / endpoint.slots).unwrap();
        if !endpoint.drags || step.is_multiple_of(1 + inside) {
            for job in serve(endpoint.slots, &mut play.queue, &mut running) {
                play.finish(&job, now);
            }
        }
        play.step(Event::Tick, now);
    }
    play.outcome
}

/// Serves the peak from a first-come queue with the same slots.
pub fn first_come(streams: &[Stream], slots: usize) -> Outcome {
    let (mut outcome, mut queue, mut running) = (Outcome::default(), VecDeque::new(), Vec::new());
    let limit = Duration::from_millis(700);
    for (step, now, in_peak) in steps() {
        let due = streams.iter().filter(|s| in_peak && s.arrives(step));
        queue.extend(due.map(|stream| Job::new(0, *stream, now)));
        while let Some(job) = queue.pop_front_if(|job: &mut Job| now.since(job.arrived) >= limit) {
            let refused = outcome.refused.entry(job.stream.name()).or_default();
            refused.push(700);
        }
        for job in serve(slots, &mut queue, &mut running) {
            let latency = u64::try_from(now.since(job.arrived).as_millis()).unwrap();
            let latencies = outcome.latencies.entry(job.stream.name()).or_default();
            latencies.push(latency);
        }
    }
    outcome
}
