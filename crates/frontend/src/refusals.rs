//! Converts refusals and errors to PostgreSQL messages.

use bytes::Bytes;
use goldcrest_types::{NotRun, Refusal, TxState};
use goldcrest_wire::{WireError, encode_backend, error_response};
use pgwire::messages::{
    PgWireBackendMessage,
    response::{ErrorResponse, ReadyForQuery, TransactionStatus},
};

use crate::ClientError;

/// Returns the SQLSTATE of a refusal.
pub(crate) fn sqlstate(refusal: &Refusal) -> &'static str {
    match refusal {
        Refusal::NotRun { reason, .. } => not_run_sqlstate(*reason),
        Refusal::Unknown { .. } => "08007",
        Refusal::TransactionLost => "40001",
        Refusal::WriteLost { .. } => "58030",
        Refusal::Timeout => "57014",
        Refusal::TooLarge { .. } => "54000",
    }
}

fn not_run_sqlstate(reason: NotRun) -> &'static str {
    match reason {
        NotRun::NoPrimary | NotRun::Unreachable | NotRun::Behind => "57P03",
        NotRun::Late | NotRun::Allowance => "53300",
        NotRun::Memory => "53200",
        NotRun::Cancelled => "57014",
        NotRun::Stopping => "57P01",
    }
}

/// Converts a refusal to an `ErrorResponse`.
pub(crate) fn refusal_message(refusal: &Refusal) -> PgWireBackendMessage {
    let error = error_response("ERROR", sqlstate(refusal), &refusal.to_string());
    match (hint(refusal), error) {
        (Some(hint), PgWireBackendMessage::ErrorResponse(ErrorResponse { mut fields, .. })) => {
            fields.push((b'H', hint));
            PgWireBackendMessage::ErrorResponse(ErrorResponse::new(fields))
        }
        (_, error) => error,
    }
}

fn hint(refusal: &Refusal) -> Option<String> {
    match refusal {
        Refusal::NotRun {
            retry: Some(delay), ..
        } => Some(format!("retry after {} ms", delay.as_millis())),
        Refusal::Unknown { .. } => Some(
            "the request may have taken effect; set goldcrest.request_id to repeat it safely"
                .to_owned(),
        ),
        _ => None,
    }
}

/// Converts an error of the front end to an `ErrorResponse`.
pub(crate) fn error_message(error: &ClientError) -> PgWireBackendMessage {
    let severity = if error.is_fatal() { "FATAL" } else { "ERROR" };
    error_response(severity, error.code(), &error.to_string())
}

/// Builds the `ReadyForQuery` that ends an answer.
pub(crate) fn ready_for_query(tx: TxState) -> PgWireBackendMessage {
    let status = match tx {
        TxState::Idle => TransactionStatus::Idle,
        TxState::Open => TransactionStatus::Transaction,
        TxState::Failed => TransactionStatus::Error,
    };
    PgWireBackendMessage::ReadyForQuery(ReadyForQuery::new(status))
}

/// Encodes an error and the `ReadyForQuery` after it.
pub(crate) fn error_answer(error: &ClientError, tx: TxState) -> Result<Bytes, WireError> {
    encode_backend([error_message(error), ready_for_query(tx)])
}
