//! One service: a primary and its replicas, each at a loopback address.

use std::{
    io::{BufRead, BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime},
};

use crate::{random, record::Record};

/// How long a promotion takes.
const PROMOTION: Duration = Duration::from_millis(600);

/// Statements that run at a server at once.
const SLOTS: usize = 2;

/// Statements that may wait for a slot.
const QUEUE: usize = 16;

/// How long a new connection occupies a slot.
const HANDSHAKE: Duration = Duration::from_millis(12);

struct Commit {
    term: u64,
    at: Instant,
    writes: Vec<(String, String)>,
}

/// A server's copy of the log.
#[derive(Clone, Default)]
struct Copy {
    /// How many commits it holds.
    held: usize,
    /// The term of the pause in force. It receives nothing until it ends.
    paused: u64,
    /// Whether it is down.
    down: bool,
}

struct Log {
    term: u64,
    /// The server that leads, or led when it went down.
    leader: usize,
    commits: Vec<Commit>,
    copies: Vec<Copy>,
    /// The server to be promoted, and when it leads.
    promotion: Option<(usize, Instant)>,
}

/// How a group is laid out.
pub struct Rules {
    /// The time that a commit takes to each replica.
    pub delays: Vec<Duration>,
    /// Connections that each server accepts.
    pub cap: usize,
    /// Replicas that have received a commit before it is acknowledged.
    pub sync_replicas: usize,
}

impl Rules {
    /// Three servers whose replicas are 8 ms behind and acknowledge nothing.
    pub fn plain(cap: usize) -> Rules {
        Rules { delays: vec![Duration::from_millis(8); 3], cap, sync_replicas: 0 }
    }
}

pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    connections: AtomicUsize,
    /// The open connections, to break them off.
    sockets: Mutex<Vec<TcpStream>>,
    /// Whether it reaches the platform's store.
    pub reaches_store: AtomicBool,
    /// Statements that run, and those that wait.
    slots: Mutex<(usize, usize)>,
    freed: Condvar,
}

pub struct Group {
    pub service: String,
    pub servers: Vec<Server>,
    rules: Rules,
    /// Replicas that receive nothing.
    pub deaf: Vec<AtomicBool>,
    log: Mutex<Log>,
    receipts: AtomicU64,
    record: Arc<Record>,
}

#[derive(Clone, Copy, PartialEq)]
enum Transaction {
    None,
    /// One that may write, and the term in which it was opened.
    Plain(u64),
    Read,
    Failed,
}

struct Session {
    tx: Transaction,
    writes: Vec<(String, String)>,
    prepared: Vec<(String, bool)>,
}

impl Group {
    pub fn start(service: &str, rules: Rules, record: Arc<Record>) -> Arc<Group> {
        let mut listeners = Vec::new();
        let mut servers = Vec::new();
        let size = rules.delays.len();
        for index in 0..size {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
            servers.push(Server {
                id: format!("i-{service}-{index}"),
                address: listener.local_addr().expect("an address"),
                connections: AtomicUsize::new(0),
                sockets: Mutex::default(),
                reaches_store: AtomicBool::new(true),
                slots: Mutex::default(),
                freed: Condvar::new(),
            });
            listeners.push(listener);
        }
        let first = Commit { term: 1, at: Instant::now(), writes: Vec::new() };
        let group = Arc::new(Group {
            service: service.into(),
            servers,
            rules,
            deaf: (0..size).map(|_| AtomicBool::new(false)).collect(),
            log: Mutex::new(Log {
                term: 1,
                leader: 0,
                commits: vec![first],
                copies: vec![Copy { held: 1, ..Copy::default() }; size],
                promotion: None,
            }),
            receipts: AtomicU64::new(1),
            record,
        });
        for (index, listener) in listeners.into_iter().enumerate() {
            let group = Arc::clone(&group);
            thread::spawn(move || {
                for socket in listener.incoming().flatten() {
                    let group = Arc::clone(&group);
                    thread::spawn(move || group.serve(index, socket));
                }
            });
        }
        group
    }

