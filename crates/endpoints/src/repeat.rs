//! Runs a request that carries an id of its own, so that a repeat returns the first result.
//!
//! The id, a digest of the request and its answer are written in the transaction of the work
//! itself. Whatever survives a failover therefore survives together.

use bytes::{Bytes, BytesMut};
use goldcrest_types::{Answer, Name, Outcome, Request, TxState};
use goldcrest_wire::{PgStream, encode_backend, error_response};
use pgwire::messages::{
    PgWireBackendMessage,
    response::{ReadyForQuery, TransactionStatus},
};
use xxhash_rust::xxh3::xxh3_128;

use crate::{
    EndpointError,
    adapter::{self, Told},
    relay::{Collected, Progress, own_answer, run_own},
};

/// The largest answer that is kept for repeats, in bytes.
const KEPT_BYTES: usize = 64 << 10;

/// Starts that lose against a request with the same id before the caller is told.
const STARTS: usize = 5;

/// The length of an encoded ready message, in bytes.
const READY_BYTES: usize = 6;

const CREATE: &str = "CREATE TABLE IF NOT EXISTS goldcrest_request (workspace text, \
     id text, digest text, answer text, PRIMARY KEY (workspace, id))";
const NO_TABLE: &str = "42P01";
const UNIQUE: &str = "23505";
const CONFLICTS: [&str; 3] = [UNIQUE, "40001", "40P01"];

enum Start {
    /// The request is new, and its transaction is open.
    Fresh,
    /// The request ran before.
    Known { digest: String, answer: String },
    /// Another request with this id is in the way.
    Conflict,
    /// The endpoint may not run it.
    Declined,
}

/// Runs `request` under `id`, or returns what it answered the first time. `None` means that the
/// answer outgrew the limit.
pub(crate) async fn run(
    wire: &mut PgStream,
    told: &mut Told,
    request: &Request,
    id: &Name,
    limit: usize,
) -> Result<Option<Answer>, EndpointError> {
    let digest = format!("{:032x}", xxh3_128(&request.body));
    for _ in 0..STARTS {
        match start(wire, told, request, id, &digest).await? {
            Start::Fresh => return finish(wire, told, request, id, limit).await,
            Start::Known {
                digest: first,
                answer,
            } if first == digest => {
                let body = hex::decode(answer)
                    .map_err(|_| EndpointError::Unexpected("a kept answer in hex"))?;
                return Ok(Some(own_answer(Bytes::from(body), *told)));
            }
            Start::Known { .. } => {
                let text = "goldcrest.request_id was used for another statement";
                return refusal(*told, "22023", text).map(Some);
            }
            Start::Declined => return Ok(Some(declined(*told))),
            Start::Conflict => {}
        }
    }
    let text = "not run: another request with this goldcrest.request_id is running";
    refusal(*told, "40001", text).map(Some)
}

/// Opens the transaction and writes the id, unless it is known.
async fn start(
    wire: &mut PgStream,
    told: &mut Told,
    request: &Request,
    id: &Name,
    digest: &str,
) -> Result<Start, EndpointError> {
    run_own(wire, told, "BEGIN").await?;
    let key = format!(
        "workspace = {} AND id = {}",
        quoted(&request.head.workspace),
        quoted(id)
    );
    let find = format!("SELECT digest, answer FROM goldcrest_request WHERE {key}");
    let known = match run_own(wire, told, &find).await {
        Ok(found) => found.rows.into_iter().next(),
        Err(EndpointError::Refused { code, .. }) if code == NO_TABLE => {
            run_own(wire, told, "ROLLBACK").await?;
            return create(wire, told).await;
        }
        Err(error) => return Err(error),
    };
    if let Some([Some(digest), Some(answer)]) = known.as_deref() {
        run_own(wire, told, "ROLLBACK").await?;
        return Ok(Start::Known {
            digest: digest.clone(),
            answer: answer.clone(),
        });
    }
    let insert = format!(
        "INSERT INTO goldcrest_request (workspace, id, digest, answer) VALUES ({}, {}, {}, '')",
        quoted(&request.head.workspace),
        quoted(id),
        quoted(digest)
    );
    match run_own(wire, told, &insert).await {
        Ok(_) => Ok(Start::Fresh),
        Err(EndpointError::Refused { code, .. }) => {
            run_own(wire, told, "ROLLBACK").await?;
            failed_start(code)
        }
        Err(error) => Err(error),
    }
}

