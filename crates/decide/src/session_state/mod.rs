//! Tracks the state of a client's session and decides how each statement is handled, independent of
//! the encoding.

use std::time::Duration;

use goldcrest_types::{Floor, Kind, Mark, Name, Pin, Refusal, Reply, Setting, TxStart, TxState};
use smallvec::SmallVec;
use thiserror::Error;

/// A client's statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClientStatement {
    /// Open a transaction, with whether it only reads.
    Begin(bool),
    /// Commit the transaction.
    Commit,
    /// Roll back the transaction.
    Rollback,
    /// Read data.
    Read,
    /// Write data.
    Write,
    /// Run a prepared statement.
    Execute(Name),
    /// Set a session value.
    Set(Name),
    /// Prepare a statement under a name, with whether it writes.
    Prepare(Name, bool),
    /// Discard a prepared statement.
    Deallocate(Name),
}

/// Why a statement is refused without involving an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum StatementError {
    /// The statement does not fit the session's state.
    #[error("the statement does not fit the session's state")]
    InvalidState,
    /// There is no prepared statement of this name.
    #[error("there is no prepared statement of this name")]
    NotPrepared,
    /// The transaction was rolled back.
    #[error("the transaction was rolled back")]
    Aborted,
}

/// How to handle a statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Confirm it; no endpoint is involved.
    Done,
    /// Confirm it, and roll back the open transaction.
    Release(Pin),
    /// Refuse it.
    Refuse(StatementError),
    /// Refuse it, and roll back the failed transaction.
    Abort(Pin),
    /// Let the group run it.
    Run(GroupRequest),
}

/// A statement for the group to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupRequest {
    /// Kind of the statement.
    pub kind: Kind,
    /// Transaction to open first.
    pub tx_start: TxStart,
    /// Open transaction that the statement belongs to, if any.
    pub pin: Option<Pin>,
    /// Session values and prepared statements that the connection must have.
    pub settings: SmallVec<[Setting; 2]>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TransactionState {
    None,
    /// The client has begun it; no endpoint has opened it yet.
    Begun(TxStart),
    Open(Pin),
    /// It failed. With a pin, it is still open on its connection.
    Failed(Option<Pin>),
}

#[derive(Debug, Clone)]
struct Prepared {
    name: Name,
    text: Name,
    writes: bool,
}

/// The bytes that each value and prepared statement takes besides its name and text.
const KEPT_OVERHEAD: usize = 64;

/// The state of a client's session.
#[derive(Debug, Clone)]
pub struct SessionState {
    transaction: TransactionState,
    values: SmallVec<[(Name, Name); 2]>,
    prepared: SmallVec<[Prepared; 2]>,
    /// The log position that the session's own reads must contain.
    floor: Mark,
}

impl Default for SessionState {
    fn default() -> Self {
        Self {
            transaction: TransactionState::None,
            values: SmallVec::new(),
            prepared: SmallVec::new(),
            floor: Mark::default(),
        }
    }
}

impl SessionState {
    /// Handles a statement with its text.
    pub fn handle(&mut self, statement: &ClientStatement, text: &Name) -> Step {
        if let TransactionState::Failed(pin) = self.transaction {
            return self.end_failed(statement, pin);
        }
        match statement {
            ClientStatement::Begin(read_only) => self.begin(*read_only),
            ClientStatement::Commit => self.commit(),
            ClientStatement::Rollback => self.rollback(),
            ClientStatement::Read => Step::Run(self.request(Kind::Read, None)),
            ClientStatement::Write => Step::Run(self.request(Kind::Write, None)),
            ClientStatement::Execute(name) => self.execute(name),
            ClientStatement::Set(name) => {
                self.values.retain(|(kept, _)| kept != name);
                self.values.push((name.clone(), text.clone()));
                Step::Done
            }
            ClientStatement::Prepare(name, writes) => {
                self.prepared.retain(|p| p.name != *name);
                self.prepared.push(Prepared {
                    name: name.clone(),
                    text: text.clone(),
                    writes: *writes,
                });
                Step::Done
            }
            ClientStatement::Deallocate(name) => {
                let before = self.prepared.len();
                self.prepared.retain(|p| p.name != *name);
                if before == self.prepared.len() {
                    return Step::Refuse(StatementError::NotPrepared);
                }
                Step::Done
            }
        }
    }

    fn end_failed(&mut self, statement: &ClientStatement, pin: Option<Pin>) -> Step {
        let step = match (statement, pin) {
            (ClientStatement::Rollback, Some(pin)) => Step::Release(pin),
            (ClientStatement::Rollback, None) => Step::Done,
            (ClientStatement::Commit, Some(pin)) => Step::Abort(pin),
            (ClientStatement::Commit, None) => Step::Refuse(StatementError::Aborted),
            _ => return Step::Refuse(StatementError::InvalidState),
        };
        self.transaction = TransactionState::None;
        step
    }

