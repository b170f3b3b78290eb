//! Crowds of clients that don't behave, at host processes with little memory and few descriptors.
//!
//! Each case checks that the processes live, that their memory and descriptors stay within the limits
//! in their settings, and that they answer one ordinary request while the crowd is still connected.
//! The cases run one at a time.

#[path = "../common/mod.rs"]
mod common;
mod crowd;
mod process;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use common::{
    ServeProcess, fleet,
    line_client::LineClient,
    platform::{HostOptions, HostProcess, Site, Standins},
};
use crowd::{
    Crowd,
    Manner::{self, Pieces, SlowRead, SlowSend, Unread, Whole},
    Script,
};
use process::{Watched, watch};
use rstest::rstest;

/// Memory of the processes, in megabytes.
const MEMORY_MB: u64 = 64;

/// Descriptors of the processes.
const MAX_FDS: usize = 512;

/// Clients of a crowd.
const CLIENTS: usize = 120;

/// Connections of a crowd that sends nothing or half a message.
const CONNECTIONS: usize = 900;

/// Bytes of a large message within the limit of 1 MiB.
const LARGE: usize = 900_000;

/// Bytes of a message that is one of many.
const MEDIUM: usize = 20_000;

/// Messages that a client sends ahead.
const AHEAD: usize = 150;

/// How long two hosts may take to know each other.
const PAIR_TIME: Duration = Duration::from_millis(500);

/// How long an ordinary client goes on trying.
const TRY_LIMIT: Duration = Duration::from_secs(20);

const CONFIGURATION: &str = r#"{"ConfigVersion":3,"Routes":[
{"Name":"r1","Host":"latest","RouteType":"primary","TimeoutMs":2000,"Service":"svc","Priority":1}],
"Services":[{"Name":"svc","MaxConns":64,"SyncReplicas":0}],"Limits":{"TxIdleMs":3000}}"#;

