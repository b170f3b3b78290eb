//! Rate limiting of log lines.

use std::time::Duration;

use goldcrest_types::Timestamp;

/// The window in which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Limits log lines of one kind to a number per second, and counts the dropped ones.
#[derive(Debug, Clone)]
pub struct RateLimiter {
    max_lines: u32,
    /// The start of the current window.
    since: Timestamp,
    /// Lines written in the current window.
    written: u32,
    /// Lines dropped since the last written one.
    dropped: u32,
}

impl RateLimiter {
    /// Allows this many lines per second.
    #[must_use]
    pub const fn new(max_lines: u32) -> Self {
        Self {
            max_lines,
            since: Timestamp::ZERO,
            written: 0,
            dropped: 0,
        }
    }

    /// Decides whether a line may be written now. Returns how many lines were dropped since the
    /// last written one, or `None` if this line is to be dropped too.
    pub fn admit(&mut self, now: Timestamp) -> Option<u32> {
        if now.since(self.since) >= WINDOW {
            self.since = now;
            self.written = 0;
        }
        if self.written >= self.max_lines {
            self.dropped += 1;
            return None;
        }
        self.written += 1;
        Some(std::mem::take(&mut self.dropped))
    }
}
