//! The dialect of the database group: its functions, status parameters, columns and error codes.
//!
//! Support for another dialect changes only this module.

use goldcrest_types::{AttemptId, History, Mark, Position, Report, Role, SealReply, Term, TxState};
use pgwire::messages::response::{ErrorResponse, TransactionStatus};

use crate::EndpointError;

/// The number of columns of `group_status()`: role, promised term, term, applied position, received
/// position, whether a replica receives messages from its primary, and the history as
/// comma-separated `term:start` pairs.
pub const STATUS_COLUMNS: usize = 7;

/// The SQLSTATE of a statement that the endpoint's role or term forbids.
const READ_ONLY: &str = "25006";

/// The log position and role that an endpoint last reported on a connection.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ReportedState {
    /// The term and position that it has applied.
    pub mark: Mark,
    /// Its role in the group.
    pub role: Role,
}

/// Updates `state` from a status parameter. Returns false for a parameter that does not belong to
/// the group protocol.
pub(crate) fn apply_parameter(state: &mut ReportedState, name: &str, value: &str) -> bool {
    match name {
        "group_term" => state.mark.term = Term(value.parse().unwrap_or_default()),
        "log_position" => state.mark.position = Position(value.parse().unwrap_or_default()),
        "role" => state.role = parse_role(value),
        _ => return false,
    }
    true
}

/// Builds the statement that reports an endpoint's state, and returns `nonce` as the last column.
pub(crate) fn status_query(nonce: u64) -> String {
    format!("SELECT *, '{nonce}' FROM group_status()")
}

/// Builds the statement that seals an endpoint, so that it refuses all work of lower terms, and
/// returns `nonce` as the last column.
pub(crate) fn seal_query(term: Term, attempt: AttemptId, nonce: u64) -> String {
    let (term, attempt) = (term.0, attempt.0);
    format!("SELECT *, '{nonce}' FROM group_seal({term}, '{attempt}')")
}

/// Builds the statement that promotes an endpoint to primary, and returns `nonce` as the last
/// column.
pub(crate) fn promote_query(term: Term, attempt: AttemptId, nonce: u64) -> String {
    let (term, attempt) = (term.0, attempt.0);
    format!("SELECT *, '{nonce}' FROM group_promote({term}, '{attempt}')")
}

/// Removes the nonce from a row of a control function. Returns false if it is another one.
pub(crate) fn take_nonce(row: &mut Vec<Option<String>>, nonce: u64) -> bool {
    row.pop().flatten().and_then(|n| n.parse().ok()) == Some(nonce)
}

/// Parses the row of `group_status()`.
pub(crate) fn parse_report(row: &[Option<String>]) -> Result<Report, EndpointError> {
    let [
        Some(role_name),
        Some(promised),
        Some(term),
        Some(applied),
        Some(held),
        Some(connected),
        Some(history),
    ] = row
    else {
        return Err(EndpointError::Unexpected("group_status has seven columns"));
    };
    let applied = Mark::new(parse_number(term)?, parse_number(applied)?);
    Ok(Report {
        role: parse_role(role_name),
        promised: Term(parse_number(promised)?),
        applied,
        held: Position(parse_number(held)?).max(applied.position),
        connected: connected == "t",
        history: parse_history(history)?,
    })
}

/// Parses the row of `group_seal()`: whether the endpoint was sealed, the term, and the position of
/// its log's end.
pub(crate) fn parse_seal_reply(row: &[Option<String>]) -> Result<SealReply, EndpointError> {
    let [Some(sealed), Some(term), Some(position)] = row else {
        return Err(EndpointError::Unexpected("group_seal has three columns"));
    };
    let (term, position) = (parse_number(term)?, parse_number(position)?);
    if sealed != "t" {
        return Ok(SealReply::Refused {
            promised: Term(term),
        });
    }
    let held = Mark::new(term, position);
    Ok(SealReply::Sealed { held })
}

/// Parses the row of `group_promote()`: whether the endpoint is now primary.
pub(crate) fn parse_promote_reply(row: &[Option<String>]) -> Result<bool, EndpointError> {
    let [Some(accepted)] = row else {
        return Err(EndpointError::Unexpected("group_promote has one column"));
    };
    Ok(accepted == "t")
}

/// The statement that resets a connection's session state.
pub(crate) fn reset_query() -> &'static str {
    "DISCARD ALL"
}

/// Whether an error with this SQLSTATE means that the endpoint ran nothing because of its role or
/// term.
pub(crate) fn is_declined(code: &str) -> bool {
    code == READ_ONLY
}

/// Returns the SQLSTATE and the text of an error.
pub(crate) fn code_and_text(error: &ErrorResponse) -> (String, String) {
    let field = |tag| {
        let found = error.fields.iter().find(|(t, _)| *t == tag);
        found.map(|(_, text)| text.clone()).unwrap_or_default()
    };
    (field(b'C'), field(b'M'))
}

/// Whether an error ends the connection.
pub(crate) fn is_fatal(error: &ErrorResponse) -> bool {
    let severity = error.fields.iter().find(|(t, _)| *t == b'S');
    severity.is_some_and(|(_, s)| matches!(s.as_str(), "FATAL" | "PANIC"))
}

/// Converts the transaction status of a `ReadyForQuery`.
pub(crate) fn tx_state(status: TransactionStatus) -> TxState {
    match status {
        TransactionStatus::Idle => TxState::Idle,
        TransactionStatus::Transaction => TxState::Open,
        TransactionStatus::Error => TxState::Failed,
    }
}

fn parse_role(text: &str) -> Role {
    if text == "primary" {
        Role::Primary
    } else {
        Role::Replica
    }
}

fn parse_number(text: &str) -> Result<u64, EndpointError> {
    text.parse()
        .map_err(|_| EndpointError::Unexpected("a number was expected"))
}

fn parse_history(text: &str) -> Result<History, EndpointError> {
    let mut pairs = Vec::new();
    for pair in text.split(',').filter(|p| !p.is_empty()) {
        let Some((term, start)) = pair.split_once(':') else {
            return Err(EndpointError::Unexpected("a history of term:start pairs"));
        };
        pairs.push((parse_number(term)?, parse_number(start)?));
    }
    Ok(History::from_pairs(pairs))
}
