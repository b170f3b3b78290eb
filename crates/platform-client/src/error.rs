//! Errors of the platform's services.

use goldcrest_types::Name;
use thiserror::Error;

/// Why a call of the platform failed.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// No answer came in time. The call may have taken effect.
    #[error("the platform did not answer in time")]
    Timeout,
    /// The connection failed. The call may have taken effect.
    #[error("the platform can't be reached: {0}")]
    Unreachable(#[from] cyper::Error),
    /// The platform refused the call.
    #[error("the platform answered with status {0}")]
    Status(u16),
    /// The answer can't be read.
    #[error("the platform's answer can't be read: {0}")]
    Malformed(#[from] serde_json::Error),
    /// A row was changed by another.
    #[error("row {key} was changed by another: it is at version {version}")]
    Conflict {
        /// The row.
        key: Name,
        /// Its version.
        version: u64,
    },
}
