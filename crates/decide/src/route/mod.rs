//! Chooses the endpoint that serves a read.
//!
//! Endpoints that cannot serve the read are skipped first, then the rest are ranked. The reason for
//! each skipped endpoint is kept for `explain`. The order of the steps follows the routing path of
//! the kvfleet article.

use std::{cmp::Reverse, time::Duration};

use goldcrest_types::{EndpointIx, History, Mark, Role};
use smallvec::SmallVec;

/// An endpoint with at least this many requests per slot counts as busy.
const BUSY_PER_SLOT: u32 = 2;

/// How long a read may wait for a replica to catch up while the primary is busy.
pub const CATCH_UP_LIMIT: Duration = Duration::from_millis(20);

/// An endpoint that may serve a read, with its last known state.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The endpoint.
    pub ix: EndpointIx,
    /// Its role in the group.
    pub role: Role,
    /// The last entry that it had applied when it last answered.
    pub mark: Mark,
    /// Whether it is reachable.
    pub reachable: bool,
    /// Whether it is being retired.
    pub leaving: bool,
    /// The number of requests sent to it and not yet answered.
    pub load: u32,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// The one-way network latency to it.
    pub latency: Duration,
    /// The rate at which it applies its log, in positions per second.
    pub rate: u64,
}

/// What the serving endpoint must contain.
#[derive(Debug, Clone)]
pub struct ReadRequirement<'a> {
    /// The marks that the endpoint must contain, all of them.
    pub floors: SmallVec<[Mark; 2]>,
    /// The terms of the group's log.
    pub history: &'a History,
    /// Whether the read may still wait for a replica.
    pub may_wait: bool,
}

impl ReadRequirement<'_> {
    /// Whether an endpoint at `mark` contains all that the read must see.
    #[must_use]
    pub fn met_by(&self, mark: Mark) -> bool {
        self.floors.iter().all(|&f| self.history.covers(mark, f))
    }

    /// The number of positions that an endpoint at `mark` lacks.
    fn missing(&self, mark: Mark) -> u64 {
        let gaps = self
            .floors
            .iter()
            .map(|f| f.position.0.saturating_sub(mark.position.0));
        gaps.max().unwrap_or(0)
    }
}

/// Why an endpoint was not chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SkipReason {
    /// It is not reachable.
    Unreachable,
    /// It is being retired.
    Leaving,
    /// Its log lacks part of what the read must see.
    Behind,
    /// It is eligible, but another endpoint ranks higher.
    Outranked,
}

/// The decision for a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// Send the read to this endpoint.
    Serve(EndpointIx),
    /// Wait for a replica that is about to catch up.
    Wait,
    /// No endpoint is eligible.
    Unavailable,
}

/// A routing decision with the reasons for the endpoints that were not chosen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The decision.
    pub choice: Choice,
    /// Each endpoint that was not chosen, with the reason.
    pub skipped: SmallVec<[(EndpointIx, SkipReason); 4]>,
}

/// Chooses among `candidates`. `rotation` breaks ties: callers change it after each read, so that
/// equal endpoints share the work.
#[must_use]
pub fn choose(candidates: &[Candidate], need: &ReadRequirement<'_>, rotation: usize) -> Route {
    let mut skipped = SmallVec::new();
    let mut eligible: SmallVec<[&Candidate; 4]> = SmallVec::new();
    for c in candidates {
        match skip_reason(c, need) {
            Some(reason) => skipped.push((c.ix, reason)),
            None => eligible.push(c),
        }
    }
    let best = eligible
        .iter()
        .min_by_key(|c| rank(c, candidates.len(), rotation));
    let Some(best) = best.copied() else {
        return Route {
            choice: Choice::Unavailable,
            skipped,
        };
    };
    let wait = need.may_wait && best.role == Role::Primary && is_busy(best);
    if wait && is_catch_up_near(candidates, need) {
        return Route {
            choice: Choice::Wait,
            skipped,
        };
    }
    skipped.extend(
        eligible
            .iter()
            .filter(|c| c.ix != best.ix)
            .map(|c| (c.ix, SkipReason::Outranked)),
    );
    Route {
        choice: Choice::Serve(best.ix),
        skipped,
    }
}

fn skip_reason(c: &Candidate, need: &ReadRequirement<'_>) -> Option<SkipReason> {
    if !c.reachable {
        return Some(SkipReason::Unreachable);
    }
    if c.leaving {
        return Some(SkipReason::Leaving);
    }
    (!need.met_by(c.mark)).then_some(SkipReason::Behind)
}

fn is_busy(c: &Candidate) -> bool {
    c.load >= c.slots * BUSY_PER_SLOT
}

/// The sort key of a candidate; the lowest is chosen.
fn rank(c: &Candidate, count: usize, rotation: usize) -> (bool, bool, u32, Duration, usize) {
    let primary = c.role == Role::Primary;
    let order = (c.ix.index() + rotation) % count.max(1);
    (
        is_busy(c),
        primary,
        c.load / c.slots.max(1),
        c.latency,
        order,
    )
}

/// Whether a replica is expected to contain all that the read must see within [`CATCH_UP_LIMIT`].
fn is_catch_up_near(candidates: &[Candidate], need: &ReadRequirement<'_>) -> bool {
    let nearest = candidates
        .iter()
        .filter(|c| c.reachable && !c.leaving && c.role == Role::Replica && !is_busy(c))
        .max_by_key(|c| (c.rate, Reverse(need.missing(c.mark))));
    let Some(c) = nearest else { return false };
    let limit = u64::try_from(CATCH_UP_LIMIT.as_millis()).unwrap_or(u64::MAX);
    need.missing(c.mark).saturating_mul(1000) <= c.rate.saturating_mul(limit)
}
