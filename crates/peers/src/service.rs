//! The service that a host offers to its peers.

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

/// What hosts ask of each other.
#[tarpc::service]
pub trait PeerService {
    /// Shows that this host lives, and exchanges news.
    async fn ping(greeting: GossipMessage) -> Option<GossipMessage>;
    /// Pings another host on behalf of the caller.
    async fn ping_indirect(
        target: std::net::SocketAddr,
        greeting: GossipMessage,
    ) -> Option<GossipMessage>;
    /// Introduces a newcomer to some hosts.
    async fn join(greeting: GossipMessage) -> Option<GossipMessage>;
    /// Gives a configuration document by its hash.
    async fn document(hash: Name) -> Option<String>;
}

#[derive(Clone)]
struct Server {
    calls: Sender<PeerRequest>,
}

impl Server {
    /// Hands a call to the host's task and waits for its answer.
    async fn ask<F, T>(&self, make: F) -> Option<T>
    where
        F: FnOnce(Sender<T>) -> PeerRequest,
    {
        let (reply, answer) = flume::bounded(1);
        self.calls.send_async(make(reply)).await.ok()?;
        answer.recv_async().await.ok()
    }
}

impl PeerService for Server {
    async fn ping(self, _: Context, greeting: GossipMessage) -> Option<GossipMessage> {
        self.ask(|reply| PeerRequest::Ping(greeting, reply)).await
    }

    async fn ping_indirect(
        self,
        _: Context,
        target: std::net::SocketAddr,
        greeting: GossipMessage,
    ) -> Option<GossipMessage> {
        crate::client::ping_once(target, greeting).await.ok()
    }

    async fn join(self, _: Context, greeting: GossipMessage) -> Option<GossipMessage> {
        self.ask(|reply| PeerRequest::Join(greeting, reply)).await
    }

    async fn document(self, _: Context, hash: Name) -> Option<String> {
        self.ask(|reply| PeerRequest::Document(hash, reply)).await?
    }
}

/// Serves peers until the calls' receiver is gone.
pub async fn serve(listener: TcpListener, calls: Sender<PeerRequest>) {
    while !calls.is_disconnected() {
        match listener.accept().await {
            Ok((stream, _)) => {
                let server = Server {
                    calls: calls.clone(),
                };
                compio::runtime::spawn(serve_peer(stream, server)).detach();
            }
            Err(error) => warn!("accepting a peer failed: {}", error),
        }
    }
}

async fn serve_peer(stream: TcpStream, server: Server) {
    if let Err(error) = stream.set_nodelay(true) {
        debug!("a peer's socket failed: {}", error);
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

/// A framed socket whose messages are bounded.
pub(crate) fn framed(
    stream: TcpStream,
) -> Framed<tokio_util::compat::Compat<AsyncStream<TcpStream>>, LengthDelimitedCodec> {
    let mut codec = LengthDelimitedCodec::new();
    codec.set_max_frame_length(MAX_FRAME_BYTES);
    Framed::new(AsyncStream::new(stream).compat(), codec)
}
