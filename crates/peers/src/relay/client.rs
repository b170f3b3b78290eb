//! The connections to hosts that run statements for this host, each with its own task.

use std::{
    collections::{BTreeMap, HashMap},
    fmt::Debug,
    io,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use compio::net::TcpStream;
use flume::{Receiver, Sender};
use futures_util::{FutureExt, pin_mut, select_biased};
use goldcrest_clock::Clock;
use goldcrest_stream::{connect, enable_keepalive};
use goldcrest_types::{
    Name, Pin, RelayCommand, RelayNotice, Reply, RequestId, Statement, StoreNotice,
    SuccessionCommand,
};
use spdlog::debug;
use tarpc::{
    client::{Config, NewClient},
    context::Context,
    serde_transport,
    tokio_serde::formats::Bincode,
};

use super::{RelayServiceClient, RelayedStatement};
use crate::{
    PeerError,
    client::{call_context, with_timeout},
    service::framed,
};

/// How long connecting may take: several round trips within a region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// The largest number of statements in progress on one connection. It covers all statements that
/// wait on a host under its share of a load peak.
const MAX_STATEMENTS: usize = 512;

/// How long a call may take beyond its statement's deadline. The relay on this host gives the
/// statement up earlier, shortly after its deadline.
const CALL_MARGIN: Duration = Duration::from_secs(1);

/// How long a release or a ping may take.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);

/// A link: what one group of this host needs of a connection to another host.
pub struct Link {
    /// Service whose group the other host owns.
    pub service: Name,
    /// Address of the other host.
    pub address: SocketAddr,
    /// Commands for the link. It is closed when the sender is dropped.
    pub commands: Receiver<RelayCommand>,
    /// Reports an event of the link.
    pub notify: Box<dyn Fn(RelayNotice)>,
}

/// Starts the task that opens links. Links to the same host share one connection, which is closed
/// with the last of them. The task ends when the returned sender is dropped.
#[must_use]
pub fn start_links(clock: Clock) -> Sender<Link> {
    let (sender, links) = flume::unbounded();
    compio::runtime::spawn(open_links(clock, links)).detach();
    sender
}

async fn open_links(clock: Clock, links: Receiver<Link>) {
    let mut hosts: BTreeMap<SocketAddr, Sender<Link>> = BTreeMap::new();
    while let Ok(link) = links.recv_async().await {
        hosts.retain(|_, host| !host.is_disconnected());
        let host = hosts.entry(link.address).or_insert_with(|| {
            let (sender, links) = flume::unbounded();
            compio::runtime::spawn(run(link.address, clock, links)).detach();
            sender
        });
        // The host's task runs: it ends only between two messages of this task.
        let _ = host.send(link);
    }
}

/// Connects to a host and carries out the commands of its links until none is left or the connection
/// is lost.
async fn run(address: SocketAddr, clock: Clock, links: Receiver<Link>) {
    match open(address).await {
        Ok(socket) => serve_links(socket, clock, &links).await,
        Err(error) => debug!("connecting to host {} failed: {}", address, error),
    }
    // Nothing was sent for links that came too late for this connection.
    for link in links.drain() {
        (link.notify)(RelayNotice::Closed(false));
    }
}

/// An input of a connection's task.
enum Input {
    Link(Link),
    Command(u64, RelayCommand),
    /// A link was closed by its group.
    Detached(u64),
    /// The connection was lost.
    Lost,
}

async fn serve_links(socket: TcpStream, clock: Clock, links: &Receiver<Link>) {
    let client = new_client(socket);
    let (inputs, commands) = flume::unbounded();
    let mut connection = Connection {
        client: client.client,
        clock,
        links: BTreeMap::new(),
        inputs,
        next: 0,
        calls: HashMap::new(),
    };
    let dispatch = client.dispatch.fuse();
    pin_mut!(dispatch);
    loop {
        let input = {
            let command = commands.recv_async().fuse();
            let link = links.recv_async().fuse();
            pin_mut!(command, link);
            select_biased! {
                ended = dispatch => {
                    debug!("the connection to another host ended: {:?}", ended);
                    Input::Lost
                }
                got = link => got.map_or(Input::Lost, Input::Link),
                got = command => got.unwrap_or(Input::Lost),
            }
        };
        match input {
            Input::Link(link) => connection.attach(link),
            Input::Command(id, command) => connection.carry_out(id, command),
            Input::Detached(id) => {
                connection.links.remove(&id);
                if connection.links.is_empty() && links.is_empty() {
                    return;
                }
            }
            Input::Lost => return connection.report_lost(),
        }
    }
}

/// Has another host carry out a succession command at the platform.
///
/// # Errors
///
/// [`PeerError`] when no answer comes in time: the command may have been carried out.
pub async fn run_succession(
    address: SocketAddr,
    service: Name,
    command: SuccessionCommand,
    limit: Duration,
) -> Result<StoreNotice, PeerError> {
    let client = new_client(open(address).await?);
    let dispatch = client.dispatch.fuse();
    let answer = client
        .client
        .run_succession(call_context(limit), service, command);
    let answer = with_timeout(limit, answer).fuse();
    pin_mut!(dispatch, answer);
    loop {
        select_biased! {
            got = answer => return got,
            // The call returns an error of its own when the connection ends.
            _ = dispatch => {}
        }
    }
}

pub(super) async fn open(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = connect(address, CONNECT_TIMEOUT).await?;
    enable_keepalive(&socket)?;
    socket.set_nodelay(true)?;
    Ok(socket)
}

pub(super) fn new_client(
    socket: TcpStream,
) -> NewClient<RelayServiceClient, impl Future<Output = Result<(), impl Debug>>> {
    let transport = serde_transport::new(framed(socket), Bincode::default());
    let mut config = Config::default();
    config.max_in_flight_requests = MAX_STATEMENTS;
    config.pending_request_buffer = MAX_STATEMENTS;
    RelayServiceClient::new(config, transport)
}

/// A link that is attached to a connection.
#[derive(Clone)]
struct AttachedLink {
    service: Name,
    notify: Rc<dyn Fn(RelayNotice)>,
}

/// The state of a connection's task.
struct Connection {
    client: RelayServiceClient,
    clock: Clock,
    links: BTreeMap<u64, AttachedLink>,
    /// Where the commands of the links arrive.
    inputs: Sender<Input>,
    /// The number of the next link.
    next: u64,
    /// The calls in progress. Dropping a sender cancels its call.
    calls: HashMap<RequestId, Sender<()>>,
}

impl Connection {
    fn attach(&mut self, link: Link) {
        let id = self.next;
        self.next += 1;
        let attached = AttachedLink {
            service: link.service,
            notify: link.notify.into(),
        };
        self.links.insert(id, attached);
        let inputs = self.inputs.clone();
        compio::runtime::spawn(async move {
            while let Ok(command) = link.commands.recv_async().await {
                if inputs.send(Input::Command(id, command)).is_err() {
                    return;
                }
            }
            // The connection may have ended.
            let _ = inputs.send(Input::Detached(id));
        })
        .detach();
    }

    fn report_lost(self) {
        for link in self.links.into_values() {
            (link.notify)(RelayNotice::Closed(true));
        }
    }

    fn carry_out(&mut self, id: u64, command: RelayCommand) {
        let Some(link) = self.links.get(&id).cloned() else {
            return;
        };
        match command {
            RelayCommand::Run(statement, pin) => self.run(link, &statement, pin),
            RelayCommand::Cancel(id) => {
                self.calls.remove(&id);
            }
            RelayCommand::Release(pin) => {
                let client = self.client.clone();
                compio::runtime::spawn(async move {
                    let released = client
                        .release(call_context(CONTROL_TIMEOUT), link.service, pin)
                        .await;
                    // After a failure, the transaction is rolled back when the connection closes.
                    if let Err(error) = released {
                        debug!("releasing a transaction on another host failed: {}", error);
                    }
                })
                .detach();
            }
            RelayCommand::Ping => {
                let client = self.client.clone();
                compio::runtime::spawn(async move {
                    // A failure is not reported: the relay counts missing answers.
                    if client.ping(call_context(CONTROL_TIMEOUT)).await.is_ok() {
                        (link.notify)(RelayNotice::Pong);
                    }
                })
                .detach();
            }
        }
    }

    fn run(&mut self, link: AttachedLink, statement: &Arc<Statement>, pin: Option<Pin>) {
        self.calls.retain(|_, cancel| !cancel.is_disconnected());
        let now = self.clock.now();
        let id = statement.head.id;
        let relayed = RelayedStatement::encode(statement, pin, now);
        let context = call_context(statement.head.deadline.since(now) + CALL_MARGIN);
        let (cancel, cancelled) = flume::bounded(1);
        self.calls.insert(id, cancel);
        let call = call(
            self.client.clone(),
            context,
            link.service,
            relayed,
            cancelled,
        );
        compio::runtime::spawn(async move {
            if let Some(reply) = call.await {
                (link.notify)(RelayNotice::Replied(Reply { id, ..reply }));
            }
        })
        .detach();
    }
}

/// Runs a statement on the other host unless it is cancelled. Returns `None` also when the call
/// fails with its connection, whose loss is reported separately.
async fn call(
    client: RelayServiceClient,
    context: Context,
    service: Name,
    relayed: RelayedStatement,
    cancelled: Receiver<()>,
) -> Option<Reply> {
    let reply = client.run(context, service, relayed).fuse();
    let cancel = cancelled.recv_async().fuse();
    pin_mut!(reply, cancel);
    select_biased! {
        got = reply => got
            .inspect_err(|error| debug!("a relayed statement got no reply: {}", error))
            .ok(),
        _ = cancel => None,
    }
}