    fn begin(&mut self, read_only: bool) -> Step {
        if self.transaction != TransactionState::None {
            return Step::Refuse(StatementError::InvalidState);
        }
        self.transaction = TransactionState::Begun(if read_only {
            TxStart::ReadOnly
        } else {
            TxStart::ReadWrite
        });
        Step::Done
    }

    fn commit(&mut self) -> Step {
        match self.transaction {
            TransactionState::None => Step::Refuse(StatementError::InvalidState),
            _ => Step::Run(self.request(Kind::Commit, None)),
        }
    }

    fn rollback(&mut self) -> Step {
        let step = match self.transaction {
            TransactionState::None => Step::Refuse(StatementError::InvalidState),
            TransactionState::Open(pin) => Step::Release(pin),
            TransactionState::Begun(_) | TransactionState::Failed(_) => Step::Done,
        };
        self.transaction = TransactionState::None;
        step
    }

    fn execute(&self, name: &Name) -> Step {
        let Some(prepared) = self.prepared.iter().find(|p| p.name == *name) else {
            return Step::Refuse(StatementError::NotPrepared);
        };
        let kind = if prepared.writes {
            Kind::Write
        } else {
            Kind::Read
        };
        Step::Run(self.request(kind, Some(prepared)))
    }

    fn request(&self, kind: Kind, prepared: Option<&Prepared>) -> GroupRequest {
        let (tx_start, pin) = match self.transaction {
            TransactionState::Begun(tx_start) => (tx_start, None),
            TransactionState::Open(pin) => (TxStart::None, Some(pin)),
            TransactionState::None | TransactionState::Failed(_) => (TxStart::None, None),
        };
        let values = self.values.iter();
        let mut settings: SmallVec<[Setting; 2]> = values
            .map(|(name, text)| Setting::Value(name.clone(), text.clone()))
            .collect();
        if let Some(p) = prepared {
            settings.push(Setting::Prepared(p.name.clone(), p.text.clone()));
        }
        GroupRequest {
            kind,
            tx_start,
            pin,
            settings,
        }
    }

    /// Applies the group's reply to a statement.
    pub fn apply_reply(&mut self, reply: &Reply) {
        if let Floor::At(mark) = reply.floor {
            self.floor = self.floor.max(mark);
        }
        let in_transaction = self.transaction != TransactionState::None;
        self.transaction = match &reply.result {
            Ok(answer) => match (answer.tx, reply.pin) {
                (TxState::Idle, _) | (TxState::Open, None) => TransactionState::None,
                (TxState::Open, Some(pin)) => TransactionState::Open(pin),
                (TxState::Failed, pin) => TransactionState::Failed(pin),
            },
            Err(Refusal::Unknown { .. }) => TransactionState::None,
            Err(_) if in_transaction => TransactionState::Failed(None),
            Err(_) => TransactionState::None,
        };
    }

    /// Returns the log position that the session's own reads must contain.
    #[must_use]
    pub fn floor(&self) -> Mark {
        self.floor
    }

    /// Returns the bytes of the session's values and prepared statements.
    #[must_use]
    pub fn kept_bytes(&self) -> usize {
        let values = self
            .values
            .iter()
            .map(|(name, text)| name.len() + text.len());
        let prepared = self.prepared.iter().map(|p| p.name.len() + p.text.len());
        values
            .chain(prepared)
            .map(|bytes| bytes + KEPT_OVERHEAD)
            .sum()
    }

    /// Returns the transaction state that the client sees.
    #[must_use]
    pub fn state(&self) -> TxState {
        match self.transaction {
            TransactionState::None => TxState::Idle,
            TransactionState::Begun(_) | TransactionState::Open(_) => TxState::Open,
            TransactionState::Failed(_) => TxState::Failed,
        }
    }

    /// Marks a transaction that was idle for too long as failed. Returns its pin if it is open at an
    /// endpoint.
    pub fn expire(&mut self) -> Option<Pin> {
        let pin = self.pin();
        self.transaction = TransactionState::Failed(None);
        pin
    }

    /// Ends the session. Returns the pin of a transaction that is open at an endpoint.
    pub fn close(&mut self) -> Option<Pin> {
        let pin = self.pin();
        self.transaction = TransactionState::None;
        pin
    }

    fn pin(&self) -> Option<Pin> {
        match self.transaction {
            TransactionState::Open(pin) | TransactionState::Failed(Some(pin)) => Some(pin),
            _ => None,
        }
    }
}

/// How fresh a service's reads must be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// Everything acknowledged before the read.
    Latest,
    /// Everything acknowledged longer ago than this.
    Bounded(Duration),
    /// As `Bounded`, and everything that the session itself wrote.
    OwnWrites(Duration),
}

impl Freshness {
    /// Returns the floor and the maximum age for a read of a session whose own floor is `own`.
    #[must_use]
    pub fn bounds(self, own: Mark) -> (Floor, Option<Duration>) {
        match self {
            Self::Latest => (Floor::At(Mark::default()), Some(Duration::ZERO)),
            Self::Bounded(age) => (Floor::At(Mark::default()), Some(age)),
            Self::OwnWrites(age) => (Floor::At(own), Some(age)),
        }
    }
}
