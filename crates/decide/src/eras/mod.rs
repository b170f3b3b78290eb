//! Tells the answers of the platform's store from before a restore from those after it.
//!
//! A store that is restored from an older copy gives its versions out again. Each answer names the era of
//! the store, which rises with each restore. What a host believes because of an older era is read anew.

use std::time::Duration;

use goldcrest_types::Timestamp;

/// What the era of an answer says about it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sighting {
    /// It is of the newest era that is known.
    Current,
    /// It is of a newer era than this one, which was the newest before.
    Newer(u64),
    /// It is of an older era than the newest one: it was given before a restore.
    Older,
}

/// The eras of the store that a host has learned of.
#[derive(Debug, Clone, Default)]
pub struct Eras {
    /// The newest era, with the time at which the host learned of it.
    newest: Option<(u64, Timestamp)>,
    restores: u64,
}

impl Eras {
    /// Records the era of an answer, or `None` where the answer names none. Returns the era that the answer
    /// is taken for, which is the newest one if it names none.
    pub fn observe(&mut self, era: Option<u64>, now: Timestamp) -> (u64, Sighting) {
        let Some((newest, _)) = self.newest else {
            let first = era.unwrap_or_default();
            self.newest = Some((first, now));
            return (first, Sighting::Current);
        };
        let era = era.unwrap_or(newest);
        if era > newest {
            self.newest = Some((era, now));
            self.restores += 1;
            return (era, Sighting::Newer(newest));
        }
        let sighting = if era < newest {
            Sighting::Older
        } else {
            Sighting::Current
        };
        (era, sighting)
    }

    /// Returns the newest era, zero before the first answer.
    #[must_use]
    pub fn newest(&self) -> u64 {
        self.newest.map_or(0, |(era, _)| era)
    }

    /// Returns how long ago the host learned of the newest era.
    #[must_use]
    pub fn known_for(&self, now: Timestamp) -> Duration {
        self.newest
            .map_or(Duration::ZERO, |(_, since)| now.since(since))
    }

    /// Returns how often the host has learned of a newer era.
    #[must_use]
    pub fn restores(&self) -> u64 {
        self.restores
    }
}
