//! The service between hosts, on `tarpc` over compio's sockets.
//!
//! Messages carry a version, so that a rolling restart may mix two builds: a host ignores fields
//! that it does not know and refuses what it can't do.

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

/// The version of the messages between hosts.
pub const PROTOCOL_VERSION: u16 = 1;

/// The largest message between hosts, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// Calls of one peer that may be under way at once.
pub const MAX_CALLS: usize = 64;

/// The health of a host, in messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum WireHealth {
    /// It answers.
    Live,
    /// It did not answer.
    Suspect,
    /// It leaves.
    Leaving,
    /// It is gone.
    Failed,
}

/// News of a host, in messages.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireMemberUpdate {
    /// The host.
    pub name: Name,
    /// Where it stands.
    pub zone: Name,
    /// Where its peers connect.
    pub address: SocketAddr,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its health.
    pub health: WireHealth,
}

/// The head of the configuration in force, in messages.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireHead {
    /// The revision.
    pub revision: u64,
    /// The document's hash.
    pub hash: Name,
    /// The preset's name.
    pub preset: Name,
    /// The change's id.
    pub change: u64,
}

/// A ping, or the answer to one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// The version of the sender's messages.
    pub version: u16,
    /// News of hosts, the sender's own first.
    pub updates: Vec<WireMemberUpdate>,
    /// Whether the sender knows which configuration is in force.
    pub serving: bool,
    /// The configuration that the sender has in force; none before the first change.
    pub head: Option<WireHead>,
}

/// A call that a peer makes of this host.
#[derive(Debug)]
pub enum PeerRequest {
    /// A ping.
    Ping(GossipMessage, Sender<GossipMessage>),
    /// A newcomer asks for hosts.
    Join(GossipMessage, Sender<GossipMessage>),
    /// A peer asks for a document by its hash.
    Document(Name, Sender<Option<String>>),
}