/// Lets one case run at a time.
fn alone() -> MutexGuard<'static, ()> {
    static RUNNING: Mutex<()> = Mutex::new(());
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What a crowd does.
#[derive(Debug, Clone)]
enum Crowded {
    Clients(Script),
    Connections(&'static [u8]),
}

impl Crowded {
    fn start(self, frontend: SocketAddr) -> Crowd {
        match self {
            Self::Clients(script) => Crowd::start(CLIENTS, frontend, script),
            Self::Connections(bytes) => Crowd::silent(CONNECTIONS, frontend, bytes),
        }
    }
}

/// Checks what processes hold under a crowd at the first of them, and that `ask` is answered.
fn check<F>(ids: &[u32], frontend: SocketAddr, crowded: Crowded, mut ask: F)
where
    F: FnMut() -> bool,
{
    let mut processes: Vec<_> = ids.iter().map(|id| Watched::new(*id)).collect();
    let crowd = crowded.start(frontend);
    watch(&mut processes, crowd.end, || crowd.is_over());
    let _connections = crowd.connections();
    let end = Instant::now() + TRY_LIMIT;
    let mut answered = ask();
    while !answered && Instant::now() < end {
        thread::sleep(Duration::from_millis(50));
        answered = ask();
    }
    watch(&mut processes, Instant::now(), || false);
    let peaks: Vec<_> = processes.iter().map(Watched::peak).collect();
    println!("{peaks:?}, answered: {answered}");
    for peak in &peaks {
        let memory = peak.memory.expect("the process has ended");
        assert!(memory <= MEMORY_MB * 1_000_000, "{peaks:?}");
        assert!(peak.descriptors <= MAX_FDS, "{peaks:?}");
    }
    assert!(answered, "{peaks:?}");
}

/// A statement of the line protocol, with a text of `size` bytes.
fn write(number: usize, size: usize) -> Vec<u8> {
    let text = "x".repeat(size);
    format!("QUERY c{number} WRITE item{number} {text}\r\n").into_bytes()
}

fn line_script(manner: Manner, messages: fn(usize) -> Vec<u8>) -> Crowded {
    Crowded::Clients(Script {
        startup: b"STARTUP latest u1\r\n".to_vec(),
        messages,
        manner,
    })
}

fn large_write(number: usize) -> Vec<u8> {
    write(number, LARGE)
}

fn writes_ahead(number: usize) -> Vec<u8> {
    write(number, MEDIUM).repeat(AHEAD)
}

fn reads_ahead(number: usize) -> Vec<u8> {
    format!("QUERY c{number} READ long\r\n")
        .repeat(AHEAD)
        .into_bytes()
}

fn values_kept(_: usize) -> Vec<u8> {
    let text = "x".repeat(LARGE / 3);
    let set = |name| format!("QUERY s{name} SET v{name} {text}\r\n").into_bytes();
    (0..6).map(set).collect::<Vec<_>>().concat()
}

/// Statements that are prepared, run once and discarded, under 32 names that differ between sessions.
fn prepared_once(number: usize) -> Vec<u8> {
    let text = "x".repeat(LARGE);
    let once = |turn| {
        let name = (number * 8 + turn) % 32;
        format!(
            "QUERY p{turn} PREPARE s{name} WRITE {text}\r\nQUERY e{turn} EXECUTE s{name} item value\r\nQUERY d{turn} DEALLOC s{name}\r\n"
        )
    };
    (0..8).map(once).collect::<String>().into_bytes()
}

fn endless(_: usize) -> Vec<u8> {
    vec![b'x'; 8 << 20]
}

fn unfinished(number: usize) -> Vec<u8> {
    let mut message = large_write(number);
    message.truncate(LARGE);
    message
}

/// Asks a platform host for an ordinary write.
fn ask_line(frontend: SocketAddr) -> bool {
    let Some(mut client) = LineClient::open(frontend, "STARTUP latest u2") else {
        return false;
    };
    client.send("QUERY ordinary WRITE item value");
    let answer = client.answer();
    answer.is_some_and(|lines| lines[0].starts_with(b"COMPLETE"))
}

/// Starts a host of a site with the limits of these tests.
fn start_limited(site: &Site<'_>, number: usize, store: SocketAddr) -> HostProcess {
    let limits = limits();
    let options = HostOptions {
        limits: &limits,
        ..HostOptions::default()
    };
    HostProcess::start_with(site, number, store, 3, options)
}

#[rstest]
#[case::whole_messages(1, line_script(Whole, large_write))]
#[case::messages_in_pieces(2, line_script(Pieces, large_write))]
#[case::messages_without_an_end(3, line_script(Whole, endless))]
#[case::messages_that_stop(4, line_script(Whole, unfinished))]
#[case::writes_sent_ahead(5, line_script(Unread, writes_ahead))]
#[case::long_rows_not_read(6, line_script(Unread, reads_ahead))]
#[case::slow_senders(7, line_script(SlowSend, large_write))]
#[case::slow_readers(8, line_script(SlowRead, reads_ahead))]
#[case::many_values(9, line_script(Whole, values_kept))]
#[case::prepared_once(12, line_script(Whole, prepared_once))]
#[case::silent_connections(10, Crowded::Connections(b""))]
#[case::half_sent_startups(11, Crowded::Connections(b"STARTUP lat"))]
fn a_crowd_at_a_host_stays_within_its_limits(#[case] address: u8, #[case] crowded: Crowded) {
    let _alone = alone();
    let ip = format!("127.210.1.{address}");
    let site = Site {
        ip: &ip,
        configuration: CONFIGURATION,
        slots: 16,
        hosts: &[(&ip, 1.0)],
    };
    let standins = Standins::start(&site);
    let host = start_limited(&site, 0, standins.stores[0]);
    let mut client = LineClient::open_soon(host.frontend);
    let long = "x".repeat(LARGE);
    client.send(&format!("QUERY l WRITE long {long}"));
    let answer = client.answer().expect("a single large message is served");
    assert!(answer[0].starts_with(b"COMPLETE"));
    drop(client);
    let frontend = host.frontend;
    check(&[host.child.id()], frontend, crowded, || ask_line(frontend));
}

#[rstest]
#[case::whole_messages(21, line_script(Whole, large_write))]
#[case::writes_sent_ahead(23, line_script(Unread, writes_ahead))]
#[case::long_rows_not_read(25, line_script(Unread, reads_ahead))]
fn a_relayed_crowd_stays_within_the_limits_of_both_hosts(
    #[case] address: u8,
    #[case] crowded: Crowded,
) {
    let _alone = alone();
    let (ip, owner) = (
        format!("127.210.1.{address}"),
        format!("127.210.1.{}", address + 1),
    );
    let site = Site {
        ip: &ip,
        configuration: &CONFIGURATION.replace("\"MaxConns\":64", "\"MaxConns\":2"),
        slots: 16,
        hosts: &[(&ip, 0.0001), (&owner, 1_000.0)],
    };
    let standins = Standins::start(&site);
    let start = |n: usize| start_limited(&site, n, standins.stores[n]);
    let (owner, host) = (start(1), start(0));
    for started in [&owner, &host] {
        LineClient::open_soon(started.frontend);
    }
    thread::sleep(PAIR_TIME);
    let mut client = LineClient::open_soon(host.frontend);
    let long = "x".repeat(LARGE);
    client.send(&format!("QUERY l WRITE long {long}"));
    let answer = client.answer().expect("a single large message is served");
    assert!(answer[0].starts_with(b"COMPLETE"));
    drop(client);
    let (ids, frontend) = ([host.child.id(), owner.child.id()], host.frontend);
    check(&ids, frontend, crowded, || ask_line(frontend));
}

fn limits() -> String {
    format!("MemoryMb = {MEMORY_MB}\nMaxFds = {MAX_FDS}")
}

/// A PostgreSQL start-up message of the workspace `orders`.
fn startup() -> Vec<u8> {
    let parameters = b"user\0orders\0database\0hearth-orders\0\0";
    let length = u32::try_from(parameters.len() + 8).unwrap();
    let mut out = length.to_be_bytes().to_vec();
    out.extend(196_608_u32.to_be_bytes());
    out.extend(parameters);
    out
}

/// A PostgreSQL message.
fn message(tag: u8, payload: &[u8]) -> Vec<u8> {
    let length = u32::try_from(payload.len() + 4).unwrap();
    [&[tag][..], &length.to_be_bytes(), payload].concat()
}

fn query(sql: &str) -> Vec<u8> {
    message(b'Q', &[sql.as_bytes(), b"\0"].concat())
}

/// A query with a row of `size` bytes.
fn select(size: usize) -> Vec<u8> {
    query(&format!("SELECT '{}'", "x".repeat(size)))
}

fn sql_script(manner: Manner, messages: fn(usize) -> Vec<u8>) -> Crowded {
    Crowded::Clients(Script {
        startup: startup(),
        messages,
        manner,
    })
}

fn large_select(_: usize) -> Vec<u8> {
    select(LARGE)
}

fn selects_ahead(_: usize) -> Vec<u8> {
    select(MEDIUM).repeat(AHEAD)
}

fn large_selects_ahead(_: usize) -> Vec<u8> {
    select(LARGE).repeat(4)
}

fn prepared_kept(_: usize) -> Vec<u8> {
    let sql = format!("SELECT '{}'", "x".repeat(LARGE / 3));
    let parse = |n| {
        message(
            b'P',
            &[format!("p{n}\0{sql}\0").as_bytes(), &[0, 0]].concat(),
        )
    };
    let sync = message(b'S', b"");
    let messages: Vec<_> = (0..6).map(|n| [parse(n), sync.clone()].concat()).collect();
    messages.concat()
}

fn long_startup(_: usize) -> Vec<u8> {
    let mut out = (64_u32 << 20).to_be_bytes().to_vec();
    out.extend(196_608_u32.to_be_bytes());
    out.extend(vec![b'x'; 2 << 20]);
    out
}

/// Asks a PostgreSQL host for an ordinary row.
fn ask_sql(frontend: SocketAddr) -> bool {
    let exchange = || -> std::io::Result<bool> {
        let mut socket = TcpStream::connect(frontend)?;
        socket.set_read_timeout(Some(Duration::from_secs(5)))?;
        socket.write_all(&startup())?;
        let ready = [b'Z', 0, 0, 0, 5, b'I'];
        let mut answer = Vec::new();
        for _ in 0..2 {
            answer.clear();
            let mut buffer = [0; 4096];
            while !answer.ends_with(&ready) {
                match socket.read(&mut buffer)? {
                    0 => return Ok(false),
                    read => answer.extend_from_slice(&buffer[..read]),
                }
            }
            socket.write_all(&query("SELECT 'ordinary'"))?;
        }
        Ok(answer.windows(8).any(|bytes| bytes == b"ordinary"))
    };
    exchange().unwrap_or(false)
}

#[rstest]
#[case::whole_messages(sql_script(Whole, large_select))]
#[case::messages_in_pieces(sql_script(Pieces, large_select))]
#[case::messages_that_stop(sql_script(Whole, |n| { let mut m = large_select(n); m.pop(); m }))]
#[case::messages_over_the_limit(sql_script(Whole, |_| select(8 << 20)))]
#[case::queries_sent_ahead(sql_script(Unread, selects_ahead))]
#[case::long_rows_not_read(sql_script(Unread, large_selects_ahead))]
#[case::slow_senders(sql_script(SlowSend, large_select))]
#[case::slow_readers(sql_script(SlowRead, large_selects_ahead))]
#[case::prepared_statements(sql_script(Whole, prepared_kept))]
#[case::long_startups(Crowded::Clients(Script { startup: Vec::new(), messages: long_startup, manner: Whole }))]
#[case::silent_connections(Crowded::Connections(b""))]
#[case::half_sent_startups(Crowded::Connections(b"\0\0\0\x40\0\x03\0\0user"))]
fn a_crowd_at_a_postgresql_host_stays_within_its_limits(#[case] crowded: Crowded) {
    let _alone = alone();
    let fleet = fleet(1);
    let mut settings = goldcrest_demo::host_settings(&fleet.settings, 1);
    settings.limits.memory_mb = MEMORY_MB;
    settings.limits.descriptors = MAX_FDS as u64;
    let host = ServeProcess::start_with(settings);
    let frontend = host.settings.host.callers;
    let end = Instant::now() + TRY_LIMIT;
    while !ask_sql(frontend) {
        assert!(Instant::now() < end, "the host takes no session");
        thread::sleep(Duration::from_millis(50));
    }
    check(&[host.id()], frontend, crowded, || ask_sql(frontend));
}
