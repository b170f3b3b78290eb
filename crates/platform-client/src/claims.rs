//! The rows of database groups: who claims a term, and who is recorded as primary.

use std::time::Duration;

use compio::time::sleep;
use goldcrest_types::{AttemptId, ChangeId, Name, Term};
use serde::{Deserialize, Serialize};

use crate::{Client, PlatformError, Put, Row, Transaction};

const TABLE: &str = "groups";

/// The pause between two tries to record a primary.
const RECORD_PAUSE: Duration = Duration::from_secs(2);

/// Tries to record a primary before it is left to the next promotion.
const RECORD_TRIES: usize = 300;

/// The row of a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupRow {
    /// The claimed term.
    pub term: u64,
    /// The attempt that claims it.
    pub attempt: AttemptId,
    /// The host of the attempt.
    pub host: Name,
    /// The endpoint that became primary, once it has.
    pub primary: Option<Name>,
}

/// What became of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimReply {
    /// The claim holds.
    Claimed,
    /// Another attempt claims this term or a later one.
    Taken(Term),
    /// The table did not answer.
    Lost,
}

/// Claims a term for an attempt.
pub async fn claim(
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
    match put(client, group, &row).await {
        Ok(reply) => reply,
        // The change may have taken effect: reading back settles it.
        Err(_) => read_back(client, group, &row).await,
    }
}

/// Records the primary of a term, when the table answers. Ends early when a later term is there.
pub async fn record(client: &Client, group: &str, row: GroupRow) {
    for _ in 0..RECORD_TRIES {
        match put(client, group, &row).await {
            Ok(ClaimReply::Lost) | Err(_) => sleep(RECORD_PAUSE).await,
            Ok(ClaimReply::Claimed | ClaimReply::Taken(_)) => return,
        }
    }
}

async fn put(client: &Client, group: &str, row: &GroupRow) -> Result<ClaimReply, PlatformError> {
    let old = client.row(TABLE, group).await?;
    if let Some(term) = old.as_ref().and_then(|old| taken(old, row)) {
        return Ok(ClaimReply::Taken(term));
    }
    let put = Put {
        table: Name::from(TABLE),
        key: Name::from(group),
        expected: old.map_or(0, |old| old.version),
        value: serde_json::to_value(row)?,
    };
    // The claim and the record of one attempt are two changes.
    let change = ChangeId(row.attempt.0.wrapping_add(u64::from(row.primary.is_some())));
    let puts = vec![put];
    match client.transact(&Transaction { change, puts }).await {
        Ok(_) => Ok(ClaimReply::Claimed),
        // Another attempt came between: who it is, and for which term, is read anew.
        Err(PlatformError::Conflict { .. }) => Ok(read_back(client, group, row).await),
        Err(error) => Err(error),
    }
}

/// The term of a stored row that keeps a new one out.
fn taken(old: &Row, new: &GroupRow) -> Option<Term> {
    let old: GroupRow = serde_json::from_value(old.value.clone()).ok()?;
    let other = old.term == new.term && old.attempt != new.attempt;
    (old.term > new.term || other).then_some(Term(old.term))
}

async fn read_back(client: &Client, group: &str, row: &GroupRow) -> ClaimReply {
    let Ok(Some(found)) = client.row(TABLE, group).await else {
        return ClaimReply::Lost;
    };
    if let Some(term) = taken(&found, row) {
        return ClaimReply::Taken(term);
    }
    let stored = serde_json::from_value::<GroupRow>(found.value);
    match stored {
        Ok(stored) if stored.attempt == row.attempt => ClaimReply::Claimed,
        _ => ClaimReply::Lost,
    }
}
