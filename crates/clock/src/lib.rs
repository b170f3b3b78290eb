//! The host's clock. Decisions get moments from it and never read it.

use std::time::{Duration, Instant};

use goldcrest_types::Timestamp;
use rustix::time::{ClockId, clock_gettime};

/// A clock that starts with its host and counts the time that the host spends suspended.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Duration,
}

impl Clock {
    /// Starts a clock.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: since_boot(),
        }
    }

    /// The present moment.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        Timestamp::ZERO + since_boot().saturating_sub(self.start)
    }

    /// The instant of a moment, for timers.
    #[must_use]
    pub fn instant(&self, moment: Timestamp) -> Instant {
        Instant::now() + moment.since(self.now())
    }
}

/// The time since the machine started. Unlike [`Instant`] it goes on while the machine sleeps, so
/// that nothing looks younger than it is after a wake-up.
fn since_boot() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(now.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}
