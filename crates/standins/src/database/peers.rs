//! The messages that a node processes, and the replication between nodes.

use std::time::{Duration, Instant};

use flume::Sender;
use goldcrest_fakes::Heartbeat;
use goldcrest_types::{EndpointIx, Mark, Position, Role, Term, TxState};

use super::{
    Fault, Stutter,
    control::ControlCall,
    engine::QueryResult,
    node::Node,
    values::{SqlError, Value},
};

/// The interval between two heartbeats of a primary.
pub(super) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// A replica reports itself as connected to its primary for this long after a heartbeat.
pub(super) const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(700);

/// A committed transaction.
#[derive(Debug, Clone)]
pub(super) struct Entry {
    pub statements: Vec<String>,
    /// When this node committed or received the entry.
    pub received_at: Instant,
}

/// A command to a session.
#[derive(Debug, Clone, Copy)]
pub(super) enum SessionCommand {
    /// Cancels the running statement.
    Cancel,
    /// Closes the connection.
    Kill,
}

/// The backend key of a session, which a cancel request names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct SessionKey {
    pub pid: i32,
    pub secret: i32,
}

/// A statement with its parameters.
#[derive(Debug, Clone)]
pub(super) struct Statement {
    pub sql: String,
    pub parameters: Vec<Value>,
}

/// The state of a node that goes with each answer.
#[derive(Debug, Clone, Copy)]
pub(super) struct NodeState {
    pub mark: Mark,
    pub role: Role,
    pub tx: TxState,
    /// The fault that answers are sent twice, if it is set.
    pub stutter: Option<Stutter>,
}

/// A message to a node.
#[derive(Debug)]
pub(super) enum Message {
    /// Opens a session. The reply is `None` if the node has reached its maximum of connections.
    Open(
        Sender<SessionCommand>,
        Sender<Option<(SessionKey, NodeState)>>,
    ),
    /// Closes a session.
    Close(SessionKey),
    /// Marks a session's transaction as failed, after a cancelled statement.
    FailTransaction(SessionKey),
    /// Cancels the running statement of a session.
    Cancel(SessionKey),
    /// Acquires a slot for a session. The reply comes when one is free.
    TakeSlot(SessionKey, Sender<()>),
    /// Releases a slot.
    ReleaseSlot,
    /// Runs a statement of a session.
    Run(
        SessionKey,
        Statement,
        Sender<(Result<QueryResult, SqlError>, NodeState)>,
    ),
    /// Calls a control function of the group.
    Control(ControlCall, Sender<(Vec<String>, NodeState)>),
    /// Describes the result of a statement.
    Describe(String, Sender<Result<Vec<(String, u32)>, SqlError>>),
    /// A message from another node.
    Peer(PeerMessage),
    /// Sets the current fault.
    Fault(Fault),
    /// Registers the channel that reports to the accepting task whether the node is up.
    Acceptor(Sender<bool>),
}

/// A replication message between nodes.
#[derive(Debug, Clone)]
pub(super) enum PeerMessage {
    /// The length and the terms of a primary's log.
    Heartbeat(Heartbeat),
    /// Requests the entries after a position.
    Fetch { from: EndpointIx, after: Position },
    /// The entries after a position.
    Entries {
        term: Term,
        after: Position,
        entries: Vec<Entry>,
    },
}

impl Node {
    pub(super) fn on_peer_message(&mut self, message: PeerMessage) {
        if self.fault == Fault::Cut {
            return;
        }
        match message {
            PeerMessage::Heartbeat(heartbeat) => self.on_heartbeat(&heartbeat),
            PeerMessage::Fetch { from, after } => self.on_fetch(from, after),
            PeerMessage::Entries {
                term,
                after,
                entries,
            } => {
                let received_at = Instant::now();
                let entries = entries.into_iter().map(|e| Entry { received_at, ..e });
                self.replica.on_entries(term, after, entries.collect());
                self.apply_due();
            }
        }
    }

    /// Sends a heartbeat to the group, if this node is a primary.
    pub(super) fn send_heartbeat(&self) {
        if let Some(heartbeat) = self.replica.heartbeat() {
            self.broadcast(&PeerMessage::Heartbeat(heartbeat));
        }
    }

    /// Sends the newest entry of the log to the group.
    pub(super) fn replicate(&self, entry: &Entry) {
        let entries = PeerMessage::Entries {
            term: self.replica.term,
            after: Position(self.replica.held().0 - 1),
            entries: vec![entry.clone()],
        };
        self.broadcast(&entries);
    }

    fn broadcast(&self, message: &PeerMessage) {
        let own = self.replica.ix.index();
        for ix in (0..self.peers.len()).filter(|ix| *ix != own) {
            self.send(ix, message.clone());
        }
    }

    fn send(&self, ix: usize, message: PeerMessage) {
        if self.fault == Fault::Cut {
            return;
        }
        if let Some(peer) = self.peers.get(ix) {
            // The nodes of a group stop together, so a failed send needs no handling.
            let _ = peer.send(Message::Peer(message));
        }
    }

    fn on_heartbeat(&mut self, heartbeat: &Heartbeat) {
        let Some(outcome) = self.replica.on_heartbeat(heartbeat) else {
            return;
        };
        self.heartbeat_at = Some(Instant::now());
        if outcome.rebuild {
            self.rebuild();
        }
        if let Some(after) = outcome.fetch {
            let from = self.replica.ix;
            self.send(heartbeat.from.index(), PeerMessage::Fetch { from, after });
        }
    }

    fn on_fetch(&self, from: EndpointIx, after: Position) {
        if let Some(entries) = self.replica.entries_after(after) {
            let entries = PeerMessage::Entries {
                term: self.replica.term,
                after,
                entries,
            };
            self.send(from.index(), entries);
        }
    }
}
