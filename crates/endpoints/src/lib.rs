//! The side of the proxy that faces endpoints, in PostgreSQL v3.
//!
//! One task for each endpoint owns its queue and hands requests to connection tasks, each of which
//! owns one socket. A further task owns the socket for term checks, seals and promotions, so that
//! these never wait behind work.

mod adapter;
mod check;
mod connect;
mod connection;
mod error;
mod relay;
mod repeat;
mod scheduler;

use std::net::SocketAddr;

use flume::{Receiver, Sender};
use goldcrest_types::{EndpointCommand, EndpointIx, EndpointNotice, Name};

pub use crate::{adapter::STATUS_COLUMNS, error::EndpointError};

/// How to reach an endpoint, and how much of it to use.
#[derive(Debug, Clone)]
pub struct EndpointTarget {
    /// Its index in its group.
    pub ix: EndpointIx,
    /// Its name, for logs.
    pub name: Name,
    /// Its address.
    pub address: SocketAddr,
    /// The database.
    pub database: Name,
    /// The account.
    pub account: Name,
    /// Connections that this host may hold for work.
    pub connections: usize,
    /// The largest answer, in bytes.
    pub answer_bytes: usize,
}

/// The handle of an endpoint's tasks. They end when it is dropped.
#[derive(Debug, Clone)]
pub struct EndpointHandle {
    commands: Sender<EndpointCommand>,
}

impl EndpointHandle {
    /// Sends a command. It is dropped when the tasks have ended.
    pub fn send(&self, command: EndpointCommand) {
        // The tasks only end together with the group that sends.
        let _ = self.commands.send(command);
    }
}

/// Starts the tasks of an endpoint on this thread's runtime. What happens goes to `notices`.
#[must_use]
pub fn start(
    target: EndpointTarget,
    notices: Sender<(EndpointIx, EndpointNotice)>,
) -> EndpointHandle {
    let (commands, inbox): (Sender<EndpointCommand>, Receiver<_>) = flume::unbounded();
    compio::runtime::spawn(scheduler::run(target, inbox, notices)).detach();
    EndpointHandle { commands }
}
