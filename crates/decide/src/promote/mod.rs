//! Watches a group's primary and replaces it: claim, seal, choose, promote, record.
//!
//! Each step may be repeated and may be abandoned anywhere. Safety rests on the endpoints alone: an
//! endpoint promises a term to one attempt, so of two attempts at one term at most one gets a
//! majority. The claim in the platform's table only spares useless attempts.

mod steps;
mod watch;

use std::time::Duration;

use goldcrest_types::{AttemptId, EndpointIx, Mark, SealReply, Term};
use smallvec::SmallVec;

pub use self::watch::{Stage, Watcher};

/// How long a primary must be suspect before it is replaced.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(500);

/// How long a primary must be silent here when its replicas still hear it.
pub const SUSPECT_DESPITE_REPLICAS: Duration = Duration::from_secs(3);

/// The delay between the watchers of a group, by rank.
pub const RANK_STAGGER: Duration = Duration::from_millis(700);

/// How long the platform's table may take to answer a claim.
pub const CLAIM_TIMEOUT: Duration = Duration::from_millis(300);

/// How long an attempt waits for a majority of seals.
pub const SEAL_TIMEOUT: Duration = Duration::from_secs(1);

/// How long an attempt with a majority of seals waits for the rest.
pub const SEAL_GRACE: Duration = Duration::from_millis(50);

/// How long a promoted endpoint may take to answer.
pub const PROMOTE_TIMEOUT: Duration = Duration::from_secs(1);

/// The pause after a failed attempt, before a random part of the same size.
pub const BACKOFF: Duration = Duration::from_millis(300);

/// How long a planned switch waits for its successor to hold the last position.
pub const HANDOVER_TIMEOUT: Duration = Duration::from_secs(3);

/// What a group knows of its primary.
#[derive(Debug, Clone, Default)]
pub struct GroupState {
    /// Endpoints in the group.
    pub size: usize,
    /// The highest promised term.
    pub promised: Term,
    /// Endpoints that answered lately.
    pub reachable: usize,
    /// The primary of the highest promised term.
    pub primary: Option<EndpointIx>,
    /// Whether the primary answered lately.
    pub primary_up: bool,
    /// How long the primary has been silent.
    pub silent_for: Duration,
    /// Reachable replicas that hear a primary.
    pub connected: usize,
    /// Whether the primary is being retired and has a successor.
    pub leaving: bool,
    /// What each endpoint holds, as it last said.
    pub held: SmallVec<[(EndpointIx, Mark); 4]>,
}

/// Something that happened to a promotion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// The clock moved or a report came in.
    Tick,
    /// The table took the claim.
    Claimed(AttemptId),
    /// The table holds a claim of this term or a later one by another attempt.
    ClaimTaken {
        /// The refused attempt.
        attempt: AttemptId,
        /// The term that is claimed.
        term: Term,
    },
    /// The table did not answer.
    ClaimUnknown(AttemptId),
    /// An endpoint answered a seal.
    Sealed {
        /// The endpoint.
        endpoint: EndpointIx,
        /// The attempt.
        attempt: AttemptId,
        /// The answer.
        reply: SealReply,
    },
    /// An endpoint answered a promotion.
    Promoted {
        /// The endpoint.
        endpoint: EndpointIx,
        /// The attempt.
        attempt: AttemptId,
        /// Whether the endpoint is primary now.
        accepted: bool,
    },
    /// An operator asks to move the primary.
    Switch {
        /// The endpoint to leave.
        from: EndpointIx,
    },
}

/// What a task must do for a promotion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Put the claim into the platform's table, if no other holds this term.
    Claim {
        /// The new term.
        term: Term,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Ask an endpoint to refuse all work of lower terms.
    Seal {
        /// The endpoint.
        endpoint: EndpointIx,
        /// The new term.
        term: Term,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Ask an endpoint to become primary.
    Promote {
        /// The endpoint.
        endpoint: EndpointIx,
        /// The new term.
        term: Term,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Record the new primary in the platform's table, when that answers.
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
