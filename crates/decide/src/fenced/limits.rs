//! Follows how many statements each endpoint takes well at once, from the answers that it gives.
//!
//! Statements that an endpoint's log is too old for, and health checks, are not counted: neither says
//! how fast it runs statements.

use std::time::Duration;

use goldcrest_types::{EndpointIx, Timestamp};

use super::{FencedGroup, Member, RunningRequest, WaitingRequest};
use crate::concurrency::Limit;

impl FencedGroup {
    /// Records how long an endpoint took for a statement, in proportion to how dear the statements of
    /// its database are.
    pub(super) fn record_served(&mut self, run: &RunningRequest, took: Duration, now: Timestamp) {
        if !self.config.limited {
            return;
        }
        let database = &run.request.head.database;
        let own = self.costs.get(database).copied().unwrap_or(took);
        let (own, mean) = (own.as_secs_f64(), self.mean_cost().as_secs_f64());
        let comparable = if own > 0.0 {
            took.mul_f64(mean / own)
        } else {
            took
        };
        self.update_limit(run.endpoint, |limit| {
            limit.record_answer(run.sent_at, comparable, now);
        });
    }

    /// Records a statement that failed, was left unanswered or found no free slot.
    pub(super) fn record_failed(&mut self, run: &RunningRequest, now: Timestamp) {
        self.update_limit(run.endpoint, |limit| limit.record_failure(run.sent_at, now));
    }

    /// Records that a request waits because of an endpoint's limit.
    pub(super) fn record_held_back(&mut self, endpoint: EndpointIx, request: &mut WaitingRequest) {
        if !std::mem::replace(&mut request.held_back, true) {
            self.counts.held_back += 1;
        }
        self.update_limit(endpoint, Limit::record_reached);
    }

    /// Updates the limit of an endpoint, if it has one.
    fn update_limit<F>(&mut self, endpoint: EndpointIx, update: F)
    where
        F: FnOnce(&mut Limit),
    {
        let limit = self.member_mut(endpoint).and_then(|m| m.limit.as_mut());
        let Some(limit) = limit else { return };
        let before = limit.current();
        update(limit);
        let after = limit.current();
        if after < before {
            self.counts.limits_lowered += 1;
        }
        if after > before {
            self.counts.limits_raised += 1;
        }
    }
}

impl Member {
    /// Returns how many statements of this host the endpoint takes well at once, if that is limited.
    #[must_use]
    pub fn limit(&self) -> Option<&Limit> {
        self.limit.as_ref()
    }

    /// Whether the limit of concurrent statements allows another one.
    pub(super) fn has_room(&self) -> bool {
        let running = self.running();
        self.limit.as_ref().is_none_or(|l| l.allows(running))
    }

    /// Returns how many statements of this host may run there at once.
    pub(super) fn width(&self) -> u32 {
        let connections = u32::try_from(self.connections.len().max(1)).unwrap_or(u32::MAX);
        let limit = self.limit.as_ref().map_or(u32::MAX, Limit::current);
        connections.min(limit)
    }
}
