//! Versions of the platform's store.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Distance between the fencing tokens of two eras. A restore that loses fewer changes than this never
/// lowers a token, and the tokens of 8,191 eras stay below 2^53, up to which every JSON number is exact.
const TOKENS_PER_ERA: u64 = 1 << 40;

/// A version of the platform's store: its change counter, in the era that the counter belongs to.
///
/// When the store is restored from an older copy, the counter goes back and the era rises. A counter says
/// something only in its own era, so versions are compared by their eras first. A store without eras is in
/// era zero.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct StoreVersion {
    /// How often the store was restored.
    pub era: u64,
    /// The change counter.
    pub change: u64,
}

impl StoreVersion {
    /// Creates a version of an era.
    #[must_use]
    pub const fn new(era: u64, change: u64) -> Self {
        Self { era, change }
    }

    /// Returns the version as a fencing token, which grows with the version. In era zero it is the change
    /// counter.
    #[must_use]
    pub const fn fencing_token(self) -> u64 {
        let first = self.era.saturating_mul(TOKENS_PER_ERA);
        first.saturating_add(self.change)
    }
}

impl fmt::Display for StoreVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.era > 0 {
            write!(f, "{}.", self.era)?;
        }
        write!(f, "{}", self.change)
    }
}
