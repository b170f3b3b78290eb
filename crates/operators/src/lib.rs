//! The interface for operators, for the balancer's health check and for metrics, over HTTP and JSON.
//!
//! Operators' calls carry a key from the settings. Callers' accounts give no access here.

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

/// A call of an operator.
#[derive(Debug)]
pub enum Call {
    /// Whether the host takes new callers.
    Health(Sender<bool>),
    /// The host's account of itself.
    Status(Sender<HostStatus>),
    /// The declaration in force.
    Declaration(Sender<ActiveDeclaration>),
    /// Change the declaration or the preset.
    Change(ChangeRequest, Sender<Result<Accepted, ChangeError>>),
    /// The changes so far, newest last.
    Audit(Sender<Result<Vec<AuditEntry>, ChangeError>>),
    /// Where a read would go.
    Explain(ExplainRequest, Sender<Option<ReadRoute>>),
}

/// Serves operators at `address`. Calls go to `calls`.
///
/// # Errors
///
/// The error of binding the address or of setting up the metrics.
pub async fn serve(address: SocketAddr, key: Name, calls: Sender<Call>) -> io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    let meters = Metrics::new().map_err(io::Error::other)?;
    let router = routes::router(key, calls, meters);
    compio::runtime::spawn(async move {
        if let Err(error) = cyper_axum::serve(listener, router).await {
            spdlog::error!("operators are no longer served: {}", error);
        }
    })
    .detach();
    Ok(())
}
