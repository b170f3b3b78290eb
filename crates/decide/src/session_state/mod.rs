//! What a client's session does with each of its statements, whatever their encoding.

use std::time::Duration;

use goldcrest_types::{Floor, Kind, Mark, Name, Pin, Refusal, Reply, Setting, TxStart, TxState};
use smallvec::SmallVec;
use thiserror::Error;

/// A client's statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClientStatement {
    /// Open a transaction. Tells whether it only reads.
    Begin(bool),
    /// Keep the transaction's work.
    Commit,
    /// Drop the transaction's work.
    Rollback,
    /// Read.
    Read,
    /// Write.
    Write,
    /// Run a prepared statement.
    Execute(Name),
    /// Set a session value.
    Set(Name),
    /// Prepare a statement under a name. Tells whether it writes.
    Prepare(Name, bool),
    /// Forget a prepared statement.
    Deallocate(Name),
}

/// Why a statement is refused without an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum StatementError {
    /// The statement does not fit the session's state.
    #[error("the statement does not fit the session's state")]
    InvalidState,
    /// There is no prepared statement of this name.
    #[error("there is no prepared statement of this name")]
    NotPrepared,
    /// The transaction is gone, and nothing of it is kept.
    #[error("the transaction was rolled back")]
    Aborted,
}

/// What to do with a statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Answer it here.
    Done,
    /// Answer it here, and give up the open transaction.
    Release(Pin),
    /// Refuse it here.
    Refuse(StatementError),
    /// Refuse it here, and give up the failed transaction.
    Abort(Pin),
    /// Have the group run it.
    Run(GroupRequest),
}

/// A statement for the group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupRequest {
    /// What it does.
    pub kind: Kind,
    /// The transaction to open first.
    pub opening: TxStart,
    /// The open transaction.
    pub pin: Option<Pin>,
    /// What must be in force on the connection.
    pub settings: SmallVec<[Setting; 2]>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Transaction {
    None,
    Begun(TxStart),
    Open(Pin),
    /// It failed. A pin tells that it is still open on its connection.
    Failed(Option<Pin>),
}

#[derive(Debug, Clone)]
struct Prepared {
    name: Name,
    text: Name,
    writes: bool,
}

/// A session's state.
#[derive(Debug, Clone)]
pub struct SessionState {
    transaction: Transaction,
    values: SmallVec<[(Name, Name); 2]>,
    prepared: SmallVec<[Prepared; 2]>,
    floor: Mark,
}

impl Default for SessionState {
    fn default() -> Self {
        Self {
            transaction: Transaction::None,
            values: SmallVec::new(),
            prepared: SmallVec::new(),
            floor: Mark::default(),
        }
    }
}

