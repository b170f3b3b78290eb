//! Chooses the endpoint that serves a read.
//!
//! Hard gates come first, ranking second, and the trace of both is kept for `explain` (the order
//! follows the routing path of the kvfleet article).

use std::{cmp::Reverse, time::Duration};

use goldcrest_types::{EndpointIx, History, Mark, Role};
use smallvec::SmallVec;

/// An endpoint with more than this many requests for each slot is passed over while others are not.
const BUSY_PER_SLOT: u32 = 2;

/// The longest time that a read waits for a replica while the primary is busy.
pub const CATCH_UP_LIMIT: Duration = Duration::from_millis(20);

/// What is known of an endpoint when a read is routed.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The endpoint.
    pub ix: EndpointIx,
    /// Its part in the group.
    pub role: Role,
    /// What it had applied when it last answered.
    pub mark: Mark,
    /// Whether it answers.
    pub reachable: bool,
    /// Whether it is being retired.
    pub leaving: bool,
    /// Requests sent to it and not answered.
    pub load: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// The one-way latency to it.
    pub distance: Duration,
    /// Log positions that it applies in a second.
    pub rate: u64,
}

/// What the serving endpoint must contain.
#[derive(Debug, Clone)]
pub struct ReadRequirement<'a> {
    /// Marks that the endpoint must cover, all of them.
    pub floors: SmallVec<[Mark; 2]>,
    /// The terms of the group's log.
    pub history: &'a History,
    /// Whether the read may still wait for a replica.
    pub may_wait: bool,
}

impl ReadRequirement<'_> {
    /// Whether an endpoint at `mark` may serve.
    #[must_use]
    pub fn met_by(&self, mark: Mark) -> bool {
        self.floors.iter().all(|&f| self.history.covers(mark, f))
    }

    fn missing(&self, mark: Mark) -> u64 {
        let gaps = self
            .floors
            .iter()
            .map(|f| f.position.0.saturating_sub(mark.position.0));
        gaps.max().unwrap_or(0)
    }
}

/// Why an endpoint was passed over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SkipReason {
    /// It does not answer.
    Unreachable,
    /// It is being retired.
    Leaving,
    /// It lacks part of what the read must see.
    Behind,
    /// It qualifies, and another ranks higher.
    Outranked,
}

/// What to do with a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// Send it to this endpoint.
    Serve(EndpointIx),
    /// Wait for a replica that is about to catch up.
    Wait,
    /// No endpoint qualifies.
    Unavailable,
}

/// A routing decision with its trace.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The decision.
    pub choice: Choice,
    /// Each endpoint that was passed over, with the reason.
    pub skipped: SmallVec<[(EndpointIx, SkipReason); 4]>,
}

/// Chooses among `candidates`. `turn` breaks ties, so that equal endpoints share the work.
#[must_use]
pub fn choose(candidates: &[Candidate], need: &ReadRequirement<'_>, turn: usize) -> Route {
    let mut skipped = SmallVec::new();
    let mut fit: SmallVec<[&Candidate; 4]> = SmallVec::new();
    for c in candidates {
        match gate(c, need) {
            Some(gate) => skipped.push((c.ix, gate)),
            None => fit.push(c),
        }
    }
    let best = fit.iter().min_by_key(|c| rank(c, candidates.len(), turn));
    let Some(best) = best.copied() else {
        return Route {
            choice: Choice::Unavailable,
            skipped,
        };
    };
    let wait = need.may_wait && best.role == Role::Primary && busy(best);
    if wait && catch_up_near(candidates, need) {
        return Route {
            choice: Choice::Wait,
            skipped,
        };
    }
    skipped.extend(
        fit.iter()
            .filter(|c| c.ix != best.ix)
            .map(|c| (c.ix, SkipReason::Outranked)),
    );
    Route {
        choice: Choice::Serve(best.ix),
        skipped,
    }
}

fn gate(c: &Candidate, need: &ReadRequirement<'_>) -> Option<SkipReason> {
    if !c.reachable {
        return Some(SkipReason::Unreachable);
    }
    if c.leaving {
        return Some(SkipReason::Leaving);
    }
    (!need.met_by(c.mark)).then_some(SkipReason::Behind)
}

fn busy(c: &Candidate) -> bool {
    c.load >= c.slots * BUSY_PER_SLOT
}

fn rank(c: &Candidate, count: usize, turn: usize) -> (bool, bool, u32, Duration, usize) {
    let primary = c.role == Role::Primary;
    let order = (c.ix.index() + turn) % count.max(1);
    (busy(c), primary, c.load / c.slots.max(1), c.distance, order)
}

/// Whether some replica is expected to meet the need within [`CATCH_UP_LIMIT`].
fn catch_up_near(candidates: &[Candidate], need: &ReadRequirement<'_>) -> bool {
    let nearest = candidates
        .iter()
        .filter(|c| c.reachable && !c.leaving && c.role == Role::Replica && !busy(c))
        .max_by_key(|c| (c.rate, Reverse(need.missing(c.mark))));
    let Some(c) = nearest else { return false };
    let limit = u64::try_from(CATCH_UP_LIMIT.as_millis()).unwrap_or(u64::MAX);
    need.missing(c.mark).saturating_mul(1000) <= c.rate.saturating_mul(limit)
}
