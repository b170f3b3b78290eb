//! Database groups whose platform fences replaced primaries: the task of each group, the relay to
//! the hosts that own it, and the directory of all groups of a host.

mod decision_log;
mod directory;
mod durations;
mod group;
mod relay;
mod trace;

use std::{net::SocketAddr, rc::Rc};

use flume::{Receiver, Sender};
use goldcrest_clock::Clock;
use goldcrest_decide::fenced::{Assignment, Counts, MemberInfo};
use goldcrest_types::{
    ConnectionCommand, ConnectionId, ConnectionNotice, Name, SessionCommand, Statement,
    StoreNotice, SuccessionCommand,
};

pub use crate::{
    directory::{Configuration, Directory, FindError, Identity, Peer, Route, ServiceRules, Target},
    durations::{DurationKind, RecordDuration, RequestOutcome},
    group::start,
    relay::HostLink,
};

/// An endpoint that discovery lists, with its address.
#[derive(Debug, Clone)]
pub struct DiscoveredEndpoint {
    /// The part that decisions depend on.
    pub info: MemberInfo,
    /// Address that it listens on.
    pub address: SocketAddr,
}

/// Statistics of a group, for metrics.
#[derive(Debug, Clone)]
pub struct GroupStats {
    /// Name of the service.
    pub name: Name,
    /// Counters since the start.
    pub counts: Counts,
    /// Requests that wait for an endpoint.
    pub waiting: usize,
    /// Requests that were sent and have no answer yet.
    pub running: usize,
    /// Connections to all endpoints.
    pub connections: usize,
    /// The lowest limit of concurrent statements at an endpoint, if they are limited.
    pub lowest_limit: Option<u32>,
    /// Connections to the leader that are in use or waited for.
    pub need: f64,
    /// The age of the newest sample of the leader, in milliseconds. `None` without a sample.
    pub sample_age: Option<u128>,
}

/// A message from the host to a group's task.
#[derive(Debug)]
pub enum Control {
    /// The list of endpoints from discovery changed.
    Members(Vec<DiscoveredEndpoint>),
    /// This host's assignment changed.
    Assign(Assignment),
    /// Reply with the group's statistics.
    Stats(Sender<GroupStats>),
}

/// The handle of a group's task and of its relay. Both tasks end when all handles are dropped.
#[derive(Debug, Clone)]
pub struct Handle {
    /// Commands of sessions to this host's own group.
    pub commands: Sender<SessionCommand<Statement>>,
    /// Messages of the host to the group.
    pub control: Sender<Control>,
    /// Handle of the relay to the hosts that own the group.
    pub(crate) relay: relay::Handle,
}

impl Handle {
    /// Whether the task of the group or of its relay has ended.
    pub(crate) fn has_ended(&self) -> bool {
        self.control.is_disconnected() || self.relay.owners.is_disconnected()
    }
}

/// What the task of a connection to an endpoint needs.
#[derive(Debug)]
pub struct EndpointConnection {
    /// Identifies the connection.
    pub id: ConnectionId,
    /// Name of the service.
    pub service: Name,
    /// Name of the endpoint.
    pub endpoint: Name,
    /// The workspace whose statements run on the connection. Empty if it has none.
    pub workspace: Name,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Commands for the connection. It is closed when the sender is dropped.
    pub commands: Receiver<ConnectionCommand>,
    /// Where the task reports events.
    pub notices: Sender<(ConnectionId, ConnectionNotice)>,
}

/// What a group's task needs from its host.
pub struct Environment {
    /// The host's clock.
    pub clock: Clock,
    /// Name of the host.
    pub host: Name,
    /// Starts the task of a connection to an endpoint.
    pub connect: Box<dyn Fn(EndpointConnection)>,
    /// Sends a succession command for a service to the platform; the outcome goes to the given
    /// sender.
    pub succession: Box<dyn Fn(Name, SuccessionCommand, Sender<StoreNotice>)>,
    /// Starts the task of a connection to another host.
    pub connect_host: Rc<dyn Fn(HostLink)>,
    /// Records a duration of a service.
    pub record_duration: RecordDuration,
}
