//! Faults of the virtual world, and the steps of a request or a promotion at which they strike.

use std::time::Duration;

use goldcrest_types::EndpointIx;

/// A fault. Each one ends by itself, where it ends, after a fixed time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// The primary's process dies, and comes back later.
    PrimaryDown,
    /// The primary is cut off from its group and from all hosts but the struck one.
    PrimaryCut,
    /// The primary's process is paused.
    PrimaryPaused,
    /// All replicas fall far behind in applying.
    ReplicasBehind,
    /// A replica's process dies, and comes back later.
    ReplicaDown,
    /// The struck request's host dies, and a new one takes its place.
    HostDown,
    /// The struck request's host is paused.
    HostPaused,
    /// The struck request's host is cut off from all endpoints but the primary.
    HostCut,
    /// The platform's table does not answer.
    TableDown,
    /// The platform's table is slow.
    TableSlow,
    /// Changes of the platform's table take effect and their answers are lost.
    TableAnswerLost,
    /// The primary dies while the table is down.
    PrimaryDownTableDown,
    /// The primary dies together with the struck request's host.
    PrimaryAndHostDown,
    /// The primary dies while the replicas are far behind.
    PrimaryDownReplicasBehind,
    /// The primary is cut off, and a replica dies.
    PrimaryCutReplicaDown,
}

impl Fault {
    /// All faults.
    pub const ALL: [Self; 16] = [
        Self::None,
        Self::PrimaryDown,
        Self::PrimaryCut,
        Self::PrimaryPaused,
        Self::ReplicasBehind,
        Self::ReplicaDown,
        Self::HostDown,
        Self::HostPaused,
        Self::HostCut,
        Self::TableDown,
        Self::TableSlow,
        Self::TableAnswerLost,
        Self::PrimaryDownTableDown,
        Self::PrimaryAndHostDown,
        Self::PrimaryDownReplicasBehind,
        Self::PrimaryCutReplicaDown,
    ];

    /// The single faults that make up this one.
    #[must_use]
    pub fn parts(self) -> Vec<Self> {
        match self {
            Self::PrimaryDownTableDown => vec![Self::TableDown, Self::PrimaryDown],
            Self::PrimaryAndHostDown => vec![Self::PrimaryDown, Self::HostDown],
            Self::PrimaryDownReplicasBehind => vec![Self::ReplicasBehind, Self::PrimaryDown],
            Self::PrimaryCutReplicaDown => vec![Self::PrimaryCut, Self::ReplicaDown],
            one => vec![one],
        }
    }

    /// Whether a majority of the group and a host that reaches it are left.
    #[must_use]
    pub fn leaves_majority(self) -> bool {
        self != Self::PrimaryCutReplicaDown
    }

    /// How long the fault lasts.
    #[must_use]
    pub fn lasts(self) -> Duration {
        match self {
            Self::HostDown => Duration::from_secs(2),
            Self::HostPaused | Self::PrimaryPaused => Duration::from_secs(4),
            _ => Duration::from_secs(6),
        }
    }
}

/// A step of a request, of a transaction or of a promotion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// The host got the request.
    Received,
    /// The host sent it to an endpoint.
    Sent,
    /// The endpoint runs it.
    Running,
    /// It is committed, and the answer is not sent.
    Committed,
    /// The host waits for term checks.
    Checking,
    /// The client has its answer.
    Answered,
    /// A transaction was opened.
    Begun,
    /// A statement ran inside a transaction.
    TransactionWrite,
    /// A transaction's commit was sent.
    Committing,
    /// A term was claimed.
    Claimed,
    /// An endpoint was sealed.
    Sealed,
    /// A successor was chosen.
    Chosen,
    /// A successor was promoted.
    Promoted,
    /// The promotion is about to be recorded.
    Recording,
}

impl Step {
    /// All steps.
    pub const ALL: [Self; 14] = [
        Self::Received,
        Self::Sent,
        Self::Running,
        Self::Committed,
        Self::Checking,
        Self::Answered,
        Self::Begun,
        Self::TransactionWrite,
        Self::Committing,
        Self::Claimed,
        Self::Sealed,
        Self::Chosen,
        Self::Promoted,
        Self::Recording,
    ];

    /// Whether the step is one of a promotion.
    #[must_use]
    pub fn is_promotion(self) -> bool {
        matches!(
            self,
            Self::Claimed | Self::Sealed | Self::Chosen | Self::Promoted | Self::Recording
        )
    }
}

/// Two parts of the world that do not reach each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Cut {
    /// A host and an endpoint.
    Host(usize, EndpointIx),
    /// An endpoint and its group.
    Group(EndpointIx),
}
