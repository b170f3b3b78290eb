//! Inspects a configuration before it is put in force: entries that can never match, limits that contradict
//! each other, and what differs from the one in force.

mod differences;
mod findings;

use std::time::Duration;

use goldcrest_types::{KeyDigest, Name};
use smallvec::SmallVec;

pub use self::{
    differences::{Difference, Field, Fields, differences, older},
    findings::{Fault, Finding, List, Severity, findings},
};

/// A configuration as an operator proposes it. Entries are in the order of the document, with those that
/// are declared twice.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Proposal {
    /// Increases with each change. `None` if it can't be read.
    pub version: Option<u64>,
    /// The databases.
    pub databases: Vec<Entry<Database>>,
    /// The services.
    pub services: Vec<Entry<Service>>,
    /// The workspaces. `None` if the configuration declares none at all.
    pub workspaces: Option<Vec<Entry<Workspace>>>,
    /// How long a transaction may stay idle, if it says so.
    pub idle: Option<Duration>,
}

/// An entry of a configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry<T> {
    /// Its place in the list, from 0 on.
    pub at: usize,
    /// Its name.
    pub name: Name,
    /// What it says.
    pub content: T,
}

/// How a database's clients are to be served.
#[derive(Debug, Clone, PartialEq)]
pub struct Database {
    /// The service that holds it.
    pub service: Name,
    /// How fresh its reads are to be.
    pub reads: Reads,
    /// How long a statement may take.
    pub timeout: Duration,
    /// How long a whole operation should take, if it says so.
    pub target: Option<Duration>,
    /// The urgency of its statements: 0 goes first.
    pub priority: u64,
    /// Whether it admits every client.
    pub open: bool,
}

/// How fresh the reads of a database are to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reads {
    /// They show everything that was acknowledged before.
    Latest,
    /// They may be old up to a bound. `None` if it says none.
    Bounded(Option<Duration>),
    /// They may be old up to a bound, and show the session's own writes.
    OwnWrites(Option<Duration>),
}

impl Reads {
    /// Returns how old reads may be, if there is a bound.
    #[must_use]
    pub const fn bound(self) -> Option<Duration> {
        match self {
            Self::Latest => None,
            Self::Bounded(bound) | Self::OwnWrites(bound) => bound,
        }
    }
}

/// How a service's endpoints accept connections and replicate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Connections that each endpoint accepts, from all hosts together.
    pub connections: u64,
    /// How many replicas must have received a commit before it is acknowledged.
    pub sync_replicas: u64,
}

/// A workspace.
#[derive(Debug, Clone, PartialEq)]
pub struct Workspace {
    /// The digests of its keys.
    pub keys: SmallVec<[KeyDigest; 2]>,
    /// How many of its keys can't be used.
    pub unusable: usize,
    /// Operations a second, if it is limited.
    pub rate: Option<f64>,
    /// Operations beyond these in one window.
    pub burst: Option<f64>,
}
