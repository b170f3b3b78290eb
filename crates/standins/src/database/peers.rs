//! Messages to a node, and replication between nodes.

use std::time::{Duration, Instant};

use flume::Sender;
use goldcrest_fakes::Heartbeat;
use goldcrest_types::{EndpointIx, Mark, Position, Role, Term, TxState};

use super::{
    Fault,
    control::ControlCall,
    engine::Done,
    node::Node,
    values::{Failure, Value},
};

/// The time between two beats of a primary.
pub(super) const BEAT_EVERY: Duration = Duration::from_millis(250);

/// How long a replica hears its primary after a beat.
pub(super) const HEAR_LIMIT: Duration = Duration::from_millis(700);

/// One committed transaction.
#[derive(Debug, Clone)]
pub(super) struct Entry {
    pub statements: Vec<String>,
    pub received: Instant,
}

/// Orders to a session of a node.
#[derive(Debug, Clone, Copy)]
pub(super) enum SessionOrder {
    /// Cancel what runs.
    Cancel,
    /// Break the connection.
    Kill,
}

/// The key of a session.
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

/// What a node says of its log with each answer.
#[derive(Debug, Clone, Copy)]
pub(super) struct Said {
    pub mark: Mark,
    pub role: Role,
    pub tx: TxState,
}

/// A message to a node.
#[derive(Debug)]
pub(super) enum Message {
    /// A session wants to open.
    Open(Sender<SessionOrder>, Sender<Option<(SessionKey, Said)>>),
    /// A session ended.
    Close(SessionKey),
    /// A session's statement was cancelled.
    Fail(SessionKey),
    /// A cancel request.
    Cancel(SessionKey),
    /// A session wants a slot.
    Slot(SessionKey, Sender<()>),
    /// A session gives its slot back.
    FreeSlot,
    /// A session runs a statement.
    Run(SessionKey, Statement, Sender<(Result<Done, Failure>, Said)>),
    /// A session calls a function of the group.
    Control(ControlCall, Sender<(Vec<String>, Said)>),
    /// A session describes a statement.
    Describe(String, Sender<Result<Vec<(String, u32)>, Failure>>),
    /// Another node speaks.
    Peer(Peer),
    /// A fault is switched.
    Fault(Fault),
    /// The accepting task of the node.
    Server(Sender<bool>),
}

/// A message between nodes.
#[derive(Debug, Clone)]
pub(super) enum Peer {
    /// A primary's log, as far as it goes.
    Heartbeat(Heartbeat),
    /// A replica wants the entries after a position.
    Fetch { from: EndpointIx, after: Position },
    /// Entries after a position.
    Entries {
        term: Term,
        after: Position,
        entries: Vec<Entry>,
    },
}

impl Node {
    pub(super) fn peer(&mut self, message: Peer) {
        if self.fault == Fault::Cut {
            return;
        }
        match message {
            Peer::Heartbeat(beat) => self.on_heartbeat(&beat),
            Peer::Fetch { from, after } => self.on_fetch(from, after),
            Peer::Entries {
                term,
                after,
                entries,
            } => {
                let received = Instant::now();
                let entries = entries.into_iter().map(|e| Entry { received, ..e });
                self.replica.on_entries(term, after, entries.collect());
                self.apply_due();
            }
        }
    }

    /// A primary tells its group that it lives.
    pub(super) fn beat(&self) {
        if let Some(beat) = self.replica.heartbeat() {
            self.broadcast(&Peer::Heartbeat(beat));
        }
    }

    pub(super) fn ship(&self, entry: &Entry) {
        let entries = Peer::Entries {
            term: self.replica.term,
            after: Position(self.replica.held().0 - 1),
            entries: vec![entry.clone()],
        };
        self.broadcast(&entries);
    }

    fn broadcast(&self, message: &Peer) {
        let own = self.replica.ix.index();
        for ix in (0..self.peers.len()).filter(|ix| *ix != own) {
            self.send(ix, message.clone());
        }
    }

    fn send(&self, ix: usize, message: Peer) {
        if self.fault == Fault::Cut {
            return;
        }
        if let Some(peer) = self.peers.get(ix) {
            // The group's nodes end together.
            let _ = peer.send(Message::Peer(message));
        }
    }

    fn on_heartbeat(&mut self, beat: &Heartbeat) {
        let Some(heard) = self.replica.on_heartbeat(beat) else {
            return;
        };
        self.heard = Some(Instant::now());
        if heard.rebuild {
            self.rebuild();
        }
        if let Some(after) = heard.fetch {
            let from = self.replica.ix;
            self.send(beat.from.index(), Peer::Fetch { from, after });
        }
    }

    fn on_fetch(&self, from: EndpointIx, after: Position) {
        if let Some(entries) = self.replica.entries_after(after) {
            let entries = Peer::Entries {
                term: self.replica.term,
                after,
                entries,
            };
            self.send(from.index(), entries);
        }
    }
}
