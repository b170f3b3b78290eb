//! Errors of calls between hosts.

use std::io;

use tarpc::client::RpcError;
use thiserror::Error;

/// Why a call to a peer failed.
#[derive(Debug, Error)]
pub enum PeerError {
    /// The socket failed.
    #[error("the peer can't be reached: {0}")]
    Io(#[from] io::Error),
    /// The call failed.
    #[error("the call failed: {0}")]
    Call(#[from] RpcError),
    /// No answer came in time.
    #[error("the peer did not answer in time")]
    Timeout,
    /// The peer received the request but could not answer it.
    #[error("the peer could not answer")]
    Refused,
}
