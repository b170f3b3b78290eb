//! Stand-ins of the platform's store, of its promotion call and of one database service, after the
//! protocol page. Every host has its own view of the addresses, so that a link between one host and
//! one database can be cut.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs::File,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use crate::json::{self, Json};

/// A row of the store. `servers` rows hold the index of a database and are rendered for each host.
#[derive(Clone)]
struct Row {
    value: String,
    version: u64,
    deleted: bool,
}

#[derive(Default)]
struct Store {
    rows: BTreeMap<(String, String), Row>,
    version: u64,
    newest_token: u64,
}

/// A committed transaction: when it was appended, and when each database receives it.
#[derive(Clone)]
struct Commit {
    term: u64,
    id: String,
    received: Vec<Instant>,
    items: Vec<(String, String)>,
}

struct Group {
    leader: usize,
    term: u64,
    log: Vec<Commit>,
    promotions: u32,
    /// Whether the leader was told to step down.
    stepped_down: bool,
    /// Replicas that were told to pause, with the length of their logs.
    paused: [Option<usize>; DATABASES],
    seed: u64,
}

/// What a scenario sets.
#[derive(Clone)]
pub struct Plan {
    /// The mean time until a replica receives a commit.
    pub lag: Duration,
    pub work: Duration,
    pub promote: Duration,
    pub sync_replicas: u64,
}

/// How a link is cut. What is held up passes when the link is healed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    BothWays,
    /// Only what the database sends is held up.
    Answers,
}

pub struct World {
    pub plan: Plan,
    pub start: Instant,
    store: Mutex<Store>,
    changed: Condvar,
    group: Mutex<Group>,
    /// Cut links, by host and database.
    cuts: Mutex<Vec<(usize, usize, Cut)>>,
    healed: Condvar,
    /// Addresses of the databases, by host and database.
    addresses: Mutex<Vec<Vec<SocketAddr>>>,
    /// Addresses of the store, by host.
    stores: Mutex<Vec<SocketAddr>>,
    record: Mutex<File>,
    /// Commits that a promoted database lacks.
    pub dropped: Mutex<Vec<String>>,
    /// Connections to each database, and the most that it takes.
    connections: Mutex<([usize; DATABASES], usize)>,
    /// The statements that were answered with success to their consumers.
    pub served: Mutex<BTreeSet<String>>,
}

pub const DATABASES: usize = 3;
pub const SERVICE: &str = "dahu75a";
const ZONES: [&str; 3] = ["puget-a", "willamette-a", "inland-a"];

fn name(database: usize) -> String {
    format!("i-7f3a91c{database}")
}

