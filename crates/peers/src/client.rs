//! Calls of peers.

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

/// How long a connection to a peer may take.
const CONNECT_LIMIT: Duration = Duration::from_millis(200);

/// How long a ping on behalf of another may take.
const HELP_LIMIT: Duration = Duration::from_millis(200);

/// Connections that are kept, for hosts ping another peer each time.
const KEPT_CONNECTIONS: usize = 16;

/// The connections to peers, for one thread.
#[derive(Debug, Clone, Default)]
pub struct PeerConnections {
    kept: HashMap<SocketAddr, PeerServiceClient>,
}

impl PeerConnections {
    /// A connection to a peer: a kept one, or a fresh one that is kept.
    ///
    /// # Errors
    ///
    /// [`PeerError`] when the peer can't be reached.
    pub async fn get_or_connect(&mut self, peer: SocketAddr) -> Result<Connection, PeerError> {
        if let Some(client) = self.kept.get(&peer) {
            return Ok(Connection(client.clone()));
        }
        let client = connect(peer).await?;
        self.keep(peer, &client);
        Ok(Connection(client))
    }

    /// Keeps a connection that was made elsewhere.
    pub fn insert(&mut self, peer: SocketAddr, connection: &Connection) {
        self.keep(peer, &connection.0);
    }

    /// The kept connection to a peer.
    #[must_use]
    pub fn get(&self, peer: SocketAddr) -> Option<Connection> {
        self.kept.get(&peer).cloned().map(Connection)
    }

    /// Drops the connection to a peer, after it failed.
    pub fn remove(&mut self, peer: SocketAddr) {
        self.kept.remove(&peer);
    }

    fn keep(&mut self, peer: SocketAddr, client: &PeerServiceClient) {
        if self.kept.len() >= KEPT_CONNECTIONS
            && let Some(old) = self.kept.keys().next().copied()
        {
            self.kept.remove(&old);
        }
        self.kept.insert(peer, client.clone());
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

    /// Pings the peer.
    ///
    /// # Errors
    ///
    /// [`PeerError`] when no answer comes in time.
    pub async fn ping(
        &self,
        greeting: GossipMessage,
        limit: Duration,
    ) -> Result<GossipMessage, PeerError> {
        let call = self.0.ping(deadline(limit), greeting);
        limited(limit, call).await?.ok_or(PeerError::Refused)
    }

    /// Asks the peer to ping another.
    ///
    /// # Errors
    ///
    /// [`PeerError`] when no answer comes in time.
    pub async fn ping_indirect(
        &self,
        target: SocketAddr,
        greeting: GossipMessage,
        limit: Duration,
    ) -> Result<GossipMessage, PeerError> {
        let call = self.0.ping_indirect(deadline(limit), target, greeting);
        limited(limit, call).await?.ok_or(PeerError::Refused)
    }

    /// Asks the peer for hosts.
    ///
    /// # Errors
    ///
    /// [`PeerError`] when no answer comes in time.
    pub async fn join(
        &self,
        greeting: GossipMessage,
        limit: Duration,
    ) -> Result<GossipMessage, PeerError> {
        let call = self.0.join(deadline(limit), greeting);
        limited(limit, call).await?.ok_or(PeerError::Refused)
    }

    /// Asks the peer for a document.
    ///
    /// # Errors
    ///
    /// [`PeerError`] when no answer comes in time.
    pub async fn document(&self, hash: Name, limit: Duration) -> Result<Option<String>, PeerError> {
        limited(limit, self.0.document(deadline(limit), hash)).await
    }
}

/// Pings a peer on behalf of another, on a connection for this once.
pub(crate) async fn ping_once(
    peer: SocketAddr,
    greeting: GossipMessage,
) -> Result<GossipMessage, PeerError> {
    let connection = Connection::open(peer).await?;
    connection.ping(greeting, HELP_LIMIT).await
}

async fn connect(peer: SocketAddr) -> Result<PeerServiceClient, PeerError> {
    let stream = timeout(CONNECT_LIMIT, TcpStream::connect(peer))
        .await
        .map_err(|_| PeerError::Timeout)??;
    stream.set_nodelay(true)?;
    let transport = serde_transport::new(framed(stream), Bincode::default());
    let mut config = Config::default();
    config.max_in_flight_requests = MAX_CALLS;
    let client = PeerServiceClient::new(config, transport);
    compio::runtime::spawn(async move {
        // The calls under way learn of the end themselves.
        let _ = client.dispatch.await;
    })
    .detach();
    Ok(client.client)
}

pub(crate) fn deadline(limit: Duration) -> Context {
    let mut context = tarpc::context::current();
    context.deadline = Instant::now() + limit;
    context
}

pub(crate) async fn limited<F, T>(limit: Duration, call: F) -> Result<T, PeerError>
where
    F: Future<Output = Result<T, tarpc::client::RpcError>>,
{
    let answer = timeout(limit, call).await;
    Ok(answer.map_err(|_| PeerError::Timeout)??)
}
