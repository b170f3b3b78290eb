//! Every name that a database group gives to terms, positions and their functions.
//!
//! Another dialect changes this module alone.

use goldcrest_types::{AttemptId, History, Mark, Position, Report, Role, SealReply, Term, TxState};
use pgwire::messages::response::{ErrorResponse, TransactionStatus};

use crate::EndpointError;

/// Columns of `group_status()`: role, promised term, term, applied position, received position,
/// whether the primary is heard, history as `term:start` pairs joined by commas.
pub const STATUS_COLUMNS: usize = 7;

/// The error code of work that an endpoint's role or term forbids.
const READ_ONLY: &str = "25006";

/// What an endpoint last said of its log.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Told {
    /// What it has applied.
    pub mark: Mark,
    /// Its part.
    pub role: Role,
}

/// Takes in a parameter. Returns false when it says nothing of the group.
pub(crate) fn note(told: &mut Told, name: &str, value: &str) -> bool {
    match name {
        "group_term" => told.mark.term = Term(value.parse().unwrap_or_default()),
        "log_position" => told.mark.position = Position(value.parse().unwrap_or_default()),
        "role" => told.role = role(value),
        _ => return false,
    }
    true
}

/// The statement that reports an endpoint's state.
pub(crate) fn status_query() -> String {
    "SELECT * FROM group_status()".to_owned()
}

/// The statement that seals an endpoint.
pub(crate) fn seal_query(term: Term, attempt: AttemptId) -> String {
    format!("SELECT * FROM group_seal({}, '{}')", term.0, attempt.0)
}

/// The statement that promotes an endpoint.
pub(crate) fn promote_query(term: Term, attempt: AttemptId) -> String {
    format!("SELECT * FROM group_promote({}, '{}')", term.0, attempt.0)
}

/// Reads the row of `group_status()`.
pub(crate) fn report(row: &[Option<String>]) -> Result<Report, EndpointError> {
    let [
        Some(part),
        Some(promised),
        Some(term),
        Some(applied),
        Some(held),
        Some(hears),
        Some(history),
    ] = row
    else {
        return Err(EndpointError::Unexpected("group_status has seven columns"));
    };
    let applied = Mark::new(number(term)?, number(applied)?);
    Ok(Report {
        role: role(part),
        promised: Term(number(promised)?),
        applied,
        held: Position(number(held)?).max(applied.position),
        connected: hears == "t",
        history: history_of(history)?,
    })
}

/// Reads the row of `group_seal()`: whether it was sealed, the term, and the held position.
pub(crate) fn seal_reply(row: &[Option<String>]) -> Result<SealReply, EndpointError> {
    let [Some(sealed), Some(term), Some(position)] = row else {
        return Err(EndpointError::Unexpected("group_seal has three columns"));
    };
    let (term, position) = (number(term)?, number(position)?);
    if sealed != "t" {
        return Ok(SealReply::Refused {
            promised: Term(term),
        });
    }
    let held = Mark::new(term, position);
    Ok(SealReply::Sealed { held })
}

/// Reads the row of `group_promote()`: whether the endpoint is primary now.
pub(crate) fn promote_reply(row: &[Option<String>]) -> Result<bool, EndpointError> {
    let [Some(accepted)] = row else {
        return Err(EndpointError::Unexpected("group_promote has one column"));
    };
    Ok(accepted == "t")
}

/// The statement that brings a connection back to a clean state.
pub(crate) fn reset_query() -> &'static str {
    "DISCARD ALL"
}

/// Whether an error says that nothing was run because of the endpoint's role or term.
pub(crate) fn is_declined(code: &str) -> bool {
    code == READ_ONLY
}

/// The code and the text of an error.
pub(crate) fn code_and_text(error: &ErrorResponse) -> (String, String) {
    let field = |tag| {
        let found = error.fields.iter().find(|(t, _)| *t == tag);
        found.map(|(_, text)| text.clone()).unwrap_or_default()
    };
    (field(b'C'), field(b'M'))
}

/// The state of a connection's transaction.
pub(crate) fn tx_state(status: TransactionStatus) -> TxState {
    match status {
        TransactionStatus::Idle => TxState::Idle,
        TransactionStatus::Transaction => TxState::Open,
        TransactionStatus::Error => TxState::Failed,
    }
}

fn role(text: &str) -> Role {
    if text == "primary" {
        Role::Primary
    } else {
        Role::Replica
    }
}

fn number(text: &str) -> Result<u64, EndpointError> {
    text.parse()
        .map_err(|_| EndpointError::Unexpected("a number was expected"))
}

fn history_of(text: &str) -> Result<History, EndpointError> {
    let mut pairs = Vec::new();
    for pair in text.split(',').filter(|p| !p.is_empty()) {
        let Some((term, start)) = pair.split_once(':') else {
            return Err(EndpointError::Unexpected("a history of term:start pairs"));
        };
        pairs.push((number(term)?, number(start)?));
    }
    Ok(History::from_pairs(pairs))
}
