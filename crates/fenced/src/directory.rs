//! The configuration in force and the groups that it names.

use std::{collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use flume::Sender;
use goldcrest_decide::{
    admission::Workspaces,
    fenced::{Assignment, GroupConfig},
    owners::{Candidate, Holders, failover_order, holders},
    session_state::Freshness,
    share::{Demand, borrowable, settling, share, standby},
};
use goldcrest_types::{Allowance, KeyDigest, Name, SessionCommand, Statement, Timestamp};
use spdlog::{error, info, warn};
use thiserror::Error;

use crate::{Control, DiscoveredEndpoint, Handle};

/// How a database's clients are served.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Service that holds the database.
    pub service: Name,
    /// How fresh reads must be.
    pub freshness: Freshness,
    /// How long a single statement may take.
    pub timeout: Duration,
    /// The urgency of its statements: 0 goes first.
    pub priority: u8,
    /// Whether clients without a known key are admitted.
    pub open: bool,
}

/// How a service's endpoints accept connections and replicate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceRules {
    /// Connections that each endpoint accepts, from all hosts together.
    pub connections: usize,
    /// How many replicas must have received a commit before it is acknowledged.
    pub sync_replicas: usize,
}

/// A complete configuration.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Configuration {
    /// Increases with each change.
    pub version: u64,
    /// Routes by database name.
    pub routes: BTreeMap<Name, Route>,
    /// The rules of the services.
    pub services: BTreeMap<Name, ServiceRules>,
    /// The workspaces, if clients are admitted by key.
    pub workspaces: Option<Workspaces>,
    /// How long a transaction may stay idle.
    pub idle: Duration,
    /// What of it could not be used, a line each.
    pub faults: Vec<String>,
}

/// Where a session sends its statements.
#[derive(Debug, Clone)]
pub struct Target {
    /// How the database is served.
    pub route: Route,
    /// The workspace that the client works for. Empty if it has none.
    pub workspace: Name,
    /// Commands to the group's task or to its relay.
    pub group: Sender<SessionCommand<Statement>>,
    /// How long a transaction may stay idle.
    pub idle: Duration,
}

/// Why a client gets no target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum FindError {
    /// The configuration has no such database.
    #[error("there is no such database")]
    NoDatabase,
    /// The client's key is unknown.
    #[error("the key is not known")]
    UnknownKey,
}

/// The name and the region of this host.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Name of the host.
    pub host: Name,
    /// Region of the host.
    pub region: Name,
}

/// A live host. This host itself is one of them.
#[derive(Debug, Clone)]
pub struct Peer {
    /// The part that the choice of owners depends on.
    pub candidate: Candidate,
    /// Address on which it accepts statements from other hosts.
    pub address: SocketAddr,
    /// Connections that it keeps busy on average, by service.
    pub needs: BTreeMap<Name, f64>,
}

/// A host that owns a group, with its address.
#[derive(Debug, Clone)]
pub(crate) struct Owner {
    pub host: Name,
    pub address: SocketAddr,
}

/// A service's group, and whether requests go to the hosts that own it.
struct Service {
    handle: Handle,
    relayed: bool,
}

/// The groups of a host, by service.
pub struct Directory {
    own: Identity,
    start: Box<dyn Fn(GroupConfig) -> Handle>,
    configuration: Rc<Configuration>,
    groups: BTreeMap<Name, Service>,
    drain: Duration,
    /// Endpoints by service, once discovery has listed them.
    endpoints: Option<BTreeMap<Name, Vec<DiscoveredEndpoint>>>,
    /// The live hosts, once they are known. Until then this host would open connections as if it
    /// were alone.
    hosts: Option<Vec<Peer>>,
}

/// Connections to an endpoint that a host may open before it knows the other hosts: none, as all
/// hosts may start at the same time.
const INITIAL_SHARE: usize = 0;

/// The rules of a service that the configuration does not name any more.
const UNKNOWN_RULES: ServiceRules = ServiceRules {
    connections: 1,
    sync_replicas: 0,
};

/// How long after its start, when its clock is at zero, a host opens few connections to each
/// endpoint. An endpoint drops a connection whose host has vanished after 3 s.
const SETTLING_TIME: Duration = Duration::from_millis(3_500);

impl Directory {
    /// Creates a directory without a configuration. A leader that is shutting down still gets
    /// writes for `drain`.
    #[must_use]
    pub fn new(own: Identity, drain: Duration, start: Box<dyn Fn(GroupConfig) -> Handle>) -> Self {
        Self {
            own,
            start,
            configuration: Rc::default(),
            groups: BTreeMap::new(),
            drain,
            endpoints: None,
            hosts: None,
        }
    }

