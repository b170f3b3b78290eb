//! Errors of calls to the platform.

use goldcrest_types::Name;
use thiserror::Error;

/// Why a call to the platform failed.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// No answer came in time. The call may have taken effect.
    #[error("the platform did not answer in time")]
    Timeout,
    /// The connection failed. The call may have taken effect.
    #[error("the platform can't be reached: {0}")]
    Unreachable(#[from] cyper::Error),
    /// The platform answered with an unexpected HTTP status.
    #[error("the platform answered with status {0}")]
    Status(u16),
    /// The answer can't be parsed.
    #[error("the platform's answer can't be read: {0}")]
    Malformed(#[from] serde_json::Error),
    /// A row has another version than the transaction expected.
    #[error("row {key} was changed by another write: it is at version {version}")]
    Conflict {
        /// The row's key.
        key: Name,
        /// The version that it has.
        version: u64,
    },
}
