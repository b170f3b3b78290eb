//! Statements that one host runs for another, on the other's behalf.
//!
//! The host that runs a statement numbers it anew, and takes it for as old as its arrival there: its
//! clock is not the other's, and the stricter reading of an accepted age is always safe.

mod client;
mod server;

use std::time::Duration;

use goldcrest_types::{
    Class, Floor, Kind, Name, Pin, Reply, RequestHead, RequestId, Setting, Statement, StoreNotice,
    SuccessionCommand, Timestamp, TxStart,
};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

pub use self::{
    client::{run, run_succession},
    server::{RelayHandlers, start},
};

/// What hosts ask of each other for their sessions.
#[tarpc::service]
pub trait RelayService {
    /// Runs a statement of a service's group.
    async fn run(service: Name, statement: RelayedStatement) -> Reply;
    /// Rolls back an open transaction.
    async fn release(service: Name, pin: Pin);
    /// Speaks with the platform about a service's group, for a host that can't reach it.
    async fn run_succession(service: Name, command: SuccessionCommand) -> StoreNotice;
    /// Shows that this host lives.
    async fn ping();
}

/// A statement on its way to another host. Spans of time take the place of moments.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RelayedStatement {
    workspace: Name,
    kind: Kind,
    class: Class,
    floor: Floor,
    age: Option<Duration>,
    pin: Option<Pin>,
    repeatable: bool,
    /// The time until work that has not started is refused.
    start: Duration,
    /// The time until the client gives up.
    deadline: Duration,
    label: Name,
    text: Name,
    opening: TxStart,
    settings: SmallVec<[Setting; 2]>,
}

impl RelayedStatement {
    /// Packs a statement that leaves at `now`, in the transaction that the other host knows by
    /// `pin`.
    fn pack(statement: &Statement, pin: Option<Pin>, now: Timestamp) -> Self {
        let head = &statement.head;
        Self {
            workspace: head.workspace.clone(),
            kind: head.kind,
            class: head.class,
            floor: head.floor,
            age: head.max_age,
            pin,
            repeatable: head.idempotent,
            start: head.start_by.since(now),
            deadline: head.deadline.since(now),
            label: statement.label.clone(),
            text: statement.text.clone(),
            opening: statement.opening,
            settings: statement.settings.clone(),
        }
    }

    /// Unpacks a statement that arrives at `now`, under a number of this host.
    fn unpack(self, id: RequestId, now: Timestamp) -> Statement {
        Statement {
            head: RequestHead {
                id,
                workspace: self.workspace,
                kind: self.kind,
                class: self.class,
                floor: self.floor,
                max_age: self.age,
                pin: self.pin,
                idempotent: self.repeatable,
                arrived: now,
                start_by: now + self.start,
                deadline: now + self.deadline,
            },
            label: self.label,
            text: self.text,
            opening: self.opening,
            settings: self.settings,
        }
    }
}
