//! A listener that runs a task for each connection, and ends them gracefully.

use std::{collections::BTreeMap, io, net::SocketAddr, time::Duration};

use compio::net::{TcpListener, TcpStream};
use flume::{Receiver, Sender};
use futures_util::{FutureExt, pin_mut, select_biased};
use spdlog::warn;

/// The pause after the listener failed, for instance for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A message to a listener and to the tasks of its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shutdown {
    /// End as soon as nothing is under way.
    Drain,
    /// End now.
    Stop,
}

/// A listener's handle.
#[derive(Debug, Clone)]
pub struct ListenerHandle {
    orders: Sender<Shutdown>,
    done: Receiver<()>,
}

impl ListenerHandle {
    /// Ends each connection as soon as nothing is under way there. New ones are still taken.
    pub fn drain(&self) {
        // The listener ends only with its host.
        let _ = self.orders.send(Shutdown::Drain);
    }

    /// Ends all connections.
    pub fn stop(&self) {
        let _ = self.orders.send(Shutdown::Stop);
    }

    /// Waits until no connection is left after [`ListenerHandle::drain`].
    pub async fn drained(&self) {
        // A closed channel says as much.
        let _ = self.done.recv_async().await;
    }
}

/// Listens, and runs `serve` for each connection with its number.
///
/// # Errors
///
/// When the address can't be used.
pub async fn start<F, T>(address: SocketAddr, serve: F) -> io::Result<ListenerHandle>
where
    F: Fn(u64, TcpStream, Receiver<Shutdown>) -> T + 'static,
    T: Future<Output = ()> + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let (orders, ordered) = flume::unbounded();
    let (over, done) = flume::bounded(1);
    let (ended, ends) = flume::unbounded();
    let accept = Accept {
        serve,
        open: BTreeMap::new(),
        next: 0,
        draining: None,
        ended,
        over,
    };
    compio::runtime::spawn(accept.run(listener, ordered, ends)).detach();
    Ok(ListenerHandle { orders, done })
}

enum Input {
    Opened(io::Result<TcpStream>),
    Order(Shutdown),
    Ended(u64),
    Over,
}

struct Accept<F> {
    serve: F,
    open: BTreeMap<u64, Sender<Shutdown>>,
    next: u64,
    draining: Option<Shutdown>,
    ended: Sender<u64>,
    over: Sender<()>,
}

impl<F, T> Accept<F>
where
    F: Fn(u64, TcpStream, Receiver<Shutdown>) -> T + 'static,
    T: Future<Output = ()> + 'static,
{
    async fn run(mut self, listener: TcpListener, orders: Receiver<Shutdown>, ends: Receiver<u64>) {
        loop {
            match input(&listener, &orders, &ends).await {
                Input::Opened(Ok(socket)) => self.open(socket),
                Input::Opened(Err(error)) => {
                    warn!("accepting a connection failed: {}", error);
                    compio::time::sleep(ACCEPT_PAUSE).await;
                }
                Input::Order(order) => self.order(order),
                Input::Ended(id) => self.end(id),
                Input::Over => return,
            }
        }
    }

    fn open(&mut self, socket: TcpStream) {
        let id = self.next;
        self.next += 1;
        let (orders, ordered) = flume::unbounded();
        if let Some(order) = self.draining {
            // The connection's task reads it first.
            let _ = orders.send(order);
        }
        self.open.insert(id, orders);
        let task = (self.serve)(id, socket, ordered);
        let ended = self.ended.clone();
        compio::runtime::spawn(async move {
            task.await;
            // The listener ends only with its host.
            let _ = ended.send(id);
        })
        .detach();
    }

    fn order(&mut self, order: Shutdown) {
        self.draining = Some(order);
        for connection in self.open.values() {
            // A connection that just ended needs no order.
            let _ = connection.send(order);
        }
        self.tell_if_over();
    }

    fn end(&mut self, id: u64) {
        self.open.remove(&id);
        self.tell_if_over();
    }

    fn tell_if_over(&self) {
        if self.draining.is_some() && self.open.is_empty() {
            // Told already, if the channel is full.
            let _ = self.over.try_send(());
        }
    }
}

async fn input(listener: &TcpListener, orders: &Receiver<Shutdown>, ends: &Receiver<u64>) -> Input {
    let opened = listener.accept().fuse();
    let order = orders.recv_async().fuse();
    let end = ends.recv_async().fuse();
    pin_mut!(opened, order, end);
    select_biased! {
        got = order => got.map_or(Input::Over, Input::Order),
        got = end => got.map_or(Input::Over, Input::Ended),
        got = opened => Input::Opened(got.map(|(socket, _)| socket)),
    }
}
