//! An operator's change: one conditional transaction with its audit row.

use std::time::{SystemTime, UNIX_EPOCH};

use goldcrest_operators::{AuditEntry, ChangeError, ChangeRequest};
use goldcrest_peers::WireHead;
use goldcrest_platform_client::{Client, PlatformError, Put, Row, Transaction};
use goldcrest_settings::Settings;
use goldcrest_types::{ChangeId, Name};
use rand::Rng;
use xxhash_rust::xxh3::xxh3_128;

const TABLE: &str = "fleet";
const KEY: &str = "current";
const AUDIT: &str = "audit";

/// Calls of the platform before a change is given up.
const TRIES: usize = 3;

/// The row that holds the configuration in force. The audit trail has one such row a revision.
pub(crate) type CurrentRow = AuditEntry;

/// The row's head, as peers pass it on.
pub(super) fn wire_head(row: &CurrentRow) -> WireHead {
    WireHead {
        revision: row.revision,
        hash: row.hash.clone(),
        preset: row.preset.clone(),
        change: row.change,
    }
}

/// Reads the row in force and its version.
pub(super) async fn current(client: &Client) -> Result<Option<(CurrentRow, u64)>, PlatformError> {
    let Some(row) = client.row(TABLE, KEY).await? else {
        return Ok(None);
    };
    let version = row.version;
    Ok(Some((serde_json::from_value(row.value)?, version)))
}

/// Reads the audit trail.
pub(super) async fn audit(client: &Client) -> Result<Vec<AuditEntry>, ChangeError> {
    let rows = client.rows(AUDIT).await.map_err(unreachable)?;
    let entries = rows
        .into_iter()
        .map(|Row { value, .. }| serde_json::from_value(value));
    entries
        .collect::<Result<_, _>>()
        .map_err(|e| unreachable(e.into()))
}

/// Makes a change. Returns the row that it made, and the declaration if that changed.
pub(super) async fn change(
    client: &Client,
    settings: &Settings,
    request: ChangeRequest,
) -> Result<(CurrentRow, Option<String>), ChangeError> {
    let text = checked_text(settings, &request)?;
    let found = current(client).await.map_err(unreachable)?;
    let revision = found.as_ref().map_or(0, |(row, _)| row.revision);
    if let Some((row, _)) = found.as_ref().filter(|_| revision != request.base) {
        return Err(conflict(row));
    }
    let old = found.as_ref().map(|(row, _)| row);
    let text = match (text, old) {
        (Some(text), _) => Some(text),
        // The first change keeps the declaration of the hosts' settings files.
        (None, None) => Some(fleet_text(settings)?),
        (None, Some(_)) => None,
    };
    let hash = match &text {
        Some(text) => store(client, text).await?,
        None => old.map(|row| row.hash.clone()).unwrap_or_default(),
    };
    let row = CurrentRow {
        revision: revision + 1,
        hash,
        preset: request
            .preset
            .or_else(|| old.map(|row| row.preset.clone()))
            .unwrap_or_else(|| Name::from("ordinary")),
        change: rand::rng().random(),
        who: request.who,
        when: seconds_now(),
        what: request.what,
        why: request.why,
    };
    let version = found.map_or(0, |(_, version)| version);
    put(client, &row, version).await?;
    Ok((row, text))
}

/// The declaration of a request, checked against the one in force.
fn checked_text(
    settings: &Settings,
    request: &ChangeRequest,
) -> Result<Option<String>, ChangeError> {
    let known = request.preset.as_deref();
    if known.is_some_and(|p| goldcrest_decide::configuration::Preset::from_name(p).is_none()) {
        let text = "preset: allowed are ordinary, peak and maintenance";
        return Err(ChangeError::Invalid(text.to_owned()));
    }
    let Some(text) = &request.text else {
        return Ok(None);
    };
    let later = settings
        .with_declaration_text(&Name::from("declaration"), text)
        .map_err(|e| ChangeError::Invalid(e.to_string()))?;
    settings
        .declaration()
        .plan(&later.declaration())
        .map_err(|e| ChangeError::Invalid(e.to_string()))?;
    Ok(Some(text.clone()))
}

fn fleet_text(settings: &Settings) -> Result<String, ChangeError> {
    let text = settings.declaration().to_toml();
    text.map_err(|e| ChangeError::Invalid(e.to_string()))
}

async fn store(client: &Client, text: &str) -> Result<Name, ChangeError> {
    let hash = hash_of(text);
    let stored = client.put_object(&hash, text.as_bytes().to_vec()).await;
    match stored {
        Ok(()) => Ok(hash),
        // An object is named by its content, so a lost answer is settled by looking.
        Err(error) => match client.object(&hash).await {
            Ok(Some(_)) => Ok(hash),
            _ => Err(unreachable(error)),
        },
    }
}

/// The name of a declaration's object.
pub(super) fn hash_of(text: &str) -> Name {
    Name::from(format!("{:032x}", xxh3_128(text.as_bytes())))
}

/// Puts the row and its audit row, if the row in force still has this version.
async fn put(client: &Client, row: &CurrentRow, version: u64) -> Result<(), ChangeError> {
    let value = serde_json::to_value(row).map_err(|e| unreachable(e.into()))?;
    let put = |table: &'static str, key: String, expected| Put {
        table: Name::from(table),
        key: Name::from(key),
        expected,
        value: value.clone(),
    };
    let transaction = Transaction {
        change: ChangeId(row.change),
        puts: vec![
            put(TABLE, KEY.to_owned(), version),
            put(AUDIT, format!("{:012}", row.revision), 0),
        ],
    };
    let mut sent = false;
    for _ in 0..TRIES {
        match client.transact(&transaction).await {
            Ok(_) => return Ok(()),
            Err(PlatformError::Conflict { .. }) => return settle(client, row, sent).await,
            Err(_) => sent = true,
        }
        // The change's id tells whether the lost call took effect.
        match current(client).await {
            Ok(Some((found, _))) if found.change == row.change => return Ok(()),
            Ok(Some((found, _))) if found.revision >= row.revision => {
                return settle(client, row, true).await;
            }
            _ => {}
        }
    }
    Err(ChangeError::Unknown)
}

/// Finds out who came first after a conflict: another change, or this one by a lost call.
async fn settle(client: &Client, row: &CurrentRow, sent: bool) -> Result<(), ChangeError> {
    let trail = audit(client).await.map_err(|_| ChangeError::Unknown)?;
    let made = trail.iter().find(|entry| entry.revision == row.revision);
    match made {
        Some(entry) if entry.change == row.change => Ok(()),
        Some(entry) => Err(conflict(entry)),
        None if sent => Err(ChangeError::Unknown),
        None => Err(ChangeError::Platform(
            "the rows changed meanwhile".to_owned(),
        )),
    }
}

fn conflict(row: &CurrentRow) -> ChangeError {
    ChangeError::Conflict {
        revision: row.revision,
        who: row.who.clone(),
        what: row.what.clone(),
    }
}

#[allow(clippy::needless_pass_by_value)]
fn unreachable(error: PlatformError) -> ChangeError {
    ChangeError::Platform(error.to_string())
}

fn seconds_now() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |span| span.as_secs())
}
