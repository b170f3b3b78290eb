//! A stand-in for a database group: a primary and asynchronous replicas, with terms and log
//! positions.
//!
//! Each node is a task that owns its log and its SQLite engine. Client sessions and the other nodes
//! send it messages.

mod control;
mod engine;
mod node;
mod peers;
mod server;
mod session;
mod stutter;
mod text;
mod values;

use std::{io, net::SocketAddr, time::Duration};

use compio::net::TcpListener;
use flume::Sender;
use goldcrest_types::Name;

use self::{node::Node, peers::Message};
pub use self::{
    node::NodeError,
    stutter::{AnswerKind, Repeat, Stutter},
};

/// The parameters of a node.
#[derive(Debug, Clone)]
pub struct NodePlan {
    /// The name of the node.
    pub name: Name,
    /// The address that the node listens at.
    pub address: SocketAddr,
    /// The maximum number of connections.
    pub connections: usize,
    /// The maximum number of requests that run at once.
    pub slots: usize,
    /// The time that opening a connection takes.
    pub setup_time: Duration,
    /// The delay before a replica applies a received entry.
    pub lag: Duration,
}

/// A fault of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The process is down: connections break and new ones are refused.
    Down,
    /// The process is paused: messages wait until the fault ends.
    Frozen,
    /// The node is partitioned from its group. Clients still reach it.
    Cut,
    /// Clients do not reach the node. Its group still does.
    Hidden,
    /// The node applies received entries after this delay.
    Lag(Duration),
    /// The node sends some answers twice.
    Stutter(Stutter),
    /// No fault.
    None,
}

/// A handle to a node, for setting faults.
#[derive(Debug, Clone)]
pub struct NodeHandle {
    /// The node's name.
    pub name: Name,
    messages: Sender<Message>,
}

impl NodeHandle {
    /// Sets the current fault.
    pub fn set_fault(&self, fault: Fault) {
        // Sending fails only after the node has stopped.
        let _ = self.messages.send(Message::Fault(fault));
    }
}

/// Starts a group on this thread's runtime. The first node is the primary.
///
/// # Errors
///
/// Returns a [`NodeError`] if an address can't be bound or an engine can't be opened.
pub async fn start(plans: &[NodePlan]) -> Result<Vec<NodeHandle>, NodeError> {
    let channels: Vec<_> = plans.iter().map(|_| flume::unbounded()).collect();
    let senders: Vec<Sender<Message>> = channels.iter().map(|(s, _)| s.clone()).collect();
    let mut handles = Vec::new();
    for (ix, (plan, (messages, inbox))) in plans.iter().zip(channels).enumerate() {
        let listener = bind(plan.address).await?;
        let node = Node::new(ix, plan.clone(), senders.clone())?;
        compio::runtime::spawn(node.run(inbox)).detach();
        let accepting = server::accept(plan.clone(), Some(listener), messages.clone());
        compio::runtime::spawn(accepting).detach();
        handles.push(NodeHandle {
            name: plan.name.clone(),
            messages,
        });
    }
    Ok(handles)
}

async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address).await
}
