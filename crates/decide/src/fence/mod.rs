//! Rounds of term checks: whether a primary still was one after a given moment.
//!
//! A promotion needs a majority of the group sealed at the new term before anything runs there.
//! A majority that still reports the old term in checks sent after a commit therefore proves that
//! no promotion had completed when the checks were sent.

use goldcrest_types::{
    Acknowledge, EndpointIx, History, Mark, Report, Role, RoundId, Survival, Term, Timestamp,
};
use smallvec::SmallVec;

/// Rounds that may be under way at once.
const OPEN_ROUNDS: usize = 3;

/// Samples of the primary's position that are kept to prove the age of a replica.
const SAMPLES: usize = 64;

/// The number of endpoints that forms a majority of `size`.
#[must_use]
pub const fn majority(size: usize) -> usize {
    size / 2 + 1
}

/// A check of all endpoints that were asked after one moment.
#[derive(Debug, Clone)]
pub struct Round {
    /// The round's number.
    pub id: RoundId,
    /// When the checks were sent.
    pub sent: Timestamp,
    size: usize,
    reports: SmallVec<[(EndpointIx, Report); 4]>,
    failed: SmallVec<[EndpointIx; 4]>,
}

/// What a round proves of the primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Confirmed {
    /// The primary.
    pub primary: EndpointIx,
    /// The primary's log when it answered.
    pub mark: Mark,
    /// When the round was sent.
    pub sent: Timestamp,
}

impl Round {
    /// The primary that a majority confirms, if there is one.
    #[must_use]
    pub fn confirmed(&self) -> Option<Confirmed> {
        // A replaced primary that was never sealed still says that it is one.
        let agreed = |r: &Report| self.agreeing(r.applied.term) >= majority(self.size);
        let mut primaries = self.reports.iter().filter(|(_, r)| is_primary(r));
        let (ix, report) = primaries.find(|(_, r)| agreed(r))?;
        Some(Confirmed {
            primary: *ix,
            mark: report.applied,
            sent: self.sent,
        })
    }

    /// Whether a commit at `mark` may be acknowledged by this round's reports.
    #[must_use]
    pub fn is_safe(&self, mark: Mark, rule: Acknowledge) -> bool {
        let enough = match rule {
            Acknowledge::Primary => self.agreeing(mark.term),
            Acknowledge::Majority => self.holding(mark),
        };
        enough >= majority(self.size)
    }

    /// Whether every endpoint answered or failed.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.reports.len() + self.failed.len() >= self.size
    }

    /// Endpoints that have neither answered nor failed.
    pub fn silent(&self) -> impl Iterator<Item = EndpointIx> + '_ {
        (0..self.size)
            .filter_map(|i| u16::try_from(i).ok())
            .map(EndpointIx)
            .filter(|ix| !self.failed.contains(ix) && self.reports.iter().all(|(r, _)| r != ix))
    }

    fn agreeing(&self, term: Term) -> usize {
        self.count(|r| r.promised == term)
    }

    fn holding(&self, mark: Mark) -> usize {
        self.count(|r| r.promised == mark.term && holds(r, mark))
    }

    fn count<F>(&self, test: F) -> usize
    where
        F: Fn(&Report) -> bool,
    {
        self.reports.iter().filter(|(_, r)| test(r)).count()
    }
}

fn holds(report: &Report, mark: Mark) -> bool {
    report.applied.term == mark.term && report.held >= mark.position
}

/// Whether a report is of a primary that has not promised a later term.
#[must_use]
pub fn is_primary(report: &Report) -> bool {
    report.role == Role::Primary && report.promised == report.applied.term
}

/// The rounds under way, and proved positions of the past.
#[derive(Debug, Clone, Default)]
pub struct Rounds {
    open: SmallVec<[Round; OPEN_ROUNDS]>,
    next: u64,
    samples: Vec<(Timestamp, Mark)>,
}

impl Rounds {
    /// Starts a round, unless too many are under way.
    pub fn start(&mut self, size: usize, now: Timestamp) -> Option<RoundId> {
        if self.open.len() >= OPEN_ROUNDS {
            return None;
        }
        let id = RoundId(self.next);
        self.next += 1;
        self.open.push(Round {
            id,
            sent: now,
            size,
            reports: SmallVec::new(),
            failed: SmallVec::new(),
        });
        Some(id)
    }

    /// Adds an endpoint's report to its round. Late reports change nothing.
    pub fn report(&mut self, id: RoundId, ix: EndpointIx, report: Report) {
        let Some(round) = self.find(id) else { return };
        if round.reports.iter().any(|(r, _)| *r == ix) {
            return;
        }
        round.reports.push((ix, report));
        if let Some(c) = round.confirmed() {
            self.sample(c);
        }
    }

    /// Notes that an endpoint did not answer a round.
    pub fn failed(&mut self, id: RoundId, ix: EndpointIx) {
        let Some(round) = self.find(id) else { return };
        if !round.failed.contains(&ix) {
            round.failed.push(ix);
        }
    }

    /// Takes out the rounds for which `over` holds.
    pub fn take<F>(&mut self, over: F) -> SmallVec<[Round; OPEN_ROUNDS]>
    where
        F: Fn(&Round) -> bool,
    {
        let (done, open) = self.open.drain(..).partition(|r| over(r));
        self.open = open;
        done
    }

    /// The rounds under way.
    #[must_use]
    pub fn open(&self) -> &[Round] {
        &self.open
    }

    /// Whether a round sent at `since` or later is under way.
    #[must_use]
    pub fn covers(&self, since: Timestamp) -> bool {
        self.open.iter().any(|r| r.sent >= since)
    }

    /// The oldest proved position that was sampled at `since` or later and that no failover dropped.
    #[must_use]
    pub fn proved_since(&self, since: Timestamp, history: &History) -> Option<Mark> {
        let at = self.samples.partition_point(|(sent, _)| *sent < since);
        let mut marks = self.samples.iter().skip(at).map(|(_, mark)| *mark);
        marks.find(|&mark| history.survival(mark) != Survival::Lost)
    }

    fn sample(&mut self, confirmed: Confirmed) {
        let last = self.samples.last().map(|(sent, _)| *sent);
        if last.is_some_and(|sent| sent >= confirmed.sent) {
            return;
        }
        if self.samples.len() == SAMPLES {
            self.samples.remove(0);
        }
        self.samples.push((confirmed.sent, confirmed.mark));
    }

    fn find(&mut self, id: RoundId) -> Option<&mut Round> {
        self.open.iter_mut().find(|r| r.id == id)
    }
}
