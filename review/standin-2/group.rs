//! A database group: servers that speak the line protocol, with a log each, replication that takes
//! time, and promotions, as the pages describe them.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// How long a statement works in its slot.
const WORK: Duration = Duration::from_micros(2_500);

/// How long a new connection takes.
const HANDSHAKE: Duration = Duration::from_millis(12);

/// A committed write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    pub term: u64,
    pub number: u64,
    /// The id of the statement that committed it.
    pub id: String,
    pub item: String,
}

/// What one server is made of.
#[derive(Debug, Clone)]
pub struct ServerSpec {
    pub id: &'static str,
    pub zone: &'static str,
    /// One way from the machines of the system to this server.
    pub from_machines: Duration,
    /// The time until it has received a commit of each of the others, by their ids.
    pub receives: &'static [(&'static str, u64)],
}

#[derive(Debug)]
struct Server {
    up: bool,
    draining: bool,
    /// Whether it receives nothing.
    deaf: bool,
    born: u64,
    paused: Option<u64>,
    term: u64,
    log: Vec<Entry>,
    /// What is under way to it.
    coming: VecDeque<(Instant, Entry)>,
    connections: usize,
    busy: usize,
}

#[derive(Debug)]
pub struct State {
    pub leader: Option<usize>,
    /// The last server that led.
    pub last: usize,
    pub term: u64,
    servers: Vec<Server>,
    /// When a server takes over, and which.
    promotion: Option<(Instant, usize)>,
    /// The logs of the leaders at the moment at which the next one took over: old leader, new one, and
    /// what the new one had received.
    pub takeovers: Vec<(String, String, Vec<Entry>)>,
    /// Every statement that ran, with the server.
    pub runs: Vec<(String, String)>,
}

pub struct Group {
    pub service: String,
    pub specs: Vec<ServerSpec>,
    pub addresses: Mutex<Vec<SocketAddr>>,
    state: Mutex<State>,
    changed: Condvar,
    slots: usize,
    connections: usize,
    sync: usize,
    promote_time: Duration,
    receipts: AtomicU64,
    watch: Box<dyn Fn(&str) + Send + Sync>,
}

pub struct Options {
    pub service: &'static str,
    pub specs: Vec<ServerSpec>,
    pub slots: usize,
    pub connections: usize,
    pub sync: usize,
    pub promote_time: Duration,
    pub term: u64,
}

