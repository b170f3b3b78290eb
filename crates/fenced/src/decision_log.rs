//! Logs decisions that fail a request or change this host's view of an endpoint or of the leader.
//!
//! Each kind of line is rate-limited. The next line of a kind says how many were dropped before it.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use goldcrest_decide::{
    concurrency::Limit,
    fenced::{Eviction, FencedGroup, Member},
};
use goldcrest_observe::{RateLimiter, excerpt};
use goldcrest_types::{
    EndpointIx, Mark, Name, Refusal, ReplicationStatus, Statement, Timestamp, Verdict,
};
use spdlog::{info, warn};

use crate::trace::Request;

/// Limit for most kinds of lines. Under the heaviest load of the users' benchmark a host refuses
/// several hundred requests per second.
const LINES_PER_SECOND: u32 = 25;

/// Limit for evicted connections.
const EVICTION_LINES_PER_SECOND: u32 = 5;

/// Limit for served requests, which are logged as a sample of normal operation.
const SERVED_LINES_PER_SECOND: u32 = 1;

/// Limit for requests that were served slowly.
const SLOW_LINES_PER_SECOND: u32 = 5;

/// A served request counts as slow if it took at least this fraction of the time until its deadline: a
/// half.
const SLOW_DIVISOR: u32 = 2;

/// A request that was sent to other hosts.
pub(crate) struct RelayedRequest<'a> {
    pub statement: &'a Statement,
    pub service: &'a str,
    /// Hosts that it was sent to.
    pub hosts: &'a [Name],
    /// Requests at other hosts that have no reply yet.
    pub running: usize,
}

/// Logs a group's decisions.
#[derive(Debug)]
pub(crate) struct DecisionLog {
    refused: RateLimiter,
    failed: RateLimiter,
    slow: RateLimiter,
    served: RateLimiter,
    endpoints: RateLimiter,
    surveys: RateLimiter,
    evictions: RateLimiter,
    limits: RateLimiter,
    /// When the limit of an endpoint last changed, as of the last call.
    changed: BTreeMap<EndpointIx, Timestamp>,
    /// Endpoints that were logged as lost.
    lost: BTreeSet<EndpointIx>,
    /// Time since which no leader has been answering.
    leaderless: Option<Timestamp>,
}

impl Default for DecisionLog {
    fn default() -> Self {
        Self {
            refused: RateLimiter::new(LINES_PER_SECOND),
            failed: RateLimiter::new(LINES_PER_SECOND),
            slow: RateLimiter::new(SLOW_LINES_PER_SECOND),
            served: RateLimiter::new(SERVED_LINES_PER_SECOND),
            endpoints: RateLimiter::new(LINES_PER_SECOND),
            surveys: RateLimiter::new(LINES_PER_SECOND),
            evictions: RateLimiter::new(EVICTION_LINES_PER_SECOND),
            limits: RateLimiter::new(LINES_PER_SECOND),
            changed: BTreeMap::new(),
            lost: BTreeSet::new(),
            leaderless: None,
        }
    }
}

impl DecisionLog {
    /// Logs a request that was refused without an answer of an endpoint.
    pub(crate) fn refused(
        &mut self,
        request: &Request,
        refusal: &Refusal,
        group: &FencedGroup,
        now: Timestamp,
    ) {
        let Some(dropped) = self.refused.admit(now) else {
            return;
        };
        let (statement, head) = (&request.statement, &request.statement.head);
        let (waiting, running) = group.load();
        let estimate = group.last_estimate().filter(|e| e.request == head.id);
        info!("request refused: {}", refusal, kv: {
            request = excerpt(&statement.label),
            service = group.config().name.as_str(),
            workspace = head.workspace.as_str(),
            database = head.database.as_str(),
            kind = format!("{:?}", head.kind).as_str(),
            floor = format!("{:?}", head.floor).as_str(),
            age_ms = milliseconds(head.max_age),
            after_ms = milliseconds(Some(now.since(head.arrived))),
            leader = leader(group).as_str(),
            leader_failing = group.leader().is_some_and(Member::is_failing),
            sample_age_ms = milliseconds(group.sample_age(now)),
            waiting = waiting,
            running = running,
            share = group.config().share,
            tries = request.attempts().as_str(),
            needed_ms = milliseconds(estimate.map(|e| e.needed)),
            left_ms = milliseconds(estimate.map(|e| e.left)),
            measured_ms = milliseconds(estimate.map(|e| now.since(e.since))),
            dropped = dropped,
        });
    }

