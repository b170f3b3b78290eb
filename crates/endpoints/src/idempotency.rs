//! Idempotent writes: a repeated request with the same `goldcrest.request_id` gets the first
//! answer.
//!
//! The id, a digest of the request and its answer are written in the same transaction as the
//! request's own changes, so a failover keeps or loses all of them together.

use bytes::{Bytes, BytesMut};
use goldcrest_types::{Answer, Name, Outcome, Request, TxState};
use goldcrest_wire::{encode_backend, error_response};
use pgwire::messages::{
    PgWireBackendMessage,
    response::{ReadyForQuery, TransactionStatus},
};
use xxhash_rust::xxh3::xxh3_128;

use crate::{
    EndpointError,
    answer::{Exchange, proxy_answer, run_expecting, run_internal},
    connect::Connected,
    dialect::{self, ReportedState},
};

/// The largest answer that is stored for repeats, in bytes.
const MAX_STORED_BYTES: usize = 64 << 10;

/// How many times a request is started before it is refused, if each start conflicts with another
/// request of the same id.
const MAX_STARTS: usize = 5;

/// The length of an encoded `ReadyForQuery`, in bytes.
const READY_BYTES: usize = 6;

const CREATE_TABLE: &str = "CREATE TABLE IF NOT EXISTS goldcrest_request (workspace text, \
     id text, digest text, answer text, PRIMARY KEY (workspace, id))";
/// SQLSTATE `undefined_table`.
const UNDEFINED_TABLE: &str = "42P01";
/// SQLSTATE `unique_violation`.
const UNIQUE_VIOLATION: &str = "23505";
/// SQLSTATEs of a conflict with a concurrent request: `unique_violation`, `serialization_failure`
/// and `deadlock_detected`.
const CONFLICTS: [&str; 3] = [UNIQUE_VIOLATION, "40001", "40P01"];

/// The result of an attempt to start a request.
enum StartOutcome {
    /// The request is new; its transaction is open and its id is written.
    Fresh,
    /// The request ran before.
    Known { digest: String, answer: String },
    /// Another request with this id runs at the same time, or the table was only just created.
    Conflict,
    /// The endpoint's role or term forbids the request.
    Declined,
}

/// Runs `request` under `id`, or returns the stored answer of its first run. Returns `None` when
/// the answer exceeds `limit` bytes.
pub(crate) async fn run(
    connected: &mut Connected,
    request: &Request,
    id: &Name,
    limit: usize,
) -> Result<Option<Answer>, EndpointError> {
    let digest = format!("{:032x}", xxh3_128(&request.body));
    for _ in 0..MAX_STARTS {
        match begin(connected, request, id, &digest).await? {
            StartOutcome::Fresh => return run_and_store(connected, request, id, limit).await,
            StartOutcome::Known {
                digest: first,
                answer,
            } if first == digest => {
                let body = hex::decode(answer)
                    .map_err(|_| EndpointError::Unexpected("a kept answer in hex"))?;
                return Ok(Some(proxy_answer(Bytes::from(body), connected.state)));
            }
            StartOutcome::Known { .. } => {
                let text = "goldcrest.request_id was used for another statement";
                return refusal(connected.state, "22023", text).map(Some);
            }
            StartOutcome::Declined => return Ok(Some(declined(connected.state))),
            StartOutcome::Conflict => {}
        }
    }
    let text = "not run: another request with this goldcrest.request_id is running";
    refusal(connected.state, "40001", text).map(Some)
}

/// Opens a transaction and writes the id, unless the id is already stored.
async fn begin(
    connected: &mut Connected,
    request: &Request,
    id: &Name,
    digest: &str,
) -> Result<StartOutcome, EndpointError> {
    run_expecting(connected, "BEGIN", TxState::Open).await?;
    let key = format!(
        "workspace = {} AND id = {}",
        quote_literal(&request.head.workspace),
        quote_literal(id)
    );
    let select = format!("SELECT digest, answer FROM goldcrest_request WHERE {key}");
    let known = match run_expecting(connected, &select, TxState::Open).await {
        Ok(found) => found.rows.into_iter().next(),
        Err(EndpointError::Refused { code, .. }) if code == UNDEFINED_TABLE => {
            run_expecting(connected, "ROLLBACK", TxState::Idle).await?;
            return create_table(connected).await;
        }
        Err(error) => return Err(error),
    };
    if let Some([Some(digest), Some(answer)]) = known.as_deref() {
        run_expecting(connected, "ROLLBACK", TxState::Idle).await?;
        return Ok(StartOutcome::Known {
            digest: digest.clone(),
            answer: answer.clone(),
        });
    }
    let insert = format!(
        "INSERT INTO goldcrest_request (workspace, id, digest, answer) VALUES ({}, {}, {}, '')",
        quote_literal(&request.head.workspace),
        quote_literal(id),
        quote_literal(digest)
    );
    match run_expecting(connected, &insert, TxState::Open).await {
        Ok(_) => Ok(StartOutcome::Fresh),
        Err(EndpointError::Refused { code, .. }) => {
            run_expecting(connected, "ROLLBACK", TxState::Idle).await?;
            classify_start_error(code)
        }
        Err(error) => Err(error),
    }
}

