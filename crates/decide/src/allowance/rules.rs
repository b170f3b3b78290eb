//! How many operations of a workspace one counter may grant.

use std::time::Duration;

use goldcrest_types::Allowance;

/// Number of counters of a workspace. The allowance is divided among them, so two thirds of it are
/// left while one of them is lost.
pub const COUNTERS: usize = 3;

/// Tolerance that it takes to divide an allowance: each counter rounds its part up. Smaller ones have
/// a single counter.
const DIVISIBLE_TOLERANCE: f64 = 15.0;

/// Share of the tolerance that is granted in a window. The rest covers operations that reach their
/// endpoints closer together than they were granted.
const SUSTAINED_TOLERANCE: f64 = 0.5;

/// Share of the tolerance that is granted around a restart.
const RESTART_TOLERANCE: f64 = 0.8;

/// Share of the limit that counters which have lost what they granted may grant in their first
/// window. As much is held back from a workspace that asks for all at once.
const RESTART_SHARE: f64 = 0.7;

/// How the operations of workspaces are counted against their allowances.
#[derive(Debug, Clone, Copy)]
pub struct Rules {
    /// The length of each sliding window.
    pub window: Duration,
    /// The share beyond the allowance that is tolerated.
    pub overage: f64,
    /// The operations beyond the allowance that are tolerated.
    pub slack: f64,
}

impl Rules {
    /// Operations that a workspace may run in each window.
    #[must_use]
    pub fn limit(&self, allowance: Allowance) -> f64 {
        allowance.rate * self.window.as_secs_f64() + allowance.burst
    }

    /// Operations beyond the limit that are tolerated in each window.
    #[must_use]
    pub fn tolerance(&self, allowance: Allowance) -> f64 {
        self.limit(allowance) * self.overage + self.slack
    }

    /// The largest number of counters of a workspace.
    #[must_use]
    pub fn counters(&self, allowance: Allowance) -> usize {
        if self.tolerance(allowance) < DIVISIBLE_TOLERANCE {
            return 1;
        }
        COUNTERS
    }

    /// The part of an allowance that each of `counters` may grant.
    #[must_use]
    pub(super) fn part(&self, allowance: Allowance, counters: usize) -> Part {
        let (limit, tolerance) = (self.limit(allowance), self.tolerance(allowance));
        let sustained = limit + tolerance * SUSTAINED_TOLERANCE;
        let total = limit + tolerance * RESTART_TOLERANCE;
        // One operation at least can be granted at once.
        let reserve = (limit * RESTART_SHARE).min(total - 1.0).max(0.0);
        let counters = u32::try_from(counters.max(1)).unwrap_or(u32::MAX);
        let divided = |operations: f64| {
            if counters == 1 {
                operations
            } else {
                (operations / f64::from(counters)).ceil()
            }
        };
        Part {
            window: self.window,
            sustained: divided(sustained),
            spike: divided(total - reserve),
            reserve: reserve / f64::from(counters),
        }
    }
}

/// What one counter may grant: in any time `y` up to a window `spike + reserve * y / window`
/// operations, and in a window `sustained`.
///
/// A counter that starts assumes that its predecessor granted all of this right before, and so grants
/// `reserve * x / window` by the time `x` after its start. At any moment at most as many counters act
/// as divide the allowance, so the grants of all counters in a window stay below the sum of their
/// parts, however often they are lost, replaced and started again.
#[derive(Debug, Clone, Copy)]
pub(super) struct Part {
    pub window: Duration,
    pub sustained: f64,
    pub spike: f64,
    pub reserve: f64,
}

impl Part {
    /// Operations that may be granted in `time`, with regard to restarts.
    pub fn within(&self, time: Duration) -> f64 {
        self.spike + self.reserve * time.as_secs_f64() / self.window.as_secs_f64()
    }

    /// The time in which so many operations may be granted, at most a window.
    pub fn time_for(&self, operations: f64) -> Duration {
        let windows = (operations - self.spike) / self.reserve.max(f64::MIN_POSITIVE);
        self.window.mul_f64(windows.clamp(0.0, 1.0))
    }
}
