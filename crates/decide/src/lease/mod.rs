//! Decides whether a host may claim the lease under which a group's leader is replaced.
//!
//! The lease is a row of the platform's store. A store that was restored from an older copy has lost the
//! claims since that copy, and the row may be an earlier one. A claim of an earlier era therefore proves
//! nothing, and each claim that was lost has ended once the era is known for as long as a lease lasts.

use std::time::Duration;

use goldcrest_types::{Name, StoreError};

/// Duration of a lease by the store's clock. Other hosts claim it only after this time, twice the time for
/// which its holder uses it.
pub const LEASE_TIME: Duration = Duration::from_secs(5);

/// A lease as it is stored.
#[derive(Debug, Clone)]
pub struct Stored {
    /// The era in which it was claimed.
    pub era: u64,
    /// The store's clock at the claim.
    pub claimed: Duration,
    /// Whether the host that claims now is the holder, and claims for itself as it did then.
    pub own: bool,
    /// The endpoint that was promoted last, by this holder or an earlier one.
    pub promoted: Option<Name>,
}

/// What the store said of itself when the lease was read.
#[derive(Debug, Clone, Copy)]
pub struct Reading {
    /// Its era.
    pub era: u64,
    /// Its clock.
    pub clock: Duration,
    /// How long the host has known the era.
    pub known_for: Duration,
}

/// Decides whether the lease may be claimed to replace `leader`. Returns the endpoint that was promoted
/// last, if that is known, which the claim keeps.
///
/// # Errors
///
/// [`StoreError::Replaced`] if another endpoint was promoted already, and [`StoreError::Outrun`] if another
/// host may hold the lease.
pub fn claim(
    stored: Option<Stored>,
    leader: Option<&Name>,
    reading: Reading,
) -> Result<Option<Name>, StoreError> {
    let is_held = |stored: &Stored| !stored.own && reading.clock < stored.claimed + LEASE_TIME;
    let Some(stored) = stored else {
        may_follow_restore(reading)?;
        return Ok(None);
    };
    if stored.era != reading.era {
        may_follow_restore(reading)?;
        // A claim in the future was made by another clock.
        if stored.claimed <= reading.clock && is_held(&stored) {
            return Err(StoreError::Outrun);
        }
        return Ok(None);
    }
    if let Some(promoted) = &stored.promoted
        && !stored.own
        && leader != Some(promoted)
    {
        return Err(StoreError::Replaced(promoted.clone()));
    }
    if is_held(&stored) {
        return Err(StoreError::Outrun);
    }
    Ok(stored.promoted)
}

/// Whether each claim that a restore of the store may have lost has ended.
fn may_follow_restore(reading: Reading) -> Result<(), StoreError> {
    if reading.era > 0 && reading.known_for < LEASE_TIME {
        return Err(StoreError::Outrun);
    }
    Ok(())
}
