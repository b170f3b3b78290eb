//! Limits of concurrent statements, played by hosts that keep one endpoint busy, without a group.

use std::{collections::VecDeque, fmt::Write, time::Duration};

use goldcrest_decide::concurrency::Limit;
use goldcrest_types::Timestamp;
use rstest::rstest;

const STEP: Duration = Duration::from_micros(500);
const SECOND: u32 = 2_000;

/// Statements that the endpoint runs at the same time.
const SLOTS: usize = 4;

/// Time of a statement at a free endpoint, in steps: 9 ms on average, unevenly spread.
const COSTS: [u32; 8] = [8, 10, 12, 14, 16, 18, 26, 40];

struct Job {
    host: usize,
    left: u32,
    sent_at: Timestamp,
}

/// How the endpoint behaves in a second of the play.
#[derive(Clone, Copy)]
struct Mood {
    /// Statements take this many times as long.
    slowness: u32,
    /// One statement in this many fails at once, if not zero.
    failing: u32,
    /// Whether the hosts want to send more than any limit allows.
    crowd: bool,
}

const CALM: Mood = Mood {
    slowness: 1,
    failing: 0,
    crowd: true,
};

/// Hosts that send to one endpoint as much as their limits allow.
struct Play {
    limits: Vec<Limit>,
    running: Vec<u32>,
    queue: VecDeque<Job>,
    busy: Vec<Job>,
    step: u32,
    sent: usize,
    served: usize,
    summary: String,
}

impl Play {
    fn new(starts: &[u32]) -> Self {
        let limits = starts
            .iter()
            .map(|s| Limit::starting_at(*s, Duration::ZERO));
        Self {
            limits: limits.collect(),
            running: vec![0; starts.len()],
            queue: VecDeque::new(),
            busy: Vec::new(),
            step: 0,
            sent: 0,
            served: 0,
            summary: String::new(),
        }
    }

    fn run(&mut self, seconds: u32, mood: Mood) {
        for _ in 0..seconds {
            self.served = 0;
            for _ in 0..SECOND {
                self.step(mood);
            }
            let limits: Vec<u32> = self.limits.iter().map(Limit::current).collect();
            let second = self.step / SECOND;
            writeln!(
                self.summary,
                "{second} s: limits {limits:?}, {} served",
                self.served
            )
            .unwrap();
        }
    }

    fn step(&mut self, mood: Mood) {
        self.step += 1;
        let now = Timestamp::ZERO + STEP * self.step;
        for host in 0..self.limits.len() {
            while self.limits[host].allows(self.running[host])
                && (mood.crowd || self.running[host] == 0)
            {
                self.send(host, mood, now);
            }
            if mood.crowd {
                self.limits[host].record_reached();
            }
        }
        while self.busy.len() < SLOTS
            && let Some(job) = self.queue.pop_front()
        {
            self.busy.push(job);
        }
        for job in &mut self.busy {
            job.left -= 1;
        }
        for job in self.busy.extract_if(.., |job| job.left == 0) {
            self.running[job.host] -= 1;
            self.served += 1;
            self.limits[job.host].record_answer(job.sent_at, now.since(job.sent_at), now);
        }
    }

    fn send(&mut self, host: usize, mood: Mood, now: Timestamp) {
        self.sent += 1;
        let fails = mood.failing > 0 && self.sent.is_multiple_of(mood.failing as usize);
        if fails {
            return self.limits[host].record_failure(now, now);
        }
        // A step that is coprime to the number of costs visits all of them in a mixed order.
        let cost = COSTS[self.sent * 5 % COSTS.len()];
        self.running[host] += 1;
        self.queue.push_back(Job {
            host,
            left: cost * mood.slowness,
            sent_at: now,
        });
    }

    fn sum(&self) -> u32 {
        self.limits.iter().map(Limit::current).sum()
    }
}

/// A host that was alone learns the endpoint's speed before the crowd comes.
fn calm_start(starts: &[u32]) -> Play {
    let mut play = Play::new(starts);
    play.run(
        3,
        Mood {
            crowd: false,
            ..CALM
        },
    );
    play
}

#[test]
fn hosts_that_start_unequal_come_to_equal_parts_of_what_the_endpoint_takes() {
    let mut play = calm_start(&[24, 3, 1]);
    play.run(20, CALM);
    // Limits go up and down, so that their means count.
    let mut means = [0.0; 3];
    for _ in 0..20 {
        play.run(1, CALM);
        for (mean, limit) in means.iter_mut().zip(&play.limits) {
            *mean += f64::from(limit.current()) / 20.0;
        }
    }
    writeln!(play.summary, "means of the last 20 s: {means:.1?}").unwrap();
    let (low, high) = (
        means.iter().copied().fold(f64::MAX, f64::min),
        means.iter().copied().fold(0.0, f64::max),
    );
    assert!(high <= low * 1.5, "{}", play.summary);
    let sum: f64 = means.iter().sum();
    assert!((4.0..=12.0).contains(&sum), "{}", play.summary);
    insta::assert_snapshot!(play.summary);
}

#[test]
fn a_limit_falls_while_the_endpoint_is_slow_and_grows_back_afterwards() {
    let mut play = calm_start(&[16, 16]);
    play.run(6, CALM);
    let before = play.sum();
    play.run(
        2,
        Mood {
            slowness: 4,
            ..CALM
        },
    );
    let slow = play.sum();
    assert!(slow < before, "{}", play.summary);
    play.run(8, CALM);
    assert!(play.sum() > slow, "{}", play.summary);
    insta::assert_snapshot!(play.summary);
}

#[test]
fn an_endpoint_that_fails_fast_gets_less() {
    let mut play = calm_start(&[16]);
    play.run(4, Mood { failing: 3, ..CALM });
    let limit = play.sum();
    assert!(limit < u32::try_from(SLOTS).unwrap(), "{}", play.summary);
    let cause = play.limits[0].last_change().map(|c| c.cause);
    insta::assert_snapshot!(format!("{}{cause:?}", play.summary));
}

#[rstest]
#[case::cold_start(Mood { slowness: 2, ..CALM })]
#[case::failing(Mood { failing: 1, ..CALM })]
fn a_limit_is_never_below_one(#[case] mood: Mood) {
    let mut limit = Limit::new(Duration::ZERO);
    for tick in 0..10_000_u64 {
        let now = Timestamp::from_millis(tick * 10);
        let took = Duration::from_millis(5 + tick * u64::from(mood.slowness - 1));
        if mood.failing > 0 {
            limit.record_failure(now, now);
        } else {
            limit.record_answer(now, took, now);
        }
        assert!(limit.allows(0), "at {tick}: {limit:?}");
    }
    assert_eq!(limit.current(), 1);
}

#[test]
fn an_endpoint_that_is_first_seen_cold_is_limited_by_its_later_speed() {
    let mut play = Play::new(&[16]);
    play.run(
        2,
        Mood {
            slowness: 3,
            ..CALM
        },
    );
    play.run(20, CALM);
    let slots = u32::try_from(SLOTS).unwrap();
    assert!(
        (slots..=slots * 4).contains(&play.sum()),
        "{}",
        play.summary
    );
}