fn number_of(id: &str) -> Option<usize> {
    (0..DATABASES).find(|n| name(*n) == id)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

impl World {
    pub fn new(plan: Plan, record: File) -> Arc<Self> {
        let now = Instant::now();
        let first = Commit {
            term: 1,
            id: "first".into(),
            received: vec![now; DATABASES],
            items: Vec::new(),
        };
        Arc::new(Self {
            plan,
            start: now,
            store: Mutex::default(),
            changed: Condvar::new(),
            group: Mutex::new(Group {
                leader: 0,
                term: 1,
                log: vec![first],
                promotions: 0,
                stepped_down: false,
                paused: [None; DATABASES],
                seed: 88172645463325252,
            }),
            cuts: Mutex::default(),
            healed: Condvar::new(),
            addresses: Mutex::default(),
            stores: Mutex::default(),
            record: Mutex::new(record),
            dropped: Mutex::default(),
            connections: Mutex::default(),
            served: Mutex::default(),
        })
    }

    /// Writes a line to the record.
    pub fn note(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let text: String = text.chars().take(240).collect();
        let _ = writeln!(lock(&self.record), "{at:8.3} {text}");
    }

    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut store = lock(&self.store);
        store.version += 1;
        let row = Row { value: value.into(), version: store.version, deleted: false };
        store.rows.insert((table.into(), key.into()), row);
        self.changed.notify_all();
    }

    /// Cuts the link between a host and a database, or heals it.
    pub fn cut(&self, host: usize, database: usize, cut: Option<Cut>) {
        self.note(&format!("link of host {host} to {}: cut {cut:?}", name(database)));
        let mut cuts = lock(&self.cuts);
        cuts.retain(|(h, d, _)| (*h, *d) != (host, database));
        cuts.extend(cut.map(|cut| (host, database, cut)));
        self.healed.notify_all();
    }

    /// Waits while a link is cut for a request (`answer` is false) or for an answer.
    fn pass(&self, host: usize, database: usize, answer: bool) {
        let mut cuts = lock(&self.cuts);
        let held = |(h, d, cut): &(usize, usize, Cut)| {
            (*h, *d) == (host, database) && (answer || *cut == Cut::BothWays)
        };
        while cuts.iter().any(held) {
            cuts = self.healed.wait(cuts).unwrap_or_else(|e| e.into_inner());
        }
    }

    pub fn leader(&self) -> usize {
        lock(&self.group).leader
    }

    pub fn promotions(&self) -> u32 {
        lock(&self.group).promotions
    }

    /// The commits that consumers were told of and that a promoted database lacks.
    pub fn lost(&self) -> Vec<String> {
        let served = lock(&self.served);
        let dropped = lock(&self.dropped);
        dropped.iter().filter(|id| served.contains(*id)).cloned().collect()
    }

    pub fn log_length(&self) -> usize {
        lock(&self.group).log.len()
    }

    /// Starts the listeners of a host's view at the host's first start. Returns the address of its store.
    pub fn serve_host(self: &Arc<Self>, host: usize, ip: &str) -> SocketAddr {
        if let Some(address) = lock(&self.stores).get(host) {
            return *address;
        }
        let mut view = Vec::new();
        for database in 0..DATABASES {
            let listener = TcpListener::bind((ip, 0)).expect("bind");
            view.push(listener.local_addr().expect("address"));
            let world = Arc::clone(self);
            thread::spawn(move || {
                for socket in listener.incoming().flatten() {
                    let world = Arc::clone(&world);
                    thread::spawn(move || {
                        lock(&world.connections).0[database] += 1;
                        let _ = Session::run(&world, host, database, socket);
                        lock(&world.connections).0[database] -= 1;
                    });
                }
            });
        }
        lock(&self.addresses).push(view);
        let listener = TcpListener::bind((ip, 0)).expect("bind");
        let address = listener.local_addr().expect("address");
        lock(&self.stores).push(address);
        let world = Arc::clone(self);
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let world = Arc::clone(&world);
                thread::spawn(move || world.serve_http(host, socket));
            }
        });
        address
    }

    /// Registers the databases and writes the first configuration.
    pub fn register(&self, max_conns: usize) {
        lock(&self.connections).1 = max_conns;
        for database in 0..DATABASES {
            self.put("servers", &name(database), "");
        }
        let sync = self.plan.sync_replicas;
        let config = format!(
            r#"{{"ConfigVersion":7,"Routes":[{{"Name":"r-1","Host":"lepu270","Prefix":"/","RouteType":"primary","TimeoutMs":800,"TargetLatencyMs":400,"Priority":1,"Service":"{SERVICE}","MaxAttempts":2}},{{"Name":"r-2","Host":"xapu221ny95","Prefix":"/","RouteType":"bounded_staleness","TimeoutMs":1200,"TargetLatencyMs":600,"Priority":2,"Service":"{SERVICE}","MaxAttempts":2,"MaxStalenessMs":1500}}],"Services":[{{"Name":"{SERVICE}","HealthPath":"/health","MaxConns":{max_conns},"Protocol":"h1","Tls":false,"SyncReplicas":{sync}}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000,"TxIdleMs":3000}}}}"#
        );
        self.put("op", "config", &json::base64(config.as_bytes()));
    }

    fn render(&self, host: usize, table: &str, key: &str, row: &Row) -> String {
        let mut value = row.value.clone();
        if let ("servers", Some(database)) = (table, number_of(key)) {
            let role = if lock(&self.group).leads(database) { "primary" } else { "replica" };
            let address = lock(&self.addresses)[host][database];
            let zone = ZONES[database];
            let entry = format!(
                r#"{{"Service":"{SERVICE}","Address":"{address}","Zone":"{zone}","ConfigVersion":"v1","Slots":16,"State":"ready","ColdRemainingMs":0,"DbRole":"{role}","Sequence":4,"born":1700000000000}}"#
            );
            value = json::base64(entry.as_bytes());
        }
        let (version, deleted) = (row.version, row.deleted);
        format!(
            r#"{{"Table":"{table}","part":"","Key":"{key}","Value":"{value}","Ver":{version},"Deleted":{deleted}}}"#
        )
    }

    fn answer(&self, version: u64, rows: &[String]) -> String {
        let now = self.start.elapsed().as_millis() + 1_000_000;
        let rows = rows.join(",");
        format!(r#"{{"rows":[{rows}],"HasMore":false,"Ver":{version},"NowMs":{now}}}"#)
    }

    fn rows_get(&self, host: usize, table: &str, from: &str, limit: usize) -> String {
        let (rows, version) = {
            let store = lock(&self.store);
            (store.rows.clone(), store.version)
        };
        let rows: Vec<String> = rows
            .iter()
            .filter(|((t, key), row)| t == table && key.as_str() >= from && !row.deleted)
            .map(|((t, key), row)| self.render(host, t, key, row))
            .collect();
        let shown = &rows[..rows.len().min(limit)];
        let more = format!("\"HasMore\":{}", shown.len() < rows.len());
        self.answer(version, shown).replacen("\"HasMore\":false", &more, 1)
    }

    fn rows_feed(&self, host: usize, table: &str, after: u64, wait: Duration) -> String {
        let end = Instant::now() + wait;
        let mut store = lock(&self.store);
        loop {
            let mut found: Vec<((String, String), Row)> = store
                .rows
                .iter()
                .filter(|((t, _), row)| t == table && row.version > after)
                .map(|(key, row)| (key.clone(), row.clone()))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                let version = store.version;
                drop(store);
                found.sort_by_key(|(_, row)| row.version);
                let rows: Vec<String> =
                    found.iter().map(|((t, key), row)| self.render(host, t, key, row)).collect();
                return self.answer(version, &rows);
            }
            store = self.changed.wait_timeout(store, left).unwrap_or_else(|e| e.into_inner()).0;
        }
    }

    fn rows_tx(&self, host: usize, body: &Json) -> (u16, String) {
        let key = |row: &Json| (row.text("Table"), row.text("Key"));
        let mut store = lock(&self.store);
        let fits = body.list("ExpectedRev").iter().all(|row| {
            let found = store.rows.get(&key(row)).map_or(0, |r| r.version);
            found == row.number("Ver")
        });
        if !fits {
            let version = store.version;
            let expected = body.list("ExpectedRev").iter().map(key);
            let found: Vec<_> =
                expected.filter_map(|k| store.rows.get(&k).cloned().map(|row| (k, row))).collect();
            drop(store);
            let rows = found.iter().map(|((t, k), row)| self.render(host, t, k, row));
            return (412, self.answer(version, &rows.collect::<Vec<_>>()));
        }
        store.version += 1;
        let version = store.version;
        for row in body.list("Writes") {
            let value = row.text("Value");
            store.rows.insert(key(row), Row { value, version, deleted: false });
        }
        self.changed.notify_all();
        drop(store);
        thread::sleep(Duration::from_millis(4));
        (200, self.answer(version, &[]))
    }

    fn promote(self: &Arc<Self>, host: usize, holder: &str, token: u64, body: &Json) -> u16 {
        let id = body.text("Id");
        let mut store = lock(&self.store);
        if token < store.newest_token {
            return 409;
        }
        store.newest_token = token;
        drop(store);
        let Some(database) = number_of(&id) else { return 409 };
        self.note(&format!("promote {id} ordered by host {host} ({holder}, generation {token})"));
        if lock(&self.group).leads(database) {
            return 200;
        }
        let world = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(world.plan.promote);
            world.take_over(database);
        });
        200
    }

    /// Makes a database the leader of the next term with what it has received, and nothing more.
    fn take_over(&self, database: usize) {
        let now = Instant::now();
        {
            let mut group = lock(&self.group);
            if group.leads(database) {
                return;
            }
            let kept = group.position(database, now);
            let dropped: Vec<Commit> = group.log.drain(kept..).collect();
            group.leader = database;
            group.stepped_down = false;
            group.paused = [None; DATABASES];
            group.term += 1;
            group.promotions += 1;
            let term = group.term;
            drop(group);
            let id = name(database);
            self.note(&format!("{id} leads term {term}, log of {kept}, {} dropped", dropped.len()));
            lock(&self.dropped).extend(dropped.into_iter().map(|c| c.id));
        }
        for database in 0..DATABASES {
            self.put("servers", &name(database), "");
        }
    }

    fn serve_http(self: Arc<Self>, host: usize, mut socket: TcpStream) {
        let _ = socket.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Some((head, body)) = read_call(&mut socket, &mut buffer) {
            let first = head.lines().next().unwrap_or_default().to_owned();
            let target = first.split(' ').nth(1).unwrap_or_default().to_owned();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let parameter = |name: &str| {
                let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
                pairs.find(|(k, _)| *k == name).map(|(_, v)| v.to_owned()).unwrap_or_default()
            };
            let number = |name: &str| parameter(name).parse::<u64>().unwrap_or_default();
            let table = parameter("Table");
            let json = json::parse(&body);
            let (status, text) = match path.rsplit('/').next().unwrap_or_default() {
                "rows-get" => {
                    let limit = parameter("Limit").parse().unwrap_or(500).min(500);
                    (200, self.rows_get(host, &table, &parameter("From"), limit))
                }
                "rows-feed" => {
                    let wait = Duration::from_millis(number("WaitMs").min(30_000));
                    (200, self.rows_feed(host, &table, number("after"), wait))
                }
                "rows-tx" => self.rows_tx(host, &json),
                "promote" => {
                    let holder = header(&head, "duty-holder");
                    let token = header(&head, "fencing-token").parse().unwrap_or_default();
                    (self.promote(host, &holder, token, &json), String::new())
                }
                _ => (404, String::new()),
            };
            let reply = format!(
                "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
                text.len()
            );
            if socket.write_all(reply.as_bytes()).is_err() {
                return;
            }
        }
    }
}