    /// Applies a configuration, unless the current one is as new or newer.
    pub fn apply(&mut self, mut configuration: Configuration) {
        if configuration.version <= self.configuration.version {
            return;
        }
        for fault in &configuration.faults {
            warn!("in configuration {}: {}", configuration.version, fault);
        }
        if let Some(workspaces) = &mut configuration.workspaces {
            let former = self.configuration.workspaces.as_ref();
            log_kept_limits(configuration.version, &workspaces.keep_limits(former));
        }
        info!(
            "configuration {} in force with {} routes, after {}",
            configuration.version,
            configuration.routes.len(),
            self.configuration.version
        );
        for service in configuration.services.keys() {
            self.group(service);
        }
        self.configuration = Rc::new(configuration);
        // A new group must not open connections of its own before it has its assignment.
        self.assign_groups();
    }

    /// Applies the endpoints that discovery lists, by service.
    pub fn set_endpoints(&mut self, endpoints: BTreeMap<Name, Vec<DiscoveredEndpoint>>) {
        self.endpoints = Some(endpoints);
        for (service, group) in &self.groups {
            self.send_members(service, &group.handle);
        }
    }

    fn send_members(&self, service: &Name, group: &Handle) {
        let Some(endpoints) = &self.endpoints else {
            return;
        };
        let members = endpoints.get(service).cloned().unwrap_or_default();
        // Sending can't fail: the task runs for as long as this directory holds its handle.
        let _ = group.control.send(Control::Members(members));
    }

    /// Whether sessions can be served.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.endpoints.is_some() && self.configuration.version > 0 && self.hosts.is_some()
    }

    /// Returns the version of the configuration in force.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.configuration.version
    }

    /// Whether a workspace may run only a limited number of operations.
    #[must_use]
    pub fn has_allowance(&self, workspace: &str) -> bool {
        let workspaces = self.configuration.workspaces.as_ref();
        workspaces.is_some_and(|w| w.allowance(workspace).is_some())
    }

    /// Returns the allowances in force by workspace.
    #[must_use]
    pub fn allowances(&self) -> BTreeMap<Name, Allowance> {
        let workspaces = self.configuration.workspaces.as_ref();
        workspaces.map_or_else(BTreeMap::new, |w| w.allowances().clone())
    }

    /// Returns the handles of the groups.
    pub fn groups(&self) -> impl Iterator<Item = &Handle> {
        self.groups.values().map(|service| &service.handle)
    }

    /// Returns where a client's session sends the statements for a database.
    ///
    /// # Errors
    ///
    /// [`FindError`] if the database does not exist, or does not admit the client.
    pub fn find(&self, database: &str, key: &KeyDigest) -> Result<Target, FindError> {
        let route = self.configuration.routes.get(database);
        let route = route.ok_or(FindError::NoDatabase)?;
        let group = self.groups.get(&route.service);
        let group = group.ok_or(FindError::NoDatabase)?;
        let workspace = self.admit(key, route.open);
        let workspace = workspace.ok_or(FindError::UnknownKey)?;
        let commands = if group.relayed {
            &group.handle.relay.commands
        } else {
            &group.handle.commands
        };
        Ok(Target {
            route: route.clone(),
            workspace,
            group: commands.clone(),
            idle: self.configuration.idle,
        })
    }

    /// Returns the workspace that a client works for, or `None` if it is not admitted. `open` tells
    /// whether its database admits every client.
    #[must_use]
    pub fn admit(&self, key: &KeyDigest, open: bool) -> Option<Name> {
        match &self.configuration.workspaces {
            Some(workspaces) => workspaces.admit(key, open),
            None => Some(Name::new()),
        }
    }

    /// Returns this host's own group of a service, for statements that other hosts send.
    #[must_use]
    pub fn local_group(&self, service: &str) -> Option<Sender<SessionCommand<Statement>>> {
        let group = self.groups.get(service)?;
        Some(group.handle.commands.clone())
    }

    /// Applies the list of live hosts.
    pub fn update_hosts(&mut self, hosts: Vec<Peer>) {
        self.hosts = Some(hosts);
        self.assign_groups();
    }

    /// Decides for each group which hosts own its connections.
    fn assign_groups(&mut self) {
        let Some(hosts) = &self.hosts else { return };
        let candidates: Vec<Candidate> = hosts.iter().map(|h| h.candidate.clone()).collect();
        for (service, group) in &mut self.groups {
            let rules = self.configuration.services.get(service);
            let rules = rules.copied().unwrap_or(UNKNOWN_RULES);
            let total = rules.connections;
            let holders = holders(service, total, &candidates);
            let (assignment, relayed) = assignment(&self.own, service, rules, hosts, &holders);
            let owners = if relayed {
                owners(&self.own, service, hosts, &candidates)
            } else {
                Vec::new()
            };
            if relayed != group.relayed {
                info!("requests go to {}", if relayed { "owners" } else { "own connections" }, kv: {
                    service = service.as_str(), hosts = hosts.len(), connections = total,
                });
            }
            group.relayed = relayed;
            // Sending can't fail: the tasks run for as long as this directory holds their handles.
            let _ = group.handle.control.send(Control::Assign(assignment));
            let _ = group.handle.relay.owners.send(owners);
        }
    }

    /// Starts the tasks of groups again that have ended, which only a panic can cause.
    pub fn restart_ended_groups(&mut self) {
        let ended: Vec<Name> = self
            .groups
            .iter()
            .filter(|(_, group)| group.handle.has_ended())
            .map(|(service, _)| service.clone())
            .collect();
        if ended.is_empty() {
            return;
        }
        for service in ended {
            error!("the task of a group ended and is started again", kv: { service = service.as_str() });
            self.groups.remove(&service);
            self.group(&service);
        }
        self.assign_groups();
    }

    fn group(&mut self, service: &Name) {
        if self.groups.contains_key(service) {
            return;
        }
        let config = GroupConfig {
            name: service.clone(),
            share: INITIAL_SHARE,
            drain: self.drain,
            settled_at: Timestamp::ZERO + SETTLING_TIME,
            limited: false,
        };
        let group = (self.start)(config);
        self.send_members(service, &group);
        let service_group = Service {
            handle: group,
            relayed: false,
        };
        self.groups.insert(service.clone(), service_group);
    }
}

