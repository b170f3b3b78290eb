//! Follows the linear history of accepted configuration revisions.

use std::time::Duration;

use goldcrest_types::{ChangeId, Name, Timestamp};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// The time between two polls of the platform's table, before jitter.
pub const POLL_INTERVAL: Duration = Duration::from_mins(1);

/// The time between two polls while no revision is known.
pub const INITIAL_POLL: Duration = Duration::from_secs(1);

/// How long a document may take to arrive before it is requested from another host.
pub const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// A mode of operation that operators choose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Preset {
    /// Ordinary operation.
    #[default]
    Ordinary,
    /// Peak load.
    Peak,
    /// A maintenance window.
    Maintenance,
}

impl Preset {
    /// All presets.
    pub const ALL: [Self; 3] = [Self::Ordinary, Self::Peak, Self::Maintenance];

    /// The preset's name.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Ordinary => "ordinary",
            Self::Peak => "peak",
            Self::Maintenance => "maintenance",
        }
    }

    /// The preset with this name.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|p| p.name() == name)
    }
}

/// An accepted revision of the configuration: all but the document itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigHead {
    /// The revision number: the count of accepted changes.
    pub revision: u64,
    /// The document's hash, which is the name of its object in the store.
    pub hash: Name,
    /// The preset in force.
    pub preset: Preset,
    /// The change that made this revision.
    pub change: ChangeId,
}

/// What to do about a head received from another host or from the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Offer {
    /// Nothing: it is not newer than the head in force or the one being fetched.
    Stale,
    /// The head is in force now, as its document is the current one.
    Adopted,
    /// Fetch the document.
    Fetch(Name),
}

/// One host's position in the history of revisions. It only moves forward.
#[derive(Debug, Clone)]
pub struct ConfigFollower {
    current: Option<ConfigHead>,
    /// The head whose document is being fetched, and when the fetch started.
    pending: Option<(ConfigHead, Timestamp)>,
    next_poll: Timestamp,
    rng: SmallRng,
}

impl ConfigFollower {
    /// Creates a follower that has no revision yet.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            current: None,
            pending: None,
            next_poll: Timestamp::ZERO,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// The head in force.
    #[must_use]
    pub fn current(&self) -> Option<&ConfigHead> {
        self.current.as_ref()
    }

    /// Processes a head received from another host or from the table.
    pub fn offer(&mut self, head: ConfigHead, now: Timestamp) -> Offer {
        let current = self.current.as_ref();
        if current.is_some_and(|h| h.revision >= head.revision) {
            return Offer::Stale;
        }
        if current.is_some_and(|h| h.hash == head.hash) {
            self.current = Some(head);
            self.pending = None;
            return Offer::Adopted;
        }
        let fetching = self.pending.as_ref().is_some_and(|(pending, since)| {
            pending.revision >= head.revision && now.since(*since) < FETCH_TIMEOUT
        });
        if fetching {
            return Offer::Stale;
        }
        let hash = head.hash.clone();
        self.pending = Some((head, now));
        Offer::Fetch(hash)
    }

    /// Processes the arrival of the document with this hash. Returns whether its head is in force
    /// now.
    pub fn fetched(&mut self, hash: &str) -> bool {
        let Some((head, _)) = self.pending.take_if(|(head, _)| head.hash == hash) else {
            return false;
        };
        let newer = self
            .current
            .as_ref()
            .is_none_or(|h| head.revision > h.revision);
        if newer {
            self.current = Some(head);
        }
        newer
    }

    /// Whether the table is to be polled now. If so, schedules the next poll.
    pub fn poll_due(&mut self, now: Timestamp) -> bool {
        if now < self.next_poll {
            return false;
        }
        let pause = if self.current.is_some() {
            POLL_INTERVAL.mul_f64(0.5 + self.rng.random::<f64>())
        } else {
            INITIAL_POLL
        };
        self.next_poll = now + pause;
        true
    }
}
