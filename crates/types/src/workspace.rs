//! Workspaces: the digests of the keys by which clients are admitted, and the allowances.

use std::fmt::{self, Debug, Formatter};

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