fn header(head: &str, name: &str) -> String {
    let mut pairs = head.lines().filter_map(|line| line.split_once(':'));
    let found = pairs.find(|(k, _)| k.eq_ignore_ascii_case(name));
    found.map(|(_, v)| v.trim().to_owned()).unwrap_or_default()
}

fn read_call(socket: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<(String, String)> {
    let mut chunk = [0; 4096];
    loop {
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let length: usize = header(&head, "content-length").parse().unwrap_or(0);
            if buffer.len() >= end + 4 + length {
                let body = String::from_utf8_lossy(&buffer[end + 4..end + 4 + length]).into_owned();
                buffer.drain(..end + 4 + length);
                return Some((head, body));
            }
        }
        match socket.read(&mut chunk) {
            Ok(n) if n > 0 => buffer.extend_from_slice(&chunk[..n]),
            _ => return None,
        }
    }
}

impl Group {
    /// The number of commits in a database's log.
    fn position(&self, database: usize, now: Instant) -> usize {
        if database == self.leader {
            return self.log.len();
        }
        let received = self.log.iter().take_while(|c| c.received[database] <= now).count();
        self.paused[database].map_or(received, |length| length.min(received))
    }

    fn leads(&self, database: usize) -> bool {
        self.leader == database && !self.stepped_down
    }

