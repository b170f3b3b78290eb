//! Calls to peers, and the connections that they use.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use compio::{net::TcpStream, time::timeout};
use goldcrest_types::Name;
use tarpc::{client::Config, context::Context, serde_transport, tokio_serde::formats::Bincode};

use crate::{
    GossipMessage, MAX_CALLS, PeerError,
    service::{PeerServiceClient, framed},
};

/// How long connecting to a peer may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// How long a ping on behalf of another host may take.
const INDIRECT_PING_TIMEOUT: Duration = Duration::from_millis(200);

/// The largest number of cached connections. A host pings a different peer each time, so caching
/// more of them gains little.
const MAX_CACHED_CONNECTIONS: usize = 16;

/// A cache of connections to peers, for one thread.
#[derive(Debug, Clone, Default)]
pub struct PeerConnections {
    /// The RPC clients, by the peer's address.
    clients: HashMap<SocketAddr, PeerServiceClient>,
}

impl PeerConnections {
    /// Returns the cached connection to a peer, or opens and caches one.
    ///
    /// # Errors
    ///
    /// [`PeerError`] when the peer can't be reached.
    pub async fn get_or_connect(&mut self, peer: SocketAddr) -> Result<Connection, PeerError> {
        if let Some(client) = self.clients.get(&peer) {
            return Ok(Connection(client.clone()));
        }
        let client = connect(peer).await?;
        self.insert_client(peer, &client);
        Ok(Connection(client))
    }

    /// Caches a connection that was opened elsewhere.
    pub fn insert(&mut self, peer: SocketAddr, connection: &Connection) {
        self.insert_client(peer, &connection.0);
    }

    /// Returns the cached connection to a peer.
    #[must_use]
    pub fn get(&self, peer: SocketAddr) -> Option<Connection> {
        self.clients.get(&peer).cloned().map(Connection)
    }

    /// Removes the connection to a peer, after it failed.
    pub fn remove(&mut self, peer: SocketAddr) {
        self.clients.remove(&peer);
    }

    fn insert_client(&mut self, peer: SocketAddr, client: &PeerServiceClient) {
        if self.clients.len() >= MAX_CACHED_CONNECTIONS
            && let Some(old) = self.clients.keys().next().copied()
        {
            self.clients.remove(&old);
        }
        self.clients.insert(peer, client.clone());
    }
}

/// A connection to a peer.
#[derive(Debug, Clone)]
pub struct Connection(PeerServiceClient);

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// [`PeerError`] when the peer can't be reached.
    pub async fn open(peer: SocketAddr) -> Result<Self, PeerError> {
        connect(peer).await.map(Self)
    }

    /// Pings the peer, and exchanges membership updates.
    ///
    /// # Errors
    ///
    /// [`PeerError`] when no answer comes in time.
    pub async fn ping(
        &self,
        message: GossipMessage,
        limit: Duration,
    ) -> Result<GossipMessage, PeerError> {
        let call = self.0.ping(call_context(limit), message);
        with_timeout(limit, call).await?.ok_or(PeerError::Refused)
    }

    /// Has the peer ping another host.
    ///
    /// # Errors
    ///
    /// [`PeerError`] when no answer comes in time.
    pub async fn ping_indirect(
        &self,
        target: SocketAddr,
        message: GossipMessage,
        limit: Duration,
    ) -> Result<GossipMessage, PeerError> {
        let call = self.0.ping_indirect(call_context(limit), target, message);
        with_timeout(limit, call).await?.ok_or(PeerError::Refused)
    }

    /// Requests known members from the peer.
    ///
    /// # Errors
    ///
    /// [`PeerError`] when no answer comes in time.
    pub async fn join(
        &self,
        message: GossipMessage,
        limit: Duration,
    ) -> Result<GossipMessage, PeerError> {
        let call = self.0.join(call_context(limit), message);
        with_timeout(limit, call).await?.ok_or(PeerError::Refused)
    }

    /// Requests a configuration document by its hash. Returns `None` if the peer does not have it.
    ///
    /// # Errors
    ///
    /// [`PeerError`] when no answer comes in time.
    pub async fn document(&self, hash: Name, limit: Duration) -> Result<Option<String>, PeerError> {
        with_timeout(limit, self.0.document(call_context(limit), hash)).await
    }
}

/// Pings a peer on behalf of another host, on a connection that is not cached.
pub(crate) async fn ping_once(
    peer: SocketAddr,
    message: GossipMessage,
) -> Result<GossipMessage, PeerError> {
    let connection = Connection::open(peer).await?;
    connection.ping(message, INDIRECT_PING_TIMEOUT).await
}

async fn connect(peer: SocketAddr) -> Result<PeerServiceClient, PeerError> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(peer))
        .await
        .map_err(|_| PeerError::Timeout)??;
    stream.set_nodelay(true)?;
    let transport = serde_transport::new(framed(stream), Bincode::default());
    let mut config = Config::default();
    config.max_in_flight_requests = MAX_CALLS;
    let channel = PeerServiceClient::new(config, transport);
    compio::runtime::spawn(async move {
        // Calls in progress return an error of their own when the connection ends.
        let _ = channel.dispatch.await;
    })
    .detach();
    Ok(channel.client)
}

/// Builds the context of a call that must be answered within `limit`.
pub(crate) fn call_context(limit: Duration) -> Context {
    let mut context = tarpc::context::current();
    context.deadline = Instant::now() + limit;
    context
}

/// Waits for the answer to a call for at most `limit`.
pub(crate) async fn with_timeout<F, T>(limit: Duration, call: F) -> Result<T, PeerError>
where
    F: Future<Output = Result<T, tarpc::client::RpcError>>,
{
    let answer = timeout(limit, call).await;
    Ok(answer.map_err(|_| PeerError::Timeout)??)
}
