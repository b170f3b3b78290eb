//! The client side, for the command line.

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

/// A client of one host's interface for operators.
#[derive(Debug, Clone)]
pub struct Client {
    http: cyper::Client,
    base: String,
    key: Name,
}

impl Client {
    /// A client of the host whose operators' address is given.
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

    /// The host's account of itself.
    ///
    /// # Errors
    ///
    /// Any [`OperatorError`].
    pub async fn status(&self) -> Result<HostStatus, OperatorError> {
        self.get("/status").await
    }

    /// The declaration in force.
    ///
    /// # Errors
    ///
    /// Any [`OperatorError`].
    pub async fn declaration(&self) -> Result<ActiveDeclaration, OperatorError> {
        self.get("/fleet").await
    }

    /// The changes so far, newest last.
    ///
    /// # Errors
    ///
    /// Any [`OperatorError`].
    pub async fn audit(&self) -> Result<Vec<AuditEntry>, OperatorError> {
        self.get("/audit").await
    }

    /// Where a read of a session with this floor would go.
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
    /// [`OperatorError::Refused`] when it was not changed, or any other [`OperatorError`].
    pub async fn change(&self, request: &ChangeRequest) -> Result<Accepted, OperatorError> {
        let url = format!("{}/change", self.base);
        let call = self.http.post(url)?.json(request)?;
        self.send(call).await
    }

    async fn get<T>(&self, path: &str) -> Result<T, OperatorError>
    where
        T: DeserializeOwned,
    {
        let call = self.http.get(format!("{}{path}", self.base))?;
        self.send(call).await
    }

    async fn send<T>(&self, call: cyper::RequestBuilder) -> Result<T, OperatorError>
    where
        T: DeserializeOwned,
    {
        let call = call.header("authorization", format!("Bearer {}", self.key))?;
        let response = call.send().await?;
        let status = response.status().as_u16();
        let body = response.bytes().await?;
        match status {
            STATUS_OK => Ok(serde_json::from_slice(&body)?),
            STATUS_UNAUTHORIZED => Err(OperatorError::Unauthorized),
            STATUS_CONFLICT => {
                let refused: ChangeError = serde_json::from_slice(&body)?;
                Err(refused.into())
            }
            other => Err(OperatorError::Status(other)),
        }
    }
}
