//! Detects which hosts are live, by SWIM-style probes: first directly, then through other hosts.
//!
//! Each host pings one other host in each period, whatever the size of the fleet, and updates about
//! members are piggybacked on pings and their answers. The traffic of a host therefore does not grow
//! with the fleet.

mod members;
mod rendezvous;

use std::{net::SocketAddr, time::Duration};

use goldcrest_types::Name;
use smallvec::SmallVec;

pub use self::{members::Members, rendezvous::rank};

/// The time between two pings of a host.
pub const PING_PERIOD: Duration = Duration::from_secs(1);

/// The time between two pings in a small fleet, where each host is probed by few others.
pub const PING_PERIOD_SMALL: Duration = Duration::from_millis(500);

/// One in this many pings is accompanied by a ping to a host that counts as failed. After a network
/// partition, both sides consider each other failed and would not find each other otherwise.
pub const RETRY_FAILED_EVERY: u32 = 10;

/// A fleet in which a host knows fewer other hosts than this is small.
pub const SMALL_FLEET: usize = 16;

/// How long a direct ping may take before other hosts are requested to ping the target.
pub const PING_TIMEOUT: Duration = Duration::from_millis(200);

/// How long a whole probe may take, direct and indirect. Less than the shortest pause between two
/// pings.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(440);

/// How long a suspected host can refute the suspicion before it counts as failed.
pub const SUSPECT_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a host that has failed or left is remembered.
pub const FORGET_AFTER: Duration = Duration::from_mins(10);

/// The number of hosts that are requested to ping a host that does not answer.
pub const INDIRECT_PROBES: usize = 2;

/// The maximum number of member updates in one message.
pub const UPDATES_PER_MESSAGE: usize = 6;

/// The number of hosts that a change is sent to at once, in addition to the regular pings.
pub const ANNOUNCE_PEERS: usize = 3;

/// The health of a host. The order matters: at the same incarnation the worse overrides the better.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Health {
    /// It answers.
    Live,
    /// It did not answer, and can still refute the suspicion.
    Suspect,
    /// It is leaving or has left.
    Leaving,
    /// It did not refute the suspicion in time.
    Failed,
}

/// One host's information about a member, possibly about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberUpdate {
    /// The host.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// The address at which other hosts connect to it.
    pub address: SocketAddr,
    /// A counter that only the host itself raises, to refute wrong updates about it.
    pub incarnation: u64,
    /// Its health.
    pub health: Health,
}

/// The member updates of one message.
pub type MemberUpdates = Vec<MemberUpdate>;

/// An input to [`Members::step`].
#[derive(Debug, Clone)]
pub enum Event {
    /// The time returned by [`Members::wake`] has come.
    Tick,
    /// A message from another host carried updates.
    Updates(MemberUpdates),
    /// A host answered a ping, directly or through another host.
    Answered(Name),
    /// A host did not answer a direct ping in time.
    TimedOut(Name),
    /// The configuration changed, and some hosts are to be pinged at once to spread it.
    Announce,
}

/// An output of [`Members::step`] that the controller carries out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Ping a host.
    Ping(Name, SocketAddr),
    /// Request another host to ping the target (an indirect probe).
    RequestPing {
        /// The helper's address.
        helper: SocketAddr,
        /// The host to ping.
        target: Name,
        /// Its address.
        address: SocketAddr,
    },
    /// The health of a host changed.
    Changed,
}

/// The actions of one step.
pub type Actions = SmallVec<[Action; 4]>;
