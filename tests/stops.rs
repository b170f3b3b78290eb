//! Stops a host's process while clients go on using the connections that they have open.

use std::{
    collections::BTreeSet,
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    process::{Child, Command, Stdio},
    sync::mpsc,
    thread,
    time::{Duration, Instant},
};

use goldcrest_standin::{Group, Store};
use rstest::rstest;
use rustix::process::{Pid, Signal, kill_process};

/// Clients of each kind.
const CLIENTS: usize = 12;

/// The grace period of the hosts, in seconds.
const GRACE_S: u64 = 3;

/// How long a host may take to start.
const START_LIMIT: Duration = Duration::from_secs(10);

const ENDPOINTS: [&str; 3] = ["e-1", "e-2", "e-3"];

const CONFIGURATION: &str = r#"{"ConfigVersion":3,"Routes":[
{"Name":"r1","Host":"latest","RouteType":"primary","TimeoutMs":800,"Service":"svc","Priority":1},
{"Name":"r2","Host":"own","RouteType":"read_your_writes","TimeoutMs":800,"Service":"svc","MaxStalenessMs":2500}],
"Services":[{"Name":"svc","MaxConns":64,"SyncReplicas":0}],"Limits":{"TxIdleMs":3000}}"#;

/// The stand-ins on a thread of their own, and the process of a host.
struct Fixture {
    host: Child,
    frontend: SocketAddr,
    group: mpsc::Sender<mpsc::Sender<Vec<String>>>,
    _settings: tempfile::TempDir,
}

/// Starts the stand-ins. Returns the store's address and a channel that asks which statements ran.
fn start_standins(ip: &'static str) -> (SocketAddr, mpsc::Sender<mpsc::Sender<Vec<String>>>) {
    let (questions, asked) = mpsc::channel::<mpsc::Sender<Vec<String>>>();
    let (started, address) = mpsc::channel();
    thread::spawn(move || {
        compio::runtime::Runtime::new().unwrap().block_on(async {
            let group = Group::start(ip, "svc", &ENDPOINTS, 64).await.unwrap();
            let store = Store::start(ip, vec![group.clone()]).await.unwrap();
            for id in ENDPOINTS {
                store.put("servers", id, &group.entry(id).unwrap());
            }
            store.put("op", "config", CONFIGURATION.as_bytes());
            started.send(store.address).unwrap();
            loop {
                compio::time::sleep(Duration::from_millis(5)).await;
                match asked.try_recv() {
                    Ok(reply) => {
                        let ran = group.executions().into_iter().map(|e| e.statement);
                        reply.send(ran.collect()).unwrap();
                    }
                    Err(mpsc::TryRecvError::Empty) => {}
                    Err(mpsc::TryRecvError::Disconnected) => return,
                }
            }
        });
    });
    (address.recv().unwrap(), questions)
}

fn start(ip: &'static str) -> Fixture {
    let (store, group) = start_standins(ip);
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("local.toml");
    let settings = format!(
        r#"NodeName = "host-1"
Ip = "{ip}"
Zone = "a-1"
Region = "a"
InternalPorts = [7440,7455]
[Zones]
a-1 = "a"
[ListenAddrs]
Front = "{ip}:8784"
Ready = "{ip}:8785"
[Limits]
CpuShare = 1.0
[Bounds]
DrainMs = 7000
GraceS = {GRACE_S}
[platform]
Address = "{store}"
[CloudApi]
Address = "{store}"
"#
    );
    std::fs::write(&path, settings).unwrap();
    let host = Command::new(env!("CARGO_BIN_EXE_goldcrestusher"))
        .arg("platform")
        .env("GOLDCRESTUSHER_CONFIG", &path)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .spawn()
        .unwrap();
    let fixture = Fixture {
        host,
        frontend: format!("{ip}:8784").parse().unwrap(),
        group,
        _settings: folder,
    };
    Client::open_soon(fixture.frontend);
    fixture
}

impl Drop for Fixture {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.host.kill();
        let _ = self.host.wait();
    }
}

impl Fixture {
    fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.host);
        // The process may have ended already.
        let _ = kill_process(pid, signal);
    }

    /// The ids of the statements that endpoints ran.
    fn ran(&self) -> BTreeSet<String> {
        let (reply, replied) = mpsc::channel();
        self.group.send(reply).unwrap();
        let statements = replied.recv().unwrap();
        let ids = statements.iter().filter_map(|s| s.split(' ').next());
        ids.map(ToOwned::to_owned).collect()
    }
}

/// A client on one connection.
struct Client {
    socket: TcpStream,
    buffer: Vec<u8>,
}

impl Client {
    fn open(frontend: SocketAddr, database: &str) -> Option<Self> {
        let socket = TcpStream::connect(frontend).ok()?;
        socket.set_nodelay(true).ok()?;
        socket.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
        let buffer = Vec::new();
        let mut client = Self { socket, buffer };
        client.send(&format!("STARTUP {database} u1"))?;
        client.answer().map(|_| client)
    }

