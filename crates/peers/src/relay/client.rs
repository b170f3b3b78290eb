//! The task of one connection to a host that runs statements for this one.

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
    client::{deadline, limited},
    service::framed,
};

/// How long a connection may take: several round trips within a region.
const CONNECT_LIMIT: Duration = Duration::from_millis(200);

/// Statements that may be under way on one connection. The most that a host at its share of a crest
/// keeps waiting.
const CALLS_LIMIT: usize = 512;

/// How long a call may take beyond its statement's deadline. The relay gives up before.
const CALL_MARGIN: Duration = Duration::from_secs(1);

/// How long a question that is no statement may take.
const ASIDE_LIMIT: Duration = Duration::from_secs(2);

/// Connects to a host and carries out commands until their sender is gone or the connection ends.
pub async fn run<F>(
    address: SocketAddr,
    service: Name,
    clock: Clock,
    commands: Receiver<RelayCommand>,
    tell: F,
) where
    F: Fn(RelayNotice) + 'static,
{
    let socket = match open(address).await {
        Ok(socket) => socket,
        Err(error) => {
            debug!("connecting to host {} failed: {}", address, error);
            return tell(RelayNotice::Closed(false));
        }
    };
    let client = new_client(socket);
    let tell: Rc<dyn Fn(RelayNotice)> = Rc::new(tell);
    let mut connection = Connection {
        client: client.client,
        service,
        clock,
        tell: Rc::clone(&tell),
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
                return tell(RelayNotice::Closed(true));
            }
            got = command => match got {
                Ok(command) => connection.carry_out(command),
                Err(_) => return,
            },
        }
    }
}

/// Has another host speak with the platform about a service's group.
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
        .run_succession(deadline(limit), service, command);
    let answer = limited(limit, answer).fuse();
    pin_mut!(dispatch, answer);
    loop {
        select_biased! {
            got = answer => return got,
            // The call learns of the end itself.
            _ = dispatch => {}
        }
    }
}

async fn open(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = connect(address, CONNECT_LIMIT).await?;
    enable_keepalive(&socket)?;
    socket.set_nodelay(true)?;
    Ok(socket)
}

fn new_client(socket: TcpStream) -> NewClient<RelayServiceClient, impl Future<Output: Debug>> {
    let transport = serde_transport::new(framed(socket), Bincode::default());
    let mut config = Config::default();
    config.max_in_flight_requests = CALLS_LIMIT;
    config.pending_request_buffer = CALLS_LIMIT;
    RelayServiceClient::new(config, transport)
}

struct Connection {
    client: RelayServiceClient,
    service: Name,
    clock: Clock,
    tell: Rc<dyn Fn(RelayNotice)>,
    /// Dropping a sender cancels the call.
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
                    let released = client.release(deadline(ASIDE_LIMIT), service, pin).await;
                    if let Err(error) = released {
                        debug!("a transaction ends with its connection: {}", error);
                    }
                })
                .detach();
            }
            RelayCommand::Ping => {
                let (client, tell) = (self.client.clone(), Rc::clone(&self.tell));
                compio::runtime::spawn(async move {
                    // The relay counts an answer that does not come.
                    if client.ping(deadline(ASIDE_LIMIT)).await.is_ok() {
                        tell(RelayNotice::Pong);
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
        let relayed = RelayedStatement::pack(statement, pin, now);
        let context = deadline(statement.head.deadline.since(now) + CALL_MARGIN);
        let (cancel, cancelled) = flume::bounded(1);
        self.calls.insert(id, cancel);
        let call = call(
            self.client.clone(),
            context,
            self.service.clone(),
            relayed,
            cancelled,
        );
        let tell = Rc::clone(&self.tell);
        compio::runtime::spawn(async move {
            if let Some(reply) = call.await {
                tell(RelayNotice::Replied(Reply { id, ..reply }));
            }
        })
        .detach();
    }
}

/// Makes a call unless it is cancelled. One that fails with its connection is told of by the
/// connection's end.
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
