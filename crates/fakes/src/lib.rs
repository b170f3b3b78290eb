//! Fakes at the interfaces of the decisions: a database group's rules, and a small world in virtual
//! time that drives several hosts' decisions with no socket at all.

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
