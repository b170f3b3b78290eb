//! Finds how many statements of this host an endpoint takes well at once.
//!
//! Answers the load of endpoints that slow down before they are full. What goes beyond the limit
//! waits at the host, in the order of its queue, or goes to another endpoint. The limit grows by one
//! for each interval in which it was reached while the endpoint was quick, and falls by a quarter when
//! the endpoint is slow or fails (AIMD). Slow is an endpoint at which more than two statements of the
//! host wait, by the time that they take beyond the usual one, and usual is what the host saw while it
//! sent less. Hosts that see the same slowness thereby come to equal parts
//! without a message.

use std::time::Duration;

use goldcrest_types::Timestamp;

/// The limit before any measurement. It doubles until the endpoint is slow for the first time.
const INITIAL_LIMIT: u32 = 4;

/// Parts of a statement in which a limit is kept. Whole steps would take more from low limits.
const PARTS: u32 = 16;

/// How often a host that reaches its limit sends less for an interval, to see how fast the endpoint
/// then is. It may never have seen it idle.
const PROBE_INTERVAL: Duration = Duration::from_secs(8);

/// The same after a probe that showed that the endpoint is much faster than thought.
const SHORT_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// A probe sends one part in this many of the limit.
const PROBE_DIVISOR: u32 = 4;

/// Most statements that are assumed to be on their way at once.
const MAX_ON_WAY: u32 = 16;

/// Shortest time over which answers are judged. The same for all hosts, so that those that send much
/// don't raise their limits more often.
const INTERVAL: Duration = Duration::from_millis(250);

/// Fewest statements that are judged together: the mean of fewer is uncertain by a quarter.
const MIN_STATEMENTS: u32 = 12;

/// An interval that has lasted this long without enough statements starts again.
const MAX_INTERVAL: Duration = Duration::from_secs(2);

/// Statements of this host that may wait at the endpoint, on average. The limit falls beyond. Hosts that
/// may have equally many waiting come to equal limits.
const QUEUED_TARGET: f64 = 2.0;

/// Statements that take less than this many times as long as usual are not slow: uneven statements alone
/// make such a difference.
const UNEVEN_FACTOR: f64 = 1.5;

/// Statements that take this many times as long as usual are slow, also if few of this host wait.
const SLOW_FACTOR: f64 = 4.0;

/// A limit that falls loses one part in this many.
const DECREASE_DIVISOR: u32 = 4;

/// The limit falls if at least one statement in this many fails.
const FAILURE_DIVISOR: u32 = 5;

/// A single statement counts as at most this many times the usual time, so that few very long ones
/// don't decide.
const OUTLIER_FACTOR: u32 = 6;

/// The usual time follows faster answers by one part in this many.
const FASTER_DIVISOR: u32 = 8;

/// The usual time follows slower answers by one part in this many. Much less than faster ones, so that
/// a queue at the endpoint is not taken for its speed.
const SLOWER_DIVISOR: u32 = 512;

/// Why a limit changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// Statements took longer than usual.
    Slow,
    /// Statements failed or found no free slot.
    Failing,
    /// The limit was reached, and statements took no longer than usual.
    Quick,
}

/// A change of a limit, with what decided it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Change {
    /// The limit before.
    pub from: u32,
    /// The limit from now on.
    pub to: u32,
    /// Why.
    pub cause: Cause,
    /// Mean time of the answered statements at the endpoint. `None` without an answer.
    pub mean: Option<Duration>,
    /// The time that counts as usual.
    pub usual: Option<Duration>,
    /// Statements that were answered in the interval.
    pub answers: u32,
    /// Statements that failed or found no free slot in the interval.
    pub failures: u32,
    /// When the interval began: the age of the oldest input.
    pub since: Timestamp,
    /// When the limit changed.
    pub at: Timestamp,
}

/// What was seen since the last judgement.
#[derive(Debug, Clone, Copy, Default)]
struct Interval {
    since: Option<Timestamp>,
    answers: u32,
    failures: u32,
    total: Duration,
    /// Whether a request could not be sent because of the limit.
    reached: bool,
}

/// The limit of one host's statements at one endpoint.
#[derive(Debug, Clone)]
pub struct Limit {
    /// The limit in parts of a statement.
    parts: u32,
    /// Mean time of a statement while the endpoint is not loaded.
    usual: Option<Duration>,
    /// Round trip to the endpoint.
    trip: Duration,
    interval: Interval,
    /// Statements sent before the last change say nothing of its effect.
    changed_at: Timestamp,
    /// Whether the limit has never fallen.
    ramping: bool,
    /// Whether only a part of the limit is in force.
    probing: bool,
    /// When the next probe may start.
    probe_at: Timestamp,
    last_change: Option<Change>,
}

impl Limit {
    /// Creates the limit of an endpoint that a statement and its answer reach in `trip` together.
    #[must_use]
    pub fn new(trip: Duration) -> Self {
        Self::starting_at(INITIAL_LIMIT, trip)
    }

    /// The same with another limit to start from.
    #[must_use]
    pub fn starting_at(limit: u32, trip: Duration) -> Self {
        Self {
            parts: limit.max(1) * PARTS,
            usual: None,
            trip,
            interval: Interval::default(),
            changed_at: Timestamp::ZERO,
            ramping: true,
            probing: false,
            probe_at: Timestamp::ZERO,
            last_change: None,
        }
    }

    /// Returns the limit, at least one.
    #[must_use]
    pub fn current(&self) -> u32 {
        self.parts / PARTS
    }

