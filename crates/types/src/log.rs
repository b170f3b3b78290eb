//! Terms, log positions and what a session may rely on.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// The number of a primary's reign. Each promotion raises it.
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

/// The number of log entries up to a point in a group's log.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Position(pub u64);

/// A point in a group's log: everything up to `position`, as the log of `term` has it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Mark {
    /// The term whose log this is.
    pub term: Term,
    /// The number of entries.
    pub position: Position,
}

impl Mark {
    /// Builds a mark from plain numbers.
    #[must_use]
    pub const fn new(term: u64, position: u64) -> Self {
        Self {
            term: Term(term),
            position: Position(position),
        }
    }
}

/// The oldest state that a session may be shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum Floor {
    /// The session may have written elsewhere: nothing is known, and zero is never assumed.
    #[default]
    Unknown,
    /// The session relies on everything up to this mark.
    At(Mark),
}

impl Floor {
    /// Raises the floor to `mark` if that is higher.
    #[must_use]
    pub fn raised(self, mark: Mark) -> Self {
        match self {
            Self::At(old) if old >= mark => self,
            _ => Self::At(mark),
        }
    }
}

/// Where a term begins in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TermStart {
    /// The term.
    pub term: Term,
    /// The position that the term's first entry follows.
    pub start: Position,
}

/// What became of a mark in a later log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Survival {
    /// The log contains everything up to the mark.
    Kept,
    /// Part of what the mark covers was dropped by a failover.
    Lost,
    /// The history ends before the mark's term.
    Unknown,
}

/// The terms of a log with their starts, oldest first.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct History(SmallVec<[TermStart; 4]>);

impl History {
    /// Builds a history from pairs of term and start, oldest first.
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

    /// The starts, oldest first.
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

    /// Drops the terms that begin after `position`, or at it when they hold nothing.
    pub fn truncate(&mut self, position: Position) {
        self.0.retain(|s| s.start <= position);
    }

    /// Whether a log with this history contains all of `mark`.
    #[must_use]
    pub fn survival(&self, mark: Mark) -> Survival {
        if mark.term > self.latest() {
            return Survival::Unknown;
        }
        if mark.position == Position(0) {
            return Survival::Kept;
        }
        let Some(at) = self.0.iter().position(|s| s.term == mark.term) else {
            return Survival::Lost;
        };
        match self.0.get(at + 1) {
            Some(next) if next.start < mark.position => Survival::Lost,
            _ => Survival::Kept,
        }
    }

    /// Whether an endpoint at `at` contains everything up to `floor`.
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
