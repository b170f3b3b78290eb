//! Parameters of a simulated world.

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

/// The parameters of a simulated world.
#[derive(Debug, Clone)]
pub struct WorldPlan {
    /// The seed of the random generators.
    pub seed: u64,
    /// The number of hosts.
    pub hosts: usize,
    /// The number of endpoints in the database group.
    pub endpoints: usize,
    /// The number of clients.
    pub clients: usize,
    /// How many endpoints must hold a commit before it is acknowledged.
    pub acknowledge: Acknowledge,
    /// The session guarantee of reads.
    pub consistency: Consistency,
    /// The delay before a replica applies an entry.
    pub lag: Duration,
    /// The time that an endpoint needs to run a statement.
    pub service_time: Duration,
    /// One-way latencies.
    pub latency: Latency,
    /// The pause of a client between a reply and its next request.
    pub think_time: Duration,
    /// The probability that an operation outside transactions is a read.
    pub read_share: f64,
    /// The probability that a client moves to another host before a request.
    pub roam_share: f64,
    /// Whether clients carry their session token to the next host.
    pub tokens: bool,
    /// Whether writes outside transactions carry a request id that makes them safe to repeat.
    pub idempotent: bool,
    /// The longest time from the arrival of a request to its start.
    pub start_limit: Duration,
    /// The longest time from the arrival of a request to its reply.
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
            idempotent: false,
            start_limit: Duration::from_secs(5),
            answer_limit: Duration::from_secs(10),
        }
    }
}

/// Creates the group state of a host that has just started and knows nothing of its endpoints.
pub(super) fn new_group(plan: &WorldPlan, host: usize, epoch: u64) -> Group {
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
        seed: plan.seed ^ (host as u64) << 32 ^ epoch,
    })
}
