//! The platform's store and its promotion API, as the pages describe them.

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::json::{self, Json};

#[derive(Debug, Clone)]
struct Row {
    value: String,
    version: u64,
    deleted: bool,
}

/// The rows with the counter: what a copy of the store holds.
#[derive(Debug, Clone, Default)]
pub struct Content {
    rows: BTreeMap<(String, String), Row>,
    pub version: u64,
}

#[derive(Debug)]
struct State {
    content: Content,
    era: u64,
    /// Calls are refused with 503 while it is set.
    down: bool,
    /// Nothing is answered while it is set, not even later.
    silent: bool,
    /// Changes with each silence. Connections from before are dead.
    generation: u64,
}

/// A call of `POST /promote`.
#[derive(Debug, Clone)]
pub struct Order {
    pub service: String,
    pub server: String,
    pub holder: String,
    pub token: u64,
}

type Promote = Box<dyn Fn(&Order) -> u16 + Send + Sync>;
type Watch = Box<dyn Fn(&str) + Send + Sync>;

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    start: Instant,
    promote: Promote,
    /// Gets a line for each call that changes something.
    watch: Watch,
}

impl Store {
    pub fn new(promote: Promote, watch: Watch) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(State {
                content: Content::default(),
                era: 1,
                down: false,
                silent: false,
                generation: 0,
            }),
            changed: Condvar::new(),
            start: Instant::now(),
            promote,
            watch,
        })
    }

    /// Listens on a free port.
    pub fn listen(self: &Arc<Self>, ip: &str) -> SocketAddr {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = Arc::clone(self);
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let store = Arc::clone(&store);
                thread::spawn(move || store.serve(socket));
            }
        });
        address
    }

    /// Writes a row as the operator and the servers do.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        let value = json::base64(value.as_bytes());
        write(&mut state.content, table, key, value, false);
        self.changed.notify_all();
    }

    pub fn remove(&self, table: &str, key: &str) {
        let mut state = self.state.lock().unwrap();
        write(&mut state.content, table, key, String::new(), true);
        self.changed.notify_all();
    }

    pub fn version(&self) -> u64 {
        self.state.lock().unwrap().content.version
    }

    pub fn copy(&self) -> Content {
        self.state.lock().unwrap().content.clone()
    }

    pub fn set_down(&self, down: bool) {
        self.state.lock().unwrap().down = down;
        self.changed.notify_all();
    }

    pub fn is_down(&self) -> bool {
        self.state.lock().unwrap().down
    }

    /// Goes away without a word: no connection of before is answered any more.
    pub fn fall_silent(&self) {
        let mut state = self.state.lock().unwrap();
        state.silent = true;
        state.generation += 1;
        self.changed.notify_all();
    }

    pub fn is_silent(&self) -> bool {
        self.state.lock().unwrap().silent
    }

    /// Comes back from an older copy. The caller writes what the operator and the servers wrote again.
    pub fn restore(&self, content: Content) {
        let mut state = self.state.lock().unwrap();
        state.content = content;
        state.era += 1;
        state.down = false;
        if std::mem::take(&mut state.silent) {
            state.generation += 2;
        }
        self.changed.notify_all();
    }

    fn serve(&self, socket: TcpStream) {
        let _ = socket.set_nodelay(true);
        let Ok(mut out) = socket.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(socket);
        let accepted = {
            let state = self.state.lock().unwrap();
            state.generation + u64::from(state.silent)
        };
        while let Some(call) = read_call(&mut reader) {
            if self.is_dead(accepted) {
                continue;
            }
            let (status, body) = self.answer(&call);
            if self.is_dead(accepted) {
                continue;
            }
            let era = self.state.lock().unwrap().era;
            let head = format!(
                "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nStore-Era: {era}\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if out.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Whether a connection that was accepted in this generation is never answered any more.
    fn is_dead(&self, accepted: u64) -> bool {
        let state = self.state.lock().unwrap();
        // One that was accepted during a silence is ahead of its generation until the end.
        state.silent || state.generation != accepted
    }

    fn answer(&self, call: &Call) -> (u16, String) {
        let (path, query) = call.path.split_once('?').unwrap_or((&call.path, ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs
                .find(|(key, _)| *key == name)
                .map_or("", |(_, value)| value)
        };
        if path == "/promote" {
            return self.order(call);
        }
        if self.state.lock().unwrap().down {
            return (503, String::new());
        }
        // The time that the store takes for a call.
        thread::sleep(Duration::from_millis(4));
        match path.rsplit('/').next().unwrap_or_default() {
            "rows-get" => {
                let state = self.state.lock().unwrap();
                let from = decode(parameter("From"));
                let limit = parameter("Limit").parse().unwrap_or(500).min(500);
                let found = state.content.rows.iter().filter(|((table, key), row)| {
                    table == parameter("Table") && *key >= from && !row.deleted
                });
                let all: Vec<String> = found.map(|(key, row)| encode(key, row)).collect();
                let more = all.len() > limit;
                let rows = all.into_iter().take(limit).collect::<Vec<_>>();
                (200, self.rows(&state.content, &rows, more))
            }
            "rows-feed" => self.feed(parameter("Table"), parameter("after"), parameter("WaitMs")),
            "rows-tx" => self.transact(&call.body),
            _ => (404, String::new()),
        }
    }

    fn rows(&self, content: &Content, rows: &[String], more: bool) -> String {
        let now = self.start.elapsed().as_millis() as u64 + 1_000_000;
        format!(
            "{{\"rows\":[{}],\"HasMore\":{more},\"Ver\":{},\"NowMs\":{now}}}",
            rows.join(","),
            content.version
        )
    }

    fn feed(&self, table: &str, after: &str, wait: &str) -> (u16, String) {
        let after: u64 = after.parse().unwrap_or_default();
        let wait = Duration::from_millis(wait.parse::<u64>().unwrap_or_default().min(30_000));
        let end = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        let era = state.era;
        loop {
            if state.down || state.silent || state.era != era {
                return (503, String::new());
            }
            if after > state.content.version {
                return (410, String::new());
            }
            let rows = state.content.rows.iter();
            let mut found: Vec<_> = rows
                .filter(|((t, _), row)| t == table && row.version > after)
                .collect();
            found.sort_by_key(|(_, row)| row.version);
            let now = Instant::now();
            if !found.is_empty() || now >= end {
                let rows: Vec<String> = found.iter().map(|(key, row)| encode(key, row)).collect();
                return (200, self.rows(&state.content, &rows, false));
            }
            state = self.changed.wait_timeout(state, end - now).unwrap().0;
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(call) = json::parse(body) else {
            return (400, String::new());
        };
        let mut state = self.state.lock().unwrap();
        let rows = |name: &str| call.get(name).list().to_vec();
        let key = |row: &Json| {
            (
                row.get("Table").text().to_owned(),
                row.get("Key").text().to_owned(),
            )
        };
        for row in rows("ExpectedRev") {
            let known = state.content.rows.get(&key(&row));
            let known = known
                .filter(|row| !row.deleted)
                .map_or(0, |row| row.version);
            if known != row.get("Ver").number() {
                return (412, self.rows(&state.content, &[], false));
            }
        }
        for row in rows("Writes") {
            let (table, name) = key(&row);
            if table == "op" || table == "servers" {
                return (403, String::new());
            }
            let value = row.get("Value").text().to_owned();
            let text = String::from_utf8_lossy(&json::from_base64(&value)).into_owned();
            write(&mut state.content, &table, &name, value, false);
            if table == "leases" {
                (self.watch)(&format!(
                    "store: leases/{name} := {text} at version {}",
                    state.content.version
                ));
            }
        }
        self.changed.notify_all();
        (200, self.rows(&state.content, &[], false))
    }

    fn order(&self, call: &Call) -> (u16, String) {
        let body = json::parse(&call.body).unwrap_or(Json::Null);
        let order = Order {
            service: body.get("Service").text().to_owned(),
            server: body.get("Id").text().to_owned(),
            holder: call.header("duty-holder"),
            token: call.header("fencing-token").parse().unwrap_or_default(),
        };
        ((self.promote)(&order), String::new())
    }
}

fn write(content: &mut Content, table: &str, key: &str, value: String, deleted: bool) {
    content.version += 1;
    let row = Row {
        value,
        version: content.version,
        deleted,
    };
    content.rows.insert((table.to_owned(), key.to_owned()), row);
}

fn encode((table, key): &(String, String), row: &Row) -> String {
    format!(
        "{{\"Table\":{},\"part\":\"\",\"Key\":{},\"Value\":{},\"Ver\":{},\"Deleted\":{}}}",
        json::quote(table),
        json::quote(key),
        json::quote(&row.value),
        row.version,
        row.deleted
    )
}

fn decode(text: &str) -> String {
    let mut out = Vec::new();
    let bytes = text.as_bytes();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() + 0 {
            let code = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("3F");
            out.push(u8::from_str_radix(code, 16).unwrap_or(b'?'));
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

struct Call {
    path: String,
    headers: Vec<(String, String)>,
    body: String,
}

impl Call {
    fn header(&self, name: &str) -> String {
        let mut headers = self.headers.iter();
        headers
            .find(|(key, _)| key == name)
            .map_or_else(String::new, |(_, value)| value.clone())
    }
}

fn read_call(reader: &mut BufReader<TcpStream>) -> Option<Call> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
    let path = line.split(' ').nth(1)?.to_owned();
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((key, value)) = line.split_once(':') {
            headers.push((key.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    let length = headers.iter().find(|(key, _)| key == "content-length");
    let length = length
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Call {
        path,
        headers,
        body: String::from_utf8_lossy(&body).into_owned(),
    })
}