async fn create_table(connected: &mut Connected) -> Result<StartOutcome, EndpointError> {
    match run_internal(connected, CREATE_TABLE).await {
        Ok(_) => Ok(StartOutcome::Conflict),
        Err(EndpointError::Refused { code, .. }) => classify_start_error(code),
        Err(error) => Err(error),
    }
}

fn classify_start_error(code: String) -> Result<StartOutcome, EndpointError> {
    if dialect::is_declined(&code) {
        return Ok(StartOutcome::Declined);
    }
    if CONFLICTS.contains(&code.as_str()) {
        return Ok(StartOutcome::Conflict);
    }
    Err(EndpointError::Refused {
        code,
        text: "the request's id could not be kept".to_owned(),
    })
}

/// Runs the request in the open transaction, stores its answer and commits.
async fn run_and_store(
    connected: &mut Connected,
    request: &Request,
    id: &Name,
    limit: usize,
) -> Result<Option<Answer>, EndpointError> {
    let exchange = Exchange::start(connected, &request.body).await?;
    let Some(mut answer) = exchange.finish(connected, limit).await? else {
        return Ok(None);
    };
    answer.body = with_idle_status(&answer.body)?;
    if answer.tx != TxState::Open {
        run_expecting(connected, "ROLLBACK", TxState::Idle).await?;
        answer.tx = TxState::Idle;
        return Ok(Some(answer));
    }
    if answer.body.len() > MAX_STORED_BYTES {
        run_expecting(connected, "ROLLBACK", TxState::Idle).await?;
        let text = "not run: the answer is too large to be kept for goldcrest.request_id";
        return refusal(connected.state, "54000", text).map(Some);
    }
    let update = format!(
        "UPDATE goldcrest_request SET answer = '{}' WHERE workspace = {} AND id = {}",
        hex::encode(&answer.body),
        quote_literal(&request.head.workspace),
        quote_literal(id)
    );
    run_expecting(connected, &update, TxState::Open).await?;
    match run_expecting(connected, "COMMIT", TxState::Idle).await {
        Ok(_) => Ok(Some(proxy_answer(answer.body, connected.state))),
        Err(EndpointError::Refused { code, .. }) if dialect::is_declined(&code) => {
            Ok(Some(declined(connected.state)))
        }
        Err(error) => Err(error),
    }
}

/// Replaces the body's final `ReadyForQuery` by one that reports no open transaction.
fn with_idle_status(body: &Bytes) -> Result<Bytes, EndpointError> {
    let end = body.len().saturating_sub(READY_BYTES);
    let mut replaced = BytesMut::from(&body[..end]);
    replaced.extend_from_slice(&encode_backend([ready_for_query()])?);
    Ok(replaced.freeze())
}

fn refusal(state: ReportedState, code: &str, text: &str) -> Result<Answer, EndpointError> {
    let body = encode_backend([error_response("ERROR", code, text), ready_for_query()])?;
    let mut answer = proxy_answer(body, state);
    answer.outcome = Outcome::Failed {
        code: Name::from(code),
    };
    Ok(answer)
}

fn declined(state: ReportedState) -> Answer {
    let mut answer = proxy_answer(Bytes::new(), state);
    answer.outcome = Outcome::Declined;
    answer
}

fn ready_for_query() -> PgWireBackendMessage {
    PgWireBackendMessage::ReadyForQuery(ReadyForQuery::new(TransactionStatus::Idle))
}

fn quote_literal(text: &str) -> String {
    format!("'{}'", text.replace('\'', "''"))
}
