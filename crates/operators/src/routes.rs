//! The HTTP routes.

use axum::{
    Json, Router,
    extract::{Query, State},
    http::{HeaderMap, StatusCode, header::AUTHORIZATION},
    response::{IntoResponse, Response},
    routing::{get, post},
};
use flume::Sender;
use goldcrest_observe::{Metrics, MetricsError};
use goldcrest_types::Name;
use send_wrapper::SendWrapper;
use serde::Serialize;
use subtle::ConstantTimeEq;

use crate::{Call, ChangeError, ChangeRequest, ExplainRequest, HostStatus};

#[derive(Clone)]
struct Desk {
    key: Name,
    calls: Sender<Call>,
    meters: Metrics,
}

/// The routes of a host.
pub(crate) fn router(key: Name, calls: Sender<Call>, meters: Metrics) -> Router {
    Router::new()
        .route("/health", get(health))
        .route("/metrics", get(metrics))
        .route("/status", get(status))
        .route("/fleet", get(fleet))
        .route("/change", post(change))
        .route("/audit", get(audit))
        .route("/explain", get(explain))
        .with_state(Desk { key, calls, meters })
}

async fn health(State(desk): State<Desk>) -> Response {
    match desk.ask(Call::Health).await {
        Some(true) => "ready\n".into_response(),
        _ => (StatusCode::SERVICE_UNAVAILABLE, "leaving\n").into_response(),
    }
}

async fn metrics(State(desk): State<Desk>) -> Response {
    match desk.ask(Call::Status).await {
        Some(status) => match scrape(&desk.meters, &status) {
            Ok(page) => page.into_response(),
            Err(error) => {
                let text = error.to_string();
                (StatusCode::INTERNAL_SERVER_ERROR, text).into_response()
            }
        },
        None => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

async fn status(State(desk): State<Desk>, headers: HeaderMap) -> Response {
    desk.guarded(&headers, Call::Status).await
}

async fn fleet(State(desk): State<Desk>, headers: HeaderMap) -> Response {
    desk.guarded(&headers, Call::Declaration).await
}

async fn explain(
    State(desk): State<Desk>,
    headers: HeaderMap,
    Query(request): Query<ExplainRequest>,
) -> Response {
    desk.guarded(&headers, |reply| Call::Explain(request, reply))
        .await
}

async fn change(
    State(desk): State<Desk>,
    headers: HeaderMap,
    Json(request): Json<ChangeRequest>,
) -> Response {
    desk.guarded_result(&headers, |reply| Call::Change(request, reply))
        .await
}

async fn audit(State(desk): State<Desk>, headers: HeaderMap) -> Response {
    desk.guarded_result(&headers, Call::Audit).await
}

impl Desk {
    async fn ask<F, T>(&self, make: F) -> Option<T>
    where
        F: FnOnce(Sender<T>) -> Call,
    {
        // Handlers of the router must be `Send`, and the runtime's futures are not.
        SendWrapper::new(async {
            let (reply, answer) = flume::bounded(1);
            self.calls.send_async(make(reply)).await.ok()?;
            answer.recv_async().await.ok()
        })
        .await
    }

    async fn guarded<F, T>(&self, headers: &HeaderMap, make: F) -> Response
    where
        F: FnOnce(Sender<T>) -> Call,
        T: Serialize,
    {
        if !self.admits(headers) {
            return StatusCode::UNAUTHORIZED.into_response();
        }
        match self.ask(make).await {
            Some(answer) => Json(answer).into_response(),
            None => StatusCode::SERVICE_UNAVAILABLE.into_response(),
        }
    }

    async fn guarded_result<F, T>(&self, headers: &HeaderMap, make: F) -> Response
    where
        F: FnOnce(Sender<Result<T, ChangeError>>) -> Call,
        T: Serialize,
    {
        if !self.admits(headers) {
            return StatusCode::UNAUTHORIZED.into_response();
        }
        match self.ask(make).await {
            Some(Ok(answer)) => Json(answer).into_response(),
            Some(Err(refused)) => (StatusCode::CONFLICT, Json(refused)).into_response(),
            None => StatusCode::SERVICE_UNAVAILABLE.into_response(),
        }
    }

    fn admits(&self, headers: &HeaderMap) -> bool {
        let value = headers.get(AUTHORIZATION).and_then(|v| v.to_str().ok());
        let key = value.and_then(|v| v.strip_prefix("Bearer "));
        key.is_some_and(|key| key.as_bytes().ct_eq(self.key.as_bytes()).into())
    }
}

/// Sets the meters to the host's counts and writes their page.
fn scrape(meters: &Metrics, status: &HostStatus) -> Result<String, MetricsError> {
    meters.set("goldcrest_revision", None, status.revision);
    meters.set("goldcrest_sessions", None, status.sessions as u64);
    meters.set("goldcrest_peer_bytes_total", None, status.gossip);
    meters.set("goldcrest_hosts_known", None, status.members.len() as u64);
    for group in &status.groups {
        let rows = [
            ("goldcrest_reads_replica_total", group.replica),
            ("goldcrest_reads_primary_total", group.primary),
            ("goldcrest_check_rounds_total", group.rounds),
            ("goldcrest_retries_total", group.retries),
            ("goldcrest_refused_total", group.refused),
            ("goldcrest_unknown_total", group.unknown),
            ("goldcrest_promotion_attempts_total", group.attempts),
            ("goldcrest_requests_unfinished", group.unfinished as u64),
        ];
        for (name, value) in rows {
            meters.set(name, Some(&group.database), value);
        }
    }
    meters.encode()
}
