//! Calls to the platform over HTTP.

use std::{net::SocketAddr, time::Duration};

use compio::time::timeout;
use cyper::RequestBuilder;
use goldcrest_types::Name;
use serde::de::DeserializeOwned;

use crate::{Conflict, HostEntry, PlatformError, Row, Transaction, Written};

/// The timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

const STATUS_OK: u16 = 200;
const STATUS_NOT_FOUND: u16 = 404;
const STATUS_CONFLICT: u16 = 409;

/// A client of the platform, for one thread.
#[derive(Debug, Clone)]
pub struct Client {
    http: cyper::Client,
    /// The start of each URL: scheme and address.
    base: Name,
}

impl Client {
    /// Creates a client of the platform at `address`.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Unreachable`] when the HTTP client can't be set up.
    pub fn new(address: SocketAddr) -> Result<Self, PlatformError> {
        Ok(Self {
            http: cyper::Client::new()?,
            base: Name::from(format!("http://{address}")),
        })
    }

    /// Reads a row. Returns `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`] except a conflict.
    pub async fn row(&self, table: &str, key: &str) -> Result<Option<Row>, PlatformError> {
        self.get(&format!("/rows/{table}/{key}")).await
    }

    /// Lists the rows of a table, ordered by key.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`] except a conflict.
    pub async fn rows(&self, table: &str) -> Result<Vec<Row>, PlatformError> {
        let rows = self.get(&format!("/rows/{table}")).await?;
        Ok(rows.unwrap_or_default())
    }

    /// Writes several rows, all or none.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Conflict`] when a row has another version than expected and nothing was
    /// written, or any other [`PlatformError`].
    pub async fn transact(&self, transaction: &Transaction) -> Result<Written, PlatformError> {
        let call = async {
            let url = format!("{}/transactions", self.base);
            let request = self.http.post(url)?.json(transaction)?;
            send(request).await
        };
        let (status, body) = with_timeout(call).await?;
        match status {
            STATUS_OK => Ok(serde_json::from_slice(&body)?),
            STATUS_CONFLICT => {
                let Conflict { key, version } = serde_json::from_slice(&body)?;
                Err(PlatformError::Conflict { key, version })
            }
            other => Err(PlatformError::Status(other)),
        }
    }

    /// Stores an object under its name.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`] except a conflict.
    pub async fn put_object(&self, name: &str, bytes: Vec<u8>) -> Result<(), PlatformError> {
        self.put(&format!("/objects/{name}"), bytes).await
    }

    /// Reads an object. Returns `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`] except a conflict.
    pub async fn object(&self, name: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        let (status, body) = self.fetch(&format!("/objects/{name}")).await?;
        match status {
            STATUS_OK => Ok(Some(body)),
            STATUS_NOT_FOUND => Ok(None),
            other => Err(PlatformError::Status(other)),
        }
    }

    /// Lists the hosts that the platform knows. The list may be out of date.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`] except a conflict.
    pub async fn hosts(&self) -> Result<Vec<HostEntry>, PlatformError> {
        let hosts = self.get("/hosts").await?;
        Ok(hosts.unwrap_or_default())
    }

    /// Adds or updates a host in the platform's list.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`] except a conflict.
    pub async fn announce(&self, entry: &HostEntry) -> Result<(), PlatformError> {
        let body = serde_json::to_vec(entry)?;
        self.put(&format!("/hosts/{}", entry.name), body).await
    }

    async fn put(&self, path: &str, body: Vec<u8>) -> Result<(), PlatformError> {
        let call = async {
            let url = format!("{}{path}", self.base);
            send(self.http.put(url)?.body(body)).await
        };
        match with_timeout(call).await?.0 {
            STATUS_OK => Ok(()),
            other => Err(PlatformError::Status(other)),
        }
    }

    async fn get<T>(&self, path: &str) -> Result<Option<T>, PlatformError>
    where
        T: DeserializeOwned,
    {
        let (status, body) = self.fetch(path).await?;
        match status {
            STATUS_OK => Ok(Some(serde_json::from_slice(&body)?)),
            STATUS_NOT_FOUND => Ok(None),
            other => Err(PlatformError::Status(other)),
        }
    }

    async fn fetch(&self, path: &str) -> Result<(u16, Vec<u8>), PlatformError> {
        let call = async {
            let url = format!("{}{path}", self.base);
            send(self.http.get(url)?).await
        };
        with_timeout(call).await
    }
}

/// Sends a request on a connection of its own. HTTP/1.1 matches answers to requests by their order
/// alone, so on a shared connection an answer that comes twice may be taken for the next one.
async fn send(request: RequestBuilder) -> Result<(u16, Vec<u8>), PlatformError> {
    let request = request.header("connection", "close")?;
    let response = request.send().await?;
    let status = response.status().as_u16();
    let body = response.bytes().await?;
    Ok((status, body.to_vec()))
}

async fn with_timeout<F, T>(call: F) -> Result<T, PlatformError>
where
    F: Future<Output = Result<T, PlatformError>>,
{
    timeout(CALL_TIMEOUT, call)
        .await
        .map_err(|_| PlatformError::Timeout)?
}
