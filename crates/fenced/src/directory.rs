//! The configuration in force and the groups that it names.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use flume::Sender;
use goldcrest_decide::{
    dialogue::Freshness,
    fenced::ClusterPlan,
    share::{Demand, share},
};
use goldcrest_types::{Name, SessionAsk, Statement};
use spdlog::info;

use crate::{Control, Handle, Listed};

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
    pub group: Sender<SessionAsk<Statement>>,
    /// How long a transaction may stay idle.
    pub idle: Duration,
}

/// The groups of a host, by their service.
pub struct Directory {
    start: Box<dyn Fn(ClusterPlan) -> Handle>,
    configuration: Rc<Configuration>,
    groups: BTreeMap<Name, Handle>,
    drain: Duration,
    /// The endpoints by service, once they are known.
    endpoints: Option<BTreeMap<Name, Vec<Listed>>>,
}

/// Connections to an endpoint that a host may hold before it knows of the others.
const SHARE_FIRST: usize = 2;

impl Directory {
    /// A directory without a configuration. Leaders that leave get writes for `drain`.
    #[must_use]
    pub fn new(drain: Duration, start: Box<dyn Fn(ClusterPlan) -> Handle>) -> Self {
        Self {
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
    pub fn list(&mut self, endpoints: BTreeMap<Name, Vec<Listed>>) {
        self.endpoints = Some(endpoints);
        for (service, group) in &self.groups {
            self.tell_members(service, group);
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
        self.groups.values()
    }

    /// Where the sessions of a database go.
    #[must_use]
    pub fn find(&self, database: &str) -> Option<Target> {
        let route = self.configuration.routes.get(database)?;
        let group = self.groups.get(&route.service)?;
        Some(Target {
            route: route.clone(),
            group: group.asks.clone(),
            idle: self.configuration.idle,
        })
    }

    /// Gives each group this host's share of an endpoint's connections.
    pub fn share<F>(&mut self, host: &str, demands: F)
    where
        F: Fn(&Name) -> Vec<Demand>,
    {
        for (service, group) in &self.groups {
            let total = self.configuration.connections.get(service);
            let share = share(total.copied().unwrap_or(1), &demands(service), host);
            // The task ends only with this directory.
            let _ = group.control.send(Control::Share(share));
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
        self.groups.insert(service.clone(), group);
    }
}
