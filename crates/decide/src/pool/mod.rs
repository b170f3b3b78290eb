//! Assigns requests to the connections of one endpoint, and opens connections as needed.

use std::collections::{BTreeMap, VecDeque};

use goldcrest_types::{ConnectionId, Lease, RequestId};
use smallvec::SmallVec;

/// Maximum number of connections that are set up at the same time.
const OPENING_LIMIT: usize = 2;

/// An action for the endpoint's task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Open a connection.
    Open(ConnectionId),
    /// Run a request on a connection.
    Run(RequestId, ConnectionId),
    /// Report a request as not sent: its connection was lost, or none can be opened.
    Fail(RequestId),
    /// Close a connection.
    Close(ConnectionId),
}

/// The actions returned for one event.
pub type Actions = SmallVec<[Action; 4]>;

/// State of a connection. `Held` reserves it for the open transaction of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Opening,
    Idle,
    Busy(RequestId, Lease),
    Held(Lease),
}

/// The connections and the queue of one endpoint.
#[derive(Debug, Clone)]
pub struct Pool {
    limit: usize,
    connections: BTreeMap<ConnectionId, State>,
    queue: VecDeque<(RequestId, Lease)>,
    next: u64,
}

impl Pool {
    /// Creates a pool of at most `limit` connections.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            connections: BTreeMap::new(),
            queue: VecDeque::new(),
            next: 0,
        }
    }

    /// Returns the number of connections that are open or being opened.
    #[must_use]
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether there are no connections.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Returns the number of requests that wait for a connection.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Runs or queues a request. With `held`, its lease must already hold a connection.
    pub fn run(&mut self, id: RequestId, lease: Lease, held: bool) -> Actions {
        if held {
            return self.run_held(id, lease);
        }
        self.queue.push_back((id, lease));
        self.assign_queued()
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

    /// Records that a connection is ready.
    pub fn opened(&mut self, connection: ConnectionId) -> Actions {
        if let Some(state) = self.connections.get_mut(&connection) {
            *state = State::Idle;
        }
        self.assign_queued()
    }

    /// Records that a connection could not be opened. If no other connection is left, all queued
    /// requests fail.
    pub fn open_failed(&mut self, connection: ConnectionId) -> Actions {
        self.connections.remove(&connection);
        if !self.connections.is_empty() {
            return self.assign_queued();
        }
        self.queue
            .drain(..)
            .map(|(id, _)| Action::Fail(id))
            .collect()
    }

    /// Records the end of a connection's request. `open` tells whether a transaction is still open.
    pub fn finished(&mut self, connection: ConnectionId, open: bool) -> Actions {
        let Some(state) = self.connections.get_mut(&connection) else {
            return Actions::new();
        };
        *state = match *state {
            State::Busy(_, lease) if open => State::Held(lease),
            _ => State::Idle,
        };
        self.assign_queued()
    }

    /// Records that a connection was lost.
    pub fn closed(&mut self, connection: ConnectionId) -> Actions {
        self.connections.remove(&connection);
        self.assign_queued()
    }

    /// Records that a connection was lost before its request was sent. The request goes to the front
    /// of the queue.
    pub fn requeue(&mut self, connection: ConnectionId) -> Actions {
        if let Some(State::Busy(id, lease)) = self.connections.remove(&connection) {
            self.queue.push_front((id, lease));
        }
        self.assign_queued()
    }

    /// Drops a request: a queued one is removed, and the connection of a running one is closed.
    pub fn abandon(&mut self, id: RequestId) -> Actions {
        self.queue.retain(|(queued, _)| *queued != id);
        let Some(connection) = self.running(id) else {
            return Actions::new();
        };
        self.connections.remove(&connection);
        let mut out = Actions::from_iter([Action::Close(connection)]);
        out.extend(self.assign_queued());
        out
    }

    /// Removes a request from the queue. Returns false if it is not queued.
    pub fn unqueue(&mut self, id: RequestId) -> bool {
        let before = self.queue.len();
        self.queue.retain(|(queued, _)| *queued != id);
        self.queue.len() < before
    }

    /// Ends a lease: the connection of its open transaction is closed, which rolls the transaction
    /// back.
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
        out.extend(self.assign_queued());
        out
    }

    /// Returns the connection that runs a request.
    #[must_use]
    pub fn running(&self, id: RequestId) -> Option<ConnectionId> {
        let mut busy = self.connections.iter().filter_map(|(c, s)| match s {
            State::Busy(running, _) if *running == id => Some(*c),
            _ => None,
        });
        busy.next()
    }

    /// Assigns queued requests to idle connections, and opens more connections if some still wait.
    fn assign_queued(&mut self) -> Actions {
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