async fn create(wire: &mut PgStream, told: &mut Told) -> Result<Start, EndpointError> {
    match run_own(wire, told, CREATE).await {
        Ok(_) => Ok(Start::Conflict),
        Err(EndpointError::Refused { code, .. }) => failed_start(code),
        Err(error) => Err(error),
    }
}

fn failed_start(code: String) -> Result<Start, EndpointError> {
    if adapter::is_declined(&code) {
        return Ok(Start::Declined);
    }
    if CONFLICTS.contains(&code.as_str()) {
        return Ok(Start::Conflict);
    }
    Err(EndpointError::Refused {
        code,
        text: "the request's id could not be kept".to_owned(),
    })
}

/// Runs the work in the open transaction, keeps its answer and commits.
async fn finish(
    wire: &mut PgStream,
    told: &mut Told,
    request: &Request,
    id: &Name,
    limit: usize,
) -> Result<Option<Answer>, EndpointError> {
    wire.send(request.body.clone()).await?;
    let Some(mut answer) = collect(wire, told, limit).await? else {
        return Ok(None);
    };
    answer.body = closed_body(&answer.body)?;
    if answer.tx != TxState::Open {
        run_own(wire, told, "ROLLBACK").await?;
        answer.tx = TxState::Idle;
        return Ok(Some(answer));
    }
    if answer.body.len() > KEPT_BYTES {
        run_own(wire, told, "ROLLBACK").await?;
        let text = "not run: the answer is too large to be kept for goldcrest.request_id";
        return refusal(*told, "54000", text).map(Some);
    }
    let keep = format!(
        "UPDATE goldcrest_request SET answer = '{}' WHERE workspace = {} AND id = {}",
        hex::encode(&answer.body),
        quoted(&request.head.workspace),
        quoted(id)
    );
    run_own(wire, told, &keep).await?;
    match run_own(wire, told, "COMMIT").await {
        Ok(_) => Ok(Some(own_answer(answer.body, *told))),
        Err(EndpointError::Refused { code, .. }) if adapter::is_declined(&code) => {
            Ok(Some(declined(*told)))
        }
        Err(error) => Err(error),
    }
}

async fn collect(
    wire: &mut PgStream,
    told: &mut Told,
    limit: usize,
) -> Result<Option<Answer>, EndpointError> {
    let mut collected = Collected::default();
    loop {
        let frame = wire.next().await?;
        match collected.take(&frame, told, limit)? {
            Progress::More => {}
            Progress::Whole(answer) => return Ok(Some(answer)),
            Progress::Oversized => return Ok(None),
        }
    }
}

/// The body with a ready message that says that no transaction is open.
fn closed_body(body: &Bytes) -> Result<Bytes, EndpointError> {
    let kept = body.len().saturating_sub(READY_BYTES);
    let mut closed = BytesMut::from(&body[..kept]);
    closed.extend_from_slice(&encode_backend([ready()])?);
    Ok(closed.freeze())
}

fn refusal(told: Told, code: &str, text: &str) -> Result<Answer, EndpointError> {
    let body = encode_backend([error_response("ERROR", code, text), ready()])?;
    let mut answer = own_answer(body, told);
    answer.outcome = Outcome::Failed {
        code: Name::from(code),
    };
    Ok(answer)
}

fn declined(told: Told) -> Answer {
    let mut answer = own_answer(Bytes::new(), told);
    answer.outcome = Outcome::Declined;
    answer
}

fn ready() -> PgWireBackendMessage {
    PgWireBackendMessage::ReadyForQuery(ReadyForQuery::new(TransactionStatus::Idle))
}

fn quoted(text: &str) -> String {
    format!("'{}'", text.replace('\'', "''"))
}
