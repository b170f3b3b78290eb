//! Refuses requests at their arrival that can't be served in time.
//!
//! Answers overload that lasts: what waits ahead takes longer than a request may wait. A client that is
//! told so at once can go elsewhere or return later; one that is held until its latest start can't.

use std::time::Duration;

use goldcrest_types::{NotRun, RequestId, Timestamp};

use super::{Actions, FencedGroup, WaitingRequest};
use crate::retry;

/// Length of the intervals over which the rate of service is measured.
const RATE_INTERVAL: Duration = Duration::from_millis(250);

/// Number of intervals that a measured rate is remembered for.
const RATE_INTERVALS: u32 = 4;

/// A request is refused at its arrival if the work ahead of it takes longer than this share of the time
/// that it may wait, in percent. Some of that work is cancelled, and the rate may rise.
const CERTAIN_PERCENT: u32 = 150;

/// Why a request was refused at its arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Estimate {
    /// The request.
    pub request: RequestId,
    /// How long the endpoints take for the work ahead of it.
    pub needed: Duration,
    /// How long it may wait.
    pub left: Duration,
    /// Since when the rate of service has been measured.
    pub since: Timestamp,
}

/// The work that the endpoints do while requests wait for them all the time.
#[derive(Debug, Clone, Default)]
pub(super) struct ServiceRate {
    /// Since when requests have waited all the time.
    saturated: Option<Timestamp>,
    /// Start of the interval under way, if requests have waited all the time since.
    since: Option<Timestamp>,
    /// Work that was answered since, in statements of average cost.
    done: f64,
    /// The same of the last whole intervals, newest last.
    recent: [f64; RATE_INTERVALS as usize],
}

impl ServiceRate {
    /// Records whether requests wait for a connection of an endpoint.
    pub(super) fn record_queue(&mut self, waits: bool, now: Timestamp) {
        if !waits {
            *self = Self::default();
            return;
        }
        self.saturated = self.saturated.or(Some(now));
        let since = *self.since.get_or_insert(now);
        let elapsed = now.since(since);
        if elapsed >= RATE_INTERVAL {
            self.recent.rotate_left(1);
            let whole = elapsed.as_secs_f64() / RATE_INTERVAL.as_secs_f64();
            if let Some(newest) = self.recent.last_mut() {
                *newest = self.done / whole;
            }
            (self.since, self.done) = (Some(now), 0.0);
        }
    }

    /// Records that work was answered.
    pub(super) fn record_answer(&mut self, work: f64) {
        if self.since.is_some() {
            self.done += work;
        }
    }

    /// Returns how long the endpoints take for `work` at the highest rate that was measured lately, or
    /// `None` if none is known.
    fn time_for(&self, work: f64) -> Option<Duration> {
        let best = self.recent.iter().copied().fold(0.0, f64::max);
        (best > 0.0).then(|| RATE_INTERVAL.mul_f64(work / best))
    }
}

impl FencedGroup {
    /// Returns why the last request that was refused at its arrival was refused.
    #[must_use]
    pub fn last_estimate(&self) -> Option<Estimate> {
        self.last_estimate
    }

    /// Records which kinds of requests wait only because all connections are in use.
    pub(super) fn record_queues(&mut self, now: Timestamp) {
        for any in [false, true] {
            let mut kind = self.waiting.iter().filter(|w| w.allows_replica() == any);
            let waits = kind.any(|w| w.reason == NotRun::Late);
            self.rates[usize::from(any)].record_queue(waits, now);
        }
    }

    /// Records an answer for the rate of service.
    pub(super) fn record_work(&mut self, request: &WaitingRequest) {
        let work = self.work_of(request);
        self.rates[usize::from(request.allows_replica())].record_answer(work);
    }

    /// Refuses a request that arrives when the work ahead of it takes far longer than it may wait, with
    /// the time after which there is room again. Returns whether it did.
    ///
    /// In force where endpoints are limited, and for requests of workspaces.
    pub(super) fn refuse_hopeless(
        &mut self,
        request: &WaitingRequest,
        now: Timestamp,
        out: &mut Actions,
    ) -> bool {
        let (key, any) = (self.queue_key(request), request.allows_replica());
        let ahead = self
            .waiting
            .iter()
            .filter(|w| w.queue_key <= key && w.allows_replica() == any);
        let work = ahead.map(|w| self.work_of(w)).sum();
        let left = request.head.start_by.since(now);
        let in_force = self.config.limited || !request.head.workspace.is_empty();
        if !in_force || self.may_grow(any, now) {
            return false;
        }
        let Some(needed) = self.rates[usize::from(any)].time_for(work) else {
            return false;
        };
        if needed <= left * CERTAIN_PERCENT / 100 {
            return false;
        }
        let retry = retry::return_time(needed.saturating_sub(left), request.head.id);
        let since = self.rates[usize::from(any)].saturated.unwrap_or(now);
        self.last_estimate = Some(Estimate {
            request: request.head.id,
            needed,
            left,
            since: since.max(now.before(RATE_INTERVAL * (RATE_INTERVALS + 1))),
        });
        self.counts.refused_early += 1;
        self.refuse_until(request, NotRun::Late, retry, out);
        true
    }

    /// Returns how dear a request is in comparison with others. Unlike their times, that stays as it is
    /// while endpoints get slower or faster.
    fn work_of(&self, request: &WaitingRequest) -> f64 {
        let (own, mean) = (self.cost_of(request), self.mean_cost());
        if own.is_zero() || mean.is_zero() {
            return 1.0;
        }
        own.as_secs_f64() / mean.as_secs_f64()
    }

    /// Whether this host may soon have more connections to an endpoint that serves such requests, so that
    /// the rate that was measured says little.
    fn may_grow(&self, any: bool, now: Timestamp) -> bool {
        let limit = self.share_at(now) + self.borrowable;
        let mut serving = self
            .members
            .iter()
            .filter(|m| any || self.leader == Some(m.ix));
        serving.any(|m| m.opening() > 0 || m.may_grow(limit))
    }
}