impl Group {
    pub fn start(ip: &str, options: Options, watch: Box<dyn Fn(&str) + Send + Sync>) -> Arc<Self> {
        let servers = options.specs.iter().map(|_| Server {
            up: true,
            draining: false,
            deaf: false,
            born: 1_700_000_000_000,
            paused: None,
            term: options.term,
            log: vec![Entry {
                term: options.term,
                number: 100,
                id: "-".to_owned(),
                item: String::new(),
            }],
            coming: VecDeque::new(),
            connections: 0,
            busy: 0,
        });
        let group = Arc::new(Self {
            service: options.service.to_owned(),
            state: Mutex::new(State {
                leader: Some(0),
                last: 0,
                term: options.term,
                servers: servers.collect(),
                promotion: None,
                takeovers: Vec::new(),
                runs: Vec::new(),
            }),
            specs: options.specs,
            addresses: Mutex::new(Vec::new()),
            changed: Condvar::new(),
            slots: options.slots,
            connections: options.connections,
            sync: options.sync,
            promote_time: options.promote_time,
            receipts: AtomicU64::new(1),
            watch,
        });
        for at in 0..group.specs.len() {
            let listener = TcpListener::bind((ip, 0)).expect("a free port");
            let address = listener.local_addr().expect("an address");
            group.addresses.lock().unwrap().push(address);
            let group = Arc::clone(&group);
            thread::spawn(move || {
                for socket in listener.incoming().flatten() {
                    let group = Arc::clone(&group);
                    thread::spawn(move || {
                        let _ = group.serve(at, socket);
                    });
                }
            });
        }
        let replicated = Arc::clone(&group);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_micros(300));
                replicated.tick();
            }
        });
        group
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// The index of a server.
    pub fn index(&self, id: &str) -> Option<usize> {
        self.specs.iter().position(|spec| spec.id == id)
    }

    /// The entry with which a server registers.
    pub fn entry(&self, at: usize, sequence: u64) -> String {
        let state = self.lock();
        let server = &state.servers[at];
        let role = if state.leader == Some(at) {
            "primary"
        } else {
            "replica"
        };
        let shown = if server.draining { "draining" } else { "ready" };
        format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"ConfigVersion\":\"v1\",\"Slots\":{},\"State\":\"{shown}\",\"ColdRemainingMs\":0,\"DbRole\":\"{role}\",\"Sequence\":{sequence},\"born\":{}}}",
            self.service,
            self.addresses.lock().unwrap()[at],
            self.specs[at].zone,
            self.slots,
            server.born,
        )
    }

    pub fn leader(&self) -> &'static str {
        self.specs[self.lock().last].id
    }

    pub fn leads(&self, at: usize) -> bool {
        self.lock().leader == Some(at)
    }

    pub fn is_up(&self, at: usize) -> bool {
        self.lock().servers[at].up
    }

    pub fn set_draining(&self, at: usize) {
        self.lock().servers[at].draining = true;
    }

    /// Starts a server anew under its id, with the log that was transferred to it.
    pub fn start_anew(&self, at: usize) {
        let mut state = self.lock();
        state.servers[at].draining = false;
        state.servers[at].born += 1_000;
    }

    /// Crashes a server: its connections end, and it answers nothing.
    pub fn crash(&self, at: usize) {
        let mut state = self.lock();
        state.servers[at].up = false;
        state.servers[at].coming.clear();
        drop(state);
        self.changed.notify_all();
    }

    pub fn log(&self, at: usize) -> Vec<Entry> {
        self.lock().servers[at].log.clone()
    }

    /// Orders a promotion. Returns the status of the answer.
    pub fn promote(&self, id: &str) -> u16 {
        let Some(at) = self.index(id) else { return 409 };
        let mut state = self.lock();
        if !state.servers[at].up {
            return 409;
        }
        if state.leader != Some(at) {
            state.promotion = Some((Instant::now() + self.promote_time, at));
        }
        200
    }

    /// Delivers what is under way, and carries out a promotion that is due.
    fn tick(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        let mut changed = false;
        for server in &mut state.servers {
            if server.paused.is_some() || server.deaf || !server.up {
                server.coming.clear();
            }
            while server.coming.front().is_some_and(|(due, _)| *due <= now) {
                let Some((_, entry)) = server.coming.pop_front() else {
                    break;
                };
                // The end of the log of a new term.
                if entry.number == 0 {
                    server.term = server.term.max(entry.term);
                    continue;
                }
                if server
                    .log
                    .last()
                    .is_some_and(|l| l.number + 1 != entry.number)
                {
                    continue;
                }
                server.term = server.term.max(entry.term);
                server.log.push(entry);
                changed = true;
            }
        }
        if let Some((_, next)) = state.promotion.filter(|(due, _)| *due <= now) {
            state.promotion = None;
            if state.servers[next].up && state.leader != Some(next) {
                self.take_over(&mut state, next, now);
                changed = true;
            }
        }
        drop(state);
        if changed {
            self.changed.notify_all();
        }
    }

    /// Makes a server the leader of the next term, with what it has received.
    fn take_over(&self, state: &mut State, next: usize, now: Instant) {
        let old = state.last;
        state.term += 1;
        (state.leader, state.last) = (Some(next), next);
        let term = state.term;
        let log = state.servers[next].log.clone();
        let lacking: Vec<String> = state.servers[old].log[common(&log, &state.servers[old].log)..]
            .iter()
            .map(|e| format!("{}.{} ({})", e.term, e.number, e.id))
            .collect();
        (self.watch)(&format!(
            "servers: {} leads term {term} from {} on, after {}; the old log has beyond that: [{}]",
            self.specs[next].id,
            state.servers[next].position(),
            self.specs[old].id,
            lacking.join(", ")
        ));
        state.takeovers.push((
            self.specs[old].id.to_owned(),
            self.specs[next].id.to_owned(),
            log.clone(),
        ));
        for (at, server) in state.servers.iter_mut().enumerate() {
            server.paused = None;
            server.coming.clear();
            if !server.up {
                continue;
            }
            if at == next {
                server.term = term;
                continue;
            }
            let kept = common(&log, &server.log);
            server.log.truncate(kept);
        }
        for at in 0..self.specs.len() {
            self.resync(state, at, now);
        }
    }

    /// Has the leader send a replica what it lacks.
    fn resync(&self, state: &mut State, at: usize, now: Instant) {
        let Some(leader) = state.leader.filter(|l| *l != at && state.servers[*l].up) else {
            return;
        };
        let log = state.servers[leader].log.clone();
        let (term, delay) = (state.term, self.delay(leader, at));
        let server = &mut state.servers[at];
        if !server.up || server.paused.is_some() || server.deaf {
            return;
        }
        let kept = common(&log, &server.log);
        server.log.truncate(kept);
        server.coming = log[kept..]
            .iter()
            .cloned()
            .map(|entry| (now + delay, entry))
            .collect();
        // The end of the log of the new term.
        let end = Entry {
            term,
            number: 0,
            id: String::new(),
            item: String::new(),
        };
        server.coming.push_back((now + delay, end));
    }

    /// Has a server that crashed come back with its log.
    pub fn revive(&self, at: usize) {
        let mut state = self.lock();
        state.servers[at].up = true;
        state.servers[at].paused = None;
        state.servers[at].born += 1_000;
        let now = Instant::now();
        if state.leader == Some(at) {
            for other in 0..self.specs.len() {
                self.resync(&mut state, other, now);
            }
        } else {
            self.resync(&mut state, at, now);
        }
        drop(state);
        self.changed.notify_all();
    }

    /// Sets whether a replica receives nothing.
    pub fn set_deaf(&self, at: usize, deaf: bool) {
        let mut state = self.lock();
        state.servers[at].deaf = deaf;
        let now = Instant::now();
        self.resync(&mut state, at, now);
    }

    fn delay(&self, from: usize, to: usize) -> Duration {
        let from = self.specs[from].id;
        let found = self.specs[to].receives.iter().find(|(id, _)| *id == from);
        Duration::from_micros(found.map_or(8_000, |(_, micros)| *micros))
    }

    /// Appends a commit at the leader, and waits until it may be acknowledged. Returns false if the
    /// server has lost the lead or crashed before.
    fn commit(&self, at: usize, id: &str, item: &str) -> bool {
        let mut state = self.lock();
        if state.leader != Some(at) || !state.servers[at].up {
            return false;
        }
        let term = state.term;
        let number = state.servers[at].log.last().map_or(0, |e| e.number) + 1;
        let entry = Entry {
            term,
            number,
            id: id.to_owned(),
            item: item.to_owned(),
        };
        state.servers[at].log.push(entry.clone());
        let now = Instant::now();
        for other in (0..self.specs.len()).filter(|other| *other != at) {
            let due = now + self.delay(at, other);
            let server = &mut state.servers[other];
            if server.up && server.paused.is_none() && !server.deaf {
                let last = server.coming.back().map(|(due, _)| *due);
                let due = last.map_or(due, |last| last.max(due));
                server.coming.push_back((due, entry.clone()));
            }
        }
        loop {
            if state.leader != Some(at) || state.term != term || !state.servers[at].up {
                return false;
            }
            let holds = |s: &&Server| s.up && s.log.last().is_some_and(|e| e.number >= number);
            let held = state.servers.iter().filter(holds).count() - 1;
            if held >= self.sync {
                return true;
            }
            let wait = Duration::from_millis(50);
            state = self.changed.wait_timeout(state, wait).unwrap().0;
        }
    }

    fn serve(&self, at: usize, mut socket: TcpStream) -> std::io::Result<()> {
        socket.set_nodelay(true)?;
        socket.set_read_timeout(Some(Duration::from_millis(20)))?;
        if !self.is_up(at) {
            return Ok(());
        }
        let way = self.specs[at].from_machines;
        let mut input: Vec<u8> = Vec::new();
        let mut session: Option<Session> = None;
        loop {
            let mut buffer = [0; 65_536];
            match socket.read(&mut buffer) {
                Ok(0) => break,
                Ok(read) => {
                    input.extend_from_slice(&buffer[..read]);
                    if !buffer[..read].contains(&b'\n') {
                        continue;
                    }
                }
                Err(error) if is_timeout(&error) => {
                    if !self.is_up(at) {
                        break;
                    }
                    continue;
                }
                Err(_) => break,
            }
            thread::sleep(way);
            let mut out = Vec::new();
            let mut ended = false;
            let received = std::mem::take(&mut input);
            let mut rest = &received[..];
            while let Some(end) = rest.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&rest[..end]).into_owned();
                rest = &rest[end + 2..];
                match &mut session {
                    None => match self.open(at, &line) {
                        Ok(opened) => {
                            out.extend(opened.ready(self));
                            session = Some(opened);
                        }
                        Err(code) => {
                            out.extend(format!("ERROR {code} x\r\n").into_bytes());
                            ended = true;
                        }
                    },
                    Some(session) => match line.strip_prefix("QUERY ") {
                        Some(query) => {
                            let (id, text) = query.split_once(' ').unwrap_or((query, ""));
                            match session.run(self, id, text) {
                                Some(answer) => {
                                    out.extend(answer);
                                    out.extend(session.ready(self));
                                }
                                None => ended = true,
                            }
                        }
                        None => ended = true,
                    },
                }
                if ended {
                    break;
                }
            }
            input.extend_from_slice(rest);
            thread::sleep(way);
            if !self.is_up(at) || socket.write_all(&out).is_err() || ended {
                break;
            }
        }
        if session.is_some() {
            self.lock().servers[at].connections -= 1;
        }
        Ok(())
    }

    fn open(&self, at: usize, line: &str) -> Result<Session, &'static str> {
        let words: Vec<&str> = line.split(' ').collect();
        let named = words.get(1) == Some(&self.service.as_str());
        let expected = words.get(3).is_none_or(|id| *id == self.specs[at].id);
        if words[0] != "STARTUP" || !named || !expected {
            return Err("WRONGNODE");
        }
        {
            let mut state = self.lock();
            if state.servers[at].connections >= self.connections {
                return Err("TOOMANYCON");
            }
            state.servers[at].connections += 1;
        }
        self.work(at, HANDSHAKE);
        Ok(Session {
            at,
            transaction: Transaction::None,
            prepared: HashMap::new(),
            values: BTreeMap::new(),
        })
    }

    /// Occupies a slot for a time.
    fn work(&self, at: usize, time: Duration) {
        let mut state = self.lock();
        while state.servers[at].busy >= self.slots {
            state = self
                .changed
                .wait_timeout(state, Duration::from_millis(50))
                .unwrap()
                .0;
        }
        state.servers[at].busy += 1;
        drop(state);
        thread::sleep(time);
        self.lock().servers[at].busy -= 1;
        self.changed.notify_all();
    }

    fn receipt(&self, id: &str) -> Vec<u8> {
        let number = self.receipts.fetch_add(1, Ordering::Relaxed);
        let short = &id[..id.len().min(16)];
        format!("COMPLETE 7.{number:x}.{short}\r\n").into_bytes()
    }
}

