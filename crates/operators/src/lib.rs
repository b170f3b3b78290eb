//! The HTTP interface of a host for operators, for the load balancer's health check and for
//! metrics.
//!
//! Requests and answers are JSON. Operators' requests carry a key from the settings; the accounts
//! of workspaces give no access here.

mod client;
mod error;
mod model;
mod routes;

use std::{io, net::SocketAddr};

use compio::net::TcpListener;
use flume::Sender;
use goldcrest_observe::Metrics;
use goldcrest_types::Name;

pub use crate::{
    client::Client,
    error::OperatorError,
    model::{
        Accepted, ActiveDeclaration, AuditEntry, ChangeError, ChangeRequest, EndpointStatus,
        ExplainRequest, GroupStatus, HostStatus, MemberStatus, ReadRoute, SkippedEndpoint,
    },
};

/// A request of an operator, with the channel for the reply of the host's controller.
#[derive(Debug)]
pub enum OperatorRequest {
    /// Whether the host accepts new clients.
    Health(Sender<bool>),
    /// The host's status.
    Status(Sender<HostStatus>),
    /// The declaration in force.
    Declaration(Sender<ActiveDeclaration>),
    /// Change the declaration or the preset.
    Change(ChangeRequest, Sender<Result<Accepted, ChangeError>>),
    /// The audit trail, newest change last.
    Audit(Sender<Result<Vec<AuditEntry>, ChangeError>>),
    /// The route that a read would take; `None` if there is no such database.
    Explain(ExplainRequest, Sender<Option<ReadRoute>>),
}

/// Serves the operator interface at `address` and passes requests to `requests`.
///
/// # Errors
///
/// When the address can't be bound or the metrics can't be set up.
pub async fn serve(
    address: SocketAddr,
    key: Name,
    requests: Sender<OperatorRequest>,
) -> io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    let registry = Metrics::new().map_err(io::Error::other)?;
    let router = routes::router(key, requests, registry);
    compio::runtime::spawn(async move {
        if let Err(error) = cyper_axum::serve(listener, router).await {
            spdlog::error!("the operator interface stopped: {}", error);
        }
    })
    .detach();
    Ok(())
}
