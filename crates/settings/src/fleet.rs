//! The fleet's declaration: the part of the settings that all hosts share and that operators change
//! while hosts run.

use goldcrest_types::Name;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{
    Database, Endpoint, Presets, Service, Settings, SettingsError, Workspace, Zone, from_toml,
};

/// The declaration of a fleet, as operators write it in `fleet.toml`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetDeclaration {
    /// The availability zones of hosts and endpoints.
    pub zones: Vec<Zone>,
    /// Services with their databases.
    pub services: Vec<Service>,
    /// The workspaces that share the endpoints.
    pub workspaces: Vec<Workspace>,
    /// The settings that each of the three presets overrides.
    #[serde(default)]
    pub presets: Presets,
}

/// Why a declaration can't follow the one in force.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PlanError {
    /// A service, database or endpoint is missing from the new declaration.
    #[error(
        "{0} can't be removed from a running fleet: retire it, and leave it in the declaration"
    )]
    Removed(Name),
    /// An endpoint's address or zone changed.
    #[error("endpoint {0} can't change its address or zone: add a new one and retire it")]
    Moved(Name),
    /// A service's acknowledgement rule, read consistency, connections or slots changed.
    #[error(
        "service {0} can't change its own settings while hosts run: restart them with new ones"
    )]
    Service(Name),
    /// More than one endpoint of a database was added at once: the majorities before and after such
    /// a change need not overlap.
    #[error(
        "database {0} gains more than one endpoint: add one at a time, so that old and new majorities overlap"
    )]
    ManyAdded(Name),
}

impl FleetDeclaration {
    /// Iterates over all databases, each with its service.
    pub fn databases(&self) -> impl Iterator<Item = (&Service, &Database)> {
        let services = self.services.iter();
        services.flat_map(|s| s.databases.iter().map(move |d| (s, d)))
    }

    /// Finds an endpoint by name.
    pub fn endpoint_mut(&mut self, name: &str) -> Option<&mut Endpoint> {
        let databases = self.services.iter_mut().flat_map(|s| &mut s.databases);
        let mut endpoints = databases.flat_map(|d| &mut d.endpoints);
        endpoints.find(|e| e.name == name)
    }

    /// Finds a database by name.
    pub fn database_mut(&mut self, name: &str) -> Option<&mut Database> {
        let mut databases = self.services.iter_mut().flat_map(|s| &mut s.databases);
        databases.find(|d| d.name == name)
    }

    /// Writes the declaration as TOML.
    ///
    /// # Errors
    ///
    /// When a value can't be represented in TOML.
    pub fn to_toml(&self) -> Result<String, toml::ser::Error> {
        toml::to_string_pretty(self)
    }

    /// Describes the differences to a later declaration, one per line.
    ///
    /// # Errors
    ///
    /// [`PlanError`] when the later one can't follow this one.
    pub fn plan(&self, later: &Self) -> Result<Vec<String>, PlanError> {
        let mut out = Vec::new();
        for old in &self.services {
            let new = later.services.iter().find(|s| s.name == old.name);
            let new = new.ok_or_else(|| PlanError::Removed(old.name.clone()))?;
            plan_service(old, new)?;
        }
        for (_, old) in self.databases() {
            let found = later.databases().find(|(_, d)| d.name == old.name);
            let (_, new) = found.ok_or_else(|| PlanError::Removed(old.name.clone()))?;
            plan_database(old, new, &mut out)?;
        }
        for (_, new) in later.databases() {
            if self.databases().all(|(_, d)| d.name != new.name) {
                out.push(format!("+ database {}", new.name));
            }
        }
        plan_workspaces(&self.workspaces, &later.workspaces, &mut out);
        if self.presets != later.presets {
            out.push("~ presets".to_owned());
        }
        if self.zones != later.zones {
            out.push("~ zones".to_owned());
        }
        Ok(out)
    }
}

fn plan_service(old: &Service, new: &Service) -> Result<(), PlanError> {
    let same = old.acknowledge == new.acknowledge
        && old.reads == new.reads
        && old.connections == new.connections
        && old.slots == new.slots;
    if same {
        return Ok(());
    }
    Err(PlanError::Service(old.name.clone()))
}

fn plan_database(old: &Database, new: &Database, out: &mut Vec<String>) -> Result<(), PlanError> {
    for (i, before) in old.endpoints.iter().enumerate() {
        let after = new.endpoints.get(i).filter(|e| e.name == before.name);
        let after = after.ok_or_else(|| PlanError::Removed(before.name.clone()))?;
        if after.address != before.address || after.zone != before.zone {
            return Err(PlanError::Moved(before.name.clone()));
        }
        match (before.retired, after.retired) {
            (false, true) => out.push(format!("- endpoint {} is retired", after.name)),
            (true, false) => out.push(format!("+ endpoint {} is back", after.name)),
            _ => {}
        }
    }
    let added = &new.endpoints[old.endpoints.len()..];
    if added.len() > 1 {
        return Err(PlanError::ManyAdded(old.name.clone()));
    }
    let lines = added.iter();
    out.extend(lines.map(|e| format!("+ endpoint {} of {}", e.name, new.name)));
    Ok(())
}

fn plan_workspaces(old: &[Workspace], new: &[Workspace], out: &mut Vec<String>) {
    for workspace in new {
        match old.iter().find(|w| w.name == workspace.name) {
            None => out.push(format!("+ workspace {}", workspace.name)),
            Some(before) if before != workspace => {
                out.push(format!("~ workspace {}", workspace.name));
            }
            Some(_) => {}
        }
    }
    for workspace in old {
        if new.iter().all(|w| w.name != workspace.name) {
            out.push(format!("- workspace {}", workspace.name));
        }
    }
}

impl Settings {
    /// Returns the declared part of the settings.
    #[must_use]
    pub fn declaration(&self) -> FleetDeclaration {
        FleetDeclaration {
            zones: self.zones.clone(),
            services: self.services.clone(),
            workspaces: self.workspaces.clone(),
            presets: self.presets.clone(),
        }
    }

    /// Returns these settings with another declaration.
    #[must_use]
    pub fn with_declaration(&self, fleet: FleetDeclaration) -> Self {
        Self {
            host: self.host.clone(),
            logs: self.logs.clone(),
            limits: self.limits.clone(),
            platform: self.platform.clone(),
            zones: fleet.zones,
            services: fleet.services,
            workspaces: fleet.workspaces,
            presets: fleet.presets,
        }
    }

    /// Returns these settings with the declaration in `text`, checked as a whole. `file` names the
    /// text in errors.
    ///
    /// # Errors
    ///
    /// [`SettingsError::Malformed`] or [`SettingsError::Invalid`].
    pub fn with_declaration_text(&self, file: &Name, text: &str) -> Result<Self, SettingsError> {
        let fleet: FleetDeclaration = from_toml(file, text)?;
        let settings = self.with_declaration(fleet);
        crate::check(file, &settings)?;
        Ok(settings)
    }
}
