//! Samples of the leader's log position, with the time at which each was requested.
//!
//! A sample contains every commit that was acknowledged before its request was sent. The oldest
//! sample requested after a given time is therefore a sufficient lower bound for reads that must
//! reflect that time.

use std::{collections::VecDeque, time::Duration};

use goldcrest_types::{Mark, Timestamp};

/// Minimum interval between two samples that are kept. A read's data may be older by at most this
/// much.
const MIN_SPACING: Duration = Duration::from_millis(40);

/// How long samples are kept: longer than the longest staleness in use (2.5 s) plus the lifetime of
/// a request.
const RETENTION: Duration = Duration::from_secs(8);

#[derive(Debug, Clone, Copy)]
struct Sample {
    requested_at: Timestamp,
    mark: Mark,
}

/// Recent samples, oldest first.
#[derive(Debug, Clone, Default)]
pub struct Samples {
    recent: VecDeque<Sample>,
    newest: Option<Sample>,
}

impl Samples {
    /// Records a position of the leader that was requested at `requested_at`.
    pub fn record(&mut self, requested_at: Timestamp, mark: Mark) {
        let newer = self
            .newest
            .is_none_or(|n| requested_at > n.requested_at && mark.term >= n.mark.term);
        if !newer {
            return;
        }
        let sample = Sample { requested_at, mark };
        self.newest = Some(sample);
        let spaced = self.recent.back().is_none_or(|last| {
            requested_at.since(last.requested_at) >= MIN_SPACING || last.mark.term < mark.term
        });
        if spaced {
            self.recent.push_back(sample);
        }
        while self
            .recent
            .front()
            .is_some_and(|old| requested_at.since(old.requested_at) > RETENTION)
        {
            self.recent.pop_front();
        }
    }

    /// Returns the position that a read must contain to reflect everything acknowledged before
    /// `since`.
    ///
    /// What an older term acknowledged is either part of the newer term's log or was rolled back,
    /// so the newer term's first sample takes its place.
    #[must_use]
    pub fn floor(&self, since: Timestamp) -> Option<Mark> {
        let newest = self.newest?;
        if newest.requested_at < since {
            return None;
        }
        let fit = self.recent.iter().find(|s| s.requested_at >= since);
        Some(self.current(fit.unwrap_or(&newest).mark))
    }

    /// Returns the position in the newest term that corresponds to `mark`.
    #[must_use]
    pub fn current(&self, mark: Mark) -> Mark {
        let Some(newest) = self.newest else {
            return mark;
        };
        if mark.term >= newest.mark.term || mark == Mark::default() {
            return mark;
        }
        let first = self.recent.iter().find(|s| s.mark.term == newest.mark.term);
        first.map_or(newest.mark, |s| s.mark)
    }

    /// Returns how long ago the leader is known to have reached `mark`, or to have passed it if
    /// `beyond` is set. `None` if no sample shows it.
    #[must_use]
    pub fn age(&self, mark: Mark, beyond: bool, now: Timestamp) -> Option<Duration> {
        let holds = |s: &&Sample| s.mark > mark || (!beyond && s.mark == mark);
        let first = self.recent.iter().chain(&self.newest).find(holds);
        first.map(|s| now.since(s.requested_at))
    }

    /// Returns the newest sample with the time at which it was requested.
    #[must_use]
    pub fn newest(&self) -> Option<(Timestamp, Mark)> {
        self.newest.map(|s| (s.requested_at, s.mark))
    }
}