fn is_timeout(error: &std::io::Error) -> bool {
    use std::io::ErrorKind::{TimedOut, WouldBlock};
    matches!(error.kind(), WouldBlock | TimedOut)
}

impl Server {
    /// Its position: the term that it follows, and the number of its last commit.
    fn position(&self) -> String {
        let number = self.log.last().map_or(0, |e| e.number);
        format!("{}.{number}", self.term)
    }
}

/// How many entries two logs have in common.
fn common(a: &[Entry], b: &[Entry]) -> usize {
    a.iter().zip(b).take_while(|(a, b)| a == b).count()
}

#[derive(Debug, PartialEq)]
enum Transaction {
    None,
    ReadOnly,
    /// Holds the ids of its writes.
    Open(Vec<String>),
    Failed,
}

struct Session {
    at: usize,
    transaction: Transaction,
    /// Whether a prepared statement writes.
    prepared: HashMap<String, bool>,
    values: BTreeMap<String, String>,
}

impl Session {
    fn ready(&self, group: &Group) -> Vec<u8> {
        let state = match self.transaction {
            Transaction::None => 'I',
            Transaction::ReadOnly | Transaction::Open(_) => 'T',
            Transaction::Failed => 'E',
        };
        let at = group.lock().servers[self.at].position();
        format!("READY {state} {at}\r\n").into_bytes()
    }

