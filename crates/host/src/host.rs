//! Starts a host and joins its parts.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    rc::Rc,
    time::{SystemTime, UNIX_EPOCH},
};

use compio::net::TcpListener;
use flume::Sender;
use goldcrest_decide::{
    configuration::ConfigFollower, fleet::Members, group::Group, session::Limits,
};
use goldcrest_endpoints::EndpointTarget;
use goldcrest_frontend::{ClientLimits, FrontendConfig, Signer};
use goldcrest_peers::PeerConnections;
use goldcrest_platform_client::Client;
use goldcrest_settings::{Database, Service, Settings};
use goldcrest_types::{EndpointIx, Name};
use spdlog::info;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    Clock, HostError, admit,
    controller::{Controller, HostOrder, Inputs, Phase},
    group::{self, Connect, GroupHandle, Parts},
    plan::group_plan,
};

/// Hosts that may hold connections to one endpoint at the same time.
const SHARERS: usize = 2;

/// Connections of a share that serve term checks.
const CHECK_CONNECTIONS: usize = 1;

/// Calls of peers and operators that may wait for the controller.
const CALLS_WAITING: usize = 256;

/// The handle of a running host. The host ends when it is dropped.
#[derive(Debug, Clone)]
pub struct Host {
    /// Its name.
    pub name: Name,
    orders: Sender<HostOrder>,
}

impl Host {
    /// Waits until the host knows which configuration is in force and lets callers in.
    pub async fn ready(&self) {
        let (reply, ready) = flume::bounded(1);
        if self.orders.send(HostOrder::Ready(reply)).is_ok() {
            // A host that is gone is never ready.
            let _ = ready.recv_async().await;
        }
    }

    /// Cuts the host off from all other hosts, or ends the cut.
    #[cfg(feature = "faults")]
    pub fn cut(&self, cut: bool) {
        // A host that is gone reaches nobody anyway.
        let _ = self.orders.send(HostOrder::Cut(cut));
    }

    /// Stops the host gracefully. Returns when no session is left, or the grace time is over.
    pub async fn stop(&self) {
        let (done, stopped) = flume::bounded(1);
        if self.orders.send(HostOrder::Stop(done)).is_ok() {
            // A host that is gone has stopped.
            let _ = stopped.recv_async().await;
        }
    }
}

/// Starts a host on this thread's runtime. The thread must be in a peers' timer.
///
/// # Errors
///
/// [`HostError`] when an address can't be listened at.
pub async fn start(settings: Rc<Settings>) -> Result<Host, HostError> {
    let clock = Clock::start();
    let platform = Client::new(settings.platform.address)?;
    let callers = listen(settings.host.callers).await?;
    let peers = listen(settings.host.peers).await?;
    let (peer_calls, called) = flume::bounded(CALLS_WAITING);
    compio::runtime::spawn(goldcrest_peers::serve(peers, peer_calls)).detach();
    let (operator_calls, operated) = flume::bounded(CALLS_WAITING);
    let (address, key) = (settings.host.health, settings.host.operators.clone());
    goldcrest_operators::serve(address, key, operator_calls)
        .await
        .map_err(|source| HostError::Listen { address, source })?;
    let groups = start_groups(&settings, clock, &platform);
    let front = goldcrest_frontend::start(callers, front(&settings, &groups, clock));
    let (outcomes, resulted) = flume::unbounded();
    let (orders, ordered) = flume::unbounded();
    let name = settings.host.name.clone();
    let controller = Controller {
        members: members(&settings),
        follower: ConfigFollower::new(seed(&settings)),
        peers: PeerConnections::default(),
        text: None,
        gossip: 0,
        joined: false,
        phase: Phase::Starting,
        awaited: Vec::new(),
        cut: false,
        clock,
        platform,
        front,
        groups,
        outcomes,
        settings: Rc::clone(&settings),
    };
    controller.rank_groups();
    let inputs = Inputs {
        orders: ordered,
        peers: called,
        operators: operated,
        outcomes: resulted,
    };
    compio::runtime::spawn(controller.run(inputs)).detach();
    info!("host {} serves callers at {}", name, settings.host.callers);
    Ok(Host { name, orders })
}

async fn listen(address: SocketAddr) -> Result<TcpListener, HostError> {
    let bound: io::Result<TcpListener> = TcpListener::bind(address).await;
    bound.map_err(|source| HostError::Listen { address, source })
}

fn members(settings: &Settings) -> Members {
    let host = &settings.host;
    // A host that starts again must speak up against news of its earlier life.
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let incarnation = since.map_or(1, |span| span.as_secs());
    Members::new(
        host.name.clone(),
        host.zone.clone(),
        host.peers,
        incarnation,
        seed(settings),
    )
}

fn seed(settings: &Settings) -> u64 {
    xxh3_64(settings.host.name.as_bytes())
}

fn start_groups(
    settings: &Settings,
    clock: Clock,
    platform: &Client,
) -> BTreeMap<Name, GroupHandle> {
    let mut groups = BTreeMap::new();
    for service in &settings.services {
        for database in &service.databases {
            let group = start_group(settings, service, database, clock, platform);
            groups.insert(database.name.clone(), group);
        }
    }
    groups
}

/// Starts the tasks of a database's group.
pub(crate) fn start_group(
    settings: &Settings,
    service: &Service,
    database: &Database,
    clock: Clock,
    platform: &Client,
) -> GroupHandle {
    let (sender, notices) = flume::unbounded();
    let connections = share(service.connections);
    let answer_bytes = settings.limits.answer_bytes;
    let account = settings.host.account.clone();
    let base = database.name.clone();
    let connect: Connect = Box::new(move |ix, name, address| {
        let target = EndpointTarget {
            ix,
            name,
            address,
            database: base.clone(),
            account: account.clone(),
            connections,
            answer_bytes,
        };
        goldcrest_endpoints::start(target, sender.clone())
    });
    let endpoints = database.endpoints.iter().enumerate().map(|(i, endpoint)| {
        let ix = EndpointIx(u16::try_from(i).unwrap_or(u16::MAX));
        connect(ix, endpoint.name.clone(), endpoint.address)
    });
    group::start(Parts {
        host: settings.host.name.clone(),
        clock,
        group: Group::new(group_plan(settings, service, database)),
        endpoints: endpoints.collect(),
        connect,
        notices,
        platform: platform.clone(),
    })
}

/// The connections for work that one host may hold.
fn share(connections: usize) -> usize {
    (connections / SHARERS)
        .saturating_sub(CHECK_CONNECTIONS)
        .max(1)
}

/// What the front needs, for the settings in force.
pub(crate) fn front(
    settings: &Rc<Settings>,
    groups: &BTreeMap<Name, GroupHandle>,
    clock: Clock,
) -> FrontendConfig {
    let configured = &settings.limits;
    let limits = ClientLimits {
        sessions: configured.sessions,
        message_bytes: configured.message_bytes,
        prepared: configured.prepared,
        idle_timeout: configured.idle(),
        request_limits: Limits {
            start: configured.start(),
            short: configured.short(),
            long: configured.long(),
        },
    };
    let (admits, guards) = (Rc::clone(settings), Rc::clone(settings));
    let groups = groups.clone();
    FrontendConfig {
        find_group: Rc::new(move |name| groups.get(name).map(|g| g.asks.clone())),
        admit: Rc::new(move |workspace, database, password| {
            admit::admit(&admits, workspace, database, password)
        }),
        needs_password: Rc::new(move |workspace| admit::guarded(&guards, workspace)),
        now: Rc::new(move || clock.now()),
        signer: Signer::new(settings.host.secret.clone()),
        limits,
    }
}