    /// Logs a request that an endpoint answered.
    pub(crate) fn answered(
        &mut self,
        request: &Request,
        verdict: &Verdict,
        group: &FencedGroup,
        now: Timestamp,
    ) {
        let head = &request.statement.head;
        let elapsed = now.since(head.arrived);
        let slow = elapsed * SLOW_DIVISOR >= head.deadline.since(head.arrived);
        let (limit, what) = match verdict {
            Verdict::Done if slow => (&mut self.slow, "request served slowly"),
            Verdict::Done => (&mut self.served, "request served"),
            _ => (&mut self.failed, "request failed at its endpoint"),
        };
        let Some(dropped) = limit.admit(now) else {
            return;
        };
        let (waiting, running) = group.load();
        info!("{}", what, kv: {
            request = excerpt(&request.statement.label),
            service = group.config().name.as_str(),
            workspace = head.workspace.as_str(),
            database = head.database.as_str(),
            kind = format!("{:?}", head.kind).as_str(),
            floor = format!("{:?}", head.floor).as_str(),
            age_ms = milliseconds(head.max_age),
            after_ms = milliseconds(Some(elapsed)),
            sample_age_ms = milliseconds(group.sample_age(now)),
            waiting = waiting,
            running = running,
            tries = request.attempts().as_str(),
            dropped = dropped,
        });
    }

    /// Logs a connection that was closed in favour of another workspace.
    pub(crate) fn evicted(&mut self, eviction: &Eviction, group: &FencedGroup, now: Timestamp) {
        let Some(dropped) = self.evictions.admit(now) else {
            return;
        };
        let member = group.members().iter().find(|m| m.ix == eviction.endpoint);
        info!("connection evicted", kv: {
            service = group.config().name.as_str(),
            endpoint = member.map_or("", |m| m.name().as_str()),
            workspace = eviction.from.as_str(),
            needed_by = eviction.to.as_str(),
            idle_ms = milliseconds(Some(eviction.idle)),
            share = group.config().share,
            dropped = dropped,
        });
    }

    /// Logs when a leader answers again after an outage. Returns how long the outage was.
    pub(crate) fn check_leader(&mut self, group: &FencedGroup, now: Timestamp) -> Option<Duration> {
        let healthy = group.leader().is_some_and(|m| !m.is_failing());
        match (healthy, self.leaderless) {
            (false, None) => self.leaderless = Some(now),
            (true, Some(since)) => {
                self.leaderless = None;
                let duration = now.since(since);
                info!("leader answers", kv: {
                    service = group.config().name.as_str(),
                    endpoint = leader(group).as_str(),
                    without_ms = milliseconds(Some(duration)),
                });
                return Some(duration);
            }
            _ => {}
        }
        None
    }

    /// Logs a relayed request that was refused without a reply of an owner.
    pub(crate) fn relay_refused(
        &mut self,
        relayed: &RelayedRequest<'_>,
        refusal: &Refusal,
        now: Timestamp,
    ) {
        let Some(dropped) = self.refused.admit(now) else {
            return;
        };
        let head = &relayed.statement.head;
        info!("relayed request refused: {}", refusal, kv: {
            request = excerpt(&relayed.statement.label),
            service = relayed.service,
            workspace = head.workspace.as_str(),
            database = head.database.as_str(),
            kind = format!("{:?}", head.kind).as_str(),
            after_ms = milliseconds(Some(now.since(head.arrived))),
            hosts = relayed.hosts.join(", ").as_str(),
            running = relayed.running,
            dropped = dropped,
        });
    }

