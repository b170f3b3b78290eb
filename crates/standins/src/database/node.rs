//! A node of a group: the task that owns the log and the engine.

use std::{
    collections::{BTreeMap, VecDeque},
    io, mem,
    time::{Duration, Instant},
};

use compio::time::timeout_at;
use flume::{Receiver, Sender};
use goldcrest_fakes::Replica;
use goldcrest_types::{EndpointIx, Role, TxState};
use thiserror::Error;

use super::{
    Fault, NodePlan, Stutter,
    engine::{Engine, QueryResult},
    peers::{
        Entry, HEARTBEAT_INTERVAL, HEARTBEAT_TIMEOUT, Message, NodeState, SessionCommand,
        SessionKey, Statement,
    },
    values::SqlError,
};

/// An error at the start of a node.
#[derive(Debug, Error)]
pub enum NodeError {
    /// An address or a file can't be opened.
    #[error("starting a database stand-in failed: {0}")]
    Io(#[from] io::Error),
    /// The engine can't be opened.
    #[error("opening the engine of a database stand-in failed: {0}")]
    Engine(#[from] rusqlite::Error),
}

/// Receives the result of a statement, with the node's state after it.
type RunReply = Sender<(Result<QueryResult, SqlError>, NodeState)>;

/// The state of a node.
pub(super) struct Node {
    pub plan: NodePlan,
    pub peers: Vec<Sender<Message>>,
    pub replica: Replica<Entry>,
    /// When the last accepted heartbeat of the primary arrived.
    pub heartbeat_at: Option<Instant>,
    pub fault: Fault,
    /// The delay before a replica applies a received entry: that of the plan, or of a fault.
    lag: Duration,
    /// The fault that answers are sent twice, if it is set.
    stutter: Option<Stutter>,
    engine: Engine,
    sessions: BTreeMap<SessionKey, Sender<SessionCommand>>,
    /// Reports to the accepting task whether the node is up.
    acceptor: Option<Sender<bool>>,
    /// The backend process id of the latest session.
    last_pid: i32,
    /// The number of slots in use.
    running: usize,
    /// Sessions that wait for a slot, in order of arrival.
    slot_waiters: VecDeque<(SessionKey, Sender<()>)>,
    /// Writes that wait for the write lock.
    blocked_writes: VecDeque<(SessionKey, Statement, RunReply)>,
    /// Messages to process when the fault ends.
    postponed: VecDeque<Message>,
}

impl Node {
    pub(super) fn new(
        ix: usize,
        plan: NodePlan,
        peers: Vec<Sender<Message>>,
    ) -> Result<Self, NodeError> {
        let ix = EndpointIx(u16::try_from(ix).unwrap_or(u16::MAX));
        Ok(Self {
            lag: plan.lag,
            stutter: None,
            plan,
            peers,
            replica: Replica::new(ix),
            heartbeat_at: None,
            fault: Fault::None,
            engine: Engine::new()?,
            sessions: BTreeMap::new(),
            acceptor: None,
            last_pid: 0,
            running: 0,
            slot_waiters: VecDeque::new(),
            blocked_writes: VecDeque::new(),
            postponed: VecDeque::new(),
        })
    }

    /// Processes messages until all senders are dropped.
    pub(super) async fn run(mut self, inbox: Receiver<Message>) {
        let mut next_heartbeat = Instant::now();
        loop {
            let due = self.next_due(next_heartbeat);
            match timeout_at(due, inbox.recv_async()).await {
                Ok(Ok(message)) => self.receive(message),
                Ok(Err(_)) => return,
                Err(_) => {}
            }
            if Instant::now() >= next_heartbeat {
                next_heartbeat = Instant::now() + HEARTBEAT_INTERVAL;
                if self.is_running() {
                    self.send_heartbeat();
                }
            }
            if self.is_running() {
                self.apply_due();
            }
        }
    }

    /// Whether the node sends heartbeats and applies entries: it is neither down nor paused.
    fn is_running(&self) -> bool {
        !matches!(self.fault, Fault::Down | Fault::Frozen)
    }

    /// Returns when the next heartbeat or the next entry to apply is due.
    fn next_due(&self, heartbeat: Instant) -> Instant {
        let next = self.replica.log.get(self.replica.applied);
        match next {
            Some(entry) if self.is_running() => heartbeat.min(entry.received_at + self.lag),
            _ => heartbeat,
        }
    }

    /// Processes, postpones or drops a message, as the current fault requires.
    fn receive(&mut self, message: Message) {
        match (self.fault, &message) {
            (_, Message::Fault(_) | Message::Acceptor(_))
            | (Fault::Down, Message::Close(_) | Message::ReleaseSlot)
            | (Fault::Hidden, Message::Peer(_)) => self.handle(message),
            (Fault::Down, _) => {}
            (Fault::Frozen | Fault::Hidden, _) => self.postponed.push_back(message),
            _ => self.handle(message),
        }
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Open(commands, reply) => self.open(commands, &reply),
            Message::Close(key) => self.close(key),
            Message::FailTransaction(key) => self.engine.fail(key),
            Message::Cancel(key) => {
                if let Some(commands) = self.sessions.get(&key) {
                    let _ = commands.send(SessionCommand::Cancel);
                }
            }
            Message::TakeSlot(key, reply) => {
                self.slot_waiters.push_back((key, reply));
                self.grant_slots();
            }
            Message::ReleaseSlot => {
                self.running = self.running.saturating_sub(1);
                self.grant_slots();
            }
            Message::Run(key, statement, reply) => self.execute(key, statement, reply),
            Message::Control(call, reply) => {
                let row = self.run_control(call);
                let _ = reply.send((row, self.node_state(None)));
            }
            Message::Describe(sql, reply) => {
                let _ = reply.send(self.engine.describe(&sql));
            }
            Message::Peer(peer) => self.on_peer_message(peer),
            Message::Fault(fault) => self.set_fault(fault),
            Message::Acceptor(acceptor) => self.acceptor = Some(acceptor),
        }
    }

    fn open(
        &mut self,
        commands: Sender<SessionCommand>,
        reply: &Sender<Option<(SessionKey, NodeState)>>,
    ) {
        if self.sessions.len() >= self.plan.connections {
            let _ = reply.send(None);
            return;
        }
        self.last_pid += 1;
        let key = SessionKey {
            pid: self.last_pid,
            secret: self.last_pid.wrapping_mul(0x05DE_ECE6),
        };
        self.sessions.insert(key, commands);
        let _ = reply.send(Some((key, self.node_state(Some(key)))));
    }

    fn close(&mut self, key: SessionKey) {
        self.sessions.remove(&key);
        self.slot_waiters.retain(|(waiting, _)| *waiting != key);
        self.blocked_writes.retain(|(waiting, ..)| *waiting != key);
        self.engine.abort(key);
        self.retry_blocked_writes();
    }

    fn grant_slots(&mut self) {
        while self.running < self.plan.slots {
            let Some((_, reply)) = self.slot_waiters.pop_front() else {
                return;
            };
            if reply.send(()).is_ok() {
                self.running += 1;
            }
        }
    }

    /// Runs a statement, or queues it while another session's transaction holds the write lock.
    fn execute(&mut self, key: SessionKey, statement: Statement, reply: RunReply) {
        let writable = self.replica.is_writable();
        let Some(result) = self.engine.run(key, &statement, writable) else {
            self.blocked_writes.push_back((key, statement, reply));
            return;
        };
        if let Ok(output) = &result
            && !output.committed.is_empty()
        {
            self.commit(output.committed.clone());
        }
        let _ = reply.send((result, self.node_state(Some(key))));
        self.retry_blocked_writes();
    }

    fn retry_blocked_writes(&mut self) {
        for (key, statement, reply) in mem::take(&mut self.blocked_writes) {
            self.execute(key, statement, reply);
        }
    }

    fn commit(&mut self, statements: Vec<String>) {
        let entry = Entry {
            statements,
            received_at: Instant::now(),
        };
        self.replica.append(entry.clone());
        self.replicate(&entry);
    }

    /// Applies the received entries whose delay has passed.
    pub(super) fn apply_due(&mut self) {
        let now = Instant::now();
        while let Some(entry) = self.replica.log.get(self.replica.applied) {
            if self.replica.role == Role::Replica && now < entry.received_at + self.lag {
                return;
            }
            self.engine.apply(&entry.statements);
            self.replica.applied += 1;
        }
    }

    /// Applies all received entries at once.
    pub(super) fn apply_all(&mut self) {
        while let Some(entry) = self.replica.log.get(self.replica.applied) {
            self.engine.apply(&entry.statements);
            self.replica.applied += 1;
        }
    }

    /// Rebuilds the engine's state from the applied entries of the log, and closes all sessions.
    pub(super) fn rebuild(&mut self) {
        match Engine::new() {
            Ok(engine) => self.engine = engine,
            Err(error) => spdlog::error!(
                "rebuilding the engine of {} failed: {}",
                self.plan.name,
                error
            ),
        }
        for entry in self.replica.log.iter().take(self.replica.applied) {
            self.engine.apply(&entry.statements);
        }
        self.kill_sessions();
    }

    fn set_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Lag(lag) => {
                self.lag = lag;
                return;
            }
            Fault::Stutter(stutter) => {
                self.stutter = Some(stutter);
                return;
            }
            Fault::None => {
                self.lag = self.plan.lag;
                self.stutter = None;
            }
            _ => {}
        }
        self.fault = fault;
        if fault == Fault::Down {
            self.kill_sessions();
        }
        if let Some(acceptor) = &self.acceptor {
            let _ = acceptor.send(fault != Fault::Down);
        }
        if fault == Fault::None {
            for message in mem::take(&mut self.postponed) {
                self.handle(message);
            }
        }
    }

    fn kill_sessions(&mut self) {
        for (key, commands) in mem::take(&mut self.sessions) {
            let _ = commands.send(SessionCommand::Kill);
            self.engine.abort(key);
        }
        self.slot_waiters.clear();
        self.blocked_writes.clear();
    }

    pub(super) fn is_connected(&self) -> bool {
        self.heartbeat_at
            .is_some_and(|at| at.elapsed() < HEARTBEAT_TIMEOUT)
    }

    fn node_state(&self, key: Option<SessionKey>) -> NodeState {
        NodeState {
            mark: self.replica.mark(),
            role: self.replica.role,
            tx: key.map_or(TxState::Idle, |key| self.engine.state(key)),
            stutter: self.stutter,
        }
    }
}
