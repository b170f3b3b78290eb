//! The connections of one endpoint: which request gets which, and when one is opened.

use std::collections::{BTreeMap, VecDeque};

use goldcrest_types::{ConnectionId, Lease, RequestId};
use smallvec::SmallVec;

/// Connections that may be set up at the same time.
const OPENING_LIMIT: usize = 2;

/// Something for the endpoint's task to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Set up a connection.
    Open(ConnectionId),
    /// Give a request to a connection.
    Run(RequestId, ConnectionId),
    /// Report a request as not sent: its connection is gone, or none can be had.
    Fail(RequestId),
    /// Close a connection.
    Close(ConnectionId),
}

/// The actions of one step.
pub type Actions = SmallVec<[Action; 4]>;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Opening,
    Idle,
    Busy(RequestId, Lease),
    Held(Lease),
}

/// The pool's state.
#[derive(Debug, Clone)]
pub struct Pool {
    limit: usize,
    connections: BTreeMap<ConnectionId, State>,
    queue: VecDeque<(RequestId, Lease)>,
    next: u64,
}

impl Pool {
    /// A pool of at most `limit` connections.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            connections: BTreeMap::new(),
            queue: VecDeque::new(),
            next: 0,
        }
    }

    /// Connections that are open or being opened.
    #[must_use]
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether there are no connections.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Requests that wait for a connection.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Takes a request. `held` tells whether its lease must already hold a connection.
    pub fn run(&mut self, id: RequestId, lease: Lease, held: bool) -> Actions {
        if held {
            return self.run_held(id, lease);
        }
        self.queue.push_back((id, lease));
        self.pump()
    }

    fn run_held(&mut self, id: RequestId, lease: Lease) -> Actions {
        let held = self
            .connections
            .iter_mut()
            .find(|(_, s)| **s == State::Held(lease));
        let Some((connection, state)) = held else {
            return Actions::from_iter([Action::Fail(id)]);
        };
        *state = State::Busy(id, lease);
        Actions::from_iter([Action::Run(id, *connection)])
    }

    /// Notes that a connection is ready for work.
    pub fn opened(&mut self, connection: ConnectionId) -> Actions {
        if let Some(state) = self.connections.get_mut(&connection) {
            *state = State::Idle;
        }
        self.pump()
    }

    /// Notes that a connection could not be set up: what is queued can't run here now.
    pub fn open_failed(&mut self, connection: ConnectionId) -> Actions {
        self.connections.remove(&connection);
        if !self.connections.is_empty() {
            return self.pump();
        }
        self.queue
            .drain(..)
            .map(|(id, _)| Action::Fail(id))
            .collect()
    }

    /// Notes the end of a connection's request. `open` tells whether a transaction is still open.
    pub fn finished(&mut self, connection: ConnectionId, open: bool) -> Actions {
        let Some(state) = self.connections.get_mut(&connection) else {
            return Actions::new();
        };
        *state = match *state {
            State::Busy(_, lease) if open => State::Held(lease),
            _ => State::Idle,
        };
        self.pump()
    }

    /// Notes that a connection is gone.
    pub fn closed(&mut self, connection: ConnectionId) -> Actions {
        self.connections.remove(&connection);
        self.pump()
    }

    /// Drops a request: a queued one is forgotten, a running one's connection is closed.
    pub fn abandon(&mut self, id: RequestId) -> Actions {
        self.queue.retain(|(queued, _)| *queued != id);
        let Some(connection) = self.running(id) else {
            return Actions::new();
        };
        self.connections.remove(&connection);
        let mut out = Actions::from_iter([Action::Close(connection)]);
        out.extend(self.pump());
        out
    }

    /// Takes a request out of the queue. Returns false if it is not queued.
    pub fn unqueue(&mut self, id: RequestId) -> bool {
        let before = self.queue.len();
        self.queue.retain(|(queued, _)| *queued != id);
        self.queue.len() < before
    }

    /// Ends a lease: an open transaction's connection is closed, which rolls it back.
    pub fn release(&mut self, lease: Lease) -> Actions {
        let mut held = self.connections.iter().filter_map(|(id, s)| match s {
            State::Held(l) | State::Busy(_, l) if *l == lease => Some(*id),
            _ => None,
        });
        let Some(connection) = held.next() else {
            return Actions::new();
        };
        self.connections.remove(&connection);
        let mut out = Actions::from_iter([Action::Close(connection)]);
        out.extend(self.pump());
        out
    }

    /// The connection that runs a request.
    #[must_use]
    pub fn running(&self, id: RequestId) -> Option<ConnectionId> {
        let mut busy = self.connections.iter().filter_map(|(c, s)| match s {
            State::Busy(running, _) if *running == id => Some(*c),
            _ => None,
        });
        busy.next()
    }

    /// Gives queued requests to idle connections and opens more while some still wait.
    fn pump(&mut self) -> Actions {
        let mut out = Actions::new();
        while let Some(connection) = self.idle() {
            let Some((id, lease)) = self.queue.pop_front() else {
                break;
            };
            self.connections.insert(connection, State::Busy(id, lease));
            out.push(Action::Run(id, connection));
        }
        let opening = self.opening();
        let wanted = self.queue.len().min(OPENING_LIMIT);
        let room = self.limit.saturating_sub(self.connections.len());
        for _ in 0..wanted.saturating_sub(opening).min(room) {
            let connection = ConnectionId(self.next);
            self.next += 1;
            self.connections.insert(connection, State::Opening);
            out.push(Action::Open(connection));
        }
        out
    }

    fn idle(&self) -> Option<ConnectionId> {
        let mut idle = self.connections.iter().filter(|(_, s)| **s == State::Idle);
        idle.next().map(|(id, _)| *id)
    }

    fn opening(&self) -> usize {
        let states = self.connections.values();
        states.filter(|s| **s == State::Opening).count()
    }
}
