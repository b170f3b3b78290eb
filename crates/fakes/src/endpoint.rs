//! A simulated database endpoint.

use std::collections::BTreeMap;

use goldcrest_decide::group::AnswerHead;
use goldcrest_types::{EndpointIx, Lease, Outcome, RequestId, Timestamp, TxState};

use crate::{
    clients::{Op, Write},
    replica::Replica,
};

/// A committed transaction in an endpoint's log.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub writes: Vec<Write>,
    /// When this endpoint committed or received the entry.
    pub received_at: Timestamp,
}

/// A request that a host sends to an endpoint.
#[derive(Debug, Clone)]
pub(crate) struct EndpointRequest {
    pub host: usize,
    /// The epoch of the host that sent the request.
    pub epoch: u64,
    pub id: RequestId,
    pub lease: Lease,
    /// Whether the request belongs to a transaction that must be open on its connection.
    pub in_transaction: bool,
    pub client: usize,
    pub op: Op,
    /// Whether a second run of the same write must have no effect.
    pub idempotent: bool,
}

/// The result of a request that an endpoint ran.
#[derive(Debug, Clone)]
pub(crate) struct Execution {
    pub answer: AnswerHead,
    /// The client's own writes that were visible to a read.
    pub seen: Vec<u64>,
    /// Whether the request committed a transaction.
    pub committed: bool,
}

/// A host and its lease on a connection to the endpoint.
pub(crate) type ConnectionKey = (usize, Lease);

/// The state of an endpoint.
#[derive(Debug, Clone)]
pub(crate) struct Endpoint {
    pub replica: Replica<Entry>,
    pub down: bool,
    /// The end of a pause of the process.
    pub paused_until: Option<Timestamp>,
    /// The time up to which the endpoint applies no entries.
    pub lagging_until: Option<Timestamp>,
    /// When the last accepted heartbeat of the primary arrived.
    pub heartbeat_at: Option<Timestamp>,
    pub running: Vec<EndpointRequest>,
    /// Open transactions with their uncommitted writes.
    pub transactions: BTreeMap<ConnectionKey, Vec<Write>>,
}

impl Endpoint {
    pub(crate) fn new(ix: EndpointIx) -> Self {
        Self {
            replica: Replica::new(ix),
            down: false,
            paused_until: None,
            lagging_until: None,
            heartbeat_at: None,
            running: Vec::new(),
            transactions: BTreeMap::new(),
        }
    }

    /// Takes the endpoint down and returns the requests that were running.
    pub(crate) fn crash(&mut self) -> Vec<EndpointRequest> {
        self.down = true;
        self.transactions.clear();
        std::mem::take(&mut self.running)
    }

    /// Drops the open transactions of one host. Its running requests continue.
    pub(crate) fn disconnect_host(&mut self, host: usize) {
        self.transactions.retain(|(h, _), _| *h != host);
    }

    /// Executes a running request. Returns `None` if it was abandoned.
    pub(crate) fn finish(
        &mut self,
        id: RequestId,
        now: Timestamp,
    ) -> Option<(EndpointRequest, Execution)> {
        let at = self.running.iter().position(|r| r.id == id)?;
        let request = self.running.remove(at);
        let execution = self.execute(&request, now);
        Some((request, execution))
    }

    fn execute(&mut self, request: &EndpointRequest, now: Timestamp) -> Execution {
        let connection = (request.host, request.lease);
        match request.op {
            Op::Read => self.read(request, connection),
            Op::Write(id) => self.write(request, connection, id, now),
            Op::Begin => {
                self.transactions.insert(connection, Vec::new());
                self.execution(Outcome::Done, TxState::Open, false)
            }
            Op::TransactionWrite(id) => {
                if !self.replica.is_writable() {
                    self.transactions.remove(&connection);
                    return self.execution(Outcome::Declined, TxState::Failed, false);
                }
                let write = Write {
                    id,
                    client: request.client,
                };
                self.transactions.entry(connection).or_default().push(write);
                self.execution(Outcome::Done, TxState::Open, false)
            }
            Op::Commit => {
                let writes = self.transactions.remove(&connection).unwrap_or_default();
                self.commit(writes, now)
            }
            Op::Rollback => {
                self.transactions.remove(&connection);
                self.execution(Outcome::Done, TxState::Idle, false)
            }
        }
    }

    fn write(
        &mut self,
        request: &EndpointRequest,
        connection: ConnectionKey,
        id: u64,
        now: Timestamp,
    ) -> Execution {
        let committed_writes = self.replica.log.iter().flat_map(|e| &e.writes);
        let repeated = request.idempotent && committed_writes.into_iter().any(|w| w.id == id);
        if repeated && self.replica.is_writable() {
            return self.execution(Outcome::Done, TxState::Idle, false);
        }
        self.transactions.remove(&connection);
        let write = Write {
            id,
            client: request.client,
        };
        self.commit(vec![write], now)
    }

    fn commit(&mut self, writes: Vec<Write>, now: Timestamp) -> Execution {
        if !self.replica.is_writable() {
            return self.execution(Outcome::Declined, TxState::Idle, false);
        }
        let received_at = now;
        self.replica.append(Entry {
            writes,
            received_at,
        });
        self.execution(Outcome::Done, TxState::Idle, true)
    }

    fn read(&self, request: &EndpointRequest, connection: ConnectionKey) -> Execution {
        let entries = self.replica.log.iter().take(self.replica.applied);
        let own = entries.flat_map(|e| &e.writes);
        let own = own.filter(|w| w.client == request.client).map(|w| w.id);
        let tx = if self.transactions.contains_key(&connection) {
            TxState::Open
        } else {
            TxState::Idle
        };
        Execution {
            seen: own.collect(),
            ..self.execution(Outcome::Done, tx, false)
        }
    }

    fn execution(&self, outcome: Outcome, tx: TxState, committed: bool) -> Execution {
        Execution {
            answer: AnswerHead {
                outcome,
                mark: self.replica.mark(),
                role: self.replica.role,
                tx,
            },
            seen: Vec::new(),
            committed,
        }
    }
}
