//! Accepts connections to a node, while the node is up.

use compio::net::{TcpListener, TcpStream};
use flume::{Receiver, Sender};
use futures_util::{FutureExt, pin_mut, select_biased};
use spdlog::warn;

use super::{NodePlan, bind, peers::Message, session};

/// Accepts connections until the node stops. The node reports over a channel whether it is up.
/// While it is down, the listener is closed.
pub(super) async fn accept(
    plan: NodePlan,
    mut listener: Option<TcpListener>,
    node: Sender<Message>,
) {
    let (availability, inbox) = flume::unbounded();
    if node.send(Message::Acceptor(availability)).is_err() {
        return;
    }
    loop {
        match next_event(listener.as_ref(), &inbox).await {
            AcceptEvent::Connection(stream) => {
                let task = session::run(stream, plan.clone(), node.clone());
                compio::runtime::spawn(task).detach();
            }
            AcceptEvent::Up if listener.is_none() => match bind(plan.address).await {
                Ok(bound) => listener = Some(bound),
                Err(error) => warn!("node {} can't reopen its listener: {}", plan.name, error),
            },
            AcceptEvent::Down => listener = None,
            AcceptEvent::Up | AcceptEvent::AcceptFailed => {}
            AcceptEvent::Stopped => return,
        }
    }
}

/// An event of the accepting task.
enum AcceptEvent {
    Connection(TcpStream),
    Up,
    Down,
    AcceptFailed,
    Stopped,
}

async fn next_event(listener: Option<&TcpListener>, availability: &Receiver<bool>) -> AcceptEvent {
    let change = availability.recv_async().fuse();
    let connection = async {
        match listener {
            Some(listener) => listener.accept().await,
            None => std::future::pending().await,
        }
    }
    .fuse();
    pin_mut!(change, connection);
    select_biased! {
        received = change => match received {
            Ok(true) => AcceptEvent::Up,
            Ok(false) => AcceptEvent::Down,
            Err(_) => AcceptEvent::Stopped,
        },
        received = connection => received
            .map_or(AcceptEvent::AcceptFailed, |(stream, _)| AcceptEvent::Connection(stream)),
    }
}
