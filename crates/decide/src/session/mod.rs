//! The state that a client session keeps between its requests.

use std::time::Duration;

use goldcrest_types::{Class, Floor, Mark, Name, Pin, Reply, RequestId, Timestamp};
use smallvec::SmallVec;
use thiserror::Error;

/// The maximum length of an idempotency key (`goldcrest.request_id`), in bytes.
pub const IDEMPOTENCY_KEY_LIMIT: usize = 128;

/// The maximum number of session settings that are kept.
pub const SETTINGS_LIMIT: usize = 32;

/// A change of one of the proxy's own settings by the client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The maximum age of the data that reads accept (`goldcrest.max_age_ms`).
    MaxAge(Option<Duration>),
    /// The idempotency key of the next request (`goldcrest.request_id`).
    IdempotencyKey(Name),
    /// The class of the following requests (`goldcrest.class`).
    Class(Option<Class>),
    /// Floors from a session token (`goldcrest.session`).
    Floors(SmallVec<[(Name, Mark); 2]>),
}

/// Why a setting was rejected.
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
        /// The allowed values.
        allowed: &'static str,
    },
    /// The token belongs to another workspace or was tampered with.
    #[error("the session token is not valid for this workspace")]
    InvalidToken,
    /// The session has the maximum number of settings.
    #[error("a session keeps at most {SETTINGS_LIMIT} settings")]
    TooMany,
}

/// The state of a client session.
#[derive(Debug, Clone)]
pub struct Session {
    /// The workspace that the session belongs to.
    pub workspace: Name,
    /// The database that it is connected to.
    pub database: Name,
    /// The connection that the open transaction is bound to, if one is open.
    pub pin: Option<Pin>,
    /// The maximum age of the data that reads accept, if set.
    pub max_age: Option<Duration>,
    /// The idempotency key of the next request, if set.
    pub idempotency_key: Option<Name>,
    /// The request class that the client set.
    pub class: Option<Class>,
    /// The session's settings: each name with the statement that applies it to a connection.
    pub settings: SmallVec<[(Name, Name); 2]>,
    floors: SmallVec<[(Name, Mark); 2]>,
}

impl Session {
    /// Creates a session whose floors are unknown, as it may have written through another host.
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

    /// The floors on all databases, for the session token.
    #[must_use]
    pub fn floors(&self) -> &[(Name, Mark)] {
        &self.floors
    }

    /// Applies a changed setting.
    pub fn change(&mut self, change: Change) {
        match change {
            Change::MaxAge(age) => self.max_age = age,
            Change::IdempotencyKey(key) => self.idempotency_key = Some(key),
            Change::Class(class) => self.class = class,
            Change::Floors(floors) => {
                for (database, mark) in floors {
                    self.raise_floor(&database, mark);
                }
            }
        }
    }

    /// Applies a reply. Returns whether the session's floor on its own database changed.
    pub fn apply_reply(&mut self, reply: &Reply) -> bool {
        self.pin = reply.pin;
        let previous = self.floor();
        match reply.floor {
            Floor::At(mark) => {
                let database = self.database.clone();
                self.raise_floor(&database, mark);
            }
            Floor::Unknown => self.floors.retain(|(name, _)| *name != self.database),
        }
        self.floor() != previous
    }

    /// Keeps the statement that applies a setting, in place of an older one of the same setting.
    ///
    /// # Errors
    ///
    /// [`ChangeError::TooMany`] if [`SETTINGS_LIMIT`] other settings are kept.
    pub fn keep_setting(&mut self, name: Name, statement: Name) -> Result<(), ChangeError> {
        self.settings.retain(|(kept, _)| *kept != name);
        if self.settings.len() >= SETTINGS_LIMIT {
            return Err(ChangeError::TooMany);
        }
        self.settings.push((name, statement));
        Ok(())
    }

    fn raise_floor(&mut self, database: &Name, mark: Mark) {
        let own = self.floors.iter_mut().find(|(name, _)| name == database);
        match own {
            Some((_, old)) => *old = mark.max(*old),
            None => self.floors.push((database.clone(), mark)),
        }
    }
}

/// The time limits of a request.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// The longest wait before the request is sent.
    pub start: Duration,
    /// The longest time that a request of class short may take.
    pub short: Duration,
    /// The longest time that a request of class long may take.
    pub long: Duration,
}

impl Limits {
    /// The times by which a request that arrives at `now` must be sent and must be answered.
    #[must_use]
    pub fn apply(&self, class: Class, now: Timestamp) -> (Timestamp, Timestamp) {
        let limit = match class {
            Class::Short => self.short,
            Class::Long => self.long,
        };
        (now + self.start, now + limit)
    }
}

/// Generates request numbers that are unique on a host.
#[derive(Debug, Clone)]
pub struct RequestIds {
    next: u64,
}

impl RequestIds {
    /// The request numbers of session `session`, disjoint from those of every other session.
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
