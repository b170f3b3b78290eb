//! A limit on log lines of one kind.

use std::time::Duration;

use goldcrest_types::Timestamp;

/// The time for which lines are counted together.
const WINDOW: Duration = Duration::from_secs(1);

/// Limits the lines of one kind to a number a second, and counts those that are left out.
#[derive(Debug, Clone)]
pub struct RateLimiter {
    lines: u32,
    since: Timestamp,
    written: u32,
    dropped: u32,
}

impl RateLimiter {
    /// A limit of this many lines a second.
    #[must_use]
    pub const fn new(lines: u32) -> Self {
        Self {
            lines,
            since: Timestamp::ZERO,
            written: 0,
            dropped: 0,
        }
    }

    /// Whether a line may be written now, and how many were left out before it.
    pub fn admit(&mut self, now: Timestamp) -> Option<u32> {
        if now.since(self.since) >= WINDOW {
            self.since = now;
            self.written = 0;
        }
        if self.written >= self.lines {
            self.dropped += 1;
            return None;
        }
        self.written += 1;
        Some(std::mem::take(&mut self.dropped))
    }
}
