//! Decides which clients are admitted, and for which workspace.
//!
//! A client shows a key, of which only the digest is known here. A session's key is looked up again
//! for each statement, since a newer configuration may have withdrawn it or given it to another
//! workspace.

use std::collections::{BTreeMap, BTreeSet};

use goldcrest_types::{Allowance, KeyDigest, Name};
use smallvec::SmallVec;

/// The highest rate and the highest burst of a limit. A higher one is an error of the operator: the hosts
/// of the largest fleet run a million statements a second together.
pub const MAX_LIMIT: f64 = 1e9;

/// The workspaces of a configuration.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Workspaces {
    keys: BTreeMap<KeyDigest, Name>,
    allowances: BTreeMap<Name, Allowance>,
    /// The workspaces whose limit could not be read.
    unreadable: BTreeSet<Name>,
}

/// What an operator declares about how many operations a workspace may run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Limit {
    /// There is no limit.
    None,
    /// A limit is declared that can't be read.
    Unreadable,
    /// This limit.
    Allowance(Allowance),
}

impl Limit {
    /// Returns the limit of a declared rate and burst. A rate must be positive, a burst not negative.
    #[must_use]
    pub fn of(rate: Option<f64>, burst: Option<f64>) -> Self {
        let burst = burst.unwrap_or_default();
        match rate {
            None => Self::None,
            Some(rate) if rate > 0.0 && rate <= MAX_LIMIT && (0.0..=MAX_LIMIT).contains(&burst) => {
                Self::Allowance(Allowance { rate, burst })
            }
            Some(_) => Self::Unreadable,
        }
    }
}

/// A workspace as an operator declares it.
#[derive(Debug, Clone, PartialEq)]
pub struct Declared {
    /// The workspace's name.
    pub name: Name,
    /// The digests of its keys.
    pub keys: SmallVec<[KeyDigest; 2]>,
    /// How many operations it may run.
    pub limit: Limit,
}

/// Two workspaces that declare the same key, which then admits nobody.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SharedKey(pub Name, pub Name);

impl Workspaces {
    /// Combines declared workspaces. Returns the conflicts too.
    pub fn new<I>(declared: I) -> (Self, Vec<SharedKey>)
    where
        I: IntoIterator<Item = Declared>,
    {
        let mut all = Self::default();
        let mut shared: Vec<(KeyDigest, SharedKey)> = Vec::new();
        for workspace in declared {
            for key in workspace.keys {
                let other = all.keys.insert(key.clone(), workspace.name.clone());
                if let Some(other) = other.filter(|other| *other != workspace.name) {
                    shared.push((key, SharedKey(other, workspace.name.clone())));
                }
            }
            match workspace.limit {
                Limit::None => {}
                Limit::Unreadable => {
                    all.unreadable.insert(workspace.name);
                }
                Limit::Allowance(allowance) => {
                    all.allowances.insert(workspace.name, allowance);
                }
            }
        }
        for (key, _) in &shared {
            all.keys.remove(key);
        }
        let conflicts = shared.into_iter().map(|(_, conflict)| conflict);
        (all, conflicts.collect())
    }

    /// Keeps the former limits of workspaces whose declared limit can't be read: an error in it must not
    /// free a workspace of its limit. Returns these workspaces, with the limit that is in force now.
    pub fn keep_limits(&mut self, former: Option<&Self>) -> Vec<(Name, Option<Allowance>)> {
        let unreadable = std::mem::take(&mut self.unreadable);
        let kept = unreadable.into_iter().map(|workspace| {
            let allowance = former.and_then(|f| f.allowance(&workspace));
            if let Some(allowance) = allowance {
                self.allowances.insert(workspace.clone(), allowance);
            }
            (workspace, allowance)
        });
        kept.collect()
    }

    /// Returns the workspace that a client with this key works for, or `None` if it is not admitted.
    /// An open database admits every client; one without a known key works for no workspace, whose
    /// name is empty.
    #[must_use]
    pub fn admit(&self, key: &KeyDigest, open: bool) -> Option<Name> {
        let known = self.keys.get(key).cloned();
        known.or_else(|| open.then(Name::new))
    }

    /// Returns a workspace's allowance, or `None` if it has no limit.
    #[must_use]
    pub fn allowance(&self, workspace: &str) -> Option<Allowance> {
        self.allowances.get(workspace).copied()
    }

    /// Returns the allowances by workspace.
    #[must_use]
    pub fn allowances(&self) -> &BTreeMap<Name, Allowance> {
        &self.allowances
    }
}

/// What becomes of a session's open transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Continuation {
    /// It goes on.
    Continue,
    /// It is rolled back: the key belongs to another workspace now.
    Moved,
    /// It is rolled back and the session ends: the key was withdrawn.
    Revoked,
}

/// Decides what becomes of a transaction of `workspace` whose client is admitted for `admitted` now.
///
/// It ends at once. An endpoint must run nothing for a workspace that no longer holds the key.
#[must_use]
pub fn continuation(workspace: &Name, admitted: Option<&Name>) -> Continuation {
    match admitted {
        None => Continuation::Revoked,
        Some(now) if now == workspace => Continuation::Continue,
        Some(_) => Continuation::Moved,
    }
}
