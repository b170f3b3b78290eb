//! Faults that the simulation injects, and the steps of a request, a transaction or a promotion
//! that can trigger them.

use std::time::Duration;

use goldcrest_types::EndpointIx;

/// A fault. It ends after [`Fault::duration`]. The target is the request whose step triggered it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// The primary's process crashes and restarts with its log.
    PrimaryDown,
    /// A partition separates the primary from its group and from all hosts but the target's.
    PrimaryCut,
    /// The primary's process is paused.
    PrimaryPaused,
    /// All replicas stop applying entries.
    ReplicasBehind,
    /// A replica's process crashes and restarts with its log.
    ReplicaDown,
    /// The target's host crashes and a new one replaces it.
    HostDown,
    /// The target's host is paused.
    HostPaused,
    /// A partition separates the target's host from all endpoints but the primary.
    HostCut,
    /// The platform's table does not answer.
    TableDown,
    /// The platform's table is slow.
    TableSlow,
    /// Changes of the platform's table take effect, but the answers are lost.
    TableAnswerLost,
    /// The primary crashes while the table is down.
    PrimaryDownTableDown,
    /// The primary and the target's host crash together.
    PrimaryAndHostDown,
    /// The primary crashes while the replicas lag.
    PrimaryDownReplicasBehind,
    /// A partition isolates the primary, and a replica crashes.
    PrimaryCutReplicaDown,
}

impl Fault {
    /// All faults, in the order of declaration.
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

    /// Returns the elementary faults that make up this one, in the order of injection.
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

    /// Whether a majority of the group stays up and reachable from a host.
    #[must_use]
    pub fn leaves_majority(self) -> bool {
        self != Self::PrimaryCutReplicaDown
    }

    /// Returns how long the fault lasts.
    #[must_use]
    pub fn duration(self) -> Duration {
        match self {
            Self::HostDown => Duration::from_secs(2),
            Self::HostPaused | Self::PrimaryPaused => Duration::from_secs(4),
            _ => Duration::from_secs(6),
        }
    }
}

/// A step of a request, a transaction or a promotion that can trigger a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// A host received the request.
    Received,
    /// The host sent it to an endpoint.
    Sent,
    /// An endpoint runs it.
    Running,
    /// It is committed, and its answer has not reached the host.
    Committed,
    /// The host confirms the commit by term checks.
    Checking,
    /// The client received the answer.
    Answered,
    /// A transaction was opened.
    Begun,
    /// A write ran inside a transaction.
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
    /// All steps, in the order of declaration.
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

/// A network partition between two parts of the simulation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Cut {
    /// Between a host and an endpoint.
    Host(usize, EndpointIx),
    /// Between an endpoint and the rest of its group.
    Group(EndpointIx),
}
