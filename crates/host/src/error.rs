//! Errors of a host.

use std::{io, net::SocketAddr};

use goldcrest_platform_client::PlatformError;
use thiserror::Error;

/// Why a host can't start.
#[derive(Debug, Error)]
pub enum HostError {
    /// An address can't be listened at.
    #[error("can't listen at {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The platform's client can't be set up.
    #[error(transparent)]
    Platform(#[from] PlatformError),
}
