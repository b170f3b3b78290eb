//! The side that runs statements for other hosts: one task for each connection, which owns the
//! transactions that are open there.

use std::{
    collections::{BTreeMap, HashMap},
    io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use compio::{net::TcpStream, time::timeout_at};
use flume::{Receiver, Sender};
use futures_util::{FutureExt, StreamExt, pin_mut, select_biased};
use goldcrest_clock::Clock;
use goldcrest_decide::session::RequestIds;
use goldcrest_stream::{
    accept::{self, Shutdown},
    enable_keepalive,
};
use goldcrest_types::{
    EndpointIx, Floor, Lease, Name, NotRun, Pin, Refusal, Reply, RequestId, SessionCommand,
    Statement, StoreNotice, SuccessionCommand,
};
use spdlog::debug;
use tarpc::{
    context::Context,
    serde_transport,
    server::{BaseChannel, Channel, Config},
    tokio_serde::formats::Bincode,
};

use super::{RelayService, RelayedStatement};
use crate::service::framed;

/// The first number of these connections' sessions: above those of clients' sessions, which share
/// the groups with them.
const FIRST_SESSION: u64 = 1 << 31;

/// How long a host that stops goes on telling others so. A connection that ended at once would leave
/// them in doubt about what they had just sent.
const LINGER: Duration = Duration::from_millis(1_500);

/// Replies that may wait to be written to one connection.
const REPLIES_LIMIT: usize = 512;

/// Finds where the statements of a service go, if this host knows it.
pub type FindGroup = dyn Fn(&str) -> Option<Sender<SessionCommand<Statement>>>;

/// What other hosts may use of this one.
#[derive(Clone)]
pub struct RelayHandlers {
    /// Where the statements of a service go.
    pub find_group: Rc<FindGroup>,
    /// Speaks with the platform about a service, and tells what came of it.
    pub run_succession: Rc<dyn Fn(Name, SuccessionCommand, Sender<StoreNotice>)>,
}

/// Listens for other hosts.
///
/// # Errors
///
/// When the address can't be used.
pub async fn start(
    address: SocketAddr,
    clock: Clock,
    services: RelayHandlers,
) -> io::Result<accept::ListenerHandle> {
    accept::start(address, move |id, socket, orders| {
        serve(id, socket, clock, services.clone(), orders)
    })
    .await
}

async fn serve(
    id: u64,
    socket: TcpStream,
    clock: Clock,
    services: RelayHandlers,
    orders: Receiver<Shutdown>,
) {
    let guarded = enable_keepalive(&socket).and_then(|()| socket.set_nodelay(true));
    if let Err(error) = guarded {
        return debug!("a host left at once: {}", error);
    }
    let (calls, called) = flume::unbounded();
    let config = Config {
        pending_response_buffer: REPLIES_LIMIT,
    };
    let transport = serde_transport::new(framed(socket), Bincode::default());
    let served = BaseChannel::new(config, transport)
        .execute(Server { calls }.serve())
        .for_each(|call| async move { compio::runtime::spawn(call).detach() })
        .fuse();
    let mut sessions = PeerSessions {
        clock,
        services,
        numbers: RequestIds::new(FIRST_SESSION + id),
        under_way: HashMap::new(),
        open: BTreeMap::new(),
        replies: flume::unbounded(),
        leaving: None,
    };
    {
        let worked = sessions.work(called, orders).fuse();
        pin_mut!(served, worked);
        select_biased! {
            () = served => {}
            () = worked => {}
        }
    }
    sessions.leave();
}

/// A call of the connection's other side.
enum Call {
    Run(Name, RelayedStatement, Sender<Reply>),
    Release(Name, Pin),
    RunSuccession(Name, SuccessionCommand, Sender<StoreNotice>),
}

#[derive(Clone)]
struct Server {
    calls: Sender<Call>,
}

impl RelayService for Server {
    async fn run(self, _: Context, service: Name, statement: RelayedStatement) -> Reply {
        let (reply, replied) = flume::bounded(1);
        // The connection's task outlives its calls, unless the connection ends.
        let _ = self.calls.send(Call::Run(service, statement, reply));
        let reply = replied.recv_async().await;
        reply.unwrap_or_else(|_| not_run(NotRun::Stopping))
    }

    async fn release(self, _: Context, service: Name, pin: Pin) {
        let _ = self.calls.send(Call::Release(service, pin));
    }

    async fn run_succession(
        self,
        _: Context,
        service: Name,
        command: SuccessionCommand,
    ) -> StoreNotice {
        let unknown = command.unknown_outcome();
        let (told, answer) = flume::bounded(1);
        let _ = self.calls.send(Call::RunSuccession(service, command, told));
        answer.recv_async().await.unwrap_or(unknown)
    }

    async fn ping(self, _: Context) {}
}

/// A reply to a statement that this host does not run.
fn not_run(reason: NotRun) -> Reply {
    Reply {
        id: RequestId(0),
        result: Err(Refusal::NotRun {
            reason,
            retry: None,
        }),
        floor: Floor::Unknown,
        pin: None,
    }
}

/// A statement under way.
struct UnderWay {
    service: Name,
    /// The open transaction that it belongs to.
    held: Option<Lease>,
    reply: Sender<Reply>,
}

/// The sessions of another host that run here.
struct PeerSessions {
    clock: Clock,
    services: RelayHandlers,
    numbers: RequestIds,
    under_way: HashMap<RequestId, UnderWay>,
    /// The open transactions.
    open: BTreeMap<(Name, Lease), EndpointIx>,
    replies: (Sender<Reply>, Receiver<Reply>),
    /// When the connection may end, on a host that stops.
    leaving: Option<Instant>,
}

enum Input {
    Call(Call),
    Reply(Reply),
    Order(Shutdown),
    Over,
}

impl PeerSessions {
    /// Carries out calls until the connection ends, or until nothing is left to do on a host that
    /// stops.
    async fn work(&mut self, calls: Receiver<Call>, orders: Receiver<Shutdown>) {
        loop {
            match self.next(&calls, &orders).await {
                Input::Call(Call::Run(service, statement, reply)) => {
                    self.run(service, statement, reply);
                }
                Input::Call(Call::Release(service, pin)) => self.release(&service, pin),
                Input::Call(Call::RunSuccession(service, command, told)) => {
                    (self.services.run_succession)(service, command, told);
                }
                Input::Reply(reply) => self.reply(reply),
                Input::Order(Shutdown::Drain) => self.leaving = Some(Instant::now() + LINGER),
                Input::Order(Shutdown::Stop) | Input::Over => return,
            }
        }
    }

    /// The next input, or the end where nothing is left to do on a host that stops.
    async fn next(&self, calls: &Receiver<Call>, orders: &Receiver<Shutdown>) -> Input {
        let input = self.input(calls, orders);
        let idle = self.under_way.is_empty() && self.open.is_empty();
        match self.leaving.filter(|_| idle) {
            Some(end) => timeout_at(end, input).await.unwrap_or(Input::Over),
            None => input.await,
        }
    }

    async fn input(&self, calls: &Receiver<Call>, orders: &Receiver<Shutdown>) -> Input {
        let call = calls.recv_async().fuse();
        let reply = self.replies.1.recv_async().fuse();
        let order = orders.recv_async().fuse();
        pin_mut!(call, reply, order);
        select_biased! {
            got = order => got.map_or(Input::Over, Input::Order),
            got = reply => got.map_or(Input::Over, Input::Reply),
            got = call => got.map_or(Input::Over, Input::Call),
        }
    }

    fn run(&mut self, service: Name, statement: RelayedStatement, reply: Sender<Reply>) {
        let group = (self.services.find_group)(&service);
        let refused = match (&group, self.leaving.is_some() && statement.pin.is_none()) {
            (_, true) => Some(NotRun::Stopping),
            (None, _) => Some(NotRun::Unreachable),
            _ => None,
        };
        if let Some(reason) = refused {
            // The other side may have left.
            let _ = reply.send(not_run(reason));
            return;
        }
        let id = self.numbers.take();
        let statement = statement.unpack(id, self.clock.now());
        let call = UnderWay {
            service,
            held: statement.head.pin.map(|pin| pin.lease),
            reply,
        };
        self.under_way.insert(id, call);
        let ask = SessionCommand::Run(statement.into(), self.replies.0.clone());
        if let Some(group) = group
            && group.send(ask).is_err()
        {
            self.reply(Reply {
                id,
                ..not_run(NotRun::Stopping)
            });
        }
    }

    fn release(&mut self, service: &Name, pin: Pin) {
        self.open.remove(&(service.clone(), pin.lease));
        self.give_up(service, pin);
    }

    fn reply(&mut self, reply: Reply) {
        let Some(call) = self.under_way.remove(&reply.id) else {
            return;
        };
        self.note_transaction(&call, &reply);
        if let Err(lost) = call.reply.send(reply)
            && let Some(pin) = lost.into_inner().pin
        {
            // Cancelled meanwhile.
            self.release(&call.service, pin);
        }
    }

    /// Keeps account of the transactions that are open here.
    fn note_transaction(&mut self, call: &UnderWay, reply: &Reply) {
        if let Some(held) = call.held {
            self.open.remove(&(call.service.clone(), held));
        }
        if let Some(pin) = reply.pin {
            let key = (call.service.clone(), pin.lease);
            self.open.insert(key, pin.endpoint);
        }
    }

    fn give_up(&self, service: &Name, pin: Pin) {
        if let Some(group) = (self.services.find_group)(service) {
            // The group ends only with its host.
            let _ = group.send(SessionCommand::Release(pin.endpoint, pin.lease));
        }
    }

    /// Ends what is still under way or open.
    fn leave(&mut self) {
        for (id, call) in std::mem::take(&mut self.under_way) {
            if let Some(group) = (self.services.find_group)(&call.service) {
                // The group ends only with its host.
                let _ = group.send(SessionCommand::Cancel(id));
            }
        }
        for ((service, lease), endpoint) in std::mem::take(&mut self.open) {
            self.give_up(&service, Pin { endpoint, lease });
        }
    }
}
