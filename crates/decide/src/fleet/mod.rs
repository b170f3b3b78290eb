//! Which hosts are live: heartbeats with a few peers, directly and then through others.
//!
//! Each host pings one other host in each period, whatever the size of the fleet, and news of
//! members rides on pings and their answers. So the cost of a host does not grow with the fleet.

mod members;
mod rendezvous;

use std::{net::SocketAddr, time::Duration};

use goldcrest_types::Name;
use smallvec::SmallVec;

pub use self::{members::Members, rendezvous::rank};

/// The time between two pings of a host.
pub const PING_PERIOD: Duration = Duration::from_secs(1);

/// The time between two pings in a small fleet, where few hosts look at each other.
pub const PING_PERIOD_SMALL: Duration = Duration::from_millis(500);

/// Pings between two tries to reach a host that counts as gone: after a cut, both sides hold each
/// other for gone.
pub const RETRY_FAILED_EVERY: u32 = 10;

/// Hosts of a small fleet.
pub const SMALL_FLEET: usize = 16;

/// How long a ping may take before others are asked to try.
pub const PING_TIMEOUT: Duration = Duration::from_millis(200);

/// How long the whole probe of a peer may take: less than the shortest pause between two pings.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(440);

/// How long a suspect may speak up before it counts as gone.
pub const SUSPECT_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a host that is gone or has left is remembered.
pub const FORGET_AFTER: Duration = Duration::from_mins(10);

/// Peers that are asked to try a host that does not answer.
pub const INDIRECT_PROBES: usize = 2;

/// Member updates that one message carries.
pub const UPDATES_PER_MESSAGE: usize = 6;

/// Peers that are told of a change at once, beside the regular pings.
pub const ANNOUNCE_PEERS: usize = 3;

/// What is known of a host, from best to worst.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Health {
    /// It answers.
    Live,
    /// It did not answer, and may still speak up.
    Suspect,
    /// It is leaving or has left.
    Leaving,
    /// It is gone.
    Failed,
}

/// What one host says of another, or of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberUpdate {
    /// The host.
    pub name: Name,
    /// Where it stands.
    pub zone: Name,
    /// Where its peers connect.
    pub address: SocketAddr,
    /// The number that only the host itself raises, to contradict others.
    pub incarnation: u64,
    /// Its health.
    pub health: Health,
}

/// The member updates of one message.
pub type MemberUpdates = Vec<MemberUpdate>;

/// Something that happened.
#[derive(Debug, Clone)]
pub enum Event {
    /// The clock moved.
    Tick,
    /// A message of a peer brought news.
    Updates(MemberUpdates),
    /// A peer answered, directly or through another.
    Answered(Name),
    /// A peer did not answer a direct ping.
    TimedOut(Name),
    /// The configuration changed: peers are told at once.
    Announce,
}

/// Something to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Ping a peer.
    Ping(Name, SocketAddr),
    /// Ask a peer to ping another.
    RequestPing {
        /// The helper's address.
        helper: SocketAddr,
        /// The host to ping.
        target: Name,
        /// Its address.
        address: SocketAddr,
    },
    /// The live hosts changed.
    Changed,
}

/// The actions of one step.
pub type Actions = SmallVec<[Action; 4]>;
