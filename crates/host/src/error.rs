//! Errors of starting a host.

use std::{io, net::SocketAddr};

use goldcrest_platform_client::PlatformError;
use thiserror::Error;

/// Why a host can't start.
#[derive(Debug, Error)]
pub enum HostError {
    /// A listener can't be bound to an address.
    #[error("can't listen on {address}: {source}")]
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
