//! Time as a value. Decisions are given a moment and never read a clock.

use std::{ops::Add, time::Duration};

/// A point on a host's monotonic clock, in nanoseconds since the host started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The start of the clock.
    pub const ZERO: Self = Self(0);

    /// Builds a moment from nanoseconds since the clock started.
    #[must_use]
    pub const fn from_nanos(nanos: u64) -> Self {
        Self(nanos)
    }

    /// Builds a moment from milliseconds since the clock started.
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

    /// The time from `earlier` to this moment, zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }

    /// The moment `span` before this one, or the clock's start.
    #[must_use]
    pub fn before(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(nanos_of(span)))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(nanos_of(span)))
    }
}

fn nanos_of(span: Duration) -> u64 {
    u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)
}
