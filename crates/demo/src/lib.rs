//! A small fleet in one process, on loopback: hosts, and stand-ins for the platform and the
//! database groups.

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

/// The content of the demo's settings file.
const BUILT_IN: &str = include_str!("demo.toml");

/// The time that opening a connection to a database stand-in takes.
pub const SETUP_TIME: Duration = Duration::from_millis(12);

/// The delay before replicas apply an entry, unless a fault sets another.
pub const REPLICA_LAG: Duration = Duration::from_millis(20);

/// Returns the demo's settings.
///
/// # Errors
///
/// Returns a [`SettingsError`] if the settings are not valid.
pub fn built_in_settings() -> Result<Settings, SettingsError> {
    parse(&Name::from("built-in settings"), BUILT_IN)
}
