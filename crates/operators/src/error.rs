//! Errors of operators' requests.

use thiserror::Error;

use crate::ChangeError;

/// Why an operator's request failed.
#[derive(Debug, Error)]
pub enum OperatorError {
    /// The host can't be reached.
    #[error("the host can't be reached: {0}")]
    Unreachable(#[from] cyper::Error),
    /// The answer can't be parsed.
    #[error("the host's answer can't be read: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The host does not accept the key.
    #[error("the operators' key is wrong")]
    Unauthorized,
    /// The host did not make the change, or does not know whether it took effect.
    #[error(transparent)]
    Refused(#[from] ChangeError),
    /// The host answered with an unexpected status.
    #[error("the host answered with status {0}")]
    Status(u16),
}
