//! Workspaces: the digests of the keys by which clients are admitted, and the allowances.

use std::{
    fmt::{self, Debug, Formatter},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::Name;

/// The digest of a client's key. The key itself is dropped as soon as it has been read.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest(Name);

impl KeyDigest {
    /// Wraps a digest in hexadecimal digits.
    #[must_use]
    pub fn new(hex: Name) -> Self {
        Self(hex)
    }
}

impl Debug for KeyDigest {
    /// Leaves the digest out, which identifies a client as well as its key does.
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// How many operations a workspace may run, on all hosts together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// Operations a second.
    pub rate: f64,
    /// Operations beyond these in one window.
    pub burst: f64,
}

/// Operations of a workspace that a host asks a counter for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllowanceAsk {
    /// The workspace.
    pub workspace: Name,
    /// How many operations are to run.
    pub count: u32,
}

/// A counter's answer to an [`AllowanceAsk`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AllowanceAnswer {
    /// The first `count` operations may run. If they are fewer than asked for, another one may run
    /// after `wait`.
    Granted {
        /// How many operations may run.
        count: u32,
        /// The time until another operation may run.
        wait: Duration,
        /// Whether hardly any more may run in the window.
        nearly_full: bool,
    },
    /// The host does not count the workspace's operations.
    Abstained,
}
