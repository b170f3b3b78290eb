//! Starts a host and connects its parts.

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
use goldcrest_stream::budget::HostBudget;
use goldcrest_types::{EndpointIx, Name};
use spdlog::info;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    Clock, HostError, admit,
    controller::{Controller, HostCommand, Inputs, Phase},
    group::{self, Connect, GroupHandle, Parts},
    plan::group_plan,
};

/// The number of hosts that may hold connections to one endpoint at the same time. Each gets an
/// equal share of the endpoint's connections.
const HOSTS_PER_ENDPOINT: usize = 2;

/// Connections of a host's share that are reserved for term checks.
const CHECK_CONNECTIONS: usize = 1;

/// The capacity, in requests, of each queue to the controller: one for peers and one for operators.
const REQUEST_QUEUE: usize = 256;

/// The handle of a running host. The host stops when all clones of it are dropped.
#[derive(Debug, Clone)]
pub struct Host {
    /// The host's name.
    pub name: Name,
    commands: Sender<HostCommand>,
}

impl Host {
    /// Waits until the host knows which configuration is in force and accepts clients.
    pub async fn ready(&self) {
        let (reply, ready) = flume::bounded(1);
        if self.commands.send(HostCommand::Ready(reply)).is_ok() {
            // A host that has stopped never becomes ready.
            let _ = ready.recv_async().await;
        }
    }

    /// Cuts the host off from all other hosts, or reconnects it if `cut` is false.
    #[cfg(feature = "faults")]
    pub fn cut(&self, cut: bool) {
        // A host that has stopped reaches no other host anyway.
        let _ = self.commands.send(HostCommand::Cut(cut));
    }

    /// Stops the host gracefully. Returns when no session is left, or the grace time is over.
    pub async fn stop(&self) {
        let (done, stopped) = flume::bounded(1);
        if self.commands.send(HostCommand::Stop(done)).is_ok() {
            // A host that does not reply has already stopped.
            let _ = stopped.recv_async().await;
        }
    }
}

/// Starts a host on this thread's runtime. The thread must have entered a [`Timer`](crate::Timer).
///
/// # Errors
///
/// [`HostError`] when an address can't be bound, or the client of the platform can't be set up.
pub async fn start(settings: Rc<Settings>) -> Result<Host, HostError> {
    let clock = Clock::start();
    let platform = Client::new(settings.platform.address)?;
    let client_listener = listen(settings.host.callers).await?;
    let peer_listener = listen(settings.host.peers).await?;
    let (peer_requests, peer_request_rx) = flume::bounded(REQUEST_QUEUE);
    compio::runtime::spawn(goldcrest_peers::serve(peer_listener, peer_requests)).detach();
    let (operator_requests, operator_request_rx) = flume::bounded(REQUEST_QUEUE);
    let (address, key) = (settings.host.health, settings.host.operator_key.clone());
    goldcrest_operators::serve(address, key, operator_requests)
        .await
        .map_err(|source| HostError::Listen { address, source })?;
    let groups = start_groups(&settings, clock, &platform);
    let limits = &settings.limits;
    let budget = HostBudget::start(clock, limits.memory(), limits.descriptors());
    let config = frontend_config(&settings, &groups, clock);
    let frontend = goldcrest_frontend::start(client_listener, config, budget);
    let (outcomes, outcome_rx) = flume::unbounded();
    let (commands, command_rx) = flume::unbounded();
    let name = settings.host.name.clone();
    let controller = Controller {
        members: members(&settings),
        follower: ConfigFollower::new(random_seed(&settings)),
        peers: PeerConnections::default(),
        declaration: None,
        gossip_bytes: 0,
        joined: false,
        phase: Phase::Starting,
        ready_waiters: Vec::new(),
        cut: false,
        clock,
        platform,
        frontend,
        groups,
        outcomes,
        settings: Rc::clone(&settings),
    };
    controller.rank_groups();
    let inputs = Inputs {
        commands: command_rx,
        peer_requests: peer_request_rx,
        operator_requests: operator_request_rx,
        outcomes: outcome_rx,
    };
    compio::runtime::spawn(controller.run(inputs)).detach();
    info!("host {} accepts clients at {}", name, settings.host.callers);
    Ok(Host { name, commands })
}

async fn listen(address: SocketAddr) -> Result<TcpListener, HostError> {
    let bound: io::Result<TcpListener> = TcpListener::bind(address).await;
    bound.map_err(|source| HostError::Listen { address, source })
}

fn members(settings: &Settings) -> Members {
    let host = &settings.host;
    // A restarted host needs a higher incarnation than before, so that its updates override those
    // about its earlier run.
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    let incarnation = elapsed.map_or(1, |duration| duration.as_secs());
    Members::new(
        host.name.clone(),
        host.zone.clone(),
        host.peers,
        incarnation,
        random_seed(settings),
    )
}

/// Returns the seed of the host's random numbers, which depends only on its name.
fn random_seed(settings: &Settings) -> u64 {
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
    let (notice_tx, notices) = flume::unbounded();
    let connections = connection_share(service.connections);
    let answer_bytes = settings.limits.answer_bytes;
    let account = settings.host.account.clone();
    let database_name = database.name.clone();
    let connect: Connect = Box::new(move |ix, name, address| {
        let target = EndpointTarget {
            ix,
            name,
            address,
            database: database_name.clone(),
            account: account.clone(),
            connections,
            answer_bytes,
        };
        goldcrest_endpoints::start(target, notice_tx.clone())
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

/// Returns how many connections to an endpoint one host may use for requests.
fn connection_share(connections: usize) -> usize {
    (connections / HOSTS_PER_ENDPOINT)
        .saturating_sub(CHECK_CONNECTIONS)
        .max(1)
}

/// Builds the configuration of the front end from the settings in force.
pub(crate) fn frontend_config(
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
    let (admit_settings, password_settings) = (Rc::clone(settings), Rc::clone(settings));
    let groups = groups.clone();
    FrontendConfig {
        find_group: Rc::new(move |name| groups.get(name).map(|g| g.commands.clone())),
        admit: Rc::new(move |workspace, database, password| {
            admit::admit(&admit_settings, workspace, database, password)
        }),
        needs_password: Rc::new(move |workspace| {
            admit::needs_password(&password_settings, workspace)
        }),
        now: Rc::new(move || clock.now()),
        signer: Signer::new(settings.host.secret.clone()),
        limits,
    }
}
