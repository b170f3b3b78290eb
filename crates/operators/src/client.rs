//! The client of a host's operator interface, used by the command line.

use std::net::SocketAddr;

use goldcrest_types::Name;
use serde::de::DeserializeOwned;

use crate::{
    Accepted, ActiveDeclaration, AuditEntry, ChangeError, ChangeRequest, HostStatus, OperatorError,
    ReadRoute,
};

const STATUS_OK: u16 = 200;
const STATUS_UNAUTHORIZED: u16 = 401;
const STATUS_CONFLICT: u16 = 409;

/// A client of one host's operator interface.
#[derive(Debug, Clone)]
pub struct Client {
    http: cyper::Client,
    /// The start of each URL: scheme and address.
    base: String,
    key: Name,
}

impl Client {
    /// Creates a client of the operator interface at this address of a host.
    ///
    /// # Errors
    ///
    /// When the HTTP client can't be set up.
    pub fn new(host: SocketAddr, key: Name) -> Result<Self, OperatorError> {
        Ok(Self {
            http: cyper::Client::new()?,
            base: format!("http://{host}"),
            key,
        })
    }

    /// Returns the host's status.
    ///
    /// # Errors
    ///
    /// Any [`OperatorError`].
    pub async fn status(&self) -> Result<HostStatus, OperatorError> {
        self.get("/status").await
    }

    /// Returns the declaration in force.
    ///
    /// # Errors
    ///
    /// Any [`OperatorError`].
    pub async fn declaration(&self) -> Result<ActiveDeclaration, OperatorError> {
        self.get("/fleet").await
    }

    /// Returns the audit trail, newest change last.
    ///
    /// # Errors
    ///
    /// Any [`OperatorError`].
    pub async fn audit(&self) -> Result<Vec<AuditEntry>, OperatorError> {
        self.get("/audit").await
    }

    /// Returns the route that a read of a session with this floor would take, or `None` if the host
    /// has no such database.
    ///
    /// # Errors
    ///
    /// Any [`OperatorError`].
    pub async fn explain(
        &self,
        database: &str,
        term: u64,
        position: u64,
    ) -> Result<Option<ReadRoute>, OperatorError> {
        let path = format!("/explain?database={database}&term={term}&position={position}");
        self.get(&path).await
    }

    /// Changes the configuration.
    ///
    /// # Errors
    ///
    /// [`OperatorError::Refused`] with the host's reason, or any other [`OperatorError`].
    pub async fn change(&self, change: &ChangeRequest) -> Result<Accepted, OperatorError> {
        let url = format!("{}/change", self.base);
        let request = self.http.post(url)?.json(change)?;
        self.send(request).await
    }

    async fn get<T>(&self, path: &str) -> Result<T, OperatorError>
    where
        T: DeserializeOwned,
    {
        let request = self.http.get(format!("{}{path}", self.base))?;
        self.send(request).await
    }

    async fn send<T>(&self, request: cyper::RequestBuilder) -> Result<T, OperatorError>
    where
        T: DeserializeOwned,
    {
        // A connection of its own: HTTP/1.1 matches answers to requests by their order alone, so on a
        // shared one an answer that comes twice may be taken for the next one.
        let request = request
            .header("authorization", format!("Bearer {}", self.key))?
            .header("connection", "close")?;
        let response = request.send().await?;
        let status = response.status().as_u16();
        let body = response.bytes().await?;
        match status {
            STATUS_OK => Ok(serde_json::from_slice(&body)?),
            STATUS_UNAUTHORIZED => Err(OperatorError::Unauthorized),
            STATUS_CONFLICT => {
                let error: ChangeError = serde_json::from_slice(&body)?;
                Err(error.into())
            }
            other => Err(OperatorError::Status(other)),
        }
    }
}
