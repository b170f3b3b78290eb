//! One host: its groups, its front towards callers, and the controller that joins it to the fleet.

mod admit;
mod controller;
mod error;
mod group;
mod host;
mod plan;
mod status;

pub use crate::{
    error::HostError,
    host::{Host, start},
};
pub use goldcrest_clock::Clock;
pub use goldcrest_peers::Timer;
