//! Database groups whose platform fences replaced primaries: the task of each group, the relay to
//! the hosts that own it, and the directory of all groups of a host.

mod decisions;
mod directory;
mod group;
mod measure;
mod relay;
mod trace;

use std::{net::SocketAddr, rc::Rc};

use flume::{Receiver, Sender};
use goldcrest_clock::Clock;
use goldcrest_decide::fenced::{Counts, Holding, MemberInfo};
use goldcrest_types::{
    ConnectionCommand, ConnectionId, ConnectionNotice, Name, SessionCommand, Statement,
    StoreNotice, SuccessionCommand,
};

pub use crate::{
    directory::{Configuration, Directory, Identity, Peer, Route, Target},
    group::start,
    measure::{DurationKind, RecordDuration, RequestOutcome},
    relay::HostLink,
};

/// An endpoint with its address.
#[derive(Debug, Clone)]
pub struct DiscoveredEndpoint {
    /// What decisions look at.
    pub info: MemberInfo,
    /// Where it listens.
    pub address: SocketAddr,
}

/// A group's account of itself, for metrics.
#[derive(Debug, Clone)]
pub struct GroupStats {
    /// The service.
    pub name: Name,
    /// What it did so far.
    pub counts: Counts,
    /// Requests that wait.
    pub waiting: usize,
    /// Requests under way.
    pub running: usize,
    /// Connections, to all endpoints.
    pub connections: usize,
    /// Connections to the leader that are in use or wanted.
    pub need: f64,
    /// The age of the newest sample of the leader, in milliseconds.
    pub sample_age: Option<u128>,
}

/// A message to a group's task from its host.
#[derive(Debug)]
pub enum Control {
    /// The endpoints that discovery lists now.
    Members(Vec<DiscoveredEndpoint>),
    /// This host's part in the group has changed.
    Hold(Holding),
    /// Reply with the group's account.
    Stats(Sender<GroupStats>),
}

/// The handle of a group's task and of its relay. They end when all handles are gone.
#[derive(Debug, Clone)]
pub struct Handle {
    /// Where sessions ask this host's own group.
    pub asks: Sender<SessionCommand<Statement>>,
    /// Where the host speaks.
    pub control: Sender<Control>,
    /// Where sessions ask the hosts that own the group.
    pub(crate) relay: relay::Handle,
}

/// What the task of a connection needs.
#[derive(Debug)]
pub struct EndpointConnection {
    /// The connection.
    pub id: ConnectionId,
    /// The service.
    pub service: Name,
    /// The endpoint.
    pub endpoint: Name,
    /// Its address.
    pub address: SocketAddr,
    /// What to do. The connection is closed when the sender is gone.
    pub commands: Receiver<ConnectionCommand>,
    /// Where to tell what happens.
    pub notices: Sender<(ConnectionId, ConnectionNotice)>,
}

/// What a group's task borrows from its environment.
pub struct Environment {
    /// The host's clock.
    pub clock: Clock,
    /// Starts the task of a connection.
    pub connect: Box<dyn Fn(EndpointConnection)>,
    /// Speaks with the platform about this service, and tells what came of it.
    pub succession: Box<dyn Fn(Name, SuccessionCommand, Sender<StoreNotice>)>,
    /// Starts the task of a connection to another host.
    pub connect_host: Rc<dyn Fn(HostLink)>,
    /// Counts a span of a service.
    pub record_duration: RecordDuration,
}
