//! A small fleet in one process: the platform, database groups and hosts, all on loopback.

mod error;
mod fleet;
mod thread;

use std::time::Duration;

use goldcrest_settings::{Settings, SettingsError, parse};
use goldcrest_types::Name;

pub use crate::{
    error::DemoError,
    fleet::{Fleet, host_settings},
    thread::FleetThread,
};

/// The built-in settings: Cascade Hearth's service.
const BUILT_IN: &str = include_str!("demo.toml");

/// The time that a new connection to a stand-in takes.
pub const SETUP_TIME: Duration = Duration::from_millis(12);

/// The replicas' delay until a fault sets another.
pub const REPLICA_LAG: Duration = Duration::from_millis(20);

/// The built-in settings.
///
/// # Errors
///
/// [`SettingsError`] when they are not in order.
pub fn built_in_settings() -> Result<Settings, SettingsError> {
    parse(&Name::from("built-in settings"), BUILT_IN)
}
