//! A listener that runs a task for each connection and shuts the connections down gracefully.

use std::{collections::BTreeMap, future::pending, io, net::SocketAddr, time::Duration};

use compio::{
    net::{TcpListener, TcpStream},
    runtime::JoinHandle,
};
use flume::{Receiver, Sender};
use futures_util::{FutureExt, pin_mut, select_biased};
use spdlog::warn;

/// The pause after a failed accept, for instance when no file descriptor is left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// How a listener and the tasks of its connections are to shut down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shutdown {
    /// Close each connection as soon as no work is in progress on it.
    Drain,
    /// Close connections at once.
    Stop,
}

/// A handle to a listener.
#[derive(Debug, Clone)]
pub struct ListenerHandle {
    shutdown: Sender<Shutdown>,
    drained: Receiver<()>,
}

impl ListenerHandle {
    /// Closes each connection as soon as no work is in progress on it. New connections are still
    /// accepted.
    pub fn drain(&self) {
        // The listener runs as long as the host.
        let _ = self.shutdown.send(Shutdown::Drain);
    }

    /// Closes all connections at once.
    pub fn stop(&self) {
        let _ = self.shutdown.send(Shutdown::Stop);
    }

    /// Waits until no connection is left after [`ListenerHandle::drain`].
    pub async fn drained(&self) {
        // A closed channel means that the listener has ended.
        let _ = self.drained.recv_async().await;
    }
}

/// Listens on `address`, and runs `serve` with a sequence number for each connection.
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
    let (shutdown, shutdowns) = flume::unbounded();
    let (drained_sender, drained) = flume::bounded(1);
    let (closed, closures) = flume::unbounded();
    let task = Listener {
        serve,
        open: BTreeMap::new(),
        next: 0,
        last_shutdown: None,
        closed,
        drained_sender,
    };
    compio::runtime::spawn(task.run(listener, shutdowns, closures)).detach();
    Ok(ListenerHandle { shutdown, drained })
}

enum Input {
    Accepted(TcpStream),
    Shutdown(Shutdown),
    Closed(u64),
    Stopped,
}

/// The state of a listener's task.
struct Listener<F> {
    serve: F,
    /// The shutdown channels of the open connections, by connection number.
    open: BTreeMap<u64, Sender<Shutdown>>,
    /// The number of the next connection.
    next: u64,
    /// The last shutdown command, which new connections get as well.
    last_shutdown: Option<Shutdown>,
    /// Reports the number of a connection whose task has ended.
    closed: Sender<u64>,
    /// Reports that no connection is left after a shutdown command.
    drained_sender: Sender<()>,
}

/// Reports the end of a connection's task when it is dropped, also if the task panicked.
struct ClosedReport {
    id: u64,
    closed: Sender<u64>,
}

impl Drop for ClosedReport {
    fn drop(&mut self) {
        // The listener runs as long as the host.
        let _ = self.closed.send(self.id);
    }
}

impl<F, T> Listener<F>
where
    F: Fn(u64, TcpStream, Receiver<Shutdown>) -> T + 'static,
    T: Future<Output = ()> + 'static,
{
    async fn run(
        mut self,
        listener: TcpListener,
        shutdowns: Receiver<Shutdown>,
        closures: Receiver<u64>,
    ) {
        let sockets = Sockets::of(listener);
        loop {
            match next_input(&sockets, &shutdowns, &closures).await {
                Input::Accepted(socket) => self.open(socket),
                Input::Shutdown(shutdown) => self.shut_down(shutdown),
                Input::Closed(id) => self.remove(id),
                Input::Stopped => return,
            }
        }
    }

    fn open(&mut self, socket: TcpStream) {
        let id = self.next;
        self.next += 1;
        let (shutdown, shutdowns) = flume::unbounded();
        if let Some(pending) = self.last_shutdown {
            // The task of the connection gets it before anything else.
            let _ = shutdown.send(pending);
        }
        self.open.insert(id, shutdown);
        let task = (self.serve)(id, socket, shutdowns);
        let report = ClosedReport {
            id,
            closed: self.closed.clone(),
        };
        compio::runtime::spawn(async move {
            let _report = report;
            task.await;
        })
        .detach();
    }

    fn shut_down(&mut self, shutdown: Shutdown) {
        self.last_shutdown = Some(shutdown);
        for connection in self.open.values() {
            // The connection may just have closed.
            let _ = connection.send(shutdown);
        }
        self.report_if_drained();
    }

    fn remove(&mut self, id: u64) {
        self.open.remove(&id);
        self.report_if_drained();
    }

    fn report_if_drained(&self) {
        if self.last_shutdown.is_some() && self.open.is_empty() {
            // A full channel already holds the report.
            let _ = self.drained_sender.try_send(());
        }
    }
}

async fn next_input(
    sockets: &Sockets,
    shutdowns: &Receiver<Shutdown>,
    closures: &Receiver<u64>,
) -> Input {
    let accepted = sockets.next().fuse();
    let shutdown = shutdowns.recv_async().fuse();
    let closed = closures.recv_async().fuse();
    pin_mut!(accepted, shutdown, closed);
    select_biased! {
        got = shutdown => got.map_or(Input::Stopped, Input::Shutdown),
        got = closed => got.map_or(Input::Stopped, Input::Closed),
        got = accepted => Input::Accepted(got),
    }
}

/// The connections of a listener, which a task of its own accepts until this is dropped.
///
/// If another input ended the wait for a connection, one that had just been accepted would be lost.
#[derive(Debug)]
pub struct Sockets {
    accepted: Receiver<TcpStream>,
    _task: JoinHandle<()>,
}

impl Sockets {
    /// Accepts the connections of `listener` on this thread's runtime.
    #[must_use]
    pub fn of(listener: TcpListener) -> Self {
        let (sockets, accepted) = flume::unbounded();
        let task = compio::runtime::spawn(accept_all(listener, sockets));
        Self {
            accepted,
            _task: task,
        }
    }

    /// Waits for the next connection. Dropping the future loses none.
    pub async fn next(&self) -> TcpStream {
        match self.accepted.recv_async().await {
            Ok(socket) => socket,
            // The task has failed: there are no more connections.
            Err(_) => pending().await,
        }
    }
}

async fn accept_all(listener: TcpListener, accepted: Sender<TcpStream>) {
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                if accepted.send(socket).is_err() {
                    return;
                }
            }
            Err(error) => {
                warn!("accepting a connection failed: {}", error);
                compio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
