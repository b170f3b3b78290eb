//! What differs between two configurations.

use std::collections::BTreeMap;

use goldcrest_types::{KeyDigest, Name};
use smallvec::SmallVec;

use super::{
    Database, Entry, Proposal, Service, Workspace,
    findings::{Fault, Finding, List},
};

/// A difference between the configuration in force and a proposed one.
#[derive(Debug, Clone, PartialEq)]
pub enum Difference {
    /// An entry is new.
    Added(List, Name),
    /// An entry is gone.
    Removed(List, Name),
    /// An entry says something else in these fields.
    Changed(List, Name, Fields),
    /// Keys of a workspace: how many are new, and how many are withdrawn. One that moves to another
    /// workspace counts in both.
    Keys {
        /// The workspace.
        workspace: Name,
        /// How many keys are new.
        added: usize,
        /// How many keys are withdrawn.
        withdrawn: usize,
    },
    /// The limit of a workspace changes: rate and burst, before and after.
    Limit(Name, [Option<f64>; 2], [Option<f64>; 2]),
    /// The idle time of transactions changes.
    Idle,
}

/// The fields of an entry.
pub type Fields = SmallVec<[Field; 4]>;

/// A field of a database or of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Field {
    /// The service that holds a database.
    Service,
    /// The kind of a database's reads.
    Reads,
    /// How old its reads may be.
    Bound,
    /// How long a statement may take.
    Timeout,
    /// How long an operation should take.
    Target,
    /// The urgency of its statements.
    Priority,
    /// Whether it admits every client.
    Open,
    /// The connections that endpoints accept.
    Connections,
    /// The replicas that must have received a commit.
    Replicas,
}

/// Returns a finding if the proposed version is not higher than the one in force.
#[must_use]
pub fn older(current: &Proposal, proposed: &Proposal) -> Option<Finding> {
    let (before, after) = (current.version?, proposed.version?);
    (after > 0 && after <= before).then_some(Finding {
        entry: None,
        fault: Fault::OldVersion(before),
    })
}

/// Returns what a proposed configuration changes.
#[must_use]
pub fn differences(current: &Proposal, proposed: &Proposal) -> Vec<Difference> {
    let mut out = Vec::new();
    let databases = (current.databases.as_slice(), proposed.databases.as_slice());
    compare(List::Databases, databases, changed_database, &mut out);
    let services = (current.services.as_slice(), proposed.services.as_slice());
    compare(List::Services, services, changed_service, &mut out);
    let before = by_name(current.workspaces.as_deref().unwrap_or_default());
    let after = by_name(proposed.workspaces.as_deref().unwrap_or_default());
    for (name, workspace) in &after {
        match before.get(name) {
            None => {
                out.push(Difference::Added(List::Workspaces, (*name).clone()));
                compare_workspaces(name, None, Some(workspace), &mut out);
            }
            Some(former) => compare_workspaces(name, Some(former), Some(workspace), &mut out),
        }
    }
    for (name, workspace) in before.iter().filter(|(name, _)| !after.contains_key(*name)) {
        out.push(Difference::Removed(List::Workspaces, (*name).clone()));
        compare_workspaces(name, Some(workspace), None, &mut out);
    }
    if current.idle != proposed.idle {
        out.push(Difference::Idle);
    }
    out
}

/// Returns the entries by name. Of those that are declared twice the last one is in force.
fn by_name<T>(entries: &[Entry<T>]) -> BTreeMap<&Name, &T> {
    entries.iter().map(|e| (&e.name, &e.content)).collect()
}

fn compare<T, F>(
    list: List,
    (current, proposed): (&[Entry<T>], &[Entry<T>]),
    changed: F,
    out: &mut Vec<Difference>,
) where
    F: Fn(&T, &T) -> Fields,
{
    let (before, after) = (by_name(current), by_name(proposed));
    for (name, content) in &after {
        match before.get(name) {
            None => out.push(Difference::Added(list, (*name).clone())),
            Some(former) => {
                let fields = changed(former, content);
                if !fields.is_empty() {
                    out.push(Difference::Changed(list, (*name).clone(), fields));
                }
            }
        }
    }
    let gone = before.keys().filter(|name| !after.contains_key(*name));
    out.extend(gone.map(|name| Difference::Removed(list, (*name).clone())));
}

fn changed_database(before: &Database, after: &Database) -> Fields {
    let kind = |database: &Database| std::mem::discriminant(&database.reads);
    let fields = [
        (Field::Service, before.service != after.service),
        (Field::Reads, kind(before) != kind(after)),
        (Field::Bound, before.reads.bound() != after.reads.bound()),
        (Field::Timeout, before.timeout != after.timeout),
        (Field::Target, before.target != after.target),
        (Field::Priority, before.priority != after.priority),
        (Field::Open, before.open != after.open),
    ];
    only_changed(&fields)
}

fn changed_service(before: &Service, after: &Service) -> Fields {
    only_changed(&[
        (Field::Connections, before.connections != after.connections),
        (Field::Replicas, before.sync_replicas != after.sync_replicas),
    ])
}

fn only_changed(fields: &[(Field, bool)]) -> Fields {
    let changed = fields.iter().filter(|(_, changed)| *changed);
    changed.map(|(field, _)| *field).collect()
}

fn compare_workspaces(
    name: &Name,
    before: Option<&Workspace>,
    after: Option<&Workspace>,
    out: &mut Vec<Difference>,
) {
    let (old, new) = (keys(before), keys(after));
    let missing =
        |from: &[KeyDigest], of: &[KeyDigest]| from.iter().filter(|key| !of.contains(key)).count();
    let (added, withdrawn) = (missing(new, old), missing(old, new));
    if added + withdrawn > 0 {
        out.push(Difference::Keys {
            workspace: name.clone(),
            added,
            withdrawn,
        });
    }
    let limit = |workspace: Option<&Workspace>| workspace.map_or([None; 2], |w| [w.rate, w.burst]);
    let (before, after) = (limit(before), limit(after));
    if before != after {
        out.push(Difference::Limit(name.clone(), before, after));
    }
}

fn keys(workspace: Option<&Workspace>) -> &[KeyDigest] {
    workspace.map_or(&[], |w| w.keys.as_slice())
}
