//! An endpoint of the virtual world.

use std::collections::BTreeMap;

use goldcrest_decide::group::AnswerHead;
use goldcrest_types::{EndpointIx, Lease, Outcome, RequestId, Timestamp, TxState};

use crate::{
    clients::{Op, Write},
    replica::Replica,
};

/// A committed transaction.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub writes: Vec<Write>,
    pub received: Timestamp,
}

/// A request as an endpoint gets it.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub host: usize,
    pub life: u64,
    pub id: RequestId,
    pub lease: Lease,
    pub held: bool,
    pub client: usize,
    pub op: Op,
    pub repeatable: bool,
}

/// What an endpoint did with a request.
#[derive(Debug, Clone)]
pub(crate) struct Ran {
    pub answer: AnswerHead,
    /// The client's own writes that a read saw.
    pub seen: Vec<u64>,
    /// Whether something was committed.
    pub committed: bool,
}

pub(crate) type Held = (usize, Lease);

/// An endpoint.
#[derive(Debug, Clone)]
pub(crate) struct Endpoint {
    pub replica: Replica<Entry>,
    pub down: bool,
    pub paused: Option<Timestamp>,
    pub behind: Option<Timestamp>,
    pub heard: Option<Timestamp>,
    pub running: Vec<Run>,
    pub open: BTreeMap<Held, Vec<Write>>,
}

impl Endpoint {
    pub(crate) fn new(ix: EndpointIx) -> Self {
        Self {
            replica: Replica::new(ix),
            down: false,
            paused: None,
            behind: None,
            heard: None,
            running: Vec::new(),
            open: BTreeMap::new(),
        }
    }

    /// Breaks all connections.
    pub(crate) fn die(&mut self) -> Vec<Run> {
        self.down = true;
        self.open.clear();
        std::mem::take(&mut self.running)
    }

    /// Breaks the connections of one host. What runs for it runs on.
    pub(crate) fn drop_host(&mut self, host: usize) {
        self.open.retain(|(h, _), _| *h != host);
    }

    /// Ends a request that still runs.
    pub(crate) fn finish(&mut self, id: RequestId, now: Timestamp) -> Option<(Run, Ran)> {
        let at = self.running.iter().position(|r| r.id == id)?;
        let run = self.running.remove(at);
        let ran = self.execute(&run, now);
        Some((run, ran))
    }

    fn execute(&mut self, run: &Run, now: Timestamp) -> Ran {
        let held = (run.host, run.lease);
        match run.op {
            Op::Read => self.read(run, held),
            Op::Write(id) => self.write(run, held, id, now),
            Op::Begin => {
                self.open.insert(held, Vec::new());
                self.ran(Outcome::Done, TxState::Open, false)
            }
            Op::TransactionWrite(id) => {
                if !self.replica.is_writable() {
                    self.open.remove(&held);
                    return self.ran(Outcome::Declined, TxState::Failed, false);
                }
                let write = Write {
                    id,
                    client: run.client,
                };
                self.open.entry(held).or_default().push(write);
                self.ran(Outcome::Done, TxState::Open, false)
            }
            Op::Commit => {
                let writes = self.open.remove(&held).unwrap_or_default();
                self.commit(writes, now)
            }
            Op::Rollback => {
                self.open.remove(&held);
                self.ran(Outcome::Done, TxState::Idle, false)
            }
        }
    }

    fn write(&mut self, run: &Run, held: Held, id: u64, now: Timestamp) -> Ran {
        let known = self.replica.log.iter().flat_map(|e| &e.writes);
        let again = run.repeatable && known.into_iter().any(|w| w.id == id);
        if again && self.replica.is_writable() {
            return self.ran(Outcome::Done, TxState::Idle, false);
        }
        self.open.remove(&held);
        let write = Write {
            id,
            client: run.client,
        };
        self.commit(vec![write], now)
    }

    fn commit(&mut self, writes: Vec<Write>, now: Timestamp) -> Ran {
        if !self.replica.is_writable() {
            return self.ran(Outcome::Declined, TxState::Idle, false);
        }
        let received = now;
        self.replica.append(Entry { writes, received });
        self.ran(Outcome::Done, TxState::Idle, true)
    }

    fn read(&self, run: &Run, held: Held) -> Ran {
        let entries = self.replica.log.iter().take(self.replica.applied);
        let own = entries.flat_map(|e| &e.writes);
        let own = own.filter(|w| w.client == run.client).map(|w| w.id);
        let tx = if self.open.contains_key(&held) {
            TxState::Open
        } else {
            TxState::Idle
        };
        Ran {
            seen: own.collect(),
            ..self.ran(Outcome::Done, tx, false)
        }
    }

    fn ran(&self, outcome: Outcome, tx: TxState, committed: bool) -> Ran {
        Ran {
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