    fn error(&mut self, code: &str) -> Option<Vec<u8>> {
        if self.transaction != Transaction::None {
            self.transaction = Transaction::Failed;
        }
        Some(format!("ERROR {code} x\r\n").into_bytes())
    }

    /// Runs a statement. Returns `None` if the connection ends without an answer.
    fn run(&mut self, group: &Group, id: &str, text: &str) -> Option<Vec<u8>> {
        let mut text = text;
        if let Some(rest) = text.strip_prefix("AFTER ") {
            let (mark, rest) = rest.split_once(' ')?;
            let (term, number) = mark.split_once('.')?;
            let (term, number): (u64, u64) = (term.parse().ok()?, number.parse().ok()?);
            let lacks = {
                let state = group.lock();
                let server = &state.servers[self.at];
                server.term < term || server.log.last().is_none_or(|e| e.number < number)
            };
            if lacks {
                return self.error("LAGGING");
            }
            text = rest;
        }
        let words: Vec<&str> = text.split(' ').collect();
        let leads = group.lock().leader == Some(self.at);
        if self.transaction == Transaction::Failed && !matches!(words[0], "ROLLBACK" | "COMMIT") {
            return self.error("MALFORMED");
        }
        let open = matches!(self.transaction, Transaction::Open(_));
        if open && !leads && !matches!(words[0], "ROLLBACK" | "COMMIT") {
            return self.error("READONLY");
        }
        let done = || Some(b"COMPLETE -\r\n".to_vec());
        match words[0] {
            "BEGIN" => {
                if self.transaction != Transaction::None {
                    return self.error("MALFORMED");
                }
                if words.len() > 1 {
                    self.transaction = Transaction::ReadOnly;
                    return done();
                }
                if !leads {
                    return self.error("READONLY");
                }
                self.transaction = Transaction::Open(Vec::new());
                done()
            }
            "ROLLBACK" => {
                self.transaction = Transaction::None;
                done()
            }
            "COMMIT" => self.commit(group, id),
            "RESET" => {
                self.prepared.clear();
                self.values.clear();
                done()
            }
            "SET" => {
                self.values.insert(words[1].to_owned(), String::new());
                done()
            }
            "PREPARE" => {
                self.prepared
                    .insert(words[1].to_owned(), words[2] == "WRITE");
                done()
            }
            "DEALLOC" => {
                self.prepared.remove(words[1]);
                done()
            }
            "STATUS" | "PAUSE" | "RESUME" | "STEPDOWN" => self.command(group, &words),
            "READ" => self.read(group, id, words[1]),
            "WRITE" => self.write(group, id, words[1]),
            "EXECUTE" => match self.prepared.get(words[1]).copied() {
                None => self.error("NOSTMT"),
                Some(true) => self.write(group, id, words[2]),
                Some(false) => self.read(group, id, words[2]),
            },
            _ => self.error("MALFORMED"),
        }
    }

