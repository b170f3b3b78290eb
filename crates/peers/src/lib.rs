//! RPC between hosts, with `tarpc` over compio's sockets.
//!
//! Gossip messages carry the version of the protocol, because two builds run side by side during a
//! rolling restart. Receivers do not evaluate it.

mod client;
mod error;
pub mod relay;
mod service;
mod timer;

use std::net::SocketAddr;

use flume::Sender;
use goldcrest_types::Name;
use serde::{Deserialize, Serialize};

pub use crate::{
    client::{Connection, PeerConnections},
    error::PeerError,
    service::serve,
    timer::Timer,
};

/// The version of the protocol between hosts, which each gossip message carries.
pub const PROTOCOL_VERSION: u16 = 1;

/// The largest message between hosts, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// The largest number of concurrent calls of one peer.
pub const MAX_CALLS: usize = 64;

/// The health of a member, as it is encoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum WireHealth {
    /// It answers pings.
    Live,
    /// It did not answer a ping, and is declared failed unless it refutes this.
    Suspect,
    /// It is leaving or has left.
    Leaving,
    /// It has failed: it neither answered nor refuted the suspicion in time.
    Failed,
}

/// A membership update about one host, as it is encoded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireMemberUpdate {
    /// The host's name.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// The address that its peers connect to.
    pub address: SocketAddr,
    /// Its incarnation number, which it raises to refute a suspicion.
    pub incarnation: u64,
    /// Its health.
    pub health: WireHealth,
}

/// The identity of the configuration in force, as it is encoded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireHead {
    /// The revision number.
    pub revision: u64,
    /// The hash of the configuration document.
    pub hash: Name,
    /// The name of the selected preset.
    pub preset: Name,
    /// The id of the change that made this revision.
    pub change: u64,
}

/// The contents of a ping or join request, and of the answer to either.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// The sender's protocol version.
    pub version: u16,
    /// Membership updates; the first is about the sender itself.
    pub updates: Vec<WireMemberUpdate>,
    /// Whether the sender knows which configuration is in force.
    pub serving: bool,
    /// The configuration that is in force at the sender, or `None` before the first change.
    pub head: Option<WireHead>,
}

/// A request of a peer to this host, with the channel for the reply.
#[derive(Debug)]
pub enum PeerRequest {
    /// A ping.
    Ping(GossipMessage, Sender<GossipMessage>),
    /// A joining host requests known members.
    Join(GossipMessage, Sender<GossipMessage>),
    /// A peer requests a configuration document by its hash.
    Document(Name, Sender<Option<String>>),
}