    /// The row that a server writes to the platform's store.
    pub fn beat(&self, index: usize, zone: &str, sequence: u64) -> String {
        let server = &self.servers[index];
        let role = self.role(index);
        format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{zone}\",\"ConfigVersion\":\"v1\",\"Slots\":{SLOTS},\
             \"State\":\"ready\",\"ColdRemainingMs\":0,\"DbRole\":\"{role}\",\"Sequence\":{sequence},\"born\":{}}}",
            self.service,
            server.address,
            born()
        )
    }

    /// How a server sees itself.
    pub fn role(&self, index: usize) -> &'static str {
        if self.settled().leader == index { "primary" } else { "replica" }
    }

    pub fn is_down(&self, index: usize) -> bool {
        self.settled().copies[index].down
    }

    pub fn connections(&self, index: usize) -> usize {
        self.servers[index].connections.load(Ordering::Relaxed)
    }

    fn leads(&self, index: usize) -> bool {
        let log = self.settled();
        log.leader == index && !log.copies[index].down
    }

    /// The id of the server that leads, and its log: what it holds of each write.
    pub fn leader_log(&self) -> (String, Vec<String>) {
        let log = self.settled();
        let writes = log.commits.iter().flat_map(|c| c.writes.iter().map(|(_, data)| data.clone()));
        (self.servers[log.leader].id.clone(), writes.collect())
    }

    /// Starts a server that crashed again, with its log: as a replica if another one was promoted meanwhile.
    pub fn restart(&self, index: usize) {
        let mut log = self.settled();
        log.copies[index].down = false;
        log.copies[index].paused = 0;
    }

    /// What each server holds.
    pub fn held(&self) -> Vec<usize> {
        self.settled().copies.iter().map(|copy| copy.held).collect()
    }

    /// Crashes a server: its connections break off, and what it had not sent to its replicas is on it alone.
    pub fn crash(&self, index: usize) {
        self.settled().copies[index].down = true;
        for socket in self.servers[index].sockets.lock().unwrap().drain(..) {
            let _ = socket.shutdown(Shutdown::Both);
        }
    }

    /// The log as it is now: what the replicas have received, and after a promotion that is due.
    fn settled(&self) -> std::sync::MutexGuard<'_, Log> {
        let mut log = self.log.lock().unwrap();
        let now = Instant::now();
        let due = log.promotion.filter(|(_, at)| *at <= now);
        self.receive(&mut log, due.map_or(now, |(_, at)| at));
        if let Some((next, _)) = due {
            let held = log.copies[next].held;
            log.commits.truncate(held);
            log.term += 1;
            log.leader = next;
            log.promotion = None;
            log.copies[next].paused = 0;
            for copy in &mut log.copies {
                copy.held = copy.held.min(held);
            }
            self.record.write(&format!("server {} leads term {} with {held} commits", self.servers[next].id, log.term));
        }
        log
    }

    /// Lets the replicas receive what has reached them. What a crashed leader had under way is lost.
    fn receive(&self, log: &mut Log, now: Instant) {
        let leader = log.leader;
        if log.copies[leader].down {
            return;
        }
        for (index, delay) in self.rules.delays.iter().enumerate() {
            let copy = &log.copies[index];
            if index == leader || copy.down || self.deaf[index].load(Ordering::Relaxed) || copy.paused > log.term {
                continue;
            }
            let arrived = log.commits.iter().rposition(|c| now.duration_since(c.at) >= *delay);
            let held = arrived.map_or(1, |at| at + 1);
            log.copies[index].held = log.copies[index].held.max(held);
        }
    }

    /// Orders a promotion. False if there is no such server.
    pub fn promote(&self, id: &str) -> bool {
        let Some(index) = self.servers.iter().position(|s| s.id == id) else { return false };
        let mut log = self.settled();
        if log.copies[index].down {
            return false;
        }
        if log.leader != index {
            log.promotion = Some((index, Instant::now() + PROMOTION));
        }
        true
    }

    fn serve(&self, index: usize, socket: TcpStream) {
        let _ = socket.set_nodelay(true);
        let server = &self.servers[index];
        if self.settled().copies[index].down {
            return;
        }
        if let Ok(socket) = socket.try_clone() {
            let mut sockets = server.sockets.lock().unwrap();
            sockets.retain(|s| s.peer_addr().is_ok());
            sockets.push(socket);
        }
        let open = server.connections.fetch_add(1, Ordering::Relaxed) + 1;
        let mut reader = BufReader::with_capacity(1 << 16, socket);
        let _ = self.talk(index, open, &mut reader);
        server.connections.fetch_sub(1, Ordering::Relaxed);
    }

    fn talk(&self, index: usize, open: usize, reader: &mut BufReader<TcpStream>) -> Option<()> {
        let line = read_line(reader)?;
        let fields: Vec<&str> = line.split(' ').collect();
        let (service, id) = (fields.get(1).copied()?, fields.get(3).copied());
        let server = &self.servers[index];
        if service != self.service || id.is_some_and(|id| id != server.id) {
            let _ = reader.get_mut().write_all(b"ERROR WRONGNODE another server\r\n");
            return None;
        }
        if open > self.rules.cap {
            let _ = reader.get_mut().write_all(b"ERROR TOOMANYCON all connections are in use\r\n");
            return None;
        }
        self.occupy(index, HANDSHAKE);
        let ready = format!("READY I {}\r\n", self.position(index));
        reader.get_mut().write_all(ready.as_bytes()).ok()?;
        let mut session = Session { tx: Transaction::None, writes: Vec::new(), prepared: Vec::new() };
        loop {
            let line = read_line(reader)?;
            let mut words = line.splitn(3, ' ');
            let (word, label, text) = (words.next()?, words.next(), words.next());
            let (Some(label), Some(text), "QUERY") = (label, text, word) else { return None };
            let body = self.run(index, &mut session, label, text);
            if self.settled().copies[index].down {
                return None;
            }
            let state = match session.tx {
                Transaction::None => 'I',
                Transaction::Failed => 'E',
                _ => 'T',
            };
            let end = body.trim_end().rsplit("\r\n").next().unwrap_or("");
            self.record.write(&format!("server {} runs {label} {text:.60} -> {end:.60} {state}", server.id));
            let answer = format!("{body}READY {state} {}\r\n", self.position(index));
            reader.get_mut().write_all(answer.as_bytes()).ok()?;
        }
    }

    /// Takes a slot for a time. False if too many wait.
    fn occupy(&self, index: usize, time: Duration) -> bool {
        let server = &self.servers[index];
        let mut slots = server.slots.lock().unwrap();
        if slots.0 >= SLOTS && slots.1 >= QUEUE {
            return false;
        }
        slots.1 += 1;
        while slots.0 >= SLOTS {
            slots = server.freed.wait(slots).unwrap();
        }
        *slots = (slots.0 + 1, slots.1 - 1);
        drop(slots);
        thread::sleep(time);
        server.slots.lock().unwrap().0 -= 1;
        server.freed.notify_one();
        true
    }

    fn position(&self, index: usize) -> String {
        let log = self.settled();
        let held = log.copies[index].held;
        format!("{}.{held}", log.commits[held - 1].term)
    }

    fn run(&self, index: usize, session: &mut Session, label: &str, text: &str) -> String {
        let (after, text) = match text.strip_prefix("AFTER ").and_then(|rest| rest.split_once(' ')) {
            Some((mark, rest)) => (Some(mark), rest),
            None => (None, text),
        };
        if let Some(mark) = after
            && !self.contains(index, mark)
        {
            return "ERROR LAGGING the log lacks this position\r\n".into();
        }
        let words: Vec<&str> = text.split(' ').collect();
        if session.tx == Transaction::Failed && text != "ROLLBACK" {
            return "ERROR MALFORMED the transaction failed\r\n".into();
        }
        if let Transaction::Plain(term) = session.tx
            && !self.still_leads(index, term)
            && !(text == "COMMIT" && session.writes.is_empty())
            && text != "ROLLBACK"
        {
            session.tx = Transaction::Failed;
            return "ERROR READONLY it does not lead\r\n".into();
        }
        match words[0] {
            "BEGIN" => self.begin(index, session, words.get(1) == Some(&"READ")),
            "ROLLBACK" => {
                (session.tx, session.writes) = (Transaction::None, Vec::new());
                "COMPLETE -\r\n".into()
            }
            "COMMIT" => self.commit(index, session, label),
            "RESET" => {
                session.prepared.clear();
                "COMPLETE -\r\n".into()
            }
            "SET" => "COMPLETE -\r\n".into(),
            "PREPARE" => {
                session.prepared.push((words[1].into(), words[2] == "WRITE"));
                "COMPLETE -\r\n".into()
            }
            "DEALLOC" => {
                session.prepared.retain(|(name, _)| name != words[1]);
                "COMPLETE -\r\n".into()
            }
            "EXECUTE" => match session.prepared.iter().find(|(name, _)| name == words[1]) {
                None => "ERROR NOSTMT no such name\r\n".into(),
                Some((_, true)) => self.write(index, session, label, words[2], words.get(3).unwrap_or(&"")),
                Some((_, false)) => self.read(index, label, words[2]),
            },
            "READ" => self.read(index, label, words[1]),
            "WRITE" => self.write(index, session, label, words[1], words.get(2).unwrap_or(&"")),
            command @ ("STATUS" | "PAUSE" | "RESUME") => {
                self.status(index, command, words.get(1).and_then(|term| term.parse().ok()).unwrap_or(0))
            }
            _ => "ERROR MALFORMED unknown\r\n".into(),
        }
    }

    fn begin(&self, index: usize, session: &mut Session, read_only: bool) -> String {
        if session.tx != Transaction::None {
            session.tx = Transaction::Failed;
            return "ERROR MALFORMED in a transaction\r\n".into();
        }
        let log = self.settled();
        session.tx = match read_only {
            true => Transaction::Read,
            false if log.leader == index => Transaction::Plain(log.term),
            false => return "ERROR READONLY it does not lead\r\n".into(),
        };
        "COMPLETE -\r\n".into()
    }

    fn still_leads(&self, index: usize, term: u64) -> bool {
        let log = self.settled();
        log.leader == index && log.term == term
    }

    fn commit(&self, index: usize, session: &mut Session, label: &str) -> String {
        if session.tx == Transaction::None {
            return "ERROR MALFORMED no transaction\r\n".into();
        }
        if !self.occupy(index, Duration::from_millis(2)) {
            return "ERROR BUSY no free slot\r\n".into();
        }
        session.tx = Transaction::None;
        let writes = std::mem::take(&mut session.writes);
        if !writes.is_empty() && !self.append(index, label, writes) {
            return "ERROR READONLY it does not lead\r\n".into();
        }
        self.receipt(label)
    }

    /// Appends a commit, and waits until enough replicas have received it. False if another server was
    /// promoted before, and the commit is not kept.
    fn append(&self, index: usize, label: &str, writes: Vec<(String, String)>) -> bool {
        let mut log = self.settled();
        if log.leader != index || log.copies[index].down {
            return false;
        }
        let commit = Commit { term: log.term, at: Instant::now(), writes };
        log.commits.push(commit);
        let (term, number) = (log.term, log.commits.len());
        log.copies[index].held = number;
        drop(log);
        loop {
            let log = self.settled();
            if log.term != term {
                let kept = log.commits.get(number - 1).is_some_and(|c| c.term == term);
                return kept;
            }
            let others = log.copies.iter().enumerate().filter(|(i, copy)| *i != index && copy.held >= number);
            let received: Vec<usize> = others.map(|(i, _)| i).collect();
            if received.len() >= self.rules.sync_replicas || log.copies[index].down {
                drop(log);
                self.record.write(&format!("commit {term}.{number} of {label} received by {received:?}"));
                return true;
            }
            drop(log);
            thread::sleep(Duration::from_micros(300));
        }
    }

    fn write(&self, index: usize, session: &mut Session, label: &str, item: &str, data: &str) -> String {
        if !self.leads(index) || session.tx == Transaction::Read {
            return "ERROR READONLY it does not lead\r\n".into();
        }
        if !self.occupy(index, work(3.0)) {
            return "ERROR BUSY no free slot\r\n".into();
        }
        let write = (item.to_owned(), data.to_owned());
        if session.tx != Transaction::None {
            session.writes.push(write);
        } else if !self.append(index, label, vec![write]) {
            return "ERROR READONLY it does not lead\r\n".into();
        }
        self.receipt(label)
    }

    fn read(&self, index: usize, label: &str, item: &str) -> String {
        if !self.occupy(index, work(6.0)) {
            return "ERROR BUSY no free slot\r\n".into();
        }
        let log = self.settled();
        let mut writes = log.commits[..log.copies[index].held].iter().rev().flat_map(|c| c.writes.iter().rev());
        let value = writes.find(|(name, _)| name == item).map_or_else(|| "none".into(), |(_, data)| data.clone());
        drop(log);
        format!("ROW {value}\r\n{}", self.receipt(label))
    }

    fn receipt(&self, label: &str) -> String {
        if label == "-" {
            return "COMPLETE -\r\n".into();
        }
        let number = self.receipts.fetch_add(1, Ordering::Relaxed);
        format!("COMPLETE {number:x}.{label}.{:x}\r\n", random::number())
    }

    /// Carries out a command and returns the status row.
    fn status(&self, index: usize, command: &str, term: u64) -> String {
        let mut log = self.settled();
        let replica = log.leader != index;
        match command {
            "PAUSE" if replica && term > log.term => {
                let copy = &mut log.copies[index];
                copy.paused = copy.paused.max(term);
            }
            "RESUME" => log.copies[index].paused = 0,
            _ => {}
        }
        let role = if replica { "replica" } else { "primary" };
        let (open, copy) = (self.connections(index), &log.copies[index]);
        let held = format!("{}.{}", log.commits[copy.held - 1].term, copy.held);
        format!("ROW {role} {} {held} {} 8 0 {open}\r\nCOMPLETE -\r\n", log.term, copy.paused)
    }

    fn contains(&self, index: usize, mark: &str) -> bool {
        let Some((term, number)) = mark.split_once('.') else { return false };
        let (term, number): (u64, usize) = (term.parse().unwrap_or(0), number.parse().unwrap_or(0));
        let log = self.settled();
        number > 0 && number <= log.copies[index].held && log.commits[number - 1].term == term
    }
}

/// The time that a statement takes.
fn work(mean_ms: f64) -> Duration {
    Duration::from_secs_f64(mean_ms * (0.5 + random::unit()) / 1000.0)
}

/// The Unix millisecond of the servers' start.
fn born() -> u128 {
    static BORN: std::sync::OnceLock<u128> = std::sync::OnceLock::new();
    *BORN.get_or_init(|| SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map_or(0, |t| t.as_millis()))
}

/// Reads a line up to CR LF.
pub fn read_line(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut bytes = Vec::new();
    loop {
        if reader.read_until(b'\n', &mut bytes).ok()? == 0 {
            return None;
        }
        if bytes.ends_with(b"\r\n") {
            bytes.truncate(bytes.len() - 2);
            return String::from_utf8(bytes).ok();
        }
    }
}
