//! A database group: a primary and asynchronous replicas with terms and log positions.
//!
//! Each node is a task that owns its log and its SQLite engine. Callers' sessions and the other
//! nodes reach it by message.

mod control;
mod engine;
mod node;
mod peers;
mod server;
mod session;
mod text;
mod values;

use std::{io, net::SocketAddr, time::Duration};

use compio::net::TcpListener;
use flume::Sender;
use goldcrest_types::Name;

pub use self::node::NodeError;
use self::{node::Node, peers::Message};

/// How a node of a group behaves.
#[derive(Debug, Clone)]
pub struct NodePlan {
    /// Its name.
    pub name: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Connections that it takes.
    pub connections: usize,
    /// Requests that it runs at once.
    pub slots: usize,
    /// The time that a new connection takes.
    pub setup_time: Duration,
    /// The delay before a replica applies what it received.
    pub lag: Duration,
}

/// A fault of one node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The process is dead: connections break and none are taken.
    Down,
    /// The process is paused: it answers nobody.
    Frozen,
    /// It is cut off from its group, and callers still reach it.
    Cut,
    /// Callers do not reach it, and its group does.
    Hidden,
    /// It applies what it received after this delay.
    Lag(Duration),
    /// No fault.
    None,
}

/// The handle of one node. It ends when it is dropped.
#[derive(Debug, Clone)]
pub struct NodeHandle {
    /// The node's name.
    pub name: Name,
    messages: Sender<Message>,
}

impl NodeHandle {
    /// Switches a fault.
    pub fn set_fault(&self, fault: Fault) {
        // A node that has ended has no faults.
        let _ = self.messages.send(Message::Fault(fault));
    }
}

/// Starts a group on this thread's runtime. The first node is its primary.
///
/// # Errors
///
/// [`NodeError`] when an address can't be bound or an engine can't be opened.
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
