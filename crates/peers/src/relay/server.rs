//! The server side of relaying: one task for each connection from another host, which owns the
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
    budget::{Account, HostBudget},
    enable_keepalive,
};
use goldcrest_types::{
    AllowanceAnswer, AllowanceAsk, EndpointIx, Floor, Lease, Name, NotRun, Pin, Refusal, Reply,
    RequestId, SessionCommand, Statement, StoreNotice, SuccessionCommand, TableQuery, TableReply,
};
use spdlog::debug;
use tarpc::{
    context::Context,
    serde_transport,
    server::{BaseChannel, Channel, Config},
    tokio_serde::formats::Bincode,
};

use super::{
    AllowanceHandle, AllowanceInput, PublisherHandle, PublisherInput, RelayService,
    RelayedStatement,
};
use crate::service::framed;

/// The first session number for connections from other hosts. It lies above the numbers of client
/// sessions, which use the same groups.
const FIRST_SESSION: u64 = 1 << 31;

/// How long a stopping host keeps an idle connection open to refuse new statements. If it closed
/// the connection at once, the other host could not know whether what it had just sent was run.
const LINGER: Duration = Duration::from_millis(1_500);

/// How long the last replies on a connection may take to be written.
const REPLY_TIME: Duration = Duration::from_millis(100);

/// The largest number of replies that wait to be written to one connection.
const MAX_PENDING_REPLIES: usize = 512;

/// Looks up the command channel of a service's group, if this host knows the service.
pub type FindGroup = dyn Fn(&str) -> Option<Sender<SessionCommand<Statement>>>;

/// Carries out a succession command at the platform, and sends its result.
pub type RunSuccession = dyn Fn(Name, SuccessionCommand, Sender<StoreNotice>);

/// Looks up the publisher of a table, if this host follows the table.
pub type FindTable = dyn Fn(&str) -> Option<PublisherHandle>;

/// The functions that handle the calls of other hosts.
#[derive(Clone)]
pub struct RelayHandlers {
    /// Looks up the group that runs a service's statements.
    pub find_group: Rc<FindGroup>,
    /// Carries out a succession command at the platform and sends its result.
    pub run_succession: Rc<RunSuccession>,
    /// Looks up the publisher of a table.
    pub find_table: Rc<FindTable>,
    /// The task that counts operations, if allowances are in force.
    pub allowances: Option<AllowanceHandle>,
    /// What clients make the host hold, also those of other hosts.
    pub budget: HostBudget,
}

/// Listens for other hosts.
///
/// # Errors
///
/// When the address can't be used.
pub async fn start(
    address: SocketAddr,
    clock: Clock,
    handlers: RelayHandlers,
) -> io::Result<accept::ListenerHandle> {
    accept::start(address, move |id, socket, shutdowns| {
        serve(id, socket, clock, handlers.clone(), shutdowns)
    })
    .await
}

async fn serve(
    id: u64,
    socket: TcpStream,
    clock: Clock,
    handlers: RelayHandlers,
    shutdowns: Receiver<Shutdown>,
) {
    let configured = enable_keepalive(&socket).and_then(|()| socket.set_nodelay(true));
    if let Err(error) = configured {
        return debug!("setting up the socket of another host failed: {}", error);
    }
    let (calls, received) = flume::unbounded();
    let config = Config {
        pending_response_buffer: MAX_PENDING_REPLIES,
    };
    let transport = serde_transport::new(framed(socket), Bincode::default());
    let serving = BaseChannel::new(config, transport)
        .execute(Server { calls }.serve())
        .for_each(|call| async move { compio::runtime::spawn(call).detach() })
        .fuse();
    let mut sessions = PeerSessions {
        clock,
        handlers,
        request_ids: RequestIds::new(FIRST_SESSION + id),
        pending: HashMap::new(),
        open_transactions: BTreeMap::new(),
        replies: flume::unbounded(),
        close_at: None,
        finish_at: None,
    };
    {
        let handled = sessions.handle_calls(received, shutdowns).fuse();
        pin_mut!(serving, handled);
        select_biased! {
            () = serving => {}
            () = handled => {}
        }
    }
    sessions.cancel_all();
}

/// A call of the host at the other end of the connection.
enum Call {
    Run(Name, RelayedStatement, Sender<Reply>),
    Release(Name, Pin),
    RunSuccession(Name, SuccessionCommand, Sender<StoreNotice>),
    ReadTable(Name, TableQuery, Sender<Option<TableReply>>),
    CountOperations(Vec<AllowanceAsk>, Sender<Vec<AllowanceAnswer>>),
}

/// The RPC side of a connection, which passes calls on to the connection's task.
#[derive(Clone)]
struct Server {
    calls: Sender<Call>,
}

