//! A listener that runs a task for each connection and shuts the connections down gracefully.

use std::{
    collections::BTreeMap,
    future::pending,
    io,
    net::SocketAddr,
    time::{Duration, Instant},
};

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
    /// Close each connection right after the work in progress, which must end by this time.
    Finish(Instant),
}

/// Connections that are accepted before the task of their listener takes them.
const ACCEPTED_AHEAD: usize = 16;

/// A command to a listener's task.
#[derive(Debug)]
enum Command {
    Shutdown(Shutdown),
    /// Report once no connection is left.
    ReportDrained(Sender<()>),
}

/// A handle to a listener.
#[derive(Debug, Clone)]
pub struct ListenerHandle {
    commands: Sender<Command>,
}

impl ListenerHandle {
    /// Closes each connection as soon as no work is in progress on it. New connections are still
    /// accepted.
    pub fn drain(&self) {
        self.send(Command::Shutdown(Shutdown::Drain));
    }

    /// Closes each connection right after the work in progress on it, which must end by `end`. New
    /// connections are still accepted.
    pub fn finish(&self, end: Instant) {
        self.send(Command::Shutdown(Shutdown::Finish(end)));
    }

    /// Waits until no connection is left.
    pub async fn drained(&self) {
        let (report, drained) = flume::bounded(1);
        self.send(Command::ReportDrained(report));
        // A closed channel means that the listener has ended.
        let _ = drained.recv_async().await;
    }

    fn send(&self, command: Command) {
        // The listener runs as long as the host.
        let _ = self.commands.send(command);
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
    let (commands, received) = flume::unbounded();
    let (closed, closures) = flume::unbounded();
    let task = Listener {
        serve,
        open: BTreeMap::new(),
        next: 0,
        last_shutdown: None,
        closed,
        drained_reports: Vec::new(),
    };
    compio::runtime::spawn(task.run(listener, received, closures)).detach();
    Ok(ListenerHandle { commands })
}

enum Input {
    Accepted(TcpStream),
    Command(Command),
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
    /// Where to report that no connection is left.
    drained_reports: Vec<Sender<()>>,
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
        commands: Receiver<Command>,
        closures: Receiver<u64>,
    ) {
        let sockets = Sockets::of(listener);
        loop {
            match next_input(&sockets, &commands, &closures).await {
                Input::Accepted(socket) => self.open(socket),
                Input::Command(Command::Shutdown(shutdown)) => self.shut_down(shutdown),
                Input::Command(Command::ReportDrained(report)) => {
                    self.drained_reports.push(report);
                    self.report_if_drained();
                }
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
    }

    fn remove(&mut self, id: u64) {
        self.open.remove(&id);
        self.report_if_drained();
    }

    fn report_if_drained(&mut self) {
        if !self.open.is_empty() {
            return;
        }
        for report in self.drained_reports.drain(..) {
            // The receiver may have timed out.
            let _ = report.send(());
        }
    }
}

async fn next_input(
    sockets: &Sockets,
    commands: &Receiver<Command>,
    closures: &Receiver<u64>,
) -> Input {
    let accepted = sockets.next().fuse();
    let command = commands.recv_async().fuse();
    let closed = closures.recv_async().fuse();
    pin_mut!(accepted, command, closed);
    select_biased! {
        got = command => got.map_or(Input::Stopped, Input::Command),
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
        let (sockets, accepted) = flume::bounded(ACCEPTED_AHEAD);
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
                if accepted.send_async(socket).await.is_err() {
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
