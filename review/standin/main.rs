//! Starts the project's program as separate processes against stand-ins and plays one scenario.
//! Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod json;
mod world;

use std::{
    fs::{self, File},
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream},
    path::Path,
    process::{Child, Command, ExitCode, Stdio, exit},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst},
    },
    thread,
    time::{Duration, Instant},
};

use world::{Cut, Plan, World, read_line};

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

const SIGKILL: i32 = 9;
const PROGRAM: &str = "target/release/goldcrestusher";

/// A host: the project's program as a process of its own.
struct Host {
    child: Child,
    front: SocketAddr,
    ready: SocketAddr,
}

impl Host {
    fn start(world: &Arc<World>, folder: &Path, number: usize, ip: &str, zone: &str) -> Self {
        let store = world.serve_host(number, ip);
        let region = zone.trim_end_matches("-a");
        let text = format!(
            r#"NodeName = "front-{zone}-{number}"
Role = "front"
MachineClass = "front"
Serves = ["front"]
Ip = "{ip}"
Zone = "{zone}"
Region = "{region}"
InternalPorts = [7440,7455]
Seeds = []
Bootstrap = true
InTolerance = false
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","recover","sql","platform"]
[Zones]
puget-a = "puget"
willamette-a = "willamette"
inland-a = "inland"
[ListenAddrs]
Front = "{ip}:8784"
Ready = "{ip}:8785"
Control = "{ip}:8782"
[Limits]
CpuShare = 0.25
Cores = 1
MemoryMb = 260
MaxFds = 4300
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 1
Zones = 0
Regions = 0
[Bounds]
StableWindowMs = 5000
AckMs = 6000
DrainMs = 7000
GraceS = 6
LossSlackMs = 200
ConfigApplyMs = 3000
RevertSlackMs = 250
OuterMs = 15000
RecoveryS = 12
RequireFence = true
[platform]
Address = "{store}"
form = "table"
WritesPerS = 400
ReadsPerS = 2000
TxMs = 4.0
PartWritesS = 250
RowBytes = 65536
Across = true
HistoryS = 20
[CloudApi]
Address = "{store}"
RatePerS = 50.0
Duties = ["promotion"]
DutyPerS = 50.0
"#
        );
        let settings = folder.join(format!("local-{number}.toml"));
        fs::write(&settings, &text).expect("settings");
        let log = File::create(folder.join(format!("host-{number}.log"))).expect("log");
        let child = Command::new(PROGRAM)
            .arg("platform")
            .env("GOLDCRESTUSHER_CONFIG", &settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("log"))
            .stdout(log)
            .spawn();
        let Ok(child) = child else {
            eprintln!("{PROGRAM} can't be started");
            exit(2);
        };
        world.note(&format!("host {number} is process {} at {ip}", child.id()));
        let address = |port| SocketAddr::new(ip.parse().expect("address"), port);
        Self { child, front: address(8784), ready: address(8785) }
    }

    fn is_ready(&self) -> bool {
        let Ok(mut socket) = TcpStream::connect(self.ready) else { return false };
        let call = b"GET /goldcrestusher/ready HTTP/1.1\r\nHost: x\r\n\r\n";
        let _ = socket.set_read_timeout(Some(Duration::from_secs(1)));
        socket.write_all(call).is_ok()
            && read_line(&mut socket, &mut Vec::new()).is_some_and(|l| l.contains(" 200"))
    }

