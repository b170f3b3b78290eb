//! One log line for each decision that fails a request or changes what the host believes.
//!
//! Lines of one kind are limited to a number a second; the next line tells how many were left out.

use std::{collections::BTreeSet, time::Duration};

use goldcrest_decide::fenced::{Cluster, Member};
use goldcrest_types::{EndpointIx, Mark, Moment, Name, Refusal, Statement};
use spdlog::{info, warn};

/// Lines of one kind in a second. At the heaviest load seen on the users' bench a host refuses
/// some hundred requests a second.
const LINES_A_SECOND: u32 = 25;

/// The time for which lines are counted together.
const WINDOW: Duration = Duration::from_secs(1);

/// Limits the lines of one kind.
#[derive(Debug, Clone, Default)]
struct Limit {
    since: Moment,
    lines: u32,
    dropped: u32,
}

impl Limit {
    /// Whether a line may be written now, and how many were left out before it.
    fn admit(&mut self, now: Moment) -> Option<u32> {
        if now.since(self.since) >= WINDOW {
            self.since = now;
            self.lines = 0;
        }
        if self.lines >= LINES_A_SECOND {
            self.dropped += 1;
            return None;
        }
        self.lines += 1;
        Some(std::mem::take(&mut self.dropped))
    }
}

/// Writes a group's decisions.
#[derive(Debug, Default)]
pub(crate) struct Decisions {
    refused: Limit,
    endpoints: Limit,
    lost: BTreeSet<EndpointIx>,
}

impl Decisions {
    /// A request gets no answer of an endpoint.
    pub(crate) fn refused(
        &mut self,
        statement: &Statement,
        refusal: &Refusal,
        cluster: &Cluster,
        now: Moment,
    ) {
        let Some(dropped) = self.refused.admit(now) else {
            return;
        };
        let head = &statement.head;
        let (waiting, running) = cluster.load();
        info!("request refused: {}", refusal, kv: {
            request = statement.label.as_str(),
            service = cluster.plan().name.as_str(),
            database = head.workspace.as_str(),
            kind = format!("{:?}", head.kind).as_str(),
            floor = format!("{:?}", head.floor).as_str(),
            age_ms = milliseconds(head.age),
            after_ms = milliseconds(Some(now.since(head.arrived))),
            leader = leader(cluster).as_str(),
            leader_failing = cluster.leader().is_some_and(Member::is_failing),
            sample_age_ms = milliseconds(cluster.sample_age(now)),
            waiting = waiting,
            running = running,
            share = cluster.plan().share,
            dropped = dropped,
        });
    }

    /// A request gets no answer of the hosts that own its group.
    pub(crate) fn relay_refused(
        &mut self,
        statement: &Statement,
        refusal: &Refusal,
        service: &str,
        running: usize,
        now: Moment,
    ) {
        let Some(dropped) = self.refused.admit(now) else {
            return;
        };
        let head = &statement.head;
        info!("relayed request refused: {}", refusal, kv: {
            request = statement.label.as_str(),
            service = service,
            database = head.workspace.as_str(),
            kind = format!("{:?}", head.kind).as_str(),
            after_ms = milliseconds(Some(now.since(head.arrived))),
            running = running,
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
    pub(crate) fn endpoints(&mut self, cluster: &Cluster, now: Moment) {
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
