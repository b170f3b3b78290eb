//! The host's clock. Decision code gets timestamps as arguments and never reads the clock.

use std::time::{Duration, Instant};

use goldcrest_types::Timestamp;
use rustix::time::{ClockId, clock_gettime};

/// A monotonic clock that starts with its host and goes on while the machine is suspended.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Duration,
}

impl Clock {
    /// Starts a clock at zero.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: since_boot(),
        }
    }

    /// Reads the clock.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        Timestamp::ZERO + since_boot().saturating_sub(self.start)
    }

    /// Converts a timestamp to an [`Instant`], for timers.
    #[must_use]
    pub fn instant(&self, at: Timestamp) -> Instant {
        Instant::now() + at.since(self.now())
    }
}

/// The time since the machine booted. Unlike [`Instant`] it includes time spent suspended, so that
/// after a resume no age is measured too short.
fn since_boot() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(now.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}