    /// Carries out `PAUSE`, `RESUME` or `STEPDOWN`.
    fn order(&mut self, database: usize, word: &str, term: u64, now: Instant) {
        let leads = self.leads(database);
        match word {
            "PAUSE" if !leads && term > self.term => {
                self.paused[database] = Some(self.position(database, now));
            }
            "RESUME" => self.paused[database] = None,
            "STEPDOWN" if leads && term > self.term => self.stepped_down = true,
            _ => {}
        }
    }

    fn mark(&self, database: usize, now: Instant) -> String {
        let position = self.position(database, now);
        format!("{}.{position}", self.log[position - 1].term)
    }

    /// Whether a database's log holds the entry TERM.NUMBER.
    fn holds(&self, database: usize, mark: &str, now: Instant) -> bool {
        let Some((term, number)) = mark.split_once('.') else { return false };
        let number: usize = number.parse().unwrap_or(usize::MAX);
        let term: u64 = term.parse().unwrap_or(u64::MAX);
        number >= 1
            && number <= self.position(database, now)
            && self.log[number - 1].term == term
    }

    fn random(&mut self) -> f64 {
        self.seed ^= self.seed << 13;
        self.seed ^= self.seed >> 7;
        self.seed ^= self.seed << 17;
        (self.seed >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Appends a commit, which each replica receives after a lag between a half and one and a half of
    /// the mean.
    fn append(&mut self, id: &str, items: Vec<(String, String)>, lag: Duration, now: Instant) {
        let mut received = Vec::new();
        for database in 0..DATABASES {
            let before = self.log.last().map_or(now, |c| c.received[database]);
            let mut at = now;
            if database != self.leader {
                at = before.max(now + lag.mul_f64(0.5 + self.random()));
            }
            received.push(at);
        }
        let term = self.term;
        self.log.push(Commit { term, id: id.into(), received, items });
    }

    fn value(&self, item: &str, position: usize) -> String {
        let commits = self.log[..position].iter().rev();
        let mut found = commits.flat_map(|c| c.items.iter().rev());
        found.find(|(k, _)| k == item).map_or_else(|| "none".into(), |(_, v)| v.clone())
    }
}

enum Transaction {
    None,
    /// A read-only one, with the length of the log when it began.
    Read(usize),
    /// A plain one, with its term and its writes.
    Plain(u64, Vec<(String, String)>),
    Failed,
}

/// A connection to a database.
struct Session<'a> {
    world: &'a World,
    database: usize,
    transaction: Transaction,
    /// Prepared statements: whether they write, and their shape.
    prepared: BTreeMap<String, (bool, String)>,
}

type Answer = Result<String, &'static str>;

impl Session<'_> {
    fn run(
        world: &World,
        host: usize,
        database: usize,
        mut socket: TcpStream,
    ) -> std::io::Result<()> {
        socket.set_nodelay(true)?;
        let mut session = Session {
            world,
            database,
            transaction: Transaction::None,
            prepared: BTreeMap::new(),
        };
        let mut buffer = Vec::new();
        let Some(startup) = read_line(&mut socket, &mut buffer) else { return Ok(()) };
        world.pass(host, database, false);
        let words: Vec<&str> = startup.split(' ').collect();
        let expected = words.get(3).is_none_or(|id| *id == name(database));
        if words.first() != Some(&"STARTUP") || words.get(1) != Some(&SERVICE) || !expected {
            return socket.write_all(b"ERROR WRONGNODE other\r\n");
        }
        let (open, most) = *lock(&world.connections);
        if open[database] > most {
            return socket.write_all(b"ERROR TOOMANYCON full\r\n");
        }
        thread::sleep(Duration::from_millis(12));
        let ready = session.ready();
        world.pass(host, database, true);
        socket.write_all(ready.as_bytes())?;
        while let Some(line) = read_line(&mut socket, &mut buffer) {
            world.pass(host, database, false);
            let Some((id, text)) = line.strip_prefix("QUERY ").and_then(|q| q.split_once(' '))
            else {
                return Ok(());
            };
            let answer = match session.query(id, text) {
                Ok(Some(answer)) => answer,
                Ok(None) => return Ok(()),
                Err(code) => {
                    if !matches!(session.transaction, Transaction::None) {
                        session.transaction = Transaction::Failed;
                    }
                    format!("ERROR {code} {}\r\n", name(database))
                }
            };
            let reply = format!("{answer}{}", session.ready());
            if id != "-" {
                let shown = reply.replace("\r\n", " | ");
                world.note(&format!(
                    "{} connection of host {host}: {id} {text} -> {shown}",
                    name(database)
                ));
            }
            world.pass(host, database, true);
            socket.write_all(reply.as_bytes())?;
        }
        Ok(())
    }