    fn note(&self, group: &Group, id: &str) {
        let server = group.specs[self.at].id.to_owned();
        let short = id[..id.len().min(40)].to_owned();
        group.lock().runs.push((short, server));
    }

    fn read(&mut self, group: &Group, id: &str, item: &str) -> Option<Vec<u8>> {
        group.work(self.at, WORK);
        self.note(group, id);
        let value = {
            let state = group.lock();
            let log = &state.servers[self.at].log;
            let found = log.iter().rev().find(|e| e.item == item);
            found.map_or_else(|| "none".to_owned(), |e| e.id.clone())
        };
        Some([format!("ROW {value}\r\n").into_bytes(), group.receipt(id)].concat())
    }

    fn write(&mut self, group: &Group, id: &str, item: &str) -> Option<Vec<u8>> {
        if group.lock().leader != Some(self.at) {
            return self.error("READONLY");
        }
        group.work(self.at, WORK);
        self.note(group, id);
        match &mut self.transaction {
            Transaction::Open(writes) => writes.push(item.to_owned()),
            _ => {
                if !group.commit(self.at, id, item) {
                    return None;
                }
            }
        }
        Some(group.receipt(id))
    }

    fn commit(&mut self, group: &Group, id: &str) -> Option<Vec<u8>> {
        let transaction = std::mem::replace(&mut self.transaction, Transaction::None);
        match transaction {
            Transaction::None => self.error("MALFORMED"),
            Transaction::Failed => self.error("READONLY"),
            Transaction::ReadOnly => Some(group.receipt(id)),
            Transaction::Open(writes) if writes.is_empty() => Some(group.receipt(id)),
            Transaction::Open(writes) => {
                if group.lock().leader != Some(self.at) {
                    return self.error("READONLY");
                }
                group.work(self.at, WORK);
                self.note(group, id);
                group
                    .commit(self.at, id, &writes[0])
                    .then(|| group.receipt(id))
            }
        }
    }