/// Logs the workspaces whose limit can't be read, and what limits them now.
fn log_kept_limits(version: u64, kept: &[(Name, Option<Allowance>)]) {
    for (workspace, allowance) in kept {
        let in_force = allowance.map_or_else(
            || "it is not limited, as before".to_owned(),
            |Allowance { rate, burst }| {
                format!("the former one stays in force, {rate} a second and {burst} at once")
            },
        );
        warn!(
            "in configuration {}: the limit of workspace {:?} can't be read, {}",
            version, workspace, in_force
        );
    }
}

/// Returns this host's assignment for a group, and whether its requests go to other hosts.
fn assignment(
    own: &Identity,
    service: &Name,
    rules: ServiceRules,
    hosts: &[Peer],
    holders: &Holders,
) -> (Assignment, bool) {
    let demand = |peer: &Peer| Demand {
        host: peer.candidate.host.clone(),
        need: peer.needs.get(service).copied().unwrap_or_default(),
    };
    let ServiceRules {
        connections: total,
        sync_replicas,
    } = rules;
    let Holders::Owners(owners) = holders else {
        let demands: Vec<Demand> = hosts.iter().map(demand).collect();
        let assignment = Assignment {
            connections: share(total, &demands, &own.host),
            borrowable: borrowable(total, demands.len()),
            settling: 1,
            replaces_leaving: true,
            sync_replicas,
        };
        return (assignment, false);
    };
    let owning = hosts.iter().filter(|h| owners.contains(&h.candidate.host));
    let mut demands: Vec<Demand> = owning.map(demand).collect();
    let standby_demand = standby(&demands);
    let owns = owners.contains(&own.host);
    let holder = if owns {
        own.host.clone()
    } else {
        standby_demand.host.clone()
    };
    demands.push(standby_demand);
    let assignment = Assignment {
        connections: share(total, &demands, &holder),
        borrowable: borrowable(total, demands.len()),
        settling: settling(total, demands.len()),
        replaces_leaving: owns,
        sync_replicas,
    };
    (assignment, !owns)
}

/// Returns the hosts that run this host's requests for a group, in order of preference.
fn owners(own: &Identity, service: &str, hosts: &[Peer], candidates: &[Candidate]) -> Vec<Owner> {
    let order = failover_order(service, &own.region, candidates);
    let address = |host: &Name| {
        let peer = hosts.iter().find(|h| h.candidate.host == *host)?;
        Some(Owner {
            host: host.clone(),
            address: peer.address,
        })
    };
    order.iter().filter_map(address).collect()
}
