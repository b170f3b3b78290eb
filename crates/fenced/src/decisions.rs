//! One log line for each decision that fails a request or changes what the host believes.
//!
//! Lines of one kind are limited to a number a second; the next line tells how many were left out.

use std::{collections::BTreeSet, time::Duration};

use goldcrest_decide::fenced::{Cluster, Member};
use goldcrest_observe::RateLimiter;
use goldcrest_types::{EndpointIx, Mark, Name, Refusal, Statement, Timestamp, Verdict};
use spdlog::{info, warn};

use crate::trace::Request;

/// Lines of one kind in a second. At the heaviest load seen on the users' bench a host refuses
/// some hundred requests a second.
const LINES_A_SECOND: u32 = 25;

/// Lines a second about requests that were served, as a sample of what is usual.
const SERVED_A_SECOND: u32 = 1;

/// Lines a second about requests that were served slowly.
const SLOW_A_SECOND: u32 = 5;

/// The part of its time after which a request that was served counts as slow.
const SLOW_PART: u32 = 2;

/// A request that other hosts were to run.
pub(crate) struct Relayed<'a> {
    pub statement: &'a Statement,
    pub service: &'a str,
    /// The hosts that it was sent to.
    pub hosts: &'a [Name],
    /// Requests under way at other hosts.
    pub running: usize,
}

/// Writes a group's decisions.
#[derive(Debug)]
pub(crate) struct Decisions {
    refused: RateLimiter,
    failed: RateLimiter,
    slow: RateLimiter,
    served: RateLimiter,
    endpoints: RateLimiter,
    lost: BTreeSet<EndpointIx>,
    /// Since when there has been no leader that answers.
    leaderless: Option<Timestamp>,
}

impl Default for Decisions {
    fn default() -> Self {
        Self {
            refused: RateLimiter::new(LINES_A_SECOND),
            failed: RateLimiter::new(LINES_A_SECOND),
            slow: RateLimiter::new(SLOW_A_SECOND),
            served: RateLimiter::new(SERVED_A_SECOND),
            endpoints: RateLimiter::new(LINES_A_SECOND),
            lost: BTreeSet::new(),
            leaderless: None,
        }
    }
}

impl Decisions {
    /// A request gets no answer of an endpoint.
    pub(crate) fn refused(
        &mut self,
        request: &Request,
        refusal: &Refusal,
        cluster: &Cluster,
        now: Timestamp,
    ) {
        let Some(dropped) = self.refused.admit(now) else {
            return;
        };
        let (statement, head) = (&request.statement, &request.statement.head);
        let (waiting, running) = cluster.load();
        info!("request refused: {}", refusal, kv: {
            request = statement.label.as_str(),
            service = cluster.plan().name.as_str(),
            database = head.workspace.as_str(),
            kind = format!("{:?}", head.kind).as_str(),
            floor = format!("{:?}", head.floor).as_str(),
            age_ms = milliseconds(head.max_age),
            after_ms = milliseconds(Some(now.since(head.arrived))),
            leader = leader(cluster).as_str(),
            leader_failing = cluster.leader().is_some_and(Member::is_failing),
            sample_age_ms = milliseconds(cluster.sample_age(now)),
            waiting = waiting,
            running = running,
            share = cluster.plan().share,
            tries = request.tries().as_str(),
            dropped = dropped,
        });
    }

    /// A request got an endpoint's answer.
    pub(crate) fn answered(
        &mut self,
        request: &Request,
        verdict: &Verdict,
        cluster: &Cluster,
        now: Timestamp,
    ) {
        let head = &request.statement.head;
        let took = now.since(head.arrived);
        let slow = took * SLOW_PART >= head.deadline.since(head.arrived);
        let (limit, what) = match verdict {
            Verdict::Done if slow => (&mut self.slow, "request served slowly"),
            Verdict::Done => (&mut self.served, "request served"),
            _ => (&mut self.failed, "request failed at its endpoint"),
        };
        let Some(dropped) = limit.admit(now) else {
            return;
        };
        let (waiting, running) = cluster.load();
        info!("{}", what, kv: {
            request = request.statement.label.as_str(),
            service = cluster.plan().name.as_str(),
            database = head.workspace.as_str(),
            kind = format!("{:?}", head.kind).as_str(),
            floor = format!("{:?}", head.floor).as_str(),
            age_ms = milliseconds(head.max_age),
            after_ms = milliseconds(Some(took)),
            sample_age_ms = milliseconds(cluster.sample_age(now)),
            waiting = waiting,
            running = running,
            tries = request.tries().as_str(),
            dropped = dropped,
        });
    }

    /// Looks whether the group has a leader that answers. Returns how long it had none, when it has
    /// one again.
    pub(crate) fn leadership(&mut self, cluster: &Cluster, now: Timestamp) -> Option<Duration> {
        let healthy = cluster.leader().is_some_and(|m| !m.is_failing());
        match (healthy, self.leaderless) {
            (false, None) => self.leaderless = Some(now),
            (true, Some(since)) => {
                self.leaderless = None;
                let span = now.since(since);
                info!("leader answers", kv: {
                    service = cluster.plan().name.as_str(),
                    endpoint = leader(cluster).as_str(),
                    without_ms = milliseconds(Some(span)),
                });
                return Some(span);
            }
            _ => {}
        }
        None
    }

    /// A request gets no answer of the hosts that own its group.
    pub(crate) fn relay_refused(
        &mut self,
        relayed: &Relayed<'_>,
        refusal: &Refusal,
        now: Timestamp,
    ) {
        let Some(dropped) = self.refused.admit(now) else {
            return;
        };
        let head = &relayed.statement.head;
        info!("relayed request refused: {}", refusal, kv: {
            request = relayed.statement.label.as_str(),
            service = relayed.service,
            database = head.workspace.as_str(),
            kind = format!("{:?}", head.kind).as_str(),
            after_ms = milliseconds(Some(now.since(head.arrived))),
            hosts = relayed.hosts.join(", ").as_str(),
            running = relayed.running,
            dropped = dropped,
        });
    }

    /// An endpoint proved that it leads.
    pub(crate) fn leads(cluster: &Cluster, endpoint: &str, term: u64) {
        info!("leader known", kv: {
            service = cluster.plan().name.as_str(),
            endpoint = endpoint,
            term = term,
        });
    }

    /// Tells of endpoints that were lost or regained since the last look.
    pub(crate) fn endpoints(&mut self, cluster: &Cluster, now: Timestamp) {
        for member in cluster.members() {
            let known = self.lost.contains(&member.ix);
            if member.is_failing() == known {
                continue;
            }
            let Some(dropped) = self.endpoints.admit(now) else {
                return;
            };
            let service = cluster.plan().name.as_str();
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
}

fn leader(cluster: &Cluster) -> Name {
    cluster
        .leader()
        .map_or_else(|| Name::from("none"), |m| m.name().clone())
}

fn mark(mark: Option<Mark>) -> String {
    mark.map_or_else(
        || "unknown".to_owned(),
        |m| format!("{}.{}", m.term.0, m.position.0),
    )
}

/// Milliseconds, or minus one where nothing is known.
fn milliseconds(span: Option<Duration>) -> i64 {
    span.map_or(-1, |s| i64::try_from(s.as_millis()).unwrap_or(i64::MAX))
}
