//! Simulated clients: the operations that they request, and the outcomes that they observe.

use std::collections::BTreeSet;

use goldcrest_decide::session::Session;
use goldcrest_types::{Kind, Name, NotRun, Refusal, RequestId, Timestamp};
use rand::{Rng, rngs::SmallRng};

/// A write, identified by a number that is unique in the simulation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Write {
    pub id: u64,
    pub client: usize,
}

/// An operation that a client requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Op {
    /// Reads all writes of the client.
    Read,
    /// Writes a value outside a transaction.
    Write(u64),
    /// Opens a transaction.
    Begin,
    /// Writes a value inside a transaction.
    TransactionWrite(u64),
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
}

impl Op {
    /// Returns the statement kind of the operation.
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

/// The outcome of a request as its client observes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClientOutcome {
    /// The request ran. For a read, lists the client's own writes that were visible.
    Done(Vec<u64>),
    /// The request did not run.
    NotRun(NotRun),
    /// It is not known whether the request took effect.
    Unknown,
    /// The transaction was rolled back.
    TransactionLost,
    /// A failover dropped a write that the session made or saw.
    WriteLost,
    /// A read did not end in time, or its answer was too large.
    Timeout,
    /// The host crashed before it replied.
    HostLost,
}

impl ClientOutcome {
    pub(crate) fn from_refusal(refusal: &Refusal) -> Self {
        match refusal {
            Refusal::NotRun { reason, .. } => Self::NotRun(*reason),
            Refusal::Unknown { .. } => Self::Unknown,
            Refusal::TransactionLost => Self::TransactionLost,
            Refusal::WriteLost { .. } => Self::WriteLost,
            Refusal::Timeout | Refusal::TooLarge { .. } => Self::Timeout,
        }
    }

    /// Returns a short label for tables of results.
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

/// The history of one request.
#[derive(Debug, Clone)]
pub struct Record {
    /// The request's id.
    pub id: RequestId,
    /// The index of the client.
    pub client: usize,
    /// The requested operation.
    pub op: Op,
    /// The writes of the open transaction up to this request.
    pub tx_writes: Vec<u64>,
    /// When the client sent the request.
    pub sent_at: Timestamp,
    /// When the request ended, and how. None while it is pending.
    pub outcome: Option<(Timestamp, ClientOutcome)>,
    /// Whether the request carries a request id that makes it safe to repeat.
    pub idempotent: bool,
}

/// A client that has at most one request pending.
#[derive(Debug, Clone)]
pub struct Client {
    /// The session at the current host.
    pub session: Session,
    /// The index of the current host.
    pub host: usize,
    /// The pending request.
    pub pending: Option<RequestId>,
    /// Writes sent in the open transaction.
    pub(crate) tx_writes: Vec<u64>,
    /// Writes still to send before the open transaction ends.
    pub(crate) tx_remaining: u8,
    /// Acknowledged writes.
    pub(crate) acknowledged: BTreeSet<u64>,
    /// Own writes that reads have returned.
    pub(crate) seen: BTreeSet<u64>,
}

impl Client {
    pub(crate) fn new(number: usize, host: usize) -> Self {
        let workspace = Name::from(format!("workspace-{}", number % 3));
        Self {
            session: Session::new(workspace, Name::from("base")),
            host,
            pending: None,
            tx_writes: Vec::new(),
            tx_remaining: 0,
            acknowledged: BTreeSet::new(),
            seen: BTreeSet::new(),
        }
    }

    /// Opens a session at another host. It carries the floors of the old one if `token` is set.
    pub(crate) fn move_to(&mut self, host: usize, token: bool) {
        let old = &self.session;
        let mut fresh = Session::new(old.workspace.clone(), old.database.clone());
        if token {
            let floors = old.floors().iter().cloned().collect();
            fresh.change(goldcrest_decide::session::Change::Floors(floors));
        }
        self.session = fresh;
        self.host = host;
        self.tx_writes.clear();
        self.tx_remaining = 0;
    }

    /// Picks the next operation. `read_share` is the probability of a read outside transactions.
    pub(crate) fn next_op(&mut self, write: u64, read_share: f64, rng: &mut SmallRng) -> Op {
        if self.session.pin.is_some() {
            if self.tx_remaining > 0 {
                self.tx_remaining -= 1;
                self.tx_writes.push(write);
                return Op::TransactionWrite(write);
            }
            let commit = rng.random_bool(0.9);
            return if commit { Op::Commit } else { Op::Rollback };
        }
        self.tx_writes.clear();
        if rng.random_bool(read_share) {
            return Op::Read;
        }
        if rng.random_bool(0.3) {
            self.tx_remaining = rng.random_range(1..4);
            return Op::Begin;
        }
        Op::Write(write)
    }
}
