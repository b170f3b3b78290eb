//! The accepted configuration: one linear history of revisions, and how a host follows it.

use std::time::Duration;

use goldcrest_types::{ChangeId, Name, Timestamp};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// The time between two looks at the platform's table, before jitter.
pub const POLL_INTERVAL: Duration = Duration::from_mins(1);

/// The time between two looks while nothing is known yet.
pub const INITIAL_POLL: Duration = Duration::from_secs(1);

/// How long a document may take to come before another peer is asked.
pub const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// The preset in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Preset {
    /// An ordinary day.
    #[default]
    Ordinary,
    /// A peak.
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

    /// The preset of a name.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|p| p.name() == name)
    }
}

/// The head of an accepted configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigHead {
    /// The number of accepted changes.
    pub revision: u64,
    /// The name of the document's object.
    pub hash: Name,
    /// The preset in force.
    pub preset: Preset,
    /// The change that made this revision.
    pub change: ChangeId,
}

/// What to do about a head that a peer or the table showed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Offer {
    /// Nothing: it is not newer than what is held or fetched.
    Stale,
    /// The document is current: the head is in force now.
    Adopted,
    /// Fetch the document.
    Fetch(Name),
}

/// A host's place in the history. It only moves forward.
#[derive(Debug, Clone)]
pub struct ConfigFollower {
    current: Option<ConfigHead>,
    wanted: Option<(ConfigHead, Timestamp)>,
    next_poll: Timestamp,
    rng: SmallRng,
}

impl ConfigFollower {
    /// A host that holds nothing.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            current: None,
            wanted: None,
            next_poll: Timestamp::ZERO,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// The head in force.
    #[must_use]
    pub fn current(&self) -> Option<&ConfigHead> {
        self.current.as_ref()
    }

    /// Looks at a head that a peer or the table showed.
    pub fn offer(&mut self, head: ConfigHead, now: Timestamp) -> Offer {
        let present = self.current.as_ref();
        if present.is_some_and(|h| h.revision >= head.revision) {
            return Offer::Stale;
        }
        if present.is_some_and(|h| h.hash == head.hash) {
            self.current = Some(head);
            self.wanted = None;
            return Offer::Adopted;
        }
        let fetching = self.wanted.as_ref().is_some_and(|(wanted, since)| {
            wanted.revision >= head.revision && now.since(*since) < FETCH_TIMEOUT
        });
        if fetching {
            return Offer::Stale;
        }
        let hash = head.hash.clone();
        self.wanted = Some((head, now));
        Offer::Fetch(hash)
    }

    /// Takes in a fetched document. Returns whether its head is in force now.
    pub fn fetched(&mut self, hash: &str) -> bool {
        let Some((head, _)) = self.wanted.take_if(|(head, _)| head.hash == hash) else {
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

    /// Whether the table should be looked at now.
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
