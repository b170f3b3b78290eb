//! The state of the platform, owned by one task.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use flume::{Receiver, Sender};
use serde_json::{Value, json};

use super::PlatformFault;

/// The HTTP status and body of a reply. `None` means that the call is not answered.
pub(super) type Reply = Option<(u16, Vec<u8>)>;

/// A call of the platform's API, or a change of its fault.
#[derive(Debug)]
pub(super) enum Call {
    Row(String, String, Sender<Reply>),
    Rows(String, Sender<Reply>),
    Transact(Value, Sender<Reply>),
    PutObject(String, Vec<u8>, Sender<Reply>),
    Object(String, Sender<Reply>),
    Announce(String, Value, Sender<Reply>),
    Hosts(Sender<Reply>),
    Fault(PlatformFault),
    /// Queries the delay that the current fault adds to each call.
    Delay(Sender<Duration>),
}

/// Rows by table and key, each with its version and value.
type Rows = BTreeMap<(String, String), (u64, Value)>;

/// The tables, objects and hosts, and the current fault.
pub(super) struct State {
    rows: Rows,
    /// The row versions that each change wrote, so that a repeated change is answered alike.
    applied_changes: HashMap<u64, Vec<u64>>,
    objects: HashMap<String, Vec<u8>>,
    /// The latest entry of each host, and when it was announced.
    hosts: BTreeMap<String, (Instant, Value)>,
    /// The entries that the host list returns.
    listed: BTreeMap<String, Value>,
    /// The delay before an announced entry appears in the host list.
    lag: Duration,
    fault: PlatformFault,
}

impl State {
    pub(super) fn new(lag: Duration) -> Self {
        Self {
            rows: Rows::new(),
            applied_changes: HashMap::new(),
            objects: HashMap::new(),
            hosts: BTreeMap::new(),
            listed: BTreeMap::new(),
            lag,
            fault: PlatformFault::None,
        }
    }

    /// Processes calls until all senders are dropped.
    pub(super) async fn run(mut self, calls: Receiver<Call>) {
        while let Ok(call) = calls.recv_async().await {
            self.handle(call);
        }
    }

    fn handle(&mut self, call: Call) {
        let down = self.fault == PlatformFault::Down;
        let answer_lost = self.fault == PlatformFault::AnswerLost;
        match call {
            Call::Fault(fault) => self.fault = fault,
            Call::Delay(reply) => {
                let delay = match self.fault {
                    PlatformFault::Slow(delay) => delay,
                    _ => Duration::ZERO,
                };
                let _ = reply.send(delay);
            }
            Call::Row(table, key, reply) => send_reply(&reply, down, || self.row(table, key)),
            Call::Rows(table, reply) => send_reply(&reply, down, || self.list(&table)),
            Call::Object(name, reply) => send_reply(&reply, down, || {
                let object = self.objects.get(&name);
                object.map_or((404, Vec::new()), |bytes| (200, bytes.clone()))
            }),
            Call::Hosts(reply) => {
                self.refresh_host_list();
                send_reply(&reply, down, || {
                    ok(&json!(self.listed.values().collect::<Vec<_>>()))
                });
            }
            Call::Transact(..) | Call::PutObject(..) | Call::Announce(..) if down => drop(call),
            Call::Transact(body, reply) => {
                let outcome = self.transact(&body);
                send_reply(&reply, answer_lost, || outcome);
            }
            Call::PutObject(name, bytes, reply) => {
                self.objects.insert(name, bytes);
                send_reply(&reply, answer_lost, || (200, Vec::new()));
            }
            Call::Announce(name, entry, reply) => {
                self.hosts.insert(name, (Instant::now(), entry));
                send_reply(&reply, answer_lost, || (200, Vec::new()));
            }
        }
    }

    fn row(&self, table: String, key: String) -> (u16, Vec<u8>) {
        let id = (table, key);
        match self.rows.get(&id) {
            Some((version, value)) => ok(&json!({"key": id.1, "version": version, "value": value})),
            None => (404, Vec::new()),
        }
    }

    fn list(&self, table: &str) -> (u16, Vec<u8>) {
        let rows = self.rows.iter().filter(|((t, _), _)| t == table);
        let rows = rows.map(
            |((_, key), (version, value))| json!({"key": key, "version": version, "value": value}),
        );
        ok(&json!(rows.collect::<Vec<_>>()))
    }

    /// Puts all rows, or none if the version of one differs from the expected version.
    fn transact(&mut self, body: &Value) -> (u16, Vec<u8>) {
        let Some(change) = body["change"].as_u64() else {
            return (400, b"change: a number is needed".to_vec());
        };
        if let Some(versions) = self.applied_changes.get(&change) {
            return ok(&json!({ "versions": versions }));
        }
        let puts = body["puts"].as_array().cloned().unwrap_or_default();
        for put in &puts {
            let (id, expected) = put_target(put);
            let version = self.rows.get(&id).map_or(0, |(version, _)| *version);
            if version != expected {
                let conflict = json!({"key": id.1, "version": version});
                return (409, conflict.to_string().into_bytes());
            }
        }
        let mut versions = Vec::new();
        for put in &puts {
            let (id, expected) = put_target(put);
            self.rows.insert(id, (expected + 1, put["value"].clone()));
            versions.push(expected + 1);
        }
        let outcome = ok(&json!({ "versions": versions }));
        self.applied_changes.insert(change, versions);
        outcome
    }

    /// Updates the host list with the entries that are older than the lag.
    fn refresh_host_list(&mut self) {
        for (name, (since, entry)) in &self.hosts {
            if since.elapsed() >= self.lag {
                self.listed.insert(name.clone(), entry.clone());
            }
        }
    }
}

/// Returns the table, the key and the expected version of a put.
fn put_target(put: &Value) -> ((String, String), u64) {
    let text = |field: &str| put[field].as_str().unwrap_or_default().to_owned();
    let id = (text("table"), text("key"));
    (id, put["expected"].as_u64().unwrap_or_default())
}

fn ok(value: &Value) -> (u16, Vec<u8>) {
    (200, value.to_string().into_bytes())
}

/// Sends a reply, or none if the current fault suppresses it.
fn send_reply<F>(reply: &Sender<Reply>, suppressed: bool, build: F)
where
    F: FnOnce() -> (u16, Vec<u8>),
{
    // Sending fails if the HTTP client has disconnected.
    let _ = reply.send((!suppressed).then(build));
}
