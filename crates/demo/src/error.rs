//! Errors at the start of a fleet.

use std::io;

use goldcrest_host::HostError;
use goldcrest_settings::SettingsError;
use goldcrest_standins::database::NodeError;
use thiserror::Error;

/// An error at the start of a fleet.
#[derive(Debug, Error)]
pub enum DemoError {
    /// A host can't start.
    #[error(transparent)]
    Host(#[from] HostError),
    /// A database stand-in can't start.
    #[error(transparent)]
    Node(#[from] NodeError),
    /// The settings are not valid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The platform stand-in or the runtime can't start.
    #[error("a stand-in can't start: {0}")]
    Io(#[from] io::Error),
    /// The fleet's thread stopped before the fleet had started.
    #[error("the fleet's thread stopped before the fleet had started")]
    Stopped,
}
