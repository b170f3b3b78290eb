//! Decides from the table of hosts which of them may count operations, and how long this one may.
//!
//! A host counts only on the word of a recent list, and while its own entry has not expired. A new host
//! waits until all lists on which hosts still count contain it. So a host that takes another one's place
//! never counts beside it, whatever either of them can reach, and no message is needed for it.

use std::time::Duration;

use goldcrest_types::{Name, Timestamp};

use super::roster::Member;
use crate::owners::Candidate;

/// How long a host counts operations on the word of one list.
pub const LIST_LIFETIME: Duration = Duration::from_mins(2);

/// How long a host must have been listed before it counts. The store may take some seconds to take up
/// an entry.
pub const LISTED_TIME: Duration = Duration::from_secs(130);

/// How much later a new host itself begins to count, since two hosts read the store's clock with
/// different delays.
const OWN_MARGIN: Duration = Duration::from_secs(2);

/// How long after its entry a host that starts with the whole system reads the list again.
pub const START_TIME: Duration = Duration::from_millis(2_500);

/// How much later than the first of them a host may be listed to count as one that starts with the
/// whole system. Its entry takes the rest of [`START_TIME`] at most.
const START_SPREAD: Duration = Duration::from_secs(2);

/// Since when a host has been listed without a break.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Listed {
    /// The reading of the store's clock.
    pub since: Duration,
    /// Whether it was listed when the whole system started, when no host counted.
    pub at_start: bool,
}

impl Listed {
    /// Returns what a host enters that has the live entry `own` and finds those of `others`, when the
    /// store's clock shows `clock`. A restart is no break while the entry is live, and its expiry is one
    /// also while the host runs.
    #[must_use]
    pub fn enter<I>(own: Option<Self>, others: I, clock: Duration) -> Self
    where
        I: IntoIterator<Item = Self>,
    {
        let starts_too = |other: Self| other.at_start && other.since + START_SPREAD >= clock;
        own.unwrap_or_else(|| Self {
            since: clock,
            at_start: others.into_iter().all(starts_too),
        })
    }

    /// Whether hosts that start at the same time may not be listed yet.
    #[must_use]
    pub fn is_starting(&self, clock: Duration) -> bool {
        self.at_start && clock < self.since + START_TIME
    }
}

/// A reading of the table of hosts.
#[derive(Debug, Clone)]
pub struct Listing {
    /// This host.
    pub own: Name,
    /// When the call began, by this host's clock.
    pub read_at: Timestamp,
    /// The store's clock in the answer.
    pub clock: Duration,
    /// When this host's entry expires, by the store's clock.
    pub expiry: Duration,
}

impl Listing {
    /// Returns when a listed host may begin to count.
    #[must_use]
    pub fn member(&self, candidate: Candidate, listed: Listed) -> Member {
        let margin = if candidate.host == self.own {
            OWN_MARGIN
        } else {
            Duration::ZERO
        };
        let at = listed.since.saturating_add(LISTED_TIME + margin);
        let from = match at.checked_sub(self.clock) {
            Some(left) if !listed.at_start => self.read_at + left,
            _ => Timestamp::ZERO,
        };
        Member { candidate, from }
    }

    /// Returns until when this host, listed as given, may count.
    #[must_use]
    pub fn valid_until(&self, listed: Listed) -> Timestamp {
        if listed.is_starting(self.clock) {
            return Timestamp::ZERO;
        }
        let left = self.expiry.saturating_sub(self.clock);
        self.read_at + left.min(LIST_LIFETIME)
    }
}
