//! Decides which clients are admitted, and for which workspace.
//!
//! A client shows a key, of which only the digest is known here. A session's key is looked up again
//! for each statement, since a newer configuration may have withdrawn it or given it to another
//! workspace.

use std::collections::BTreeMap;

use goldcrest_types::{Allowance, KeyDigest, Name};
use smallvec::SmallVec;

/// The workspaces of a configuration.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Workspaces {
    keys: BTreeMap<KeyDigest, Name>,
    allowances: BTreeMap<Name, Allowance>,
}

/// A workspace as an operator declares it.
#[derive(Debug, Clone, PartialEq)]
pub struct Declared {
    /// The workspace's name.
    pub name: Name,
    /// The digests of its keys.
    pub keys: SmallVec<[KeyDigest; 2]>,
    /// How many operations it may run, if there is a limit.
    pub allowance: Option<Allowance>,
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
            if let Some(allowance) = workspace.allowance {
                all.allowances.insert(workspace.name, allowance);
            }
        }
        for (key, _) in &shared {
            all.keys.remove(key);
        }
        let conflicts = shared.into_iter().map(|(_, conflict)| conflict);
        (all, conflicts.collect())
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
