//! The platform's metadata store and its promotion call, over HTTP/1.1.

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{group::Group, json::{Json, base64}, record::Record};

#[derive(Debug, Clone)]
struct Row {
    value: String,
    version: u64,
    deleted: bool,
}

#[derive(Default)]
struct State {
    version: u64,
    rows: BTreeMap<(String, String), Row>,
    /// The newest fencing token of each service.
    tokens: BTreeMap<String, u64>,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
    groups: Vec<Arc<Group>>,
    record: Arc<Record>,
}

impl Store {
    /// Serves the store on a free loopback port.
    pub fn start(groups: Vec<Arc<Group>>, record: Arc<Record>) -> (Arc<Store>, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = Arc::new(Store {
            state: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
            groups,
            record,
        });
        let serving = Arc::clone(&store);
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                thread::spawn(move || store.serve(socket));
            }
        });
        (store, address)
    }

    /// Writes a row as the operator or a server does.
    pub fn put(&self, table: &str, key: &str, json: &str) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let row = Row { value: base64(json.as_bytes()), version: state.version, deleted: false };
        state.rows.insert((table.into(), key.into()), row);
        self.changed.notify_all();
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        let mut state = self.state.lock().unwrap();
        let known = state.rows.get(&(table.into(), key.into()));
        if known.is_none_or(|row| row.deleted) {
            return;
        }
        state.version += 1;
        let row = Row { value: String::new(), version: state.version, deleted: true };
        state.rows.insert((table.into(), key.into()), row);
        self.changed.notify_all();
        self.record.say(&format!("the store removes {table}/{key}"));
    }

    fn serve(&self, socket: TcpStream) {
        let _ = socket.set_nodelay(true);
        let mut reader = BufReader::new(socket);
        while let Some(call) = Call::read(&mut reader) {
            thread::sleep(Duration::from_millis(4));
            let (status, body) = self.answer(&call);
            let text = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if reader.get_mut().write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, call: &Call) -> (u16, String) {
        match call.path.as_str() {
            "/goldcrestusher/rows-get" => (200, self.get(call)),
            "/goldcrestusher/rows-feed" => (200, self.feed(call)),
            "/goldcrestusher/rows-tx" => self.transact(&call.body),
            "/promote" => self.promote(call),
            _ => (404, "{}".into()),
        }
    }

    fn page(&self, state: &State, rows: Vec<String>) -> String {
        let now = self.started.elapsed().as_millis();
        format!("{{\"rows\":[{}],\"HasMore\":false,\"Ver\":{},\"NowMs\":{now}}}", rows.join(","), state.version)
    }

    fn get(&self, call: &Call) -> String {
        let state = self.state.lock().unwrap();
        let (table, from) = (call.query("Table"), call.query("From"));
        let rows = state.rows.iter().filter(|((t, key), row)| *t == table && *key >= from && !row.deleted);
        let rows = rows.map(encode).collect();
        self.page(&state, rows)
    }

    fn feed(&self, call: &Call) -> String {
        let (table, after) = (call.query("Table"), call.query("after").parse().unwrap_or(0));
        let wait = Duration::from_millis(call.query("WaitMs").parse().unwrap_or(0));
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let mut rows: Vec<_> =
                state.rows.iter().filter(|((t, _), row)| *t == table && row.version > after).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                rows.sort_by_key(|(_, row)| row.version);
                let rows = rows.into_iter().map(encode).collect();
                return self.page(&state, rows);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(call) = Json::parse(body) else { return (400, "{}".into()) };
        let mut state = self.state.lock().unwrap();
        let held = call.list("ExpectedRev").iter().all(|row| {
            let key = (row.text("Table"), row.text("Key"));
            let version = state.rows.get(&key).filter(|r| !r.deleted).map_or(0, |r| r.version);
            version == row.number("Ver")
        });
        if !held {
            let keys = call.list("ExpectedRev").iter().map(|row| (row.text("Table"), row.text("Key")));
            let known = keys.filter_map(|key| state.rows.get_key_value(&key));
            let rows = known.filter(|(_, row)| !row.deleted).map(encode).collect();
            return (412, self.page(&state, rows));
        }
        state.version += 1;
        let version = state.version;
        for write in call.list("Writes") {
            let row = Row { value: write.text("Value"), version, deleted: false };
            state.rows.insert((write.text("Table"), write.text("Key")), row);
        }
        for gone in call.list("Remove") {
            let row = Row { value: String::new(), version, deleted: true };
            state.rows.insert((gone.text("Table"), gone.text("Key")), row);
        }
        self.changed.notify_all();
        (200, self.page(&state, Vec::new()))
    }

    fn promote(&self, call: &Call) -> (u16, String) {
        let Some(body) = Json::parse(&call.body) else { return (400, "{}".into()) };
        let (service, id) = (body.text("Service"), body.text("Id"));
        let token: u64 = call.header("fencing-token").parse().unwrap_or(0);
        let mut state = self.state.lock().unwrap();
        let newest = state.tokens.entry(service.clone()).or_default();
        if token < *newest {
            return (409, "{}".into());
        }
        *newest = token;
        drop(state);
        self.record.write(&format!("platform promote {service} {id} holder {} token {token}", call.header("duty-holder")));
        let group = self.groups.iter().find(|g| g.service == service);
        let done = group.is_some_and(|g| g.promote(&id));
        (if done { 200 } else { 409 }, "{}".into())
    }
}

fn encode(((table, key), row): (&(String, String), &Row)) -> String {
    format!(
        "{{\"Table\":\"{table}\",\"part\":\"\",\"Key\":\"{key}\",\"Value\":\"{}\",\"Ver\":{},\"Deleted\":{}}}",
        row.value, row.version, row.deleted
    )
}

struct Call {
    path: String,
    query: Vec<(String, String)>,
    headers: Vec<(String, String)>,
    body: String,
}

impl Call {
    fn read(reader: &mut BufReader<TcpStream>) -> Option<Call> {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let target = line.split(' ').nth(1)?.to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let query = pairs.map(|(k, v)| (k.into(), decode(v))).collect();
        let mut headers = Vec::new();
        loop {
            let mut header = String::new();
            reader.read_line(&mut header).ok()?;
            let Some((name, value)) = header.trim().split_once(':') else { break };
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
        let mut call = Call { path: path.into(), query, headers, body: String::new() };
        let length: usize = call.header("content-length").parse().unwrap_or(0);
        let mut body = vec![0; length];
        reader.read_exact(&mut body).ok()?;
        call.body = String::from_utf8(body).ok()?;
        Some(call)
    }

    fn header(&self, name: &str) -> String {
        self.headers.iter().find(|(n, _)| n == name).map_or_else(String::new, |(_, v)| v.clone())
    }

    fn query(&self, name: &str) -> String {
        self.query.iter().find(|(n, _)| n == name).map_or_else(String::new, |(_, v)| v.clone())
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8(out).unwrap_or_default()
}
