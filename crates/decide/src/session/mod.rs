//! What a caller session remembers between its requests.

use std::time::Duration;

use goldcrest_types::{Class, Floor, Mark, Name, Pin, Reply, RequestId, Timestamp};
use smallvec::SmallVec;
use thiserror::Error;

/// The longest request id, in bytes.
pub const IDEMPOTENCY_KEY_LIMIT: usize = 128;

/// Session settings that are kept, by number.
pub const SETTINGS_LIMIT: usize = 32;

/// A setting of the proxy that a caller may change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The age of data that reads accept.
    MaxAge(Option<Duration>),
    /// The id of the next request.
    IdempotencyKey(Name),
    /// The class of the following requests.
    Class(Option<Class>),
    /// Floors from a token.
    Floors(SmallVec<[(Name, Mark); 2]>),
}

/// Why a setting was not taken.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ChangeError {
    /// There is no such setting.
    #[error("unknown setting \"goldcrest.{0}\": known are session, max_age_ms, request_id, class")]
    UnknownName(String),
    /// The value is not allowed.
    #[error("invalid value \"{value}\" for goldcrest.{name}: {allowed}")]
    InvalidValue {
        /// The setting.
        name: &'static str,
        /// The value.
        value: String,
        /// What is allowed.
        allowed: &'static str,
    },
    /// A token comes from another workspace, or was changed.
    #[error("the session token is not valid for this workspace")]
    InvalidToken,
    /// The session keeps too many settings.
    #[error("a session keeps at most {SETTINGS_LIMIT} settings")]
    TooMany,
}

/// A caller session.
#[derive(Debug, Clone)]
pub struct Session {
    /// The workspace that the session belongs to.
    pub workspace: Name,
    /// The database that it is connected to.
    pub database: Name,
    /// The open transaction.
    pub pin: Option<Pin>,
    /// The age of data that reads accept.
    pub max_age: Option<Duration>,
    /// The id of the next request.
    pub idempotency_key: Option<Name>,
    /// The class that the caller states.
    pub class: Option<Class>,
    /// Statements that set up the session on a connection, by the setting's name.
    pub settings: SmallVec<[(Name, Name); 2]>,
    floors: SmallVec<[(Name, Mark); 2]>,
}

impl Session {
    /// A session that may have written anywhere before.
    #[must_use]
    pub fn new(workspace: Name, database: Name) -> Self {
        Self {
            workspace,
            database,
            pin: None,
            max_age: None,
            idempotency_key: None,
            class: None,
            settings: SmallVec::new(),
            floors: SmallVec::new(),
        }
    }

    /// The floor on the session's own database.
    #[must_use]
    pub fn floor(&self) -> Floor {
        let own = self.floors.iter().find(|(name, _)| *name == self.database);
        own.map_or(Floor::Unknown, |(_, mark)| Floor::At(*mark))
    }

    /// The floors on all databases, for the session's token.
    #[must_use]
    pub fn floors(&self) -> &[(Name, Mark)] {
        &self.floors
    }

    /// Takes in a changed setting.
    pub fn change(&mut self, change: Change) {
        match change {
            Change::MaxAge(age) => self.max_age = age,
            Change::IdempotencyKey(key) => self.idempotency_key = Some(key),
            Change::Class(class) => self.class = class,
            Change::Floors(floors) => {
                for (database, mark) in floors {
                    self.raise(&database, mark);
                }
            }
        }
    }

    /// Takes in a reply. Returns whether the session's floors changed.
    pub fn apply_reply(&mut self, reply: &Reply) -> bool {
        self.pin = reply.pin;
        let before = self.floor();
        match reply.floor {
            Floor::At(mark) => {
                let database = self.database.clone();
                self.raise(&database, mark);
            }
            Floor::Unknown => self.floors.retain(|(name, _)| *name != self.database),
        }
        self.floor() != before
    }

    /// Keeps a statement that sets up the session, in place of an older one of the same setting.
    ///
    /// # Errors
    ///
    /// [`ChangeError::TooMany`] when [`SETTINGS_LIMIT`] other settings are kept.
    pub fn keep_setting(&mut self, name: Name, statement: Name) -> Result<(), ChangeError> {
        self.settings.retain(|(kept, _)| *kept != name);
        if self.settings.len() >= SETTINGS_LIMIT {
            return Err(ChangeError::TooMany);
        }
        self.settings.push((name, statement));
        Ok(())
    }

    fn raise(&mut self, database: &Name, mark: Mark) {
        let own = self.floors.iter_mut().find(|(name, _)| name == database);
        match own {
            Some((_, old)) => *old = mark.max(*old),
            None => self.floors.push((database.clone(), mark)),
        }
    }
}

/// The times within which a request must start and end.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// The longest wait before the request is sent.
    pub start: Duration,
    /// The longest time of short work.
    pub short: Duration,
    /// The longest time of long work.
    pub long: Duration,
}

impl Limits {
    /// The moments by which a request that arrives at `now` must start and end.
    #[must_use]
    pub fn apply(&self, class: Class, now: Timestamp) -> (Timestamp, Timestamp) {
        let end = match class {
            Class::Short => self.short,
            Class::Long => self.long,
        };
        (now + self.start, now + end)
    }
}

/// Hands out request numbers; no two on a host are the same.
#[derive(Debug, Clone)]
pub struct RequestIds {
    next: u64,
}

impl RequestIds {
    /// The numbers of session `session`: disjoint from every other session's.
    #[must_use]
    pub const fn new(session: u64) -> Self {
        const REQUESTS_PER_SESSION: u64 = 1 << 32;
        Self {
            next: session * REQUESTS_PER_SESSION,
        }
    }

    /// The next number.
    pub fn take(&mut self) -> RequestId {
        let id = RequestId(self.next);
        self.next += 1;
        id
    }
}