impl SessionState {
    /// Takes a statement with its text.
    pub fn handle(&mut self, verb: &ClientStatement, text: &Name) -> Step {
        if let Transaction::Failed(pin) = self.transaction {
            return self.end_failed(verb, pin);
        }
        match verb {
            ClientStatement::Begin(read_only) => self.begin(*read_only),
            ClientStatement::Commit => self.commit(),
            ClientStatement::Rollback => self.rollback(),
            ClientStatement::Read => Step::Run(self.ask(Kind::Read, None)),
            ClientStatement::Write => Step::Run(self.ask(Kind::Write, None)),
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

    fn end_failed(&mut self, verb: &ClientStatement, pin: Option<Pin>) -> Step {
        let step = match (verb, pin) {
            (ClientStatement::Rollback, Some(pin)) => Step::Release(pin),
            (ClientStatement::Rollback, None) => Step::Done,
            (ClientStatement::Commit, Some(pin)) => Step::Abort(pin),
            (ClientStatement::Commit, None) => Step::Refuse(StatementError::Aborted),
            _ => return Step::Refuse(StatementError::InvalidState),
        };
        self.transaction = Transaction::None;
        step
    }

    fn begin(&mut self, read_only: bool) -> Step {
        if self.transaction != Transaction::None {
            return Step::Refuse(StatementError::InvalidState);
        }
        self.transaction = Transaction::Begun(if read_only {
            TxStart::ReadOnly
        } else {
            TxStart::ReadWrite
        });
        Step::Done
    }

    fn commit(&mut self) -> Step {
        match self.transaction {
            Transaction::None => Step::Refuse(StatementError::InvalidState),
            _ => Step::Run(self.ask(Kind::Commit, None)),
        }
    }

    fn rollback(&mut self) -> Step {
        let step = match self.transaction {
            Transaction::None => Step::Refuse(StatementError::InvalidState),
            Transaction::Open(pin) => Step::Release(pin),
            Transaction::Begun(_) | Transaction::Failed(_) => Step::Done,
        };
        self.transaction = Transaction::None;
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
        Step::Run(self.ask(kind, Some(prepared)))
    }

    fn ask(&self, kind: Kind, prepared: Option<&Prepared>) -> GroupRequest {
        let (opening, pin) = match self.transaction {
            Transaction::Begun(opening) => (opening, None),
            Transaction::Open(pin) => (TxStart::None, Some(pin)),
            Transaction::None | Transaction::Failed(_) => (TxStart::None, None),
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
            opening,
            pin,
            settings,
        }
    }

    /// Takes in the group's reply to a statement.
    pub fn apply_reply(&mut self, reply: &Reply) {
        if let Floor::At(mark) = reply.floor {
            self.floor = self.floor.max(mark);
        }
        let in_transaction = self.transaction != Transaction::None;
        self.transaction = match &reply.result {
            Ok(answer) => match (answer.tx, reply.pin) {
                (TxState::Idle, _) | (TxState::Open, None) => Transaction::None,
                (TxState::Open, Some(pin)) => Transaction::Open(pin),
                (TxState::Failed, pin) => Transaction::Failed(pin),
            },
            Err(Refusal::Unknown { .. }) => Transaction::None,
            Err(_) if in_transaction => Transaction::Failed(None),
            Err(_) => Transaction::None,
        };
    }

    /// What the session's own reads must contain.
    #[must_use]
    pub fn floor(&self) -> Mark {
        self.floor
    }

    /// The state that the client is shown.
    #[must_use]
    pub fn state(&self) -> TxState {
        match self.transaction {
            Transaction::None => TxState::Idle,
            Transaction::Begun(_) | Transaction::Open(_) => TxState::Open,
            Transaction::Failed(_) => TxState::Failed,
        }
    }

    /// Ends an idle transaction. Returns what it held.
    pub fn expire(&mut self) -> Option<Pin> {
        let pin = self.pin();
        self.transaction = Transaction::Failed(None);
        pin
    }

    /// Ends the session. Returns what its transaction held.
    pub fn close(&mut self) -> Option<Pin> {
        let pin = self.pin();
        self.transaction = Transaction::None;
        pin
    }

    fn pin(&self) -> Option<Pin> {
        match self.transaction {
            Transaction::Open(pin) | Transaction::Failed(Some(pin)) => Some(pin),
            _ => None,
        }
    }
}

/// How fresh a service's reads must be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// Everything that was acknowledged before the read.
    Latest,
    /// Everything that was acknowledged longer ago than this.
    Bounded(Duration),
    /// The same, and what the session itself wrote.
    OwnWrites(Duration),
}

impl Freshness {
    /// The floor and the age for a read of a session that relies on `own`.
    #[must_use]
    pub fn bounds(self, own: Mark) -> (Floor, Option<Duration>) {
        match self {
            Self::Latest => (Floor::At(Mark::default()), Some(Duration::ZERO)),
            Self::Bounded(age) => (Floor::At(Mark::default()), Some(age)),
            Self::OwnWrites(age) => (Floor::At(own), Some(age)),
        }
    }
}
