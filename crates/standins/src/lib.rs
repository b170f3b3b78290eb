//! Stand-ins for the external systems: database groups and the platform.
//!
//! They implement the published protocols, and faults can be switched on for each of them.

pub mod database;
pub mod faults;
pub mod platform;
pub mod proxy;