    /// Opens a session once the host takes it.
    fn open_soon(frontend: SocketAddr) -> Self {
        let end = Instant::now() + START_LIMIT;
        loop {
            if let Some(client) = Self::open(frontend, "latest") {
                return client;
            }
            assert!(Instant::now() < end, "the host takes no session");
            thread::sleep(Duration::from_millis(50));
        }
    }

    fn send(&mut self, line: &str) -> Option<()> {
        self.socket.write_all(format!("{line}\r\n").as_bytes()).ok()
    }

    /// Reads an answer up to the session's state. `None` if the connection ends before.
    fn answer(&mut self) -> Option<String> {
        let mut answer = String::new();
        loop {
            if let Some(end) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                let line = String::from_utf8_lossy(&line[..end]).into_owned();
                answer.push_str(&line);
                if line.starts_with("READY") {
                    return Some(answer);
                }
                answer.push('|');
                continue;
            }
            let mut chunk = [0; 4096];
            match self.socket.read(&mut chunk) {
                Ok(read) if read > 0 => self.buffer.extend_from_slice(&chunk[..read]),
                _ => return None,
            }
        }
    }
}

/// What a client does until its connection ends.
#[derive(Debug, Clone, Copy)]
enum Habit {
    /// One statement after the other.
    Busy,
    /// Transactions, with this pause between their statements.
    Transactions(Duration),
}

/// The answers to a client, and the id of a statement that was sent and has no complete answer.
struct Ending {
    answers: Vec<String>,
    unanswered: Option<String>,
}

fn use_connection(mut client: Client, number: usize, habit: Habit) -> Ending {
    let (statements, pause): (&[&str], _) = match habit {
        Habit::Busy => (&["READ a"], Duration::ZERO),
        Habit::Transactions(pause) => (&["BEGIN", "WRITE a 1", "READ a", "COMMIT"], pause),
    };
    let mut answers = Vec::new();
    for (round, text) in statements.iter().cycle().enumerate() {
        let id = format!("c{number}n{round}");
        let sent = client.send(&format!("QUERY {id} {text}"));
        let answer = sent.and_then(|()| client.answer());
        let Some(answer) = answer else {
            let unanswered = Some(id);
            return Ending {
                answers,
                unanswered,
            };
        };
        answers.push(answer);
        thread::sleep(pause);
    }
    unreachable!("the statements never end")
}

/// Stops the host under its clients. Returns what they saw, and how long the process took to end.
fn stop(fixture: &mut Fixture, habit: Habit, signals: &[(u64, Signal)]) -> (Vec<Ending>, Duration) {
    let sessions: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let client = Client::open_soon(fixture.frontend);
            thread::spawn(move || use_connection(client, number, habit))
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    let began = Instant::now();
    for (after_ms, signal) in signals {
        let due = Duration::from_millis(*after_ms);
        thread::sleep(due.saturating_sub(began.elapsed()));
        fixture.signal(*signal);
    }
    fixture.host.wait().unwrap();
    let took = began.elapsed();
    let endings = sessions.into_iter().map(|s| s.join().unwrap());
    (endings.collect(), took)
}

/// Statements that had been passed on were cut when the process of a stopping host ended.
#[rstest]
#[case::busy("127.0.8.1", Habit::Busy, &[(0, Signal::TERM)])]
#[case::transactions("127.0.8.2", Habit::Transactions(Duration::ZERO), &[(0, Signal::TERM)])]
#[case::pauses("127.0.8.3", Habit::Transactions(Duration::from_millis(300)), &[(0, Signal::TERM)])]
#[case::stopped_twice("127.0.8.4", Habit::Busy, &[(0, Signal::TERM), (400, Signal::TERM)])]
#[case::reloads("127.0.8.5", Habit::Busy, &[(0, Signal::HUP), (1, Signal::HUP), (2, Signal::HUP), (3, Signal::TERM), (4, Signal::HUP), (5, Signal::HUP)])]
fn a_stopping_host_answers_what_it_has_passed_on(
    #[case] ip: &'static str,
    #[case] habit: Habit,
    #[case] signals: &[(u64, Signal)],
) {
    let mut fixture = start(ip);
    let (endings, took) = stop(&mut fixture, habit, signals);
    let ran = fixture.ran();
    let cut: Vec<&String> = endings
        .iter()
        .filter_map(|e| e.unanswered.as_ref())
        .filter(|id| ran.contains(*id))
        .collect();
    let unknown = endings.iter().flat_map(|e| &e.answers);
    let unknown = unknown.filter(|a| a.contains("INDOUBT")).count();
    assert!(
        cut.is_empty() && unknown == 0,
        "ran and got no answer: {cut:?}, {unknown} outcomes unknown"
    );
    assert!(took < Duration::from_secs(GRACE_S), "took {took:?}");
}
