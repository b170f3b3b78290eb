//! The task of one connection to a host that runs statements for this host.

use std::{
    collections::HashMap, fmt::Debug, io, net::SocketAddr, rc::Rc, sync::Arc, time::Duration,
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

/// Connects to a host and carries out commands until their sender is dropped or the connection is
/// lost.
pub async fn run<F>(
    address: SocketAddr,
    service: Name,
    clock: Clock,
    commands: Receiver<RelayCommand>,
    notify: F,
) where
    F: Fn(RelayNotice) + 'static,
{
    let socket = match open(address).await {
        Ok(socket) => socket,
        Err(error) => {
            debug!("connecting to host {} failed: {}", address, error);
            return notify(RelayNotice::Closed(false));
        }
    };
    let client = new_client(socket);
    let notify: Rc<dyn Fn(RelayNotice)> = Rc::new(notify);
    let mut connection = Connection {
        client: client.client,
        service,
        clock,
        notify: Rc::clone(&notify),
        calls: HashMap::new(),
    };
    let dispatch = client.dispatch.fuse();
    pin_mut!(dispatch);
    loop {
        let command = commands.recv_async().fuse();
        pin_mut!(command);
        select_biased! {
            ended = dispatch => {
                debug!("the connection to host {} ended: {:?}", address, ended);
                return notify(RelayNotice::Closed(true));
            }
            got = command => match got {
                Ok(command) => connection.carry_out(command),
                Err(_) => return,
            },
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

async fn open(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = connect(address, CONNECT_TIMEOUT).await?;
    enable_keepalive(&socket)?;
    socket.set_nodelay(true)?;
    Ok(socket)
}

fn new_client(socket: TcpStream) -> NewClient<RelayServiceClient, impl Future<Output: Debug>> {
    let transport = serde_transport::new(framed(socket), Bincode::default());
    let mut config = Config::default();
    config.max_in_flight_requests = MAX_STATEMENTS;
    config.pending_request_buffer = MAX_STATEMENTS;
    RelayServiceClient::new(config, transport)
}

/// The state of a connection's task.
struct Connection {
    client: RelayServiceClient,
    service: Name,
    clock: Clock,
    notify: Rc<dyn Fn(RelayNotice)>,
    /// The calls in progress. Dropping a sender cancels its call.
    calls: HashMap<RequestId, Sender<()>>,
}

impl Connection {
    fn carry_out(&mut self, command: RelayCommand) {
        match command {
            RelayCommand::Run(statement, pin) => self.run(&statement, pin),
            RelayCommand::Cancel(id) => {
                self.calls.remove(&id);
            }
            RelayCommand::Release(pin) => {
                let (client, service) = (self.client.clone(), self.service.clone());
                compio::runtime::spawn(async move {
                    let released = client
                        .release(call_context(CONTROL_TIMEOUT), service, pin)
                        .await;
                    // After a failure, the transaction is rolled back when the connection closes.
                    if let Err(error) = released {
                        debug!("releasing a transaction on another host failed: {}", error);
                    }
                })
                .detach();
            }
            RelayCommand::Ping => {
                let (client, notify) = (self.client.clone(), Rc::clone(&self.notify));
                compio::runtime::spawn(async move {
                    // A failure is not reported: the relay counts missing answers.
                    if client.ping(call_context(CONTROL_TIMEOUT)).await.is_ok() {
                        notify(RelayNotice::Pong);
                    }
                })
                .detach();
            }
        }
    }

    fn run(&mut self, statement: &Arc<Statement>, pin: Option<Pin>) {
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
            self.service.clone(),
            relayed,
            cancelled,
        );
        let notify = Rc::clone(&self.notify);
        compio::runtime::spawn(async move {
            if let Some(reply) = call.await {
                notify(RelayNotice::Replied(Reply { id, ..reply }));
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
