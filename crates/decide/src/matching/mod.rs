//! Checks that the answers on a connection belong to the messages that were sent there.
//!
//! An endpoint answers messages in order, and its answers do not name them. After an answer too many,
//! each message would get the answer to the one before it.

use std::collections::VecDeque;

use goldcrest_types::{AnswerFault, TxState};
use xxhash_rust::xxh3::xxh3_64;

/// The number of signatures that are remembered for a connection.
const SIGNATURES_KEPT: usize = 4096;

/// What a message asks of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Message {
    /// Run a client's statement.
    Statement,
    /// Commit a client's transaction, which returns no rows.
    Commit,
    /// Change what is in force on the connection.
    Setting,
    /// Open a transaction.
    Begin,
    /// Roll back the open transaction.
    Rollback,
    /// Report the endpoint's status in one row.
    Report,
}

/// How an answer ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion<'a> {
    /// The statement of a client succeeded. The signature differs from those of all other answers.
    Signed(&'a [u8]),
    /// A message of the proxy itself succeeded.
    Unsigned,
    /// The message failed.
    Failed,
}

/// A complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerSummary<'a> {
    /// The number of its rows.
    pub rows: usize,
    /// How it ends.
    pub completion: Completion<'a>,
    /// The transaction's state after it.
    pub tx: TxState,
}

/// The state of a connection on which answers depend.
#[derive(Debug, Clone, Default)]
pub struct AnswerMatcher {
    tx: TxState,
    /// Digests of the newest signatures, oldest first.
    signatures: VecDeque<u64>,
    in_doubt: bool,
    /// Whether the endpoint answers a rollback without a transaction with an error, once it has.
    rejects_rollback: Option<bool>,
}

impl AnswerMatcher {
    /// Checks that `answer` can be the one to `message`, and records it.
    ///
    /// # Errors
    ///
    /// [`AnswerFault::Repeated`] or [`AnswerFault::Mismatched`]. No further answer on the connection
    /// can be relied on.
    pub fn accept(
        &mut self,
        message: Message,
        answer: &AnswerSummary<'_>,
    ) -> Result<(), AnswerFault> {
        let fits = match answer.completion {
            Completion::Signed(signature) => {
                self.record_signature(signature)?;
                is_signed(message) && (answer.rows == 0 || message != Message::Commit)
            }
            Completion::Unsigned => {
                !is_signed(message) && answer.rows == usize::from(message == Message::Report)
            }
            Completion::Failed => true,
        };
        let failed = answer.completion == Completion::Failed;
        let is_usual = match (message, self.tx) {
            (Message::Rollback, TxState::Idle) => {
                *self.rejects_rollback.get_or_insert(failed) == failed
            }
            _ => true,
        };
        if !fits || !is_usual || !follows(message, self.tx, answer) {
            return Err(AnswerFault::Mismatched);
        }
        self.in_doubt = match (answer.completion, message) {
            (Completion::Failed, _) => true,
            // Only the answer to a rollback ends a transaction unsigned.
            (_, Message::Rollback) if self.tx != TxState::Idle => false,
            _ => self.in_doubt,
        };
        self.tx = answer.tx;
        Ok(())
    }

    /// The transaction's state after the last answer.
    #[must_use]
    pub fn tx(&self) -> TxState {
        self.tx
    }

    /// Whether it is known how the endpoint answers a rollback without a transaction.
    #[must_use]
    pub fn knows_rollback(&self) -> bool {
        self.rejects_rollback.is_some()
    }

    /// Whether the last answers may be copies of earlier ones. Errors carry no signature; opening a
    /// transaction and rolling it back tells.
    #[must_use]
    pub fn is_in_doubt(&self) -> bool {
        self.in_doubt && self.tx == TxState::Idle
    }

    /// Records a signature that was not given before on this connection.
    fn record_signature(&mut self, signature: &[u8]) -> Result<(), AnswerFault> {
        let digest = xxh3_64(signature);
        if self.signatures.iter().rev().any(|known| *known == digest) {
            return Err(AnswerFault::Repeated);
        }
        if self.signatures.len() == SIGNATURES_KEPT {
            self.signatures.pop_front();
        }
        self.signatures.push_back(digest);
        Ok(())
    }
}

/// Whether the endpoint signs its answer if the message succeeds.
fn is_signed(message: Message) -> bool {
    matches!(message, Message::Statement | Message::Commit)
}

/// Whether the transaction's state after `answer` follows from `message` and the state `before`.
fn follows(message: Message, before: TxState, answer: &AnswerSummary<'_>) -> bool {
    let failed = answer.completion == Completion::Failed;
    match (message, before) {
        (Message::Begin, TxState::Idle | TxState::Open) if !failed => answer.tx == TxState::Open,
        // A commit that the endpoint did not run leaves the transaction open.
        (Message::Commit, _) => failed || answer.tx == TxState::Idle,
        (Message::Rollback, TxState::Open | TxState::Failed) => {
            !failed && answer.tx == TxState::Idle
        }
        (_, TxState::Idle) => answer.tx == TxState::Idle,
        (_, TxState::Open) if !failed => answer.tx == TxState::Open,
        // A statement that the endpoint declined leaves the transaction open.
        (_, TxState::Open) => answer.tx != TxState::Idle,
        (_, TxState::Failed) => failed && answer.tx == TxState::Failed,
    }
}
