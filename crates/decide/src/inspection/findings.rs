//! What is wrong with a configuration.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use goldcrest_types::{KeyDigest, Name};
use smallvec::SmallVec;

use super::{Database, Entry, Proposal, Reads, Service, Workspace};
use crate::{admission::MAX_LIMIT, owners::CONNECTIONS_PER_HOST};

/// The shortest timeout with which a statement is sent: a session keeps this time back for the answer.
const MIN_TIMEOUT: Duration = Duration::from_millis(60);

/// How much a finding matters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// It may be meant.
    Note,
    /// It is in force and not what it seems.
    Warning,
    /// It is not in force.
    Error,
}

/// A finding about an entry.
#[derive(Debug, Clone, PartialEq)]
pub struct Finding {
    /// The list that holds the entry, and its place and name there. `None` for the configuration as a whole.
    pub entry: Option<(List, usize, Name)>,
    /// What was found.
    pub fault: Fault,
}

/// A list of entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum List {
    /// The databases.
    Databases,
    /// The services.
    Services,
    /// The workspaces.
    Workspaces,
}

/// What can be wrong.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    /// The version is missing, zero or can't be read.
    NoVersion,
    /// The version is not higher than this one, which is in force.
    OldVersion(u64),
    /// Clients are admitted by key, and no workspace has one.
    NobodyAdmitted,
    /// A transaction may be idle for less time than the longest statement may take.
    ShortIdle(Duration, Duration),
    /// A transaction may not be idle at all.
    NoIdle,
    /// The name is empty, or holds blanks or control characters.
    Unusable,
    /// An earlier entry, at this place, has the same name.
    Declared(usize),
    /// There is no service of this name.
    UnknownService(Name),
    /// The timeout is zero, or too short for any statement to be sent.
    ShortTimeout(Duration),
    /// A statement may take longer than the whole operation should.
    LongTimeout(Duration, Duration),
    /// The aim for a whole operation is zero.
    NoTarget,
    /// Reads may be old up to a bound that is missing.
    NoBound,
    /// No database is held by the service.
    Unused,
    /// The endpoints accept no connection.
    NoConnections,
    /// The endpoints accept too few connections for this many hosts, and owners hold them.
    FewConnections(u64, usize),
    /// The workspace has no usable key.
    NoKey,
    /// This many keys are empty, hold blanks or are too long.
    UnusableKeys(usize),
    /// This many keys are listed more than once.
    RepeatedKeys(usize),
    /// A key is also one of this workspace, and admits nobody.
    SharedKey(Name),
    /// The rate is no usable limit.
    Rate(f64),
    /// The burst is no usable limit.
    Burst(f64),
    /// There is a burst and no rate, which limits nothing.
    BurstWithoutRate,
    /// The burst is zero: no operation may come early.
    NoBurst,
}

impl Fault {
    /// Returns how much it matters.
    #[must_use]
    pub const fn severity(&self) -> Severity {
        match self {
            Self::LongTimeout(..) | Self::FewConnections(..) => Severity::Note,
            Self::ShortIdle(..)
            | Self::NoTarget
            | Self::NoBound
            | Self::Unused
            | Self::NoKey
            | Self::RepeatedKeys(_)
            | Self::BurstWithoutRate
            | Self::NoBurst => Severity::Warning,
            _ => Severity::Error,
        }
    }
}

/// Returns what is wrong with a configuration, in the order of its entries. `hosts` is the number of hosts
/// of the fleet, if it is known.
#[must_use]
pub fn findings(proposal: &Proposal, hosts: Option<usize>) -> Vec<Finding> {
    let mut found = Findings(Vec::new());
    found.inspect_whole(proposal);
    let services: BTreeSet<&Name> = proposal.services.iter().map(|s| &s.name).collect();
    found.inspect_names(List::Databases, &proposal.databases);
    for entry in &proposal.databases {
        found.inspect_database(entry, &services);
    }
    let used: BTreeSet<&Name> = proposal
        .databases
        .iter()
        .map(|d| &d.content.service)
        .collect();
    found.inspect_names(List::Services, &proposal.services);
    for entry in &proposal.services {
        found.inspect_service(entry, &used, hosts);
    }
    let workspaces = proposal.workspaces.as_deref().unwrap_or_default();
    found.inspect_names(List::Workspaces, workspaces);
    let mut holders: BTreeMap<&KeyDigest, &Name> = BTreeMap::new();
    for entry in workspaces {
        found.inspect_workspace(entry);
        found.inspect_keys(entry, &mut holders);
    }
    found.0.sort_by_key(place);
    found.0
}

fn place(finding: &Finding) -> Option<(List, usize)> {
    finding.entry.as_ref().map(|(list, at, _)| (*list, *at))
}

struct Findings(Vec<Finding>);

impl Findings {
    fn add<T>(&mut self, list: List, entry: &Entry<T>, fault: Fault) {
        let entry = Some((list, entry.at, entry.name.clone()));
        self.0.push(Finding { entry, fault });
    }

