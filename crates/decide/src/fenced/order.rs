//! Orders waiting requests.
//!
//! Answers load peaks: more work arrives than the endpoints run. A request's place follows from its
//! latest start, its expected cost, its urgency, and how much its workspace already has waiting. All
//! are times, and requests move forward as they age, so that nothing waits behind newer work for good.

use std::time::Duration;

use goldcrest_types::Timestamp;

use super::{FencedGroup, WaitingRequest};

/// Weight of a statement's expected cost in the order of the queue: a statement of 2.5 ms is
/// dispatched before one of 13 ms that arrived up to 0.25 s earlier.
const COST_WEIGHT: u32 = 25;

/// A request is dispatched before one of the next class of urgency that arrived up to this much earlier.
const URGENCY_STEP: Duration = Duration::from_millis(250);

/// The most that a request is put back for what its workspace already has waiting. Each change of the
/// workspace that is served may cost the set-up of a connection, which an endpoint without room can't afford.
const MAX_FAIR_DELAY: Duration = Duration::from_millis(250);

impl FencedGroup {
    /// Returns a request's place in the queue.
    pub(super) fn queue_key(&self, request: &WaitingRequest) -> Timestamp {
        let head = &request.head;
        let cost = self.cost_of(request) * COST_WEIGHT;
        let urgency = URGENCY_STEP * u32::from(head.priority);
        head.start_by + cost + urgency + self.fair_delay(request)
    }

    /// Returns how long the requests of a workspace that wait already would take in its equal part of
    /// what the endpoints run.
    ///
    /// A workspace that has more waiting than others thereby waits behind what they send meanwhile.
    fn fair_delay(&self, request: &WaitingRequest) -> Duration {
        let head = &request.head;
        if head.workspace.is_empty() {
            return Duration::ZERO;
        }
        let mut backlog = Duration::ZERO;
        let mut others: Vec<&str> = Vec::new();
        for waiting in &self.waiting {
            if waiting.head.workspace != head.workspace {
                others.push(&waiting.head.workspace);
            } else if waiting.head.priority == head.priority {
                backlog += self.cost_of(waiting);
            }
        }
        others.sort_unstable();
        others.dedup();
        let sharing = u32::try_from(others.len() + 1).unwrap_or(u32::MAX);
        let running = u32::try_from(self.running.len().max(1)).unwrap_or(u32::MAX);
        (backlog.saturating_mul(sharing) / running).min(MAX_FAIR_DELAY)
    }

    /// Returns the mean of the times that the databases' statements are expected to take.
    pub(super) fn mean_cost(&self) -> Duration {
        let sum: Duration = self.costs.values().sum();
        sum / u32::try_from(self.costs.len().max(1)).unwrap_or(u32::MAX)
    }

    /// Returns the time that a request's statement is expected to take at an endpoint.
    pub(super) fn cost_of(&self, request: &WaitingRequest) -> Duration {
        let cost = self.costs.get(&request.head.database).copied();
        cost.unwrap_or_default()
    }
}