    /// Returns the last change, if there was one.
    #[must_use]
    pub fn last_change(&self) -> Option<&Change> {
        self.last_change.as_ref()
    }

    /// Whether one more statement may be sent while `running` are under way.
    #[must_use]
    pub fn allows(&self, running: u32) -> bool {
        let limit = if self.probing {
            self.current().div_ceil(PROBE_DIVISOR)
        } else {
            self.current()
        };
        running < limit
    }

    /// Records that a request was not sent because of the limit.
    pub fn record_reached(&mut self) {
        self.interval.reached = true;
    }

    /// Records a success. `elapsed` is the time that the statement took at the endpoint, corrected for
    /// how dear statements of its kind are.
    pub fn record_answer(&mut self, sent_at: Timestamp, elapsed: Duration, now: Timestamp) {
        if sent_at < self.changed_at {
            return;
        }
        let cap = self.usual.map(|usual| usual * OUTLIER_FACTOR);
        self.interval.total += cap.map_or(elapsed, |cap| elapsed.min(cap));
        self.interval.answers += 1;
        self.judge(now);
    }

    /// Records a statement that failed, was left unanswered or found no free slot. How long that took
    /// says nothing of the endpoint's speed.
    pub fn record_failure(&mut self, sent_at: Timestamp, now: Timestamp) {
        if sent_at < self.changed_at {
            return;
        }
        self.interval.failures += 1;
        self.judge(now);
    }

    /// Judges the interval if it holds enough statements.
    fn judge(&mut self, now: Timestamp) {
        let seen = self.interval;
        let since = *self.interval.since.get_or_insert(now);
        let statements = seen.answers + seen.failures;
        let age = now.since(since);
        if age < INTERVAL || statements < MIN_STATEMENTS {
            if age >= MAX_INTERVAL {
                self.interval = Interval::default();
            }
            return;
        }
        self.interval = Interval::default();
        let mean = (seen.answers > 0).then(|| seen.total / seen.answers);
        if self.probing {
            return self.end_probe(mean, now);
        }
        let next = self.next(&seen, mean);
        let falls = next.is_some_and(|(parts, _)| parts < self.parts);
        if !falls && seen.reached && now >= self.probe_at {
            (self.probing, self.changed_at) = (true, now);
        } else if let Some((parts, cause)) = next {
            let from = self.current();
            self.ramping &= parts > self.parts;
            (self.parts, self.changed_at) = (parts, now);
            let change = Change {
                from,
                to: self.current(),
                cause,
                mean,
                usual: self.usual,
                answers: seen.answers,
                failures: seen.failures,
                since,
                at: now,
            };
            self.last_change = Some(change).filter(|c| c.from != c.to).or(self.last_change);
        }
        if let Some(mean) = mean {
            self.follow(mean);
        }
    }

    /// Takes the time of a statement during a probe for the usual one, if it is shorter.
    fn end_probe(&mut self, mean: Option<Duration>, now: Timestamp) {
        let before = self.usual;
        self.usual = self.usual.into_iter().chain(mean).min();
        let much_faster = self.usual.map(|usual| usual * 3 / 2) < before;
        let pause = if much_faster {
            SHORT_PROBE_INTERVAL
        } else {
            PROBE_INTERVAL
        };
        (self.probing, self.changed_at, self.probe_at) = (false, now, now + pause);
    }

    /// Returns the limit that an interval calls for, in parts, and its cause, or `None` if it stays.
    fn next(&self, seen: &Interval, mean: Option<Duration>) -> Option<(u32, Cause)> {
        let failing = seen.failures * FAILURE_DIVISOR >= seen.answers + seen.failures;
        let slow = match (mean, self.usual) {
            (Some(mean), Some(usual)) => self.is_slow(mean.as_secs_f64(), usual.as_secs_f64()),
            _ => false,
        };
        let fallen = self.parts - self.parts / DECREASE_DIVISOR;
        let fallen = fallen.max(self.least(mean) * PARTS).min(self.parts);
        let (parts, cause) = match (failing, slow, seen.reached) {
            (true, ..) => (fallen, Cause::Failing),
            (false, true, _) => (fallen, Cause::Slow),
            (false, false, true) if self.ramping => (self.parts * 2, Cause::Quick),
            (false, false, true) => (self.parts + PARTS, Cause::Quick),
            _ => return None,
        };
        (parts != self.parts).then_some((parts, cause))
    }

    /// Whether statements take so long, in seconds, that too many wait at the endpoint.
    fn is_slow(&self, mean: f64, usual: f64) -> bool {
        let limit = f64::from(self.parts) / f64::from(PARTS);
        let queued = limit * (mean - usual) / (mean + self.trip.as_secs_f64());
        mean > usual * SLOW_FACTOR || (mean > usual * UNEVEN_FACTOR && queued > QUEUED_TARGET)
    }

    /// Returns the lowest limit: one statement at the endpoint, and those that are on their way
    /// meanwhile.
    fn least(&self, mean: Option<Duration>) -> u32 {
        let mean = mean.unwrap_or_default().as_micros();
        let on_way = self.trip.as_micros().checked_div(mean).unwrap_or_default();
        1 + u32::try_from(on_way).unwrap_or(MAX_ON_WAY).min(MAX_ON_WAY)
    }

    fn follow(&mut self, mean: Duration) {
        let usual = self.usual.unwrap_or(mean);
        let divisor = if mean < usual {
            FASTER_DIVISOR
        } else {
            SLOWER_DIVISOR
        };
        self.usual = Some((usual * (divisor - 1) + mean) / divisor);
    }
}