    fn inspect_whole(&mut self, proposal: &Proposal) {
        let mut whole = Vec::new();
        if proposal.version.is_none_or(|version| version == 0) {
            whole.push(Fault::NoVersion);
        }
        let mut keys = proposal
            .workspaces
            .iter()
            .flatten()
            .map(|w| &w.content.keys);
        if proposal.workspaces.is_some() && keys.all(SmallVec::is_empty) {
            whole.push(Fault::NobodyAdmitted);
        }
        let longest = proposal.databases.iter().map(|d| d.content.timeout).max();
        match (proposal.idle, longest) {
            (Some(Duration::ZERO), _) => whole.push(Fault::NoIdle),
            (Some(idle), Some(longest)) if idle < longest => {
                whole.push(Fault::ShortIdle(idle, longest));
            }
            _ => {}
        }
        let findings = whole
            .into_iter()
            .map(|fault| Finding { entry: None, fault });
        self.0.extend(findings);
    }

    /// Checks that clients and endpoints can be sent the names, and that none is declared twice.
    fn inspect_names<T>(&mut self, list: List, entries: &[Entry<T>]) {
        let mut seen: BTreeMap<&Name, usize> = BTreeMap::new();
        for entry in entries {
            if !is_word(&entry.name) {
                self.add(list, entry, Fault::Unusable);
            } else if let Some(first) = seen.insert(&entry.name, entry.at) {
                self.add(list, entry, Fault::Declared(first));
            }
        }
    }

    fn inspect_database(&mut self, entry: &Entry<Database>, services: &BTreeSet<&Name>) {
        let list = List::Databases;
        let database = &entry.content;
        if !services.contains(&database.service) {
            let service = database.service.clone();
            self.add(list, entry, Fault::UnknownService(service));
        }
        if database.timeout <= MIN_TIMEOUT {
            self.add(list, entry, Fault::ShortTimeout(database.timeout));
        }
        match database.target {
            Some(Duration::ZERO) => self.add(list, entry, Fault::NoTarget),
            Some(target) if target < database.timeout => {
                self.add(list, entry, Fault::LongTimeout(database.timeout, target));
            }
            _ => {}
        }
        if matches!(
            database.reads,
            Reads::Bounded(None) | Reads::OwnWrites(None)
        ) {
            self.add(list, entry, Fault::NoBound);
        }
    }

    fn inspect_service(
        &mut self,
        entry: &Entry<Service>,
        used: &BTreeSet<&Name>,
        hosts: Option<usize>,
    ) {
        let connections = entry.content.connections;
        if !used.contains(&entry.name) {
            self.add(List::Services, entry, Fault::Unused);
        }
        if connections == 0 {
            return self.add(List::Services, entry, Fault::NoConnections);
        }
        let Some(hosts) = hosts else { return };
        let needed = f64::from(u32::try_from(hosts).unwrap_or(u32::MAX)) * CONNECTIONS_PER_HOST;
        if f64::from(u32::try_from(connections).unwrap_or(u32::MAX)) < needed {
            self.add(
                List::Services,
                entry,
                Fault::FewConnections(connections, hosts),
            );
        }
    }

    fn inspect_workspace(&mut self, entry: &Entry<Workspace>) {
        let list = List::Workspaces;
        let Workspace {
            unusable,
            rate,
            burst,
            ..
        } = entry.content;
        if unusable > 0 {
            self.add(list, entry, Fault::UnusableKeys(unusable));
        }
        if entry.content.keys.is_empty() {
            self.add(list, entry, Fault::NoKey);
        }
        if let Some(rate) = rate.filter(|rate| !(*rate > 0.0 && *rate <= MAX_LIMIT)) {
            self.add(list, entry, Fault::Rate(rate));
        }
        match (rate, burst) {
            (_, Some(burst)) if !(0.0..=MAX_LIMIT).contains(&burst) => {
                self.add(list, entry, Fault::Burst(burst));
            }
            (None, Some(_)) => self.add(list, entry, Fault::BurstWithoutRate),
            (Some(_), Some(0.0)) => self.add(list, entry, Fault::NoBurst),
            _ => {}
        }
    }

    /// Finds keys that are listed twice, or by an earlier workspace too.
    fn inspect_keys<'a>(
        &mut self,
        entry: &'a Entry<Workspace>,
        holders: &mut BTreeMap<&'a KeyDigest, &'a Name>,
    ) {
        let mut repeated = 0;
        let mut shared = BTreeSet::new();
        for key in &entry.content.keys {
            match holders.insert(key, &entry.name) {
                Some(other) if *other == entry.name => repeated += 1,
                Some(other) => {
                    shared.insert(other);
                }
                None => {}
            }
        }
        if repeated > 0 {
            self.add(List::Workspaces, entry, Fault::RepeatedKeys(repeated));
        }
        for other in shared {
            self.add(List::Workspaces, entry, Fault::SharedKey(other.clone()));
        }
    }
}

/// Whether a name can be a field of a message.
fn is_word(name: &str) -> bool {
    !name.is_empty() && !name.chars().any(|c| c.is_whitespace() || c.is_control())
}
