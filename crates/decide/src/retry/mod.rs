//! Decides whether a request whose connection was lost may be retried.

use std::time::Duration;

use goldcrest_types::{Kind, RequestHead, RequestId, Timestamp};

/// The number of retries allowed per 100 recent requests.
const RETRY_PERCENT: u64 = 20;

/// The maximum of the retry budget, in retries.
const RETRY_BURST: u64 = 10;

/// The cost of one retry in units of the budget.
const RETRY_COST: u64 = 100;

/// The maximum number of times that one request is sent.
pub const MAX_ATTEMPTS: u8 = 4;

/// How long a refused client is told to wait before it retries.
pub const RETRY_AFTER: Duration = Duration::from_millis(200);

/// The longest time that a refused client is told to wait, shorter than most clients' patience.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Number of steps over which the returns of refused clients are spread.
const SPREAD_STEPS: u64 = 64;

/// Returns how long a client waits before it retries, if what is ahead of it ends in `excess`.
///
/// The clients of a crowd are told times between one and two times as long, so that they do not return
/// together.
#[must_use]
pub fn return_time(excess: Duration, id: RequestId) -> Duration {
    let earliest = excess.clamp(RETRY_AFTER, MAX_RETRY_AFTER / 2);
    // Neighbouring numbers get times that are far apart.
    let step = id.0.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32;
    let step = u32::try_from(step % SPREAD_STEPS).unwrap_or_default();
    earliest + earliest * step / u32::try_from(SPREAD_STEPS).unwrap_or(u32::MAX)
}

/// What happens to a request after its connection was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LossOutcome {
    /// It may be sent again.
    Retry,
    /// It may have run, and the client must be told that the outcome is unknown.
    Unknown,
    /// Its transaction is lost, and nothing of it was committed.
    TransactionLost,
    /// It was a read, which had no effect, and it is not retried.
    ReadFailed,
}

/// Decides what happens to a request after its connection was lost.
///
/// `sent` says whether any byte of it may have reached the endpoint.
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

/// Limits retries to a share of recent requests, so that they cannot amplify an overload.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    available: u64,
    refilled_at: Timestamp,
}

impl RetryBudget {
    /// Creates a full budget.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            available: RETRY_BURST * RETRY_COST,
            refilled_at: Timestamp::ZERO,
        }
    }

    /// Adds the share of a new request to the budget.
    pub fn record_request(&mut self) {
        self.available = (self.available + RETRY_PERCENT).min(RETRY_BURST * RETRY_COST);
    }

    /// Takes one retry from the budget, if there is one. Before that, adds one retry if none was
    /// added in the last second.
    pub fn try_spend(&mut self, now: Timestamp) -> bool {
        if now.since(self.refilled_at) >= Duration::from_secs(1) {
            self.refilled_at = now;
            self.available = (self.available + RETRY_COST).min(RETRY_BURST * RETRY_COST);
        }
        if self.available < RETRY_COST {
            return false;
        }
        self.available -= RETRY_COST;
        true
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}
