//! Timestamps. Decision logic receives the current time as a value and never reads a clock.

use std::{ops::Add, time::Duration};

/// A reading of a host's monotonic clock, in nanoseconds since the clock started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The start of the clock.
    pub const ZERO: Self = Self(0);

    /// Creates a timestamp from nanoseconds since the clock started.
    #[must_use]
    pub const fn from_nanos(nanos: u64) -> Self {
        Self(nanos)
    }

    /// Creates a timestamp from milliseconds since the clock started.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000_000)
    }

    /// Nanoseconds since the clock started.
    #[must_use]
    pub const fn nanos(self) -> u64 {
        self.0
    }

    /// Milliseconds since the clock started, rounded down.
    #[must_use]
    pub const fn millis(self) -> u64 {
        self.0 / 1_000_000
    }

    /// The time from `earlier` to this timestamp, or zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }

    /// The timestamp `duration` before this one, but not before the clock's start.
    #[must_use]
    pub fn before(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(saturating_nanos(duration)))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(saturating_nanos(duration)))
    }
}

fn saturating_nanos(duration: Duration) -> u64 {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)
}
