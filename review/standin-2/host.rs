//! The processes of the system, with settings like those of a small deployment, and clients.

use std::{
    fs,
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

/// A process of the system.
pub struct Host {
    pub name: String,
    pub ip: String,
    pub front: SocketAddr,
    pub child: Child,
    settings: PathBuf,
    log: PathBuf,
}

pub struct HostSpec<'a> {
    pub name: &'a str,
    pub ip: &'a str,
    pub zone: &'a str,
    pub region: &'a str,
    pub store: SocketAddr,
    pub memory_mb: u64,
    pub bootstrap: bool,
    /// The parts of the rules in force, besides those of every site.
    pub contracts: &'a str,
}

impl Host {
    /// Starts a process with the command of the deploy file.
    pub fn start(spec: &HostSpec<'_>, folder: &Path) -> Self {
        let settings = folder.join(format!("{}.toml", spec.name));
        let HostSpec {
            name,
            ip,
            zone,
            region,
            store,
            memory_mb,
            bootstrap,
            contracts,
        } = spec;
        let text = format!(
            r#"NodeName = "{name}"
Role = "front"
MachineClass = "front"
Serves = ["front"]
Ip = "{ip}"
Zone = "{zone}"
Region = "{region}"
InternalPorts = [7440,7455]
Seeds = []
Bootstrap = {bootstrap}
InTolerance = false
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","recover","sql","platform"{contracts}]
[Zones]
puget-a = "puget"
puget-b = "puget"
inland-a = "inland"
[ListenAddrs]
Front = "{ip}:8784"
Ready = "{ip}:8785"
[Limits]
CpuShare = 0.25
Cores = 1
MemoryMb = {memory_mb}
MaxFds = 4300
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 1
Zones = 0
Regions = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
StableWindowMs = 5000
AckMs = 6000
CatchUpS = 4
DrainMs = 7000
GraceS = 6
LossSlackMs = 200
ConfigApplyMs = 3000
RevertSlackMs = 250
OuterMs = 15000
RecoveryS = 12
RequireFence = true
ThawSlackMs = 300
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
        fs::write(&settings, text).expect("the settings file");
        let log = folder.join(format!("{name}.log"));
        let child = spawn(&settings, &log);
        Self {
            name: (*name).to_owned(),
            ip: (*ip).to_owned(),
            front: format!("{ip}:8784").parse().expect("an address"),
            child,
            settings,
            log,
        }
    }

    /// Whether it answers the balancer with 200.
    pub fn is_ready(&self) -> bool {
        let address: SocketAddr = format!("{}:8785", self.ip).parse().expect("an address");
        let Ok(mut socket) = TcpStream::connect_timeout(&address, Duration::from_millis(200))
        else {
            return false;
        };
        let _ = socket.set_read_timeout(Some(Duration::from_millis(500)));
        let call = b"GET /goldcrestusher/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let mut line = String::new();
        socket.write_all(call).is_ok()
            && BufReader::new(socket).read_line(&mut line).is_ok()
            && line.contains(" 200 ")
    }

    /// Waits until it is ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// A field of its status in the kernel, in kilobytes. `None` if the process has ended.
    pub fn memory_kb(&self, field: &str) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with(field))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    /// Kills the process and starts it again.
    pub fn restart(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let text = fs::read_to_string(&self.settings).unwrap_or_default();
        let text = text.replace("Bootstrap = true", "Bootstrap = false");
        fs::write(&self.settings, text).expect("the settings file");
        self.child = spawn(&self.settings, &self.log);
    }

    /// How the process has ended, if it has.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.try_wait().ok().flatten()?;
        Some(status.to_string())
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(settings: &Path, log: &Path) -> Child {
    let file = fs::OpenOptions::new().create(true).append(true).open(log);
    let file = file.expect("the log file");
    let errors = file.try_clone().expect("the log file");
    Command::new("target/release/goldcrestusher")
        .arg("platform")
        .env("GOLDCRESTUSHER_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(file)
        .stderr(errors)
        .spawn()
        .expect("the program of the deploy file; run its build first")
}

/// A client of the line protocol.
pub struct Client {
    reader: BufReader<TcpStream>,
    out: TcpStream,
}

impl Client {
    /// Starts a session. Returns `None` if that fails.
    pub fn open(address: SocketAddr, database: &str, key: &str) -> Option<Self> {
        let out = TcpStream::connect_timeout(&address, Duration::from_secs(2)).ok()?;
        out.set_nodelay(true).ok()?;
        out.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
        out.set_write_timeout(Some(Duration::from_secs(5))).ok()?;
        let reader = BufReader::new(out.try_clone().ok()?);
        let mut client = Self { reader, out };
        client
            .out
            .write_all(format!("STARTUP {database} {key}\r\n").as_bytes())
            .ok()?;
        let line = client.line()?;
        line.starts_with("READY").then_some(client)
    }

    fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        let read = self.reader.read_line(&mut line).ok()?;
        (read > 0).then(|| line.trim_end().to_owned())
    }

    /// Runs a statement. Returns the lines of its answer, of which the last one is `READY`, or `None` if
    /// there is no whole answer.
    pub fn query(&mut self, id: &str, text: &str) -> Option<Vec<String>> {
        self.out
            .write_all(format!("QUERY {id} {text}\r\n").as_bytes())
            .ok()?;
        let mut lines = Vec::new();
        loop {
            let line = self.line()?;
            let last = line.starts_with("READY");
            lines.push(line);
            if last {
                return Some(lines);
            }
        }
    }
}

/// Whether an answer says that the statement succeeded.
pub fn succeeded(answer: Option<&Vec<String>>) -> bool {
    answer.is_some_and(|lines| lines.iter().any(|l| l.starts_with("COMPLETE")))
}
