//! Terms, log positions, and the floors that sessions rely on.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// The number of a period with one primary. Each promotion starts a higher term.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Term(pub u64);

impl Term {
    /// The next term.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// A position in a group's log: the number of entries up to it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Position(pub u64);

/// A point in a group's log: the first `position` entries of the log of `term`.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Mark {
    /// The term of the log.
    pub term: Term,
    /// The number of entries.
    pub position: Position,
}

impl Mark {
    /// Creates a mark from plain numbers.
    #[must_use]
    pub const fn new(term: u64, position: u64) -> Self {
        Self {
            term: Term(term),
            position: Position(position),
        }
    }
}

/// The oldest state of a database that a session may read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum Floor {
    /// Not known, as the session may have written through another host. It is determined before a
    /// read runs, and never assumed to be zero.
    #[default]
    Unknown,
    /// The session relies on everything up to this mark.
    At(Mark),
}

impl Floor {
    /// The floor raised to `mark`, or unchanged if it is already that high.
    #[must_use]
    pub fn raised(self, mark: Mark) -> Self {
        match self {
            Self::At(old) if old >= mark => self,
            _ => Self::At(mark),
        }
    }
}

/// The start of a term in a log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TermStart {
    /// The term.
    pub term: Term,
    /// The last position before the term's first entry.
    pub start: Position,
}

/// Whether a log contains the entries up to a mark of the same or an earlier term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Survival {
    /// The log contains everything up to the mark.
    Kept,
    /// A failover dropped some of the entries up to the mark.
    Lost,
    /// Not known, as the history ends before the mark's term.
    Unknown,
}

/// The terms of a log and where each starts, oldest first.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct History(SmallVec<[TermStart; 4]>);

impl History {
    /// Creates a history from pairs of term and start, oldest first.
    pub fn from_pairs<I>(pairs: I) -> Self
    where
        I: IntoIterator<Item = (u64, u64)>,
    {
        let starts = pairs.into_iter().map(|(term, start)| TermStart {
            term: Term(term),
            start: Position(start),
        });
        Self(starts.collect())
    }

    /// The starts of the terms, oldest first.
    #[must_use]
    pub fn starts(&self) -> &[TermStart] {
        &self.0
    }

    /// The newest term, or term zero for an empty history.
    #[must_use]
    pub fn latest(&self) -> Term {
        self.0.last().map_or(Term::default(), |s| s.term)
    }

    /// Adds the start of a newer term.
    pub fn push(&mut self, start: TermStart) {
        self.0.push(start);
    }

    /// Drops the terms that start after `position`.
    pub fn truncate(&mut self, position: Position) {
        self.0.retain(|s| s.start <= position);
    }

    /// Whether a log with this history contains everything up to `mark`.
    #[must_use]
    pub fn survival(&self, mark: Mark) -> Survival {
        if mark.term > self.latest() {
            return Survival::Unknown;
        }
        if mark.position == Position(0) {
            return Survival::Kept;
        }
        let Some(index) = self.0.iter().position(|s| s.term == mark.term) else {
            return Survival::Lost;
        };
        match self.0.get(index + 1) {
            Some(next) if next.start < mark.position => Survival::Lost,
            _ => Survival::Kept,
        }
    }

    /// Whether an endpoint that has applied its log up to `at` contains everything up to `floor`.
    #[must_use]
    pub fn covers(&self, at: Mark, floor: Mark) -> bool {
        if at.position < floor.position || at.term < floor.term {
            return false;
        }
        if at.term == floor.term {
            return true;
        }
        self.latest() >= at.term && self.survival(floor) == Survival::Kept
    }
}
