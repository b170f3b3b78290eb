//! Clients of the virtual world: what they ask for, and what they were told.

use std::collections::BTreeSet;

use goldcrest_decide::session::Session;
use goldcrest_types::{Kind, Name, NotRun, Refusal, RequestId, Timestamp};
use rand::{Rng, rngs::SmallRng};

/// A write, unique in the world.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Write {
    pub id: u64,
    pub client: usize,
}

/// What a client asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Op {
    /// Read all own writes.
    Read,
    /// Write a value outside a transaction.
    Write(u64),
    /// Open a transaction.
    Begin,
    /// Write a value inside a transaction.
    TransactionWrite(u64),
    /// Commit.
    Commit,
    /// Roll back.
    Rollback,
}

impl Op {
    /// The kind of the operation's statement.
    #[must_use]
    pub const fn kind(self) -> Kind {
        match self {
            Self::Read => Kind::Read,
            Self::Write(_) | Self::TransactionWrite(_) => Kind::Write,
            Self::Begin => Kind::Begin,
            Self::Commit => Kind::Commit,
            Self::Rollback => Kind::Rollback,
        }
    }
}

/// What a client was told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClientOutcome {
    /// It ran. A read lists the client's own writes that it saw.
    Done(Vec<u64>),
    /// It did not run.
    NotRun(NotRun),
    /// Nobody knows.
    Unknown,
    /// The transaction is gone.
    TransactionLost,
    /// A failover dropped something.
    WriteLost,
    /// A read had no end.
    Timeout,
    /// The host died.
    HostLost,
}

impl ClientOutcome {
    pub(crate) fn of_refusal(refusal: &Refusal) -> Self {
        match refusal {
            Refusal::NotRun { reason, .. } => Self::NotRun(*reason),
            Refusal::Unknown { .. } => Self::Unknown,
            Refusal::TransactionLost => Self::TransactionLost,
            Refusal::WriteLost { .. } => Self::WriteLost,
            Refusal::Timeout | Refusal::TooLarge { .. } => Self::Timeout,
        }
    }

    /// A short word for tables.
    #[must_use]
    pub const fn label(&self) -> &'static str {
        match self {
            Self::Done(_) => "done",
            Self::NotRun(_) => "not run",
            Self::Unknown => "unknown",
            Self::TransactionLost => "tx lost",
            Self::WriteLost => "write lost",
            Self::Timeout => "timeout",
            Self::HostLost => "host lost",
        }
    }
}

/// One request from its start to its end.
#[derive(Debug, Clone)]
pub struct Record {
    /// The request.
    pub id: RequestId,
    /// The client.
    pub client: usize,
    /// What it asked for.
    pub op: Op,
    /// The writes that a commit covers.
    pub covers: Vec<u64>,
    /// When it asked.
    pub sent_at: Timestamp,
    /// When it was told, if it was.
    pub outcome: Option<(Timestamp, ClientOutcome)>,
    /// Whether the request had an id of its own.
    pub idempotent: bool,
}

/// A client.
#[derive(Debug, Clone)]
pub struct Client {
    /// Its session at its present host.
    pub session: Session,
    /// Its host.
    pub host: usize,
    /// The request under way.
    pub waiting: Option<RequestId>,
    pub(crate) opened: Vec<u64>,
    pub(crate) left: u8,
    pub(crate) acked: BTreeSet<u64>,
    pub(crate) seen: BTreeSet<u64>,
}

impl Client {
    pub(crate) fn new(number: usize, host: usize) -> Self {
        let workspace = Name::from(format!("workspace-{}", number % 3));
        Self {
            session: Session::new(workspace, Name::from("base")),
            host,
            waiting: None,
            opened: Vec::new(),
            left: 0,
            acked: BTreeSet::new(),
            seen: BTreeSet::new(),
        }
    }

    /// Goes to another host, with its token or without.
    pub(crate) fn roam(&mut self, host: usize, token: bool) {
        let old = &self.session;
        let mut fresh = Session::new(old.workspace.clone(), old.database.clone());
        if token {
            let floors = old.floors().iter().cloned().collect();
            fresh.change(goldcrest_decide::session::Change::Floors(floors));
        }
        self.session = fresh;
        self.host = host;
        self.opened.clear();
        self.left = 0;
    }

    /// What the client asks for next.
    pub(crate) fn next_op(&mut self, write: u64, reads: f64, rng: &mut SmallRng) -> Op {
        if self.session.pin.is_some() {
            if self.left > 0 {
                self.left -= 1;
                self.opened.push(write);
                return Op::TransactionWrite(write);
            }
            let keep = rng.random_bool(0.9);
            return if keep { Op::Commit } else { Op::Rollback };
        }
        self.opened.clear();
        if rng.random_bool(reads) {
            return Op::Read;
        }
        if rng.random_bool(0.3) {
            self.left = rng.random_range(1..4);
            return Op::Begin;
        }
        Op::Write(write)
    }
}