impl RelayService for Server {
    async fn run(self, _: Context, service: Name, statement: RelayedStatement) -> Reply {
        let (reply, replied) = flume::bounded(1);
        // The connection's task runs longer than its calls, unless the connection is lost.
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
        let (reply, answer) = flume::bounded(1);
        let _ = self
            .calls
            .send(Call::RunSuccession(service, command, reply));
        answer.recv_async().await.unwrap_or(unknown)
    }

    async fn read_table(self, _: Context, table: Name, query: TableQuery) -> Option<TableReply> {
        let (reply, replied) = flume::bounded(1);
        let _ = self.calls.send(Call::ReadTable(table, query, reply));
        replied.recv_async().await.ok().flatten()
    }

    async fn count_operations(self, _: Context, asks: Vec<AllowanceAsk>) -> Vec<AllowanceAnswer> {
        let (reply, replied) = flume::bounded(1);
        let _ = self.calls.send(Call::CountOperations(asks, reply));
        // A missing answer counts as an abstention.
        replied.recv_async().await.unwrap_or_default()
    }

    async fn ping(self, _: Context) {}
}

/// Builds the reply to a statement that this host refuses.
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

/// A statement in progress.
struct PendingStatement {
    service: Name,
    /// The lease of the open transaction that it belongs to.
    lease: Option<Lease>,
    /// The channel for its reply.
    reply: Sender<Reply>,
    /// The bytes of its texts, which are given back with its reply.
    _account: Account,
}

/// The statements and transactions that one connection of another host has in progress here.
struct PeerSessions {
    clock: Clock,
    handlers: RelayHandlers,
    request_ids: RequestIds,
    pending: HashMap<RequestId, PendingStatement>,
    /// The endpoints of the open transactions, by service and lease.
    open_transactions: BTreeMap<(Name, Lease), EndpointIx>,
    /// The channel for the groups' replies.
    replies: (Sender<Reply>, Receiver<Reply>),
    /// When the connection may close if it is idle; set once this host is stopping.
    close_at: Option<Instant>,
    /// When all statements must have a reply; set once open transactions must end.
    finish_at: Option<Instant>,
}

enum Input {
    Call(Call),
    Reply(Reply),
    Shutdown(Shutdown),
    /// The time for the work in progress, or for more calls on an idle connection, is over.
    Expired,
    Closed,
}

impl PeerSessions {
    /// Handles calls until the connection ends or, once this host is stopping, until the connection
    /// is idle.
    async fn handle_calls(&mut self, calls: Receiver<Call>, shutdowns: Receiver<Shutdown>) {
        loop {
            match self.next_input(&calls, &shutdowns).await {
                Input::Call(Call::Run(service, statement, reply)) => {
                    self.run(service, statement, reply);
                }
                Input::Call(Call::Release(service, pin)) => self.release(&service, pin),
                Input::Call(Call::RunSuccession(service, command, reply)) => {
                    (self.handlers.run_succession)(service, command, reply);
                }
                Input::Call(Call::ReadTable(table, query, reply)) => {
                    if let Some(publisher) = (self.handlers.find_table)(&table) {
                        // The publisher runs as long as the host.
                        let _ = publisher.send(PublisherInput::Query(query, reply));
                    }
                }
                Input::Call(Call::CountOperations(asks, reply)) => {
                    if let Some(allowances) = &self.handlers.allowances {
                        // The task runs as long as the host.
                        let _ = allowances.send(AllowanceInput::Query(asks, reply));
                    }
                }
                Input::Reply(reply) => self.handle_reply(reply),
                Input::Shutdown(Shutdown::Drain) => self.close_at = Some(Instant::now() + LINGER),
                Input::Shutdown(Shutdown::Finish(end)) => self.finish(end),
                Input::Expired if !self.pending.is_empty() => self.abandon_statements(),
                Input::Expired | Input::Closed => return,
            }
        }
    }

    /// Waits for the next input, until `close_at` if the connection is idle, and else until
    /// `finish_at`.
    async fn next_input(&self, calls: &Receiver<Call>, shutdowns: &Receiver<Shutdown>) -> Input {
        let input = self.wait_input(calls, shutdowns);
        let idle = self.pending.is_empty() && self.open_transactions.is_empty();
        let end = if idle { self.close_at } else { self.finish_at };
        match end {
            Some(end) => timeout_at(end, input).await.unwrap_or(Input::Expired),
            None => input.await,
        }
    }

