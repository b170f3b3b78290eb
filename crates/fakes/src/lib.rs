//! Test doubles for the decision crates: the replication rules of a database group, and a
//! deterministic simulation that drives the decisions of several hosts in virtual time, without
//! sockets.

mod clients;
mod endpoint;
mod faults;
mod gossip;
mod invariants;
mod replica;
mod table;
mod world;

pub use crate::{
    clients::{Client, ClientOutcome, Op, Record},
    faults::{Fault, Step},
    gossip::{GossipPlan, GossipWorld},
    invariants::{lost_writes, violations},
    replica::{Heartbeat, HeartbeatOutcome, Replica},
    world::{Latency, World, WorldPlan},
};
