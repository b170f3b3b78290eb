//! The PostgreSQL v3 client that connects the proxy to its endpoints.
//!
//! One task for each endpoint owns its queue and assigns requests to connection tasks, each of
//! which owns one socket. Another task owns the socket for term checks, seals and promotions, so
//! that these never wait behind requests.

mod answer;
mod check;
mod connect;
mod connection;
mod dialect;
mod error;
mod grammar;
mod idempotency;
mod marker;
mod scheduler;

use std::net::SocketAddr;

use flume::{Receiver, Sender};
use goldcrest_types::{EndpointCommand, EndpointIx, EndpointNotice, Name};

pub use crate::{dialect::STATUS_COLUMNS, error::EndpointError};

/// How to reach an endpoint, and how much of its capacity to use.
#[derive(Debug, Clone)]
pub struct EndpointTarget {
    /// Its index in its group.
    pub ix: EndpointIx,
    /// Its name in log lines.
    pub name: Name,
    /// Its address.
    pub address: SocketAddr,
    /// The database to connect to.
    pub database: Name,
    /// The account to connect as.
    pub account: Name,
    /// The largest number of connections that this host may open for requests.
    pub connections: usize,
    /// The largest answer, in bytes.
    pub answer_bytes: usize,
}

/// A handle to an endpoint's tasks, which end when it is dropped.
#[derive(Debug, Clone)]
pub struct EndpointHandle {
    commands: Sender<EndpointCommand>,
}

impl EndpointHandle {
    /// Sends a command. After the tasks have ended it is dropped.
    pub fn send(&self, command: EndpointCommand) {
        // The tasks run as long as the group that sends the commands.
        let _ = self.commands.send(command);
    }
}

/// Starts the tasks of an endpoint on this thread's runtime. They report to `notices`.
#[must_use]
pub fn start(
    target: EndpointTarget,
    notices: Sender<(EndpointIx, EndpointNotice)>,
) -> EndpointHandle {
    let (commands, receiver): (Sender<EndpointCommand>, Receiver<_>) = flume::unbounded();
    compio::runtime::spawn(scheduler::run(target, receiver, notices)).detach();
    EndpointHandle { commands }
}
