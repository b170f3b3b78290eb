//! One host: its database groups, its front end for clients, and the controller that makes it a
//! member of the fleet.

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
