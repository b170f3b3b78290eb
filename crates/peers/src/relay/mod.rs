//! Relaying: a host runs statements for the sessions of another host.
//!
//! The host that runs a statement gives it a new request id, and takes the time at which it
//! receives the statement as its arrival, because the clocks of two hosts are not comparable. The
//! later arrival makes the limit on accepted staleness stricter, which is always safe.

mod allowance;
mod client;
mod server;
mod tables;

use std::time::Duration;

use goldcrest_types::{
    AllowanceAnswer, AllowanceAsk, Class, Floor, Kind, Name, Pin, Reply, RequestHead, RequestId,
    Setting, Statement, StoreNotice, SuccessionCommand, TableQuery, TableReply, Timestamp, TxStart,
};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

pub use self::{
    allowance::{AllowanceHandle, AllowanceInput, AllowanceReport, CounterHosts, start_allowances},
    client::{Link, run_succession, start_links},
    server::{RelayHandlers, start},
    tables::{PublisherHandle, PublisherInput, TableClient, start_publisher},
};

/// The calls between hosts for sessions and succession.
#[tarpc::service]
pub trait RelayService {
    /// Runs a statement in the group of a service.
    async fn run(service: Name, statement: RelayedStatement) -> Reply;
    /// Rolls back an open transaction.
    async fn release(service: Name, pin: Pin);
    /// Carries out a succession command at the platform, for a host that can't reach it.
    async fn run_succession(service: Name, command: SuccessionCommand) -> StoreNotice;
    /// Returns news of a table that this host follows. `None` if it has not read the table yet.
    async fn read_table(table: Name, query: TableQuery) -> Option<TableReply>;
    /// Counts operations against the allowances of their workspaces. Returns an answer to each ask.
    async fn count_operations(asks: Vec<AllowanceAsk>) -> Vec<AllowanceAnswer>;
    /// Shows that this host is live.
    async fn ping();
}

/// A statement as it is sent to another host. Durations replace timestamps.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RelayedStatement {
    workspace: Name,
    database: Name,
    priority: u8,
    kind: Kind,
    class: Class,
    floor: Floor,
    max_age: Option<Duration>,
    pin: Option<Pin>,
    idempotent: bool,
    /// The time left until the statement is refused if it has not started.
    start_by: Duration,
    /// The time left until the client's deadline.
    deadline: Duration,
    label: Name,
    text: Name,
    opening: TxStart,
    settings: SmallVec<[Setting; 2]>,
}

impl RelayedStatement {
    /// Encodes a statement that is sent at `now`, in the transaction that the receiving host knows
    /// by `pin`.
    fn encode(statement: &Statement, pin: Option<Pin>, now: Timestamp) -> Self {
        let head = &statement.head;
        Self {
            workspace: head.workspace.clone(),
            database: head.database.clone(),
            priority: head.priority,
            kind: head.kind,
            class: head.class,
            floor: head.floor,
            max_age: head.max_age,
            pin,
            idempotent: head.idempotent,
            start_by: head.start_by.since(now),
            deadline: head.deadline.since(now),
            label: statement.label.clone(),
            text: statement.text.clone(),
            opening: statement.tx_start,
            settings: statement.settings.clone(),
        }
    }

    /// Returns the bytes of its texts: the statement with its label, and the settings that it needs.
    fn bytes(&self) -> usize {
        let settings: usize = self.settings.iter().map(Setting::bytes).sum();
        self.label.len() + self.text.len() + settings
    }

    /// Decodes a statement that arrives at `now`, under a request id of this host.
    fn decode(self, id: RequestId, now: Timestamp) -> Statement {
        Statement {
            head: RequestHead {
                id,
                workspace: self.workspace,
                database: self.database,
                priority: self.priority,
                kind: self.kind,
                class: self.class,
                floor: self.floor,
                max_age: self.max_age,
                pin: self.pin,
                idempotent: self.idempotent,
                arrived: now,
                start_by: now + self.start_by,
                deadline: now + self.deadline,
            },
            label: self.label,
            text: self.text,
            tx_start: self.opening,
            settings: self.settings,
        }
    }
}
