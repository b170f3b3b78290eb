//! The configuration in force and the groups that it names.

use std::{collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use flume::Sender;
use goldcrest_decide::{
    fenced::{ClusterPlan, Holding},
    owners::{Candidate, Holders, holders, ranking},
    session_state::Freshness,
    share::{Demand, share, standby},
};
use goldcrest_types::{Name, SessionCommand, Statement};
use spdlog::info;

use crate::{Control, DiscoveredEndpoint, Handle};

/// How a database's clients are served.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The service that holds the database.
    pub service: Name,
    /// How fresh its reads must be.
    pub freshness: Freshness,
    /// How long a single statement may take.
    pub timeout: Duration,
}

/// A configuration, whole.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Configuration {
    /// Grows with each change.
    pub version: u64,
    /// Routes by the database's name.
    pub routes: BTreeMap<Name, Route>,
    /// Connections that an endpoint of a service takes, from all hosts together.
    pub connections: BTreeMap<Name, usize>,
    /// How long a transaction may stay idle.
    pub idle: Duration,
}

/// Where a session's statements go.
#[derive(Debug, Clone)]
pub struct Target {
    /// How the database is served.
    pub route: Route,
    /// The group's task.
    pub group: Sender<SessionCommand<Statement>>,
    /// How long a transaction may stay idle.
    pub idle: Duration,
}

/// This host among the others.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Its name.
    pub host: Name,
    /// Its region.
    pub region: Name,
}

/// A live host, this one included.
#[derive(Debug, Clone)]
pub struct Peer {
    /// What the choice of owners looks at.
    pub candidate: Candidate,
    /// Where it runs statements for other hosts.
    pub address: SocketAddr,
    /// The connections that it keeps busy, by service.
    pub needs: BTreeMap<Name, f64>,
}

/// A host that owns a group.
#[derive(Debug, Clone)]
pub(crate) struct Owner {
    pub host: Name,
    pub address: SocketAddr,
}

/// A service's group, and whether its requests go to other hosts.
struct Service {
    handle: Handle,
    relayed: bool,
}

/// The groups of a host, by their service.
pub struct Directory {
    own: Identity,
    start: Box<dyn Fn(ClusterPlan) -> Handle>,
    configuration: Rc<Configuration>,
    groups: BTreeMap<Name, Service>,
    drain: Duration,
    /// The endpoints by service, once they are known.
    endpoints: Option<BTreeMap<Name, Vec<DiscoveredEndpoint>>>,
}

/// Connections to an endpoint that a host may hold before it knows of the others.
const SHARE_FIRST: usize = 2;

impl Directory {
    /// A directory without a configuration. Leaders that leave get writes for `drain`.
    #[must_use]
    pub fn new(own: Identity, drain: Duration, start: Box<dyn Fn(ClusterPlan) -> Handle>) -> Self {
        Self {
            own,
            start,
            configuration: Rc::default(),
            groups: BTreeMap::new(),
            drain,
            endpoints: None,
        }
    }

    /// Puts a configuration in force unless a newer one is.
    pub fn apply(&mut self, configuration: Configuration) {
        if configuration.version <= self.configuration.version {
            return;
        }
        info!(
            "configuration {} in force with {} routes, after {}",
            configuration.version,
            configuration.routes.len(),
            self.configuration.version
        );
        for service in configuration.connections.keys() {
            self.group(service);
        }
        self.configuration = Rc::new(configuration);
    }

    /// Takes in the endpoints that discovery lists, by service.
    pub fn set_endpoints(&mut self, endpoints: BTreeMap<Name, Vec<DiscoveredEndpoint>>) {
        self.endpoints = Some(endpoints);
        for (service, group) in &self.groups {
            self.tell_members(service, &group.handle);
        }
    }

    fn tell_members(&self, service: &Name, group: &Handle) {
        let Some(endpoints) = &self.endpoints else {
            return;
        };
        let members = endpoints.get(service).cloned().unwrap_or_default();
        // The task ends only with this directory.
        let _ = group.control.send(Control::Members(members));
    }

