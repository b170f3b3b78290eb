//! Operators' changes of the configuration. Each is one conditional transaction that writes the new
//! configuration row and a row of the audit trail.

use std::time::{SystemTime, UNIX_EPOCH};

use goldcrest_operators::{AuditEntry, ChangeError, ChangeRequest};
use goldcrest_peers::WireHead;
use goldcrest_platform_client::{Client, PlatformError, Put, Row, Transaction};
use goldcrest_settings::Settings;
use goldcrest_types::{ChangeId, Name};
use rand::Rng;
use xxhash_rust::xxh3::xxh3_128;

const FLEET_TABLE: &str = "fleet";
const CURRENT_KEY: &str = "current";
const AUDIT_TABLE: &str = "audit";

/// Attempts to commit a change before its outcome is reported as unknown.
const COMMIT_ATTEMPTS: usize = 3;

/// The row that holds the configuration in force. The audit trail keeps one such row per revision.
pub(crate) type CurrentRow = AuditEntry;

/// Returns the head of a configuration row as peers exchange it.
pub(super) fn wire_head(row: &CurrentRow) -> WireHead {
    WireHead {
        revision: row.revision,
        hash: row.hash.clone(),
        preset: row.preset.clone(),
        change: row.change,
    }
}

/// Reads the configuration row in force and its version, which a conditional write must name.
/// Returns `None` if no change was ever made.
pub(super) async fn current(client: &Client) -> Result<Option<(CurrentRow, u64)>, PlatformError> {
    let Some(row) = client.row(FLEET_TABLE, CURRENT_KEY).await? else {
        return Ok(None);
    };
    let version = row.version;
    Ok(Some((serde_json::from_value(row.value)?, version)))
}

/// Reads the audit trail, newest change last.
pub(super) async fn audit(client: &Client) -> Result<Vec<AuditEntry>, ChangeError> {
    let rows = client.rows(AUDIT_TABLE).await.map_err(platform_error)?;
    let entries = rows
        .into_iter()
        .map(|Row { value, .. }| serde_json::from_value(value));
    entries
        .collect::<Result<_, _>>()
        .map_err(|e| platform_error(e.into()))
}

/// Commits a change. Returns the new configuration row, and the declaration if the change stored
/// one.
pub(super) async fn change(
    client: &Client,
    settings: &Settings,
    request: ChangeRequest,
) -> Result<(CurrentRow, Option<String>), ChangeError> {
    let text = checked_text(settings, &request)?;
    let found = current(client).await.map_err(platform_error)?;
    let revision = found.as_ref().map_or(0, |(row, _)| row.revision);
    if let Some((row, _)) = found.as_ref().filter(|_| revision != request.base) {
        return Err(conflict(row));
    }
    let old = found.as_ref().map(|(row, _)| row);
    let text = match (text, old) {
        (Some(text), _) => Some(text),
        // The first change stores the declaration of this host's settings file.
        (None, None) => Some(declaration_text(settings)?),
        (None, Some(_)) => None,
    };
    let hash = match &text {
        Some(text) => store_declaration(client, text).await?,
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
        when: unix_seconds(),
        what: request.what,
        why: request.why,
    };
    let version = found.map_or(0, |(_, version)| version);
    commit(client, &row, version).await?;
    Ok((row, text))
}

/// Returns the declaration of a request, if it has one, after checking that it may follow the one
/// in force.
fn checked_text(
    settings: &Settings,
    request: &ChangeRequest,
) -> Result<Option<String>, ChangeError> {
    let preset = request.preset.as_deref();
    if preset.is_some_and(|p| goldcrest_decide::configuration::Preset::from_name(p).is_none()) {
        let text = "the preset must be ordinary, peak or maintenance";
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

fn declaration_text(settings: &Settings) -> Result<String, ChangeError> {
    let text = settings.declaration().to_toml();
    text.map_err(|e| ChangeError::Invalid(e.to_string()))
}

async fn store_declaration(client: &Client, text: &str) -> Result<Name, ChangeError> {
    let hash = hash_of(text);
    let stored = client.put_object(&hash, text.as_bytes().to_vec()).await;
    match stored {
        Ok(()) => Ok(hash),
        // The object's name is the hash of its content: if it exists, the text is stored, whatever
        // became of the call.
        Err(error) => match client.object(&hash).await {
            Ok(Some(_)) => Ok(hash),
            _ => Err(platform_error(error)),
        },
    }
}

/// Returns the name of a declaration's object: the hash of its text.
pub(super) fn hash_of(text: &str) -> Name {
    Name::from(format!("{:032x}", xxh3_128(text.as_bytes())))
}

/// Writes the configuration row and its audit row in one transaction, on condition that the row in
/// force still has this version.
async fn commit(client: &Client, row: &CurrentRow, version: u64) -> Result<(), ChangeError> {
    let value = serde_json::to_value(row).map_err(|e| platform_error(e.into()))?;
    let put = |table: &'static str, key: String, expected| Put {
        table: Name::from(table),
        key: Name::from(key),
        expected,
        value: value.clone(),
    };
    let transaction = Transaction {
        change: ChangeId(row.change),
        puts: vec![
            put(FLEET_TABLE, CURRENT_KEY.to_owned(), version),
            put(AUDIT_TABLE, format!("{:012}", row.revision), 0),
        ],
    };
    let mut unanswered = false;
    for _ in 0..COMMIT_ATTEMPTS {
        match client.transact(&transaction).await {
            Ok(_) => return Ok(()),
            Err(PlatformError::Conflict { .. }) => return resolve(client, row, unanswered).await,
            Err(_) => unanswered = true,
        }
        // The change id of the row in force shows whether the unanswered call took effect.
        match current(client).await {
            Ok(Some((found, _))) if found.change == row.change => return Ok(()),
            Ok(Some((found, _))) if found.revision >= row.revision => {
                return resolve(client, row, true).await;
            }
            _ => {}
        }
    }
    Err(ChangeError::Unknown)
}

/// Finds out after a conflict which change has the revision: another one, or this one by an earlier
/// call that was not answered.
async fn resolve(client: &Client, row: &CurrentRow, unanswered: bool) -> Result<(), ChangeError> {
    let trail = audit(client).await.map_err(|_| ChangeError::Unknown)?;
    let committed = trail.iter().find(|entry| entry.revision == row.revision);
    match committed {
        Some(entry) if entry.change == row.change => Ok(()),
        Some(entry) => Err(conflict(entry)),
        None if unanswered => Err(ChangeError::Unknown),
        None => Err(ChangeError::Platform(
            "another write changed the rows at the same time".to_owned(),
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
fn platform_error(error: PlatformError) -> ChangeError {
    ChangeError::Platform(error.to_string())
}

fn unix_seconds() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |duration| duration.as_secs())
}
