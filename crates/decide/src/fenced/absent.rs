//! Keeps track of replicas that discovery has dropped and that may hold commits which no listed one holds.
//!
//! Where commits are replicated synchronously, a replica may have acknowledged some of them shortly before
//! it failed. It counts until it is listed again, or until a replica holds the log of the leader as it was
//! after the replica was dropped: every commit that it acknowledged lies before that position.

use goldcrest_types::{EndpointIx, Mark, Name, Timestamp};

use super::{FencedGroup, SAMPLE_INTERVAL, members::ConnectionState};

/// A replica that discovery has dropped.
#[derive(Debug, Clone)]
pub(super) struct Absent {
    name: Name,
    since: Timestamp,
    /// A position of the leader's log that was requested after the replica was dropped.
    mark: Option<Mark>,
}

impl FencedGroup {
    /// Records that discovery dropped an endpoint, unless it was the leader, whose log is not needed.
    pub(super) fn record_absent(&mut self, endpoint: EndpointIx, now: Timestamp) {
        if self.sync_replicas == 0 || !self.is_replica(endpoint) {
            return;
        }
        let Some(name) = self.member(endpoint).map(|m| m.name().clone()) else {
            return;
        };
        self.absent.push(Absent {
            name,
            since: now,
            mark: None,
        });
    }

    /// Records that discovery lists an endpoint again.
    pub(super) fn record_present(&mut self, name: &Name) {
        self.absent.retain(|a| a.name != *name);
    }

    /// Records a position of the leader's log. Replicas that were absent before the leader's term began
    /// have acknowledged nothing in it.
    pub(super) fn record_absent_marks(&mut self, requested_at: Timestamp, mark: Mark) {
        self.absent
            .retain(|a| a.mark.is_none_or(|known| known.term >= mark.term));
        for absent in &mut self.absent {
            if absent.since <= requested_at {
                absent.mark = absent.mark.or(Some(mark));
            }
        }
    }

    /// Whether a log that reaches `held` contains what each absent replica may have acknowledged.
    pub(super) fn covers_absent(&self, held: Mark) -> bool {
        let mut marks = self.absent.iter().map(|a| a.mark);
        marks.all(|mark| mark.is_some_and(|mark| held >= mark))
    }

    /// Returns when a position of the leader's log is requested because a replica is absent.
    pub(super) fn absent_wake(&self) -> Option<Timestamp> {
        let leader = self.leader().filter(|m| !m.is_failing())?;
        let internal = |state| matches!(state, ConnectionState::Internal(_));
        let asked = leader.connections.iter().any(|c| internal(c.state));
        let unknown = self.absent.iter().any(|a| a.mark.is_none());
        (unknown && !asked).then_some(self.last_sample + SAMPLE_INTERVAL)
    }
}
