//! Orders waiting requests.
//!
//! Answers load peaks: more work arrives than the endpoints run. A request's place follows from its
//! latest start, its expected cost and its urgency. All are times, and requests move forward as they
//! age, so that nothing waits behind newer work for good.

use std::time::Duration;

use goldcrest_types::Timestamp;

use super::{FencedGroup, WaitingRequest};

/// Weight of a statement's expected cost in the order of the queue: a statement of 2.5 ms is
/// dispatched before one of 13 ms that arrived up to 0.25 s earlier.
const COST_WEIGHT: u32 = 25;

/// A request is dispatched before one of the next class of urgency that arrived up to this much earlier.
const URGENCY_STEP: Duration = Duration::from_millis(250);

impl FencedGroup {
    /// Returns a request's place in the queue.
    pub(super) fn queue_key(&self, request: &WaitingRequest) -> Timestamp {
        let head = &request.head;
        let cost = self.cost_of(request) * COST_WEIGHT;
        let urgency = URGENCY_STEP * u32::from(head.priority);
        head.start_by + cost + urgency
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
