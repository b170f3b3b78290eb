//! The size and the manner of a world.

use std::time::Duration;

use goldcrest_decide::group::{EndpointPlan, Group, GroupPlan};
use goldcrest_types::{Acknowledge, Consistency, Name};

/// One-way latencies.
#[derive(Debug, Clone, Copy)]
pub struct Latency {
    /// Between hosts and endpoints.
    pub endpoint: Duration,
    /// Between endpoints of a group.
    pub group: Duration,
}

/// The size and the manner of a world.
#[derive(Debug, Clone)]
pub struct WorldPlan {
    /// The seed of all random choices.
    pub seed: u64,
    /// Hosts.
    pub hosts: usize,
    /// Endpoints of the group.
    pub endpoints: usize,
    /// Clients.
    pub clients: usize,
    /// When commits are acknowledged.
    pub acknowledge: Acknowledge,
    /// What reads never go back behind.
    pub consistency: Consistency,
    /// The delay before a replica applies an entry.
    pub lag: Duration,
    /// The time that an endpoint needs for a statement.
    pub service_time: Duration,
    /// One-way latencies.
    pub latency: Latency,
    /// The pause of a client between two requests.
    pub think_time: Duration,
    /// The share of reads.
    pub read_share: f64,
    /// The share of requests before which a client goes to another host.
    pub roam_share: f64,
    /// Whether clients carry tokens.
    pub tokens: bool,
    /// Whether writes have ids of their own.
    pub repeatable: bool,
    /// The longest wait before a request is sent.
    pub start_limit: Duration,
    /// The time by which each request must have an answer.
    pub answer_limit: Duration,
}

impl Default for WorldPlan {
    fn default() -> Self {
        Self {
            seed: 1,
            hosts: 2,
            endpoints: 3,
            clients: 6,
            acknowledge: Acknowledge::Majority,
            consistency: Consistency::OwnWrites,
            lag: Duration::from_millis(20),
            service_time: Duration::from_millis(1),
            latency: Latency {
                endpoint: Duration::from_micros(500),
                group: Duration::from_micros(500),
            },
            think_time: Duration::from_millis(10),
            read_share: 0.6,
            roam_share: 0.1,
            tokens: true,
            repeatable: false,
            start_limit: Duration::from_secs(5),
            answer_limit: Duration::from_secs(10),
        }
    }
}

/// A host's group of which nothing is known yet.
pub(super) fn fresh_group(plan: &WorldPlan, host: usize, life: u64) -> Group {
    let endpoints = (0..plan.endpoints).map(|i| EndpointPlan {
        name: Name::from(format!("endpoint-{i}")),
        latency: plan.latency.endpoint,
        slots: 2,
        leaving: false,
    });
    Group::new(GroupPlan {
        name: Name::from("base"),
        endpoints: endpoints.collect(),
        acknowledge: plan.acknowledge,
        consistency: plan.consistency,
        rank: u32::try_from(host).ok(),
        seed: plan.seed ^ (host as u64) << 32 ^ life,
    })
}
