//! Rounds of term checks, which prove that a primary was still the primary at a given time.
//!
//! A round queries every endpoint of a group for its promised term and log position. A promotion
//! needs a majority sealed at the new term before anything runs there. So if a majority still
//! reports the old term in checks that were sent after a commit, no promotion had completed when
//! the checks were sent.

use goldcrest_types::{
    Acknowledge, EndpointIx, History, Mark, Report, Role, RoundId, Survival, Term, Timestamp,
};
use smallvec::SmallVec;

/// The maximum number of rounds in progress.
const ROUNDS_LIMIT: usize = 3;

/// The number of confirmed positions that are kept to bound the age of a replica's data.
const SAMPLES_LIMIT: usize = 64;

/// The number of endpoints that form a majority of `size`.
#[must_use]
pub const fn majority(size: usize) -> usize {
    size / 2 + 1
}

/// One query of all endpoints, sent at the same time, with the reports received so far.
#[derive(Debug, Clone)]
pub struct Round {
    /// The round's number.
    pub id: RoundId,
    /// When the checks were sent.
    pub sent_at: Timestamp,
    size: usize,
    reports: SmallVec<[(EndpointIx, Report); 4]>,
    /// Endpoints that did not answer.
    failed: SmallVec<[EndpointIx; 4]>,
}

/// A primary that a round confirmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Confirmed {
    /// The primary.
    pub primary: EndpointIx,
    /// The primary's log position when it answered.
    pub mark: Mark,
    /// When the round was sent.
    pub sent_at: Timestamp,
}

impl Round {
    /// The primary that a majority confirms, if there is one.
    #[must_use]
    pub fn confirmed(&self) -> Option<Confirmed> {
        // A replaced primary that was never sealed still reports that it is the primary.
        let agreed = |r: &Report| self.count_at_term(r.applied.term) >= majority(self.size);
        let mut primaries = self.reports.iter().filter(|(_, r)| is_primary(r));
        let (ix, report) = primaries.find(|(_, r)| agreed(r))?;
        Some(Confirmed {
            primary: *ix,
            mark: report.applied,
            sent_at: self.sent_at,
        })
    }

    /// Whether this round's reports allow a commit at `mark` to be acknowledged.
    #[must_use]
    pub fn confirms_commit(&self, mark: Mark, rule: Acknowledge) -> bool {
        let count = match rule {
            Acknowledge::Primary => self.count_at_term(mark.term),
            Acknowledge::Majority => self.count_holding(mark),
        };
        count >= majority(self.size)
    }

    /// Whether every endpoint has answered or failed.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.reports.len() + self.failed.len() >= self.size
    }

    /// Endpoints that have neither answered nor failed.
    pub fn unanswered(&self) -> impl Iterator<Item = EndpointIx> + '_ {
        (0..self.size)
            .filter_map(|i| u16::try_from(i).ok())
            .map(EndpointIx)
            .filter(|ix| !self.failed.contains(ix) && self.reports.iter().all(|(r, _)| r != ix))
    }

    fn count_at_term(&self, term: Term) -> usize {
        self.count(|r| r.promised == term)
    }

    fn count_holding(&self, mark: Mark) -> usize {
        self.count(|r| r.promised == mark.term && holds(r, mark))
    }

    fn count<F>(&self, test: F) -> usize
    where
        F: Fn(&Report) -> bool,
    {
        self.reports.iter().filter(|(_, r)| test(r)).count()
    }
}

/// Whether the endpoint has received everything up to `mark` in the log of the mark's term.
fn holds(report: &Report, mark: Mark) -> bool {
    report.applied.term == mark.term && report.held >= mark.position
}

/// Whether a report comes from a primary that has not promised a later term.
#[must_use]
pub fn is_primary(report: &Report) -> bool {
    report.role == Role::Primary && report.promised == report.applied.term
}

/// The rounds in progress, and the positions of the primary that past rounds confirmed.
#[derive(Debug, Clone, Default)]
pub struct Rounds {
    open: SmallVec<[Round; ROUNDS_LIMIT]>,
    next: u64,
    samples: Vec<(Timestamp, Mark)>,
}

impl Rounds {
    /// Starts a round, unless the maximum number is in progress.
    pub fn start(&mut self, size: usize, now: Timestamp) -> Option<RoundId> {
        if self.open.len() >= ROUNDS_LIMIT {
            return None;
        }
        let id = RoundId(self.next);
        self.next += 1;
        self.open.push(Round {
            id,
            sent_at: now,
            size,
            reports: SmallVec::new(),
            failed: SmallVec::new(),
        });
        Some(id)
    }

    /// Adds an endpoint's report to its round. A report for a round that has ended is ignored.
    pub fn add_report(&mut self, id: RoundId, ix: EndpointIx, report: Report) {
        let Some(round) = self.find(id) else { return };
        if round.reports.iter().any(|(r, _)| *r == ix) {
            return;
        }
        round.reports.push((ix, report));
        if let Some(c) = round.confirmed() {
            self.add_sample(c);
        }
    }

    /// Records that an endpoint did not answer a round.
    pub fn add_failure(&mut self, id: RoundId, ix: EndpointIx) {
        let Some(round) = self.find(id) else { return };
        if !round.failed.contains(&ix) {
            round.failed.push(ix);
        }
    }

    /// Removes and returns the rounds for which `ended` is true.
    pub fn take<F>(&mut self, ended: F) -> SmallVec<[Round; ROUNDS_LIMIT]>
    where
        F: Fn(&Round) -> bool,
    {
        let (done, open) = self.open.drain(..).partition(|r| ended(r));
        self.open = open;
        done
    }

    /// The rounds in progress.
    #[must_use]
    pub fn open(&self) -> &[Round] {
        &self.open
    }

    /// Whether a round sent at `since` or later is in progress.
    #[must_use]
    pub fn covers(&self, since: Timestamp) -> bool {
        self.open.iter().any(|r| r.sent_at >= since)
    }

    /// The oldest confirmed position that was sampled at `since` or later and that no failover
    /// dropped.
    #[must_use]
    pub fn confirmed_since(&self, since: Timestamp, history: &History) -> Option<Mark> {
        let at = self
            .samples
            .partition_point(|(sent_at, _)| *sent_at < since);
        let mut marks = self.samples.iter().skip(at).map(|(_, mark)| *mark);
        marks.find(|&mark| history.survival(mark) != Survival::Lost)
    }

    fn add_sample(&mut self, confirmed: Confirmed) {
        let last = self.samples.last().map(|(sent_at, _)| *sent_at);
        if last.is_some_and(|sent_at| sent_at >= confirmed.sent_at) {
            return;
        }
        if self.samples.len() == SAMPLES_LIMIT {
            self.samples.remove(0);
        }
        self.samples.push((confirmed.sent_at, confirmed.mark));
    }

    fn find(&mut self, id: RoundId) -> Option<&mut Round> {
        self.open.iter_mut().find(|r| r.id == id)
    }
}