    async fn wait_input(&self, calls: &Receiver<Call>, shutdowns: &Receiver<Shutdown>) -> Input {
        let call = calls.recv_async().fuse();
        let reply = self.replies.1.recv_async().fuse();
        let shutdown = shutdowns.recv_async().fuse();
        pin_mut!(call, reply, shutdown);
        select_biased! {
            got = shutdown => got.map_or(Input::Closed, Input::Shutdown),
            got = reply => got.map_or(Input::Closed, Input::Reply),
            got = call => got.map_or(Input::Closed, Input::Call),
        }
    }

    fn run(&mut self, service: Name, statement: RelayedStatement, reply: Sender<Reply>) {
        let group = (self.handlers.find_group)(&service);
        let refused = match (&group, self.close_at.is_some() && statement.pin.is_none()) {
            (_, true) => Some(NotRun::Stopping),
            (None, _) => Some(NotRun::Unreachable),
            _ => None,
        };
        if let Some(reason) = refused {
            // The other host may have disconnected.
            let _ = reply.send(not_run(reason));
            return;
        }
        let account = self.handlers.budget.attach();
        if !account.try_reserve(statement.bytes()) {
            // The other host may have disconnected.
            let _ = reply.send(not_run(NotRun::Memory));
            return;
        }
        let id = self.request_ids.take();
        let statement = statement.decode(id, self.clock.now());
        let pending = PendingStatement {
            service,
            lease: statement.head.pin.map(|pin| pin.lease),
            reply,
            _account: account,
        };
        self.pending.insert(id, pending);
        let command = SessionCommand::Run(statement.into(), self.replies.0.clone());
        if let Some(group) = group
            && group.send(command).is_err()
        {
            self.handle_reply(Reply {
                id,
                ..not_run(NotRun::Stopping)
            });
        }
    }

    /// Rolls back the open transactions in which no statement runs. The others end with their
    /// statement, by `end`.
    fn finish(&mut self, end: Instant) {
        self.finish_at = Some(end);
        self.close_at = Some(end.min(Instant::now() + LINGER));
        let running: Vec<Lease> = self.pending.values().filter_map(|p| p.lease).collect();
        let transactions = std::mem::take(&mut self.open_transactions);
        for ((service, lease), endpoint) in transactions {
            if running.contains(&lease) {
                self.open_transactions.insert((service, lease), endpoint);
            } else {
                self.release_in_group(&service, Pin { endpoint, lease });
            }
        }
    }

    /// Replies to the statements that have not ended in time. The connection then stays open until
    /// the other host has the replies.
    fn abandon_statements(&mut self) {
        self.cancel_all();
        self.close_at = Some(Instant::now() + REPLY_TIME);
    }

    fn release(&mut self, service: &Name, pin: Pin) {
        self.open_transactions.remove(&(service.clone(), pin.lease));
        self.release_in_group(service, pin);
    }

    fn handle_reply(&mut self, reply: Reply) {
        let Some(pending) = self.pending.remove(&reply.id) else {
            return;
        };
        self.track_transaction(&pending, &reply);
        if let Err(unsent) = pending.reply.send(reply)
            && let Some(pin) = unsent.into_inner().pin
        {
            // The statement was cancelled meanwhile, so its transaction is rolled back.
            self.release(&pending.service, pin);
        }
    }

    /// Updates the open transactions from a reply.
    fn track_transaction(&mut self, pending: &PendingStatement, reply: &Reply) {
        if let Some(lease) = pending.lease {
            self.open_transactions
                .remove(&(pending.service.clone(), lease));
        }
        if let Some(pin) = reply.pin.filter(|_| self.finish_at.is_some()) {
            self.release_in_group(&pending.service, pin);
        } else if let Some(pin) = reply.pin {
            let key = (pending.service.clone(), pin.lease);
            self.open_transactions.insert(key, pin.endpoint);
        }
    }

    fn release_in_group(&self, service: &Name, pin: Pin) {
        if let Some(group) = (self.handlers.find_group)(service) {
            // The group runs as long as the host.
            let _ = group.send(SessionCommand::Release(pin.endpoint, pin.lease));
        }
    }

    /// Cancels the statements in progress, whose outcome is unknown, and rolls back the open
    /// transactions.
    fn cancel_all(&mut self) {
        for (id, statement) in std::mem::take(&mut self.pending) {
            if let Some(group) = (self.handlers.find_group)(&statement.service) {
                // The group runs as long as the host.
                let _ = group.send(SessionCommand::Cancel(id));
            }
            let detail = Name::from("the host that runs the statement is stopping");
            // The other host may have disconnected.
            let _ = statement.reply.send(Reply {
                result: Err(Refusal::Unknown { detail }),
                ..not_run(NotRun::Stopping)
            });
        }
        for ((service, lease), endpoint) in std::mem::take(&mut self.open_transactions) {
            self.release_in_group(&service, Pin { endpoint, lease });
        }
    }
}
