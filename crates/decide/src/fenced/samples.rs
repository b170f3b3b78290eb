//! Positions of the leader, with the moments at which they were asked for.
//!
//! An answer holds every commit that was acknowledged before its question was sent. So the oldest
//! sample that was asked for after a point in time bounds what a read may miss from before it.

use std::{collections::VecDeque, time::Duration};

use goldcrest_types::{Mark, Timestamp};

/// The least time between two samples that are kept: a read loses at most this much freshness.
const SPACING: Duration = Duration::from_millis(40);

/// How long samples are kept: above the longest staleness in use (2.5 s), plus a request's life.
const KEPT: Duration = Duration::from_secs(8);

#[derive(Debug, Clone, Copy)]
struct Sample {
    asked: Timestamp,
    mark: Mark,
}

/// Recent samples, oldest first.
#[derive(Debug, Clone, Default)]
pub struct Samples {
    recent: VecDeque<Sample>,
    newest: Option<Sample>,
}

impl Samples {
    /// Notes a position of the leader that was asked for at `asked`.
    pub fn note(&mut self, asked: Timestamp, mark: Mark) {
        let newer = self
            .newest
            .is_none_or(|n| asked > n.asked && mark.term >= n.mark.term);
        if !newer {
            return;
        }
        let sample = Sample { asked, mark };
        self.newest = Some(sample);
        let spaced = self
            .recent
            .back()
            .is_none_or(|last| asked.since(last.asked) >= SPACING || last.mark.term < mark.term);
        if spaced {
            self.recent.push_back(sample);
        }
        while self
            .recent
            .front()
            .is_some_and(|old| asked.since(old.asked) > KEPT)
        {
            self.recent.pop_front();
        }
    }

    /// What a read must contain to hold everything acknowledged before `since`.
    ///
    /// In a newer term, what an older one acknowledged is either part of the newer log or rolled
    /// back, so the newer term's first sample stands for it.
    #[must_use]
    pub fn floor(&self, since: Timestamp) -> Option<Mark> {
        let newest = self.newest?;
        if newest.asked < since {
            return None;
        }
        let fit = self.recent.iter().find(|s| s.asked >= since);
        Some(self.current(fit.unwrap_or(&newest).mark))
    }

    /// The mark that stands for `mark` in the newest term.
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

    /// How long ago the leader is known to have held `mark`, with nothing newer than it for
    /// `beyond`. Nothing is returned where no sample tells.
    #[must_use]
    pub fn age(&self, mark: Mark, beyond: bool, now: Timestamp) -> Option<Duration> {
        let holds = |s: &&Sample| s.mark > mark || (!beyond && s.mark == mark);
        let first = self.recent.iter().chain(&self.newest).find(holds);
        first.map(|s| now.since(s.asked))
    }

    /// The newest sample and when it was asked for.
    #[must_use]
    pub fn newest(&self) -> Option<(Timestamp, Mark)> {
        self.newest.map(|s| (s.asked, s.mark))
    }
}
