//! What may be done with a request whose answer was lost.

use std::time::Duration;

use goldcrest_types::{Kind, RequestHead, Timestamp};

/// The share of recent requests that may be retried, in percent.
const RETRY_PERCENT: u64 = 20;

/// Retries that are always in stock after a quiet time.
const RETRY_STOCK: u64 = 10;

/// One retry in the units of the budget.
const RETRY_COST: u64 = 100;

/// Endpoints that one read is tried on.
pub const READ_ATTEMPTS: u8 = 4;

/// The lower bound of the hint when to come again.
pub const RETRY_AFTER: Duration = Duration::from_millis(200);

/// What happens to a request after its endpoint failed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LossOutcome {
    /// It may be sent again.
    Retry,
    /// It may have run: the caller must be told so.
    Unknown,
    /// Its transaction is gone, and nothing of it was committed.
    TransactionLost,
    /// It was a read, which changed nothing.
    ReadFailed,
}

/// Decides what happens to a request after its connection broke.
///
/// `sent` tells whether any byte of it may have reached the endpoint.
#[must_use]
pub fn after_loss(head: &RequestHead, sent: bool) -> LossOutcome {
    match (head.pin.is_some(), head.kind) {
        (true, Kind::Commit) if sent => LossOutcome::Unknown,
        (true, _) => LossOutcome::TransactionLost,
        (false, _) if !sent => LossOutcome::Retry,
        (false, Kind::Read | Kind::Begin | Kind::Rollback) => LossOutcome::Retry,
        (false, _) if head.idempotent => LossOutcome::Retry,
        (false, _) => LossOutcome::Unknown,
    }
}

/// Limits retries to a share of recent requests, so that they can't feed an overload.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    stock: u64,
    refilled: Timestamp,
}

impl RetryBudget {
    /// A full budget.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            stock: RETRY_STOCK * RETRY_COST,
            refilled: Timestamp::ZERO,
        }
    }

    /// Notes a new request.
    pub fn record_request(&mut self) {
        self.stock = (self.stock + RETRY_PERCENT).min(RETRY_STOCK * RETRY_COST);
    }

    /// Takes one retry from the budget, if there is one. One a second is always added.
    pub fn try_spend(&mut self, now: Timestamp) -> bool {
        if now.since(self.refilled) >= Duration::from_secs(1) {
            self.refilled = now;
            self.stock = (self.stock + RETRY_COST).min(RETRY_STOCK * RETRY_COST);
        }
        if self.stock < RETRY_COST {
            return false;
        }
        self.stock -= RETRY_COST;
        true
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}
