//! The membership service that a host offers to its peers.

use compio::{
    io::compat::AsyncStream,
    net::{TcpListener, TcpStream},
};
use flume::Sender;
use futures_util::StreamExt;
use goldcrest_types::Name;
use spdlog::{debug, warn};
use tarpc::{
    context::Context,
    serde_transport,
    server::{BaseChannel, Channel, Config},
    tokio_serde::formats::Bincode,
    tokio_util::codec::{Framed, LengthDelimitedCodec},
};
use tokio_util::compat::FuturesAsyncReadCompatExt;

use crate::{GossipMessage, MAX_CALLS, MAX_FRAME_BYTES, PeerRequest};

/// The calls between hosts for membership and configuration.
#[tarpc::service]
pub trait PeerService {
    /// Shows that this host is live, and exchanges membership updates.
    async fn ping(message: GossipMessage) -> Option<GossipMessage>;
    /// Pings another host on behalf of the calling one.
    async fn ping_indirect(
        target: std::net::SocketAddr,
        message: GossipMessage,
    ) -> Option<GossipMessage>;
    /// Returns some known members to a joining host.
    async fn join(message: GossipMessage) -> Option<GossipMessage>;
    /// Returns the configuration document with this hash, if this host has it.
    async fn document(hash: Name) -> Option<String>;
}

/// The server side of one peer's connection.
#[derive(Clone)]
struct Server {
    /// Sends requests to the host's controller task.
    requests: Sender<PeerRequest>,
}

impl Server {
    /// Sends a request to the host's controller task and waits for the reply.
    async fn request<F, T>(&self, build: F) -> Option<T>
    where
        F: FnOnce(Sender<T>) -> PeerRequest,
    {
        let (reply, answer) = flume::bounded(1);
        self.requests.send_async(build(reply)).await.ok()?;
        answer.recv_async().await.ok()
    }
}

impl PeerService for Server {
    async fn ping(self, _: Context, message: GossipMessage) -> Option<GossipMessage> {
        self.request(|reply| PeerRequest::Ping(message, reply))
            .await
    }

    async fn ping_indirect(
        self,
        _: Context,
        target: std::net::SocketAddr,
        message: GossipMessage,
    ) -> Option<GossipMessage> {
        crate::client::ping_once(target, message).await.ok()
    }

    async fn join(self, _: Context, message: GossipMessage) -> Option<GossipMessage> {
        self.request(|reply| PeerRequest::Join(message, reply))
            .await
    }

    async fn document(self, _: Context, hash: Name) -> Option<String> {
        self.request(|reply| PeerRequest::Document(hash, reply))
            .await?
    }
}

/// Serves peers until the receiver of `requests` is dropped.
pub async fn serve(listener: TcpListener, requests: Sender<PeerRequest>) {
    while !requests.is_disconnected() {
        match listener.accept().await {
            Ok((stream, _)) => {
                let server = Server {
                    requests: requests.clone(),
                };
                compio::runtime::spawn(serve_peer(stream, server)).detach();
            }
            Err(error) => warn!("accepting a peer connection failed: {}", error),
        }
    }
}

async fn serve_peer(stream: TcpStream, server: Server) {
    if let Err(error) = stream.set_nodelay(true) {
        debug!("setting up a peer's socket failed: {}", error);
        return;
    }
    let transport = serde_transport::new(framed(stream), Bincode::default());
    let config = Config {
        pending_response_buffer: MAX_CALLS,
    };
    let channel = BaseChannel::new(config, transport);
    let calls = channel.execute(server.serve());
    calls
        .for_each(|call| async move { compio::runtime::spawn(call).detach() })
        .await;
}

/// Wraps a socket in a length-delimited codec with a maximum frame length.
pub(crate) fn framed(
    stream: TcpStream,
) -> Framed<tokio_util::compat::Compat<AsyncStream<TcpStream>>, LengthDelimitedCodec> {
    let mut codec = LengthDelimitedCodec::new();
    codec.set_max_frame_length(MAX_FRAME_BYTES);
    Framed::new(AsyncStream::new(stream).compat(), codec)
}
