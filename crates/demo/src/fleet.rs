//! Starts the parts of a fleet and sets their faults.

use std::{rc::Rc, time::Duration};

use goldcrest_host::Host;
use goldcrest_settings::{Service, Settings};
use goldcrest_standins::{
    database::{self, Fault, NodeHandle, NodePlan},
    faults::Target,
    platform::{self, PlatformHandle},
};
use goldcrest_types::Name;

use crate::{DemoError, REPLICA_LAG, SETUP_TIME};

/// The delay with which changes appear in the platform's host list.
const HOST_LIST_LAG: Duration = Duration::from_secs(5);

/// A running fleet: the platform, the database nodes and the hosts.
pub struct Fleet {
    /// The hosts.
    pub hosts: Vec<Host>,
    nodes: Vec<NodeHandle>,
    platform: PlatformHandle,
}

impl Fleet {
    /// Starts a fleet of `count` hosts on this thread's runtime.
    ///
    /// # Errors
    ///
    /// Returns a [`DemoError`] if a part can't start.
    pub async fn start(settings: &Settings, count: u16) -> Result<Self, DemoError> {
        let platform = platform::start(settings.platform.address, HOST_LIST_LAG).await?;
        let mut nodes = Vec::new();
        for service in &settings.services {
            nodes.extend(start_service(service).await?);
        }
        let mut hosts = Vec::new();
        for number in 0..count {
            let settings = host_settings(settings, number);
            let host = goldcrest_host::start(Rc::new(settings)).await?;
            host.ready().await;
            hosts.push(host);
        }
        Ok(Self {
            hosts,
            nodes,
            platform,
        })
    }

    /// Sets a fault of the platform, a node or a host. Returns whether the target exists.
    #[must_use]
    pub fn set_fault(&self, target: &Target) -> bool {
        match target {
            Target::Platform(fault) => {
                self.platform.set_fault(*fault);
                true
            }
            Target::Node(name, fault) => self.set_node_fault(name, *fault),
        }
    }

    fn set_node_fault(&self, name: &Name, fault: Fault) -> bool {
        if let Some(host) = self.hosts.iter().find(|h| h.name == *name) {
            return partition_host(host, fault);
        }
        let node = self.nodes.iter().find(|n| n.name == *name);
        if let Some(node) = node {
            node.set_fault(fault);
        }
        node.is_some()
    }
}

/// Partitions a host from the other hosts. A demo host has no other fault.
fn partition_host(host: &Host, fault: Fault) -> bool {
    match fault {
        Fault::Cut => host.cut(true),
        Fault::None => host.cut(false),
        _ => return false,
    }
    true
}

/// Returns the settings of host `number`, with its own name, ports and zone.
#[must_use]
pub fn host_settings(settings: &Settings, number: u16) -> Settings {
    let mut own = settings.clone();
    let host = &mut own.host;
    host.name = Name::from(format!("{}-{}", host.name, number + 1));
    for address in [&mut host.callers, &mut host.peers, &mut host.health] {
        address.set_port(address.port() + number);
    }
    host.seeds = vec![settings.host.peers];
    let zones = settings.zones.len().max(1);
    if let Some(zone) = settings.zones.get(usize::from(number) % zones) {
        host.zone = zone.name.clone();
    }
    own
}

/// Starts the database groups of a service.
async fn start_service(service: &Service) -> Result<Vec<NodeHandle>, DemoError> {
    let mut nodes = Vec::new();
    for group in &service.databases {
        let plans: Vec<NodePlan> = group
            .endpoints
            .iter()
            .map(|endpoint| NodePlan {
                name: endpoint.name.clone(),
                address: endpoint.address,
                connections: service.connections,
                slots: service.slots as usize,
                setup_time: SETUP_TIME,
                lag: REPLICA_LAG,
            })
            .collect();
        nodes.extend(database::start(&plans).await?);
    }
    Ok(nodes)
}
