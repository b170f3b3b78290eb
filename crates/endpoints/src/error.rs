//! Errors on connections to endpoints.

use goldcrest_wire::WireError;
use thiserror::Error;

/// Why an endpoint can't be used.
#[derive(Debug, Error)]
pub enum EndpointError {
    /// The socket failed or a message could not be decoded.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// The endpoint did not answer in time.
    #[error("the endpoint did not answer in time")]
    Timeout,
    /// The endpoint refused the connection or a statement.
    #[error("the endpoint answered {code}: {text}")]
    Refused {
        /// The error's SQLSTATE.
        code: String,
        /// The error's text.
        text: String,
    },
    /// The endpoint requires an authentication method that is not supported.
    #[error("the endpoint requires an unsupported authentication method")]
    Authentication,
    /// The endpoint violated the protocol, with what was expected or seen.
    #[error("unexpected answer: {0}")]
    Unexpected(&'static str),
    /// An answer does not belong to the request that is running, with what shows it.
    #[error("the answers are out of step with the requests: {0}")]
    Desynchronized(&'static str),
}

impl From<std::io::Error> for EndpointError {
    fn from(source: std::io::Error) -> Self {
        Self::Wire(source.into())
    }
}
