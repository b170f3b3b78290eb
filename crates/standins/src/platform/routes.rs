//! The HTTP interface of the platform.

use axum::{
    Json, Router,
    body::Bytes,
    extract::{Path, State},
    http::StatusCode,
    routing::{get, post, put},
};
use compio::time::sleep;
use flume::Sender;
use send_wrapper::SendWrapper;
use serde_json::Value;

use super::state::{Call, Reply};

type Calls = Sender<Call>;
type Answer = (StatusCode, Vec<u8>);

/// Creates the platform's routes. A call that a fault suppresses is never answered.
pub(super) fn router(calls: Calls) -> Router {
    Router::new()
        .route("/rows/{table}", get(rows))
        .route("/rows/{table}/{key}", get(row))
        .route("/transactions", post(transact))
        .route("/objects/{name}", get(object).put(put_object))
        .route("/hosts", get(hosts))
        .route("/hosts/{name}", put(announce))
        .with_state(calls)
}

async fn row(State(calls): State<Calls>, Path((table, key)): Path<(String, String)>) -> Answer {
    submit(calls, |reply| Call::Row(table, key, reply)).await
}

async fn rows(State(calls): State<Calls>, Path(table): Path<String>) -> Answer {
    submit(calls, |reply| Call::Rows(table, reply)).await
}

async fn transact(State(calls): State<Calls>, Json(body): Json<Value>) -> Answer {
    submit(calls, |reply| Call::Transact(body, reply)).await
}

async fn object(State(calls): State<Calls>, Path(name): Path<String>) -> Answer {
    submit(calls, |reply| Call::Object(name, reply)).await
}

async fn put_object(State(calls): State<Calls>, Path(name): Path<String>, body: Bytes) -> Answer {
    submit(calls, |reply| Call::PutObject(name, body.to_vec(), reply)).await
}

async fn hosts(State(calls): State<Calls>) -> Answer {
    submit(calls, Call::Hosts).await
}

async fn announce(
    State(calls): State<Calls>,
    Path(name): Path<String>,
    Json(entry): Json<Value>,
) -> Answer {
    submit(calls, |reply| Call::Announce(name, entry, reply)).await
}

/// Sends a call to the state task, and waits for its reply.
async fn submit<F>(calls: Calls, build: F) -> Answer
where
    F: FnOnce(Sender<Reply>) -> Call,
{
    // axum handlers must be `Send`, but the futures of the runtime are not.
    SendWrapper::new(async move {
        apply_delay(&calls).await;
        let (reply, answer) = flume::bounded(1);
        let _ = calls.send(build(reply));
        match answer.recv_async().await {
            Ok(Some((status, body))) => {
                let status = StatusCode::from_u16(status);
                (status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR), body)
            }
            _ => std::future::pending().await,
        }
    })
    .await
}

/// Waits for the delay of the current fault.
async fn apply_delay(calls: &Calls) {
    let (reply, answer) = flume::bounded(1);
    let _ = calls.send(Call::Delay(reply));
    if let Ok(delay) = answer.recv_async().await
        && !delay.is_zero()
    {
        sleep(delay).await;
    }
}