    fn ready(&self) -> String {
        let state = match self.transaction {
            Transaction::None => 'I',
            Transaction::Failed => 'E',
            _ => 'T',
        };
        let mark = lock(&self.world.group).mark(self.database, Instant::now());
        format!("READY {state} {mark}\r\n")
    }

    /// Runs a statement. `None` closes the connection without an answer.
    fn query(&mut self, id: &str, text: &str) -> Result<Option<String>, &'static str> {
        let now = Instant::now();
        let text = match text.strip_prefix("AFTER ") {
            Some(rest) => {
                let (mark, rest) = rest.split_once(' ').ok_or("MALFORMED")?;
                if !lock(&self.world.group).holds(self.database, mark, now) {
                    return Err("LAGGING");
                }
                rest
            }
            None => text,
        };
        let words: Vec<&str> = text.split(' ').collect();
        if text == "ROLLBACK" {
            if matches!(self.transaction, Transaction::None) {
                return Err("MALFORMED");
            }
            self.transaction = Transaction::None;
            return Ok(Some(complete()));
        }
        if matches!(self.transaction, Transaction::Failed) {
            if text == "COMMIT" {
                self.transaction = Transaction::None;
                return Err("ABORTED");
            }
            return Err("MALFORMED");
        }
        if let Transaction::Plain(term, writes) = &self.transaction {
            let group = lock(&self.world.group);
            let led = group.leads(self.database) && group.term == *term;
            if !led && !(text == "COMMIT" && writes.is_empty()) {
                return Err("READONLY");
            }
        }
        match words[0] {
            "BEGIN" => self.begin(words.get(1).is_some()).map(Some),
            "COMMIT" => self.commit(id),
            "READ" => self.read(id, words[1], "").map(Some),
            "WRITE" => self.write(id, words[1], &words[2..].join(" ")),
            "EXECUTE" => {
                let (writes, shape) = self.prepared.get(words[1]).cloned().ok_or("NOSTMT")?;
                if writes {
                    return self.write(id, words[2], &words[3..].join(" "));
                }
                self.read(id, words[2], &shape).map(Some)
            }
            "SET" => Ok(Some(complete())),
            "PREPARE" => {
                let statement = (words[2] == "WRITE", words[3].to_owned());
                self.prepared.insert(words[1].into(), statement);
                Ok(Some(complete()))
            }
            "DEALLOC" => {
                self.prepared.remove(words[1]).ok_or("NOSTMT")?;
                Ok(Some(complete()))
            }
            "RESET" => {
                self.prepared.clear();
                Ok(Some(complete()))
            }
            "STATUS" | "STEPDOWN" | "PAUSE" | "RESUME" => {
                let term = words.get(1).and_then(|t| t.parse().ok()).unwrap_or_default();
                let mut group = lock(&self.world.group);
                group.order(self.database, words[0], term, now);
                let role = if group.leads(self.database) { "primary" } else { "replica" };
                let mark = group.mark(self.database, now);
                Ok(Some(format!("ROW {role} {} {mark} 0 0 0 4\r\n{}", group.term, complete())))
            }
            _ => Err("MALFORMED"),
        }
    }

    fn begin(&mut self, read_only: bool) -> Answer {
        if !matches!(self.transaction, Transaction::None) {
            return Err("MALFORMED");
        }
        let group = lock(&self.world.group);
        if read_only {
            self.transaction = Transaction::Read(group.position(self.database, Instant::now()));
        } else if group.leads(self.database) {
            self.transaction = Transaction::Plain(group.term, Vec::new());
        } else {
            return Err("READONLY");
        }
        Ok(complete())
    }

    fn read(&mut self, id: &str, item: &str, shape: &str) -> Answer {
        thread::sleep(self.world.plan.work);
        let group = lock(&self.world.group);
        let position = match &self.transaction {
            Transaction::Read(position) => (*position).min(group.log.len()),
            _ => group.position(self.database, Instant::now()),
        };
        let value = group.value(item, position);
        Ok(format!("ROW {shape}:{value}\r\nCOMPLETE 7.{id}.{}\r\n", self.database))
    }

    fn write(&mut self, id: &str, item: &str, data: &str) -> Result<Option<String>, &'static str> {
        thread::sleep(self.world.plan.work);
        if let Transaction::Plain(_, writes) = &mut self.transaction {
            writes.push((item.into(), data.into()));
            return Ok(Some(format!("COMPLETE 7.{id}.{}\r\n", self.database)));
        }
        let term = {
            let group = lock(&self.world.group);
            if !group.leads(self.database) {
                return Err("READONLY");
            }
            group.term
        };
        Ok(self.append(id, term, vec![(item.into(), data.into())]))
    }

    fn commit(&mut self, id: &str) -> Result<Option<String>, &'static str> {
        thread::sleep(self.world.plan.work);
        match std::mem::replace(&mut self.transaction, Transaction::None) {
            Transaction::Plain(term, writes) if !writes.is_empty() => {
                Ok(self.append(id, term, writes))
            }
            Transaction::None => Err("MALFORMED"),
            _ => Ok(Some(format!("COMPLETE 7.{id}.{}\r\n", self.database))),
        }
    }

    /// Appends a commit and acknowledges it, with `SyncReplicas` once a replica has received it. A
    /// commit whose database has lost the lead meanwhile gets no answer.
    fn append(&self, id: &str, term: u64, items: Vec<(String, String)>) -> Option<String> {
        let now = Instant::now();
        let number = {
            let mut group = lock(&self.world.group);
            if !group.leads(self.database) || group.term != term {
                return None;
            }
            group.append(id, items, self.world.plan.lag, now);
            group.log.len()
        };
        loop {
            {
                let group = lock(&self.world.group);
                if !group.leads(self.database) || group.term != term {
                    return None;
                }
                let now = Instant::now();
                let replicas = (0..DATABASES).filter(|d| *d != self.database);
                let holding = replicas.filter(|d| group.position(*d, now) >= number).count();
                if holding as u64 >= self.world.plan.sync_replicas {
                    return Some(format!("COMPLETE 7.{id}.{}\r\n", self.database));
                }
            }
            thread::sleep(Duration::from_millis(1));
        }
    }
}

fn complete() -> String {
    "COMPLETE -\r\n".into()
}

pub fn read_line(socket: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<String> {
    let mut chunk = [0; 4096];
    loop {
        if let Some(end) = buffer.windows(2).position(|w| w == b"\r\n") {
            let line = String::from_utf8_lossy(&buffer[..end]).into_owned();
            buffer.drain(..end + 2);
            return Some(line);
        }
        match socket.read(&mut chunk) {
            Ok(n) if n > 0 => buffer.extend_from_slice(&chunk[..n]),
            _ => return None,
        }
    }
}
