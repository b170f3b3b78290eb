//! The rows of database groups in the platform's table: which promotion attempt holds a term, and
//! which endpoint is recorded as primary.

use std::time::Duration;

use compio::time::sleep;
use goldcrest_types::{AttemptId, ChangeId, Name, Term};
use serde::{Deserialize, Serialize};

use crate::{Client, PlatformError, Put, Row, Transaction};

const TABLE: &str = "groups";

/// The pause between two attempts to record a primary.
const RECORD_PAUSE: Duration = Duration::from_secs(2);

/// Attempts to record a primary. After them the row stays as it is until the next promotion.
const RECORD_ATTEMPTS: usize = 300;

/// The row of a database group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupRow {
    /// The claimed term. Each promotion takes a greater one.
    pub term: u64,
    /// The promotion attempt that claims it.
    pub attempt: AttemptId,
    /// The host that runs the attempt.
    pub host: Name,
    /// The endpoint that became primary, once the promotion has succeeded.
    pub primary: Option<Name>,
}

/// The outcome of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimReply {
    /// The attempt holds the term.
    Claimed,
    /// Another attempt holds this term or a later one. Carries the term that it holds.
    Taken(Term),
    /// The outcome is unknown: the table did not answer, or its row shows neither.
    Unknown,
}

/// Claims a term for a promotion attempt.
pub async fn claim_term(
    client: &Client,
    group: &str,
    host: &Name,
    term: Term,
    attempt: AttemptId,
) -> ClaimReply {
    let row = GroupRow {
        term: term.0,
        attempt,
        host: host.clone(),
        primary: None,
    };
    match put_row(client, group, &row).await {
        Ok(reply) => reply,
        // The write may have taken effect. Reading the row back shows whether it did.
        Err(_) => read_back(client, group, &row).await,
    }
}

/// Records the primary of a term. Retries a limited number of times while the outcome is unknown,
/// and stops when another attempt holds the term or a later one.
pub async fn record_primary(client: &Client, group: &str, row: GroupRow) {
    for _ in 0..RECORD_ATTEMPTS {
        match put_row(client, group, &row).await {
            Ok(ClaimReply::Unknown) | Err(_) => sleep(RECORD_PAUSE).await,
            Ok(ClaimReply::Claimed | ClaimReply::Taken(_)) => return,
        }
    }
}

async fn put_row(
    client: &Client,
    group: &str,
    row: &GroupRow,
) -> Result<ClaimReply, PlatformError> {
    let old = client.row(TABLE, group).await?;
    if let Some(term) = old.as_ref().and_then(|old| excluding_term(old, row)) {
        return Ok(ClaimReply::Taken(term));
    }
    let put = Put {
        table: Name::from(TABLE),
        key: Name::from(group),
        expected: old.map_or(0, |old| old.version),
        value: serde_json::to_value(row)?,
    };
    // The claim and the record of one attempt are two changes and need two ids.
    let change = ChangeId(row.attempt.0.wrapping_add(u64::from(row.primary.is_some())));
    let puts = vec![put];
    match client.transact(&Transaction { change, puts }).await {
        Ok(_) => Ok(ClaimReply::Claimed),
        // Another write came first. Reading the row back shows which attempt and term it holds.
        Err(PlatformError::Conflict { .. }) => Ok(read_back(client, group, row).await),
        Err(error) => Err(error),
    }
}

/// Returns the term of the stored row if it excludes the new one: a later term, or the same term of
/// another attempt.
fn excluding_term(old: &Row, new: &GroupRow) -> Option<Term> {
    let old: GroupRow = serde_json::from_value(old.value.clone()).ok()?;
    let other_attempt = old.term == new.term && old.attempt != new.attempt;
    (old.term > new.term || other_attempt).then_some(Term(old.term))
}

async fn read_back(client: &Client, group: &str, row: &GroupRow) -> ClaimReply {
    let Ok(Some(found)) = client.row(TABLE, group).await else {
        return ClaimReply::Unknown;
    };
    if let Some(term) = excluding_term(&found, row) {
        return ClaimReply::Taken(term);
    }
    let stored = serde_json::from_value::<GroupRow>(found.value);
    match stored {
        Ok(stored) if stored.attempt == row.attempt => ClaimReply::Claimed,
        _ => ClaimReply::Unknown,
    }
}