    fn signal(&self, signal: i32) {
        // SAFETY: `kill` takes two integers; the process is a child that was not waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// An answer: its rows, its result and the session's state after it.
struct Answer {
    rows: Vec<String>,
    result: String,
    state: String,
}

impl Answer {
    fn is_done(&self) -> bool {
        self.result.starts_with("COMPLETE")
    }
}

/// A consumer's session.
struct Client {
    socket: TcpStream,
    buffer: Vec<u8>,
    name: String,
    statements: u32,
}

impl Client {
    fn open(front: SocketAddr, database: &str, name: &str) -> Option<Self> {
        let socket = TcpStream::connect(front).ok()?;
        socket.set_nodelay(true).ok()?;
        socket.set_read_timeout(Some(Duration::from_secs(10))).ok()?;
        let mut client =
            Self { socket, buffer: Vec::new(), name: name.into(), statements: 0 };
        client.socket.write_all(format!("STARTUP {database} {name}\r\n").as_bytes()).ok()?;
        client.answer().map(|_| client)
    }

    fn answer(&mut self) -> Option<Answer> {
        let mut answer = Answer { rows: Vec::new(), result: String::new(), state: String::new() };
        loop {
            let line = read_line(&mut self.socket, &mut self.buffer)?;
            match line.split_once(' ') {
                Some(("ROW", row)) => answer.rows.push(row.into()),
                Some(("READY", state)) => {
                    answer.state = state[..1].into();
                    return Some(answer);
                }
                _ => answer.result = line,
            }
        }
    }

    /// Runs a statement. `None` if the connection ends without a complete answer.
    fn run(&mut self, world: &World, text: &str) -> Option<Answer> {
        self.statements += 1;
        let id = format!("{}n{}", self.name, self.statements);
        world.note(&format!("consumer {}: {id} {text}", self.name));
        let sent = self.socket.write_all(format!("QUERY {id} {text}\r\n").as_bytes());
        let answer = sent.ok().and_then(|()| self.answer());
        let shown = answer.as_ref().map_or("no answer".into(), |a| {
            format!("{} {} {}", a.rows.join(","), a.result, a.state)
        });
        world.note(&format!("consumer {}: {id} -> {shown}", self.name));
        if answer.as_ref().is_some_and(Answer::is_done) {
            world.served.lock().unwrap_or_else(|e| e.into_inner()).insert(id);
        }
        answer
    }
}

fn sleep(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Picks loopback addresses on which the ports of a host are free.
fn free_ips(count: usize) -> Vec<String> {
    let mut found = Vec::new();
    let base = std::process::id();
    for step in 0..2_000_u32 {
        let n = base.wrapping_mul(7).wrapping_add(step * 13);
        let ip = format!("127.{}.{}.{}", 20 + n % 200, 1 + n / 200 % 250, 1 + step % 250);
        let free = [8782, 8784, 8785, 9464, 7440];
        if !found.contains(&ip) && free.iter().all(|p| TcpListener::bind((&*ip, *p)).is_ok()) {
            found.push(ip);
        }
        if found.len() == count {
            return found;
        }
    }
    eprintln!("no free ports");
    exit(2);
}

fn wait_ready(hosts: &[Host]) {
    let end = Instant::now() + Duration::from_secs(20);
    while !hosts.iter().all(Host::is_ready) {
        if Instant::now() > end {
            eprintln!("a host is not ready");
            // Hosts are ended by their own drop, which `exit` would skip.
            for host in hosts {
                host.signal(SIGKILL);
            }
            exit(2);
        }
        sleep(100);
    }
    // In the first seconds a host opens one connection to each database.
    sleep(5_000);
}

/// Prepared names after the lead of a database was lost inside a transaction.
fn prepared(world: &Arc<World>, folder: &Path, trouble: bool) -> u8 {
    world.register(10);
    let ips = free_ips(2);
    let hosts = [
        Host::start(world, folder, 0, &ips[0], "puget-a"),
        Host::start(world, folder, 1, &ips[1], "puget-a"),
    ];
    wait_ready(&hosts);
    let stop = AtomicBool::new(false);
    let wrong: Mutex<Vec<String>> = Mutex::default();
    let served = AtomicUsize::new(0);
    thread::scope(|scope| {
        // Writers at host 0, which notice that the primary does not answer there.
        for n in 0..2 {
            let (front, stop) = (hosts[0].front, &stop);
            scope.spawn(move || write_until(world, front, &format!("w{n}"), 40, stop));
        }
        // Sessions at host 1 that prepare the same name with two shapes.
        for n in 0..8 {
            let (front, stop, wrong, served) = (hosts[1].front, &stop, &wrong, &served);
            scope.spawn(move || prepare_until(world, front, n, stop, wrong, served));
        }
        for _ in 0..11 {
            sleep(3_000);
            let primary = world.leader();
            if trouble {
                world.cut(0, primary, Some(Cut::BothWays));
            }
            sleep(4_500);
            if trouble {
                world.cut(0, primary, None);
            }
        }
        sleep(3_000);
        stop.store(true, SeqCst);
    });
    let wrong = wrong.into_inner().unwrap_or_default();
    let (served, promotions) = (served.into_inner(), world.promotions());
    world.note(&format!("{served} served, {promotions} promotions, {} wrong", wrong.len()));
    for line in &wrong {
        println!("{line}");
    }
    if served < 100 || (trouble && promotions == 0) {
        return 2;
    }
    u8::from(!wrong.is_empty())
}

fn write_until(world: &World, front: SocketAddr, name: &str, pause: u64, stop: &AtomicBool) {
    while !stop.load(SeqCst) {
        let Some(mut client) = Client::open(front, "lepu270", name) else {
            sleep(100);
            continue;
        };
        while !stop.load(SeqCst) {
            if client.run(world, &format!("WRITE {name} d{}", client.statements)).is_none() {
                break;
            }
            sleep(pause);
        }
    }
}

/// A session that runs transactions and single reads of one prepared name. Its rows begin with the
/// shape that ran.
fn prepare_until(
    world: &World,
    front: SocketAddr,
    number: usize,
    stop: &AtomicBool,
    wrong: &Mutex<Vec<String>>,
    served: &AtomicUsize,
) {
    let shape = if number % 2 == 0 { "qa1" } else { "qb2" };
    let name = format!("p{number}");
    while !stop.load(SeqCst) {
        let Some(mut client) = Client::open(front, "xapu221ny95", &name) else {
            sleep(100);
            continue;
        };
        session(world, &mut client, shape, stop, wrong, served);
    }
}

fn session(
    world: &World,
    client: &mut Client,
    shape: &str,
    stop: &AtomicBool,
    wrong: &Mutex<Vec<String>>,
    served: &AtomicUsize,
) -> Option<()> {
    client.run(world, &format!("PREPARE s1 READ {shape}"))?.is_done().then_some(())?;
    let check = |answer: &Answer, client: &Client| {
        let ran = answer.rows.first().and_then(|row| row.split_once(':')).map(|(s, _)| s);
        let unknown = answer.result.starts_with("ERROR NOSTMT");
        if answer.is_done() {
            served.fetch_add(1, SeqCst);
        }
        if unknown || (answer.is_done() && ran != Some(shape)) {
            let line = format!(
                "{}n{}: s1 was prepared as {shape}, acknowledged, and answered with {:?} {}",
                client.name, client.statements, answer.rows, answer.result
            );
            world.note(&format!("PINNED {line}"));
            wrong.lock().unwrap_or_else(|e| e.into_inner()).push(line);
        }
    };
    while !stop.load(SeqCst) {
        client.run(world, "BEGIN")?;
        let mut open = client.run(world, "READ a")?.is_done();
        sleep(200);
        if open {
            let answer = client.run(world, "EXECUTE s1 a")?;
            check(&answer, client);
            open = answer.is_done();
        }
        client.run(world, if open { "COMMIT" } else { "ROLLBACK" })?;
        for _ in 0..2 {
            sleep(30);
            let answer = client.run(world, "EXECUTE s1 a")?;
            check(&answer, client);
        }
    }
    Some(())
}

/// Acknowledged commits of a service with `SyncReplicas` 1, while one host is cut from the primary.
fn sync(world: &Arc<World>, folder: &Path, trouble: bool) -> u8 {
    world.register(16);
    let ips = free_ips(2);
    let hosts = [
        Host::start(world, folder, 0, &ips[0], "puget-a"),
        Host::start(world, folder, 1, &ips[1], "puget-a"),
    ];
    wait_ready(&hosts);
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        for n in 0..14 {
            let (front, stop) = (hosts[usize::from(n > 1)].front, &stop);
            scope.spawn(move || write_until(world, front, &format!("w{n}"), 20, stop));
        }
        for _ in 0..9 {
            sleep(4_000);
            let primary = world.leader();
            if trouble {
                world.cut(0, primary, Some(Cut::BothWays));
            }
            sleep(4_500);
            if trouble {
                world.cut(0, primary, None);
            }
        }
        sleep(2_000);
        stop.store(true, SeqCst);
    });
    let lost = world.lost();
    for id in &lost {
        world.note(&format!("LOST {id} was acknowledged and is not in the log of the promoted database"));
    }
    let (kept, promotions) = (world.log_length(), world.promotions());
    world.note(&format!("{kept} kept, {promotions} promotions, {} lost", lost.len()));
    println!("{} acknowledged commits lost in {promotions} promotions, {kept} kept", lost.len());
    if kept < 100 || (trouble && promotions == 0) {
        return 2;
    }
    u8::from(!lost.is_empty())
}

/// Reads of the latest data while answers of the primary to one host are held up.
fn stale(world: &Arc<World>, folder: &Path, trouble: bool) -> u8 {
    world.register(16);
    let ips = free_ips(2);
    let hosts = [
        Host::start(world, folder, 0, &ips[0], "willamette-a"),
        Host::start(world, folder, 1, &ips[1], "puget-a"),
    ];
    wait_ready(&hosts);
    let stop = AtomicBool::new(false);
    let wrong: Mutex<Vec<String>> = Mutex::default();
    let (newest, served) = (AtomicUsize::new(0), AtomicUsize::new(0));
    thread::scope(|scope| {
        // A writer at host 1, which is never cut.
        let (front, stop, newest) = (hosts[1].front, &stop, &newest);
        scope.spawn(move || count_until(world, front, stop, newest));
        for n in 0..90 {
            let (front, wrong, served) = (hosts[0].front, &wrong, &served);
            scope.spawn(move || {
                while !stop.load(SeqCst) {
                    let name = format!("r{n}");
                    let client = Client::open(front, "lepu270", &name);
                    if let Some(mut client) = client {
                        read_until(world, &mut client, n < 8, stop, newest, wrong, served);
                    }
                    sleep(100);
                }
            });
        }
        for _ in 0..48 {
            sleep(1_200);
            if trouble {
                world.cut(0, world.leader(), Some(Cut::Answers));
            }
            sleep(600);
            if trouble {
                world.cut(0, world.leader(), None);
            }
        }
        sleep(1_000);
        stop.store(true, SeqCst);
    });
    let wrong = wrong.into_inner().unwrap_or_default();
    let served = served.into_inner();
    world.note(&format!("{served} reads served, {} stale", wrong.len()));
    println!("{served} reads served, {} stale", wrong.len());
    if served < 100 {
        return 2;
    }
    u8::from(!wrong.is_empty())
}

/// Writes ascending numbers to one item. `newest` is the last one that was acknowledged.
fn count_until(world: &World, front: SocketAddr, stop: &AtomicBool, newest: &AtomicUsize) {
    let mut number = 0;
    while !stop.load(SeqCst) {
        let Some(mut client) = Client::open(front, "lepu270", "w") else { continue };
        while !stop.load(SeqCst) {
            number += 1;
            let Some(answer) = client.run(world, &format!("WRITE a {number}")) else { break };
            if answer.is_done() {
                newest.store(number, SeqCst);
            }
            sleep(5);
        }
    }
}

/// Reads the item, by itself or in transactions. A read must show each write that was acknowledged
/// before the first byte of the read or of its transaction was sent.
fn read_until(
    world: &World,
    client: &mut Client,
    transactions: bool,
    stop: &AtomicBool,
    newest: &AtomicUsize,
    wrong: &Mutex<Vec<String>>,
    served: &AtomicUsize,
) -> Option<()> {
    while !stop.load(SeqCst) {
        let expected = newest.load(SeqCst);
        if transactions {
            client.run(world, "BEGIN")?;
        }
        let answer = client.run(world, "READ a")?;
        if answer.is_done() {
            served.fetch_add(1, SeqCst);
            let row = answer.rows.first().map_or("", |row| row.trim_start_matches(':'));
            let shown: usize = row.parse().unwrap_or(0);
            if shown < expected {
                let line = format!(
                    "{}n{} read {shown}, {expected} was acknowledged before it was sent",
                    client.name, client.statements
                );
                world.note(&format!("STALE {line}"));
                wrong.lock().unwrap_or_else(|e| e.into_inner()).push(line);
            }
        }
        if transactions {
            client.run(world, if answer.is_done() { "COMMIT" } else { "ROLLBACK" })?;
        }
        sleep(if transactions { 20 } else { 100 + u64::from(client.statements * 379 % 1_300) });
    }
    Some(())
}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    let [_, scenario, folder] = words.as_slice() else {
        eprintln!("usage: standin SCENARIO FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let Ok(record) = File::create(Path::new(folder).join("record.txt")) else {
        return ExitCode::from(2);
    };
    let temporary = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    if fs::create_dir_all(&temporary).is_err() {
        return ExitCode::from(2);
    }
    let plan = Plan {
        lag: Duration::from_millis(8),
        work: Duration::from_millis(3),
        promote: Duration::from_millis(600),
        sync_replicas: 0,
    };
    let result = match scenario.as_str() {
        "prepared" => prepared(&World::new(plan, record), &temporary, trouble),
        "sync" => {
            let lag = Duration::from_millis(60);
            let plan = Plan { lag, sync_replicas: 1, ..plan };
            sync(&World::new(plan, record), &temporary, trouble)
        }
        "stale" => {
            let (work, lag) = (Duration::from_millis(13), Duration::from_millis(60));
            stale(&World::new(Plan { work, lag, ..plan }, record), &temporary, trouble)
        }
        _ => 2,
    };
    let _ = fs::remove_dir_all(&temporary);
    ExitCode::from(result)
}