    fn command(&mut self, group: &Group, words: &[&str]) -> Option<Vec<u8>> {
        let term: u64 = words
            .get(1)
            .and_then(|w| w.parse().ok())
            .unwrap_or_default();
        let mut state = group.lock();
        // What this server knows of terms: nobody tells one that receives nothing.
        let (leads, newest) = (state.leader == Some(self.at), state.servers[self.at].term);
        match words[0] {
            // A primary of a lower term becomes a replica. Nobody leads then.
            "STEPDOWN" if leads && newest < term => {
                state.leader = None;
            }
            "PAUSE" if !leads && term > newest => state.servers[self.at].paused = Some(term),
            "RESUME" => {
                state.servers[self.at].paused = None;
                group.resync(&mut state, self.at, Instant::now());
            }
            _ => {}
        }
        let leads = state.leader == Some(self.at);
        let server = &state.servers[self.at];
        let role = if leads { "primary" } else { "replica" };
        let row = format!(
            "ROW {role} {newest} {} {} 0 {} {}\r\n",
            server.position(),
            server.paused.unwrap_or_default(),
            server.busy,
            server.connections
        );
        drop(state);
        if words[0] != "STATUS" {
            (group.watch)(&format!(
                "servers: {} gets {}, and answers {}",
                group.specs[self.at].id,
                words.join(" "),
                row.trim_end()
            ));
        }
        group.changed.notify_all();
        Some([row.into_bytes(), b"COMPLETE -\r\n".to_vec()].concat())
    }
}
