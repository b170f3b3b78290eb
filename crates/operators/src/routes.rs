//! The HTTP routes of the operator interface.

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

use crate::{ChangeError, ChangeRequest, ExplainRequest, HostStatus, OperatorRequest};

/// The state that the handlers share.
#[derive(Clone)]
struct ApiState {
    key: Name,
    requests: Sender<OperatorRequest>,
    registry: Metrics,
}

/// Builds the routes of a host.
pub(crate) fn router(key: Name, requests: Sender<OperatorRequest>, registry: Metrics) -> Router {
    Router::new()
        .route("/health", get(health))
        .route("/metrics", get(metrics))
        .route("/status", get(status))
        .route("/fleet", get(fleet))
        .route("/change", post(change))
        .route("/audit", get(audit))
        .route("/explain", get(explain))
        .with_state(ApiState {
            key,
            requests,
            registry,
        })
}

async fn health(State(state): State<ApiState>) -> Response {
    match state.request(OperatorRequest::Health).await {
        Some(true) => "ready\n".into_response(),
        _ => (StatusCode::SERVICE_UNAVAILABLE, "leaving\n").into_response(),
    }
}

async fn metrics(State(state): State<ApiState>) -> Response {
    match state.request(OperatorRequest::Status).await {
        Some(status) => match render(&state.registry, &status) {
            Ok(page) => page.into_response(),
            Err(error) => {
                let text = error.to_string();
                (StatusCode::INTERNAL_SERVER_ERROR, text).into_response()
            }
        },
        None => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

async fn status(State(state): State<ApiState>, headers: HeaderMap) -> Response {
    state.authorized(&headers, OperatorRequest::Status).await
}

async fn fleet(State(state): State<ApiState>, headers: HeaderMap) -> Response {
    state
        .authorized(&headers, OperatorRequest::Declaration)
        .await
}

async fn explain(
    State(state): State<ApiState>,
    headers: HeaderMap,
    Query(request): Query<ExplainRequest>,
) -> Response {
    state
        .authorized(&headers, |reply| OperatorRequest::Explain(request, reply))
        .await
}

async fn change(
    State(state): State<ApiState>,
    headers: HeaderMap,
    Json(request): Json<ChangeRequest>,
) -> Response {
    state
        .authorized_result(&headers, |reply| OperatorRequest::Change(request, reply))
        .await
}

async fn audit(State(state): State<ApiState>, headers: HeaderMap) -> Response {
    state
        .authorized_result(&headers, OperatorRequest::Audit)
        .await
}

impl ApiState {
    async fn request<F, T>(&self, make_request: F) -> Option<T>
    where
        F: FnOnce(Sender<T>) -> OperatorRequest,
    {
        // Handlers of the router must be `Send`, and the runtime's futures are not.
        SendWrapper::new(async {
            let (reply, answer) = flume::bounded(1);
            self.requests.send_async(make_request(reply)).await.ok()?;
            answer.recv_async().await.ok()
        })
        .await
    }

    async fn authorized<F, T>(&self, headers: &HeaderMap, make_request: F) -> Response
    where
        F: FnOnce(Sender<T>) -> OperatorRequest,
        T: Serialize,
    {
        if !self.has_key(headers) {
            return StatusCode::UNAUTHORIZED.into_response();
        }
        match self.request(make_request).await {
            Some(answer) => Json(answer).into_response(),
            None => StatusCode::SERVICE_UNAVAILABLE.into_response(),
        }
    }

    async fn authorized_result<F, T>(&self, headers: &HeaderMap, make_request: F) -> Response
    where
        F: FnOnce(Sender<Result<T, ChangeError>>) -> OperatorRequest,
        T: Serialize,
    {
        if !self.has_key(headers) {
            return StatusCode::UNAUTHORIZED.into_response();
        }
        match self.request(make_request).await {
            Some(Ok(answer)) => Json(answer).into_response(),
            Some(Err(error)) => (StatusCode::CONFLICT, Json(error)).into_response(),
            None => StatusCode::SERVICE_UNAVAILABLE.into_response(),
        }
    }

    fn has_key(&self, headers: &HeaderMap) -> bool {
        let value = headers.get(AUTHORIZATION).and_then(|v| v.to_str().ok());
        let key = value.and_then(|v| v.strip_prefix("Bearer "));
        key.is_some_and(|key| key.as_bytes().ct_eq(self.key.as_bytes()).into())
    }
}

/// Sets the metrics to the host's counts and renders them.
fn render(registry: &Metrics, status: &HostStatus) -> Result<String, MetricsError> {
    registry.set("goldcrest_revision", None, status.revision);
    registry.set("goldcrest_sessions", None, status.sessions as u64);
    registry.set("goldcrest_peer_bytes_total", None, status.gossip_bytes);
    registry.set("goldcrest_hosts_known", None, status.members.len() as u64);
    for group in &status.groups {
        let values = [
            ("goldcrest_reads_replica_total", group.replica_reads),
            ("goldcrest_reads_primary_total", group.primary_reads),
            ("goldcrest_check_rounds_total", group.rounds),
            ("goldcrest_retries_total", group.retries),
            ("goldcrest_refused_total", group.refused),
            ("goldcrest_unknown_total", group.unknown),
            ("goldcrest_promotion_attempts_total", group.attempts),
            (
                "goldcrest_connections_desynchronized_total",
                group.desynchronized,
            ),
            ("goldcrest_requests_unfinished", group.unfinished as u64),
        ];
        for (name, value) in values {
            registry.set(name, Some(&group.database), value);
        }
    }
    registry.encode()
}