    /// Logs that an endpoint proved to be the leader.
    pub(crate) fn leader_proved(group: &FencedGroup, endpoint: &str, term: u64) {
        info!("leader known", kv: {
            service = group.config().name.as_str(),
            endpoint = endpoint,
            term = term,
        });
    }

    /// Logs an endpoint's answer to a command of a survey: the positions from which the successor is
    /// chosen, and whether the endpoint still receives.
    pub(crate) fn replication_status(
        &mut self,
        service: &str,
        endpoint: &str,
        answer: &str,
        status: Option<ReplicationStatus>,
        now: Timestamp,
    ) {
        let Some(dropped) = self.surveys.admit(now) else {
            return;
        };
        let held = mark(status.map(|s| s.held));
        let role = status.map(|s| format!("{:?}", s.role)).unwrap_or_default();
        info!("replication status: {}", answer, kv: {
            service,
            endpoint,
            role = role.as_str(),
            position = held.as_str(),
            known_term = status.map_or(-1, |s| i64::try_from(s.term.0).unwrap_or(i64::MAX)),
            paused_at = status.map_or(-1, |s| i64::try_from(s.paused.0).unwrap_or(i64::MAX)),
            dropped,
        });
    }

    /// Logs endpoints that were lost or regained since the last call.
    pub(crate) fn check_endpoints(&mut self, group: &FencedGroup, now: Timestamp) {
        for member in group.members() {
            let was_lost = self.lost.contains(&member.ix);
            if member.is_failing() == was_lost {
                continue;
            }
            let Some(dropped) = self.endpoints.admit(now) else {
                return;
            };
            let service = group.config().name.as_str();
            let (endpoint, position) = (member.name().as_str(), mark(member.mark));
            if member.is_failing() {
                self.lost.insert(member.ix);
                warn!("endpoint lost", kv: {
                    service, endpoint, position = position.as_str(), dropped
                });
            } else {
                self.lost.remove(&member.ix);
                info!("endpoint regained", kv: {
                    service, endpoint, position = position.as_str(), dropped
                });
            }
        }
    }

    /// Logs the limits of concurrent statements that changed since the last call, with what decided it.
    pub(crate) fn check_limits(&mut self, group: &FencedGroup, now: Timestamp) {
        for member in group.members() {
            let Some(change) = member.limit().and_then(Limit::last_change) else {
                continue;
            };
            if self.changed.insert(member.ix, change.at) == Some(change.at) {
                continue;
            }
            let Some(dropped) = self.limits.admit(now) else {
                continue;
            };
            info!("endpoint limit changed", kv: {
                service = group.config().name.as_str(),
                endpoint = member.name().as_str(),
                from = change.from,
                to = change.to,
                cause = format!("{:?}", change.cause).as_str(),
                mean_us = microseconds(change.mean),
                usual_us = microseconds(change.usual),
                answers = change.answers,
                failures = change.failures,
                oldest_ms = milliseconds(Some(now.since(change.since))),
                dropped = dropped,
            });
        }
    }
}

fn leader(group: &FencedGroup) -> Name {
    group
        .leader()
        .map_or_else(|| Name::from("none"), |m| m.name().clone())
}

fn mark(mark: Option<Mark>) -> String {
    mark.map_or_else(
        || "unknown".to_owned(),
        |m| format!("{}.{}", m.term.0, m.position.0),
    )
}

/// Converts a duration to milliseconds, or returns -1 if there is none.
fn milliseconds(duration: Option<Duration>) -> i64 {
    duration.map_or(-1, |d| i64::try_from(d.as_millis()).unwrap_or(i64::MAX))
}

/// Converts a duration to microseconds, or returns -1 if there is none.
fn microseconds(duration: Option<Duration>) -> i64 {
    duration.map_or(-1, |d| i64::try_from(d.as_micros()).unwrap_or(i64::MAX))
}