    /// Whether sessions can be served.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.endpoints.is_some() && self.configuration.version > 0
    }

    /// The version in force.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.configuration.version
    }

    /// The groups' handles.
    pub fn groups(&self) -> impl Iterator<Item = &Handle> {
        self.groups.values().map(|service| &service.handle)
    }

    /// Where the sessions of a database go.
    #[must_use]
    pub fn find(&self, database: &str) -> Option<Target> {
        let route = self.configuration.routes.get(database)?;
        let group = self.groups.get(&route.service)?;
        let asks = if group.relayed {
            &group.handle.relay.asks
        } else {
            &group.handle.asks
        };
        Some(Target {
            route: route.clone(),
            group: asks.clone(),
            idle: self.configuration.idle,
        })
    }

    /// This host's own group of a service, for statements that other hosts send.
    #[must_use]
    pub fn local_group(&self, service: &str) -> Option<Sender<SessionCommand<Statement>>> {
        let group = self.groups.get(service)?;
        Some(group.handle.asks.clone())
    }

    /// Decides anew who holds the groups' connections, among the hosts that are alive.
    pub fn update_hosts(&mut self, hosts: &[Peer]) {
        let candidates: Vec<Candidate> = hosts.iter().map(|h| h.candidate.clone()).collect();
        for (service, group) in &mut self.groups {
            let total = self.configuration.connections.get(service);
            let total = total.copied().unwrap_or(1);
            let holders = holders(service, total, &candidates);
            let (holding, relayed) = part(&self.own, service, total, hosts, &holders);
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
            // The tasks end only with this directory.
            let _ = group.handle.control.send(Control::Hold(holding));
            let _ = group.handle.relay.owners.send(owners);
        }
    }

    fn group(&mut self, service: &Name) {
        if self.groups.contains_key(service) {
            return;
        }
        let plan = ClusterPlan {
            name: service.clone(),
            share: SHARE_FIRST,
            drain: self.drain,
        };
        let group = (self.start)(plan);
        self.tell_members(service, &group);
        let service_group = Service {
            handle: group,
            relayed: false,
        };
        self.groups.insert(service.clone(), service_group);
    }
}

/// What this host does for a group, and whether its requests go to other hosts.
fn part(
    own: &Identity,
    service: &Name,
    total: usize,
    hosts: &[Peer],
    holders: &Holders,
) -> (Holding, bool) {
    let demand = |peer: &Peer| Demand {
        host: peer.candidate.host.clone(),
        need: peer.needs.get(service).copied().unwrap_or_default(),
    };
    let Holders::Owners(owners) = holders else {
        let demands: Vec<Demand> = hosts.iter().map(demand).collect();
        let holding = Holding {
            connections: share(total, &demands, &own.host),
            watches: true,
        };
        return (holding, false);
    };
    let owning = hosts.iter().filter(|h| owners.contains(&h.candidate.host));
    let mut demands: Vec<Demand> = owning.map(demand).collect();
    let spare = standby(&demands);
    let owns = owners.contains(&own.host);
    let holder = if owns {
        own.host.clone()
    } else {
        spare.host.clone()
    };
    demands.push(spare);
    let holding = Holding {
        connections: share(total, &demands, &holder),
        watches: owns,
    };
    (holding, !owns)
}

/// The other hosts of this region that own a group, in order of preference.
fn owners(own: &Identity, service: &str, hosts: &[Peer], candidates: &[Candidate]) -> Vec<Owner> {
    let ranking = ranking(service, &own.region, candidates);
    let others = ranking.iter().filter(|host| **host != own.host);
    let address = |host: &Name| {
        let peer = hosts.iter().find(|h| h.candidate.host == *host)?;
        Some(Owner {
            host: host.clone(),
            address: peer.address,
        })
    };
    others.filter_map(address).collect()
}
