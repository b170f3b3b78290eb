//! Watches a group's primary and replaces it when it fails, in five steps: claim the next term, seal
//! the endpoints, choose the one with the newest log, promote it and record it.
//!
//! Each step can be repeated, and an attempt can be abandoned at any point. Safety depends on the
//! endpoints alone: an endpoint promises a term to one attempt only, so of two attempts at the same
//! term at most one gets a majority. The claim in the platform's table only keeps watchers from
//! competing.

mod steps;
mod watch;

use std::time::Duration;

use goldcrest_types::{AttemptId, EndpointIx, Mark, SealReply, Term};
use smallvec::SmallVec;

pub use self::watch::{Stage, Watcher};

/// How long a primary must be suspected before it is replaced.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(500);

/// How long a primary must be unreachable from this host before it is suspected although replicas
/// are still connected to it.
pub const SUSPECT_DESPITE_REPLICAS: Duration = Duration::from_secs(3);

/// The additional delay per rank, so that a group's watchers do not start attempts at once.
pub const RANK_STAGGER: Duration = Duration::from_millis(700);

/// How long an attempt waits for the platform's table to answer a claim.
pub const CLAIM_TIMEOUT: Duration = Duration::from_millis(300);

/// How long an attempt waits for a majority of seals.
pub const SEAL_TIMEOUT: Duration = Duration::from_secs(1);

/// How long an attempt that has a majority of seals waits for the remaining endpoints.
pub const SEAL_GRACE: Duration = Duration::from_millis(50);

/// How long an attempt waits for the chosen endpoint to answer the promotion.
pub const PROMOTE_TIMEOUT: Duration = Duration::from_secs(1);

/// The pause after a failed attempt. Up to the same time again is added at random.
pub const BACKOFF: Duration = Duration::from_millis(300);

/// How long a planned switchover waits for a replica to catch up with the sealed primary.
pub const HANDOVER_TIMEOUT: Duration = Duration::from_secs(3);

/// The state of a group that the watcher's decisions depend on.
#[derive(Debug, Clone, Default)]
pub struct GroupState {
    /// The number of endpoints in the group.
    pub size: usize,
    /// The highest term that any endpoint promised.
    pub promised: Term,
    /// The number of reachable endpoints.
    pub reachable: usize,
    /// The primary of the highest promised term, if known.
    pub primary: Option<EndpointIx>,
    /// Whether the primary is reachable.
    pub primary_up: bool,
    /// The time since the primary last answered.
    pub silent_for: Duration,
    /// The number of reachable replicas that are connected to a primary.
    pub connected: usize,
    /// Whether the primary is being retired and a replica can take over.
    pub leaving: bool,
    /// The last entry that each endpoint holds, by its latest report.
    pub held: SmallVec<[(EndpointIx, Mark); 4]>,
}

/// An input to [`Watcher::step`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// Time has passed, or the group's state changed.
    Tick,
    /// The table accepted the claim.
    Claimed(AttemptId),
    /// The table holds a claim of this term or a later one by another attempt.
    ClaimTaken {
        /// The refused attempt.
        attempt: AttemptId,
        /// The term that is claimed.
        term: Term,
    },
    /// It is not known whether the table accepted the claim.
    ClaimUnknown(AttemptId),
    /// An endpoint answered a request to seal.
    Sealed {
        /// The endpoint.
        endpoint: EndpointIx,
        /// The attempt.
        attempt: AttemptId,
        /// The answer.
        reply: SealReply,
    },
    /// An endpoint answered a request to become primary.
    Promoted {
        /// The endpoint.
        endpoint: EndpointIx,
        /// The attempt.
        attempt: AttemptId,
        /// Whether the endpoint is primary now.
        accepted: bool,
    },
    /// An operator requested a planned switchover.
    Switch {
        /// The primary to move away from.
        from: EndpointIx,
    },
}

/// An output of [`Watcher::step`] that the group's task carries out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Put a claim of the term into the platform's table, unless another attempt holds it.
    Claim {
        /// The new term.
        term: Term,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Make an endpoint refuse all work of lower terms.
    Seal {
        /// The endpoint.
        endpoint: EndpointIx,
        /// The new term.
        term: Term,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Make an endpoint the primary.
    Promote {
        /// The endpoint.
        endpoint: EndpointIx,
        /// The new term.
        term: Term,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Record the new primary in the platform's table.
    Record {
        /// The endpoint.
        endpoint: EndpointIx,
        /// The new term.
        term: Term,
        /// The attempt.
        attempt: AttemptId,
    },
}

/// The actions of one step.
pub type Actions = SmallVec<[Action; 4]>;
