//! The product's processes.

use std::{
    fs,
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use crate::record::Record;

/// What differs between the hosts of a drill.
pub struct Plan {
    pub name: String,
    pub ip: Ipv4Addr,
    pub zone: String,
    pub region: String,
    pub memory_mb: u64,
    pub store: SocketAddr,
    pub contracts: &'static str,
}

pub struct Host {
    pub plan: Plan,
    pub front: SocketAddr,
    ready: SocketAddr,
    ports: (u16, u16),
    folder: PathBuf,
    child: Option<Child>,
    starts: u32,
}

const BINARY: &str = "target/release/goldcrestusher";

impl Host {
    pub fn new(plan: Plan, folder: &Path) -> Host {
        let free = || {
            let listener = TcpListener::bind((plan.ip, 0)).unwrap_or_else(|e| crate::give_up(&format!("{}: {e}", plan.ip)));
            listener.local_addr().expect("an address")
        };
        let (front, ready, internal) = (free(), free(), free().port());
        Host { plan, front, ready, ports: (internal, internal), folder: folder.into(), child: None, starts: 0 }
    }

    pub fn start(&mut self, record: &Record) {
        self.starts += 1;
        let file = self.folder.join(format!("{}.toml", self.plan.name));
        fs::write(&file, self.settings()).expect("the settings can be written");
        let log = self.folder.join(format!("{}.log", self.plan.name));
        let log = fs::OpenOptions::new().create(true).append(true).open(log).expect("a log file");
        let child = Command::new(BINARY)
            .arg("platform")
            .env_clear()
            .env("GOLDCRESTUSHER_CONFIG", &file)
            .env("PATH", "/usr/bin:/bin")
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .spawn()
            .unwrap_or_else(|error| crate::give_up(&format!("{BINARY}: {error}")));
        record.say(&format!("host {} starts, process {}", self.plan.name, child.id()));
        self.child = Some(child);
    }

    /// The settings file, as the deployment page has it.
    fn settings(&self) -> String {
        let Plan { name, ip, zone, region, memory_mb, store, contracts } = &self.plan;
        format!(
            "NodeName = \"{name}\"\nRole = \"front\"\nMachineClass = \"front\"\nServes = [\"front\"]\nIp = \"{ip}\"\n\
             Zone = \"{zone}\"\nRegion = \"{region}\"\nInternalPorts = [{},{}]\nSeeds = []\nBootstrap = {}\n\
             InTolerance = false\nDiscovery = \"platform\"\nEntry = \"vip\"\nHeartbeatMs = 1200\nContracts = [{contracts}]\n\
             [Zones]\npuget-a = \"puget\"\nwillamette-a = \"willamette\"\ninland-a = \"inland\"\n\
             [ListenAddrs]\nFront = \"{}\"\nReady = \"{}\"\n\
             [Limits]\nCpuShare = 0.25\nCores = 1\nMemoryMb = {memory_mb}\nMaxFds = 4300\nLinkMbps = 1000.0\nDiskMb = 0\n\
             [Bounds]\nSeedLagS = 3\nReuseAfterS = 2\nStableWindowMs = 5000\nAckMs = 6000\nCatchUpS = 4\nDrainMs = 7000\n\
             GraceS = 6\nLossSlackMs = 200\nConfigApplyMs = 3000\nRevertSlackMs = 250\nOuterMs = 15000\nRecoveryS = 12\n\
             RequireFence = true\nThawSlackMs = 300\n\
             [platform]\nAddress = \"{store}\"\nform = \"table\"\nWritesPerS = 400\nReadsPerS = 2000\nTxMs = 4.0\n\
             PartWritesS = 250\nRowBytes = 65536\nAcross = true\nHistoryS = 20\n\
             [CloudApi]\nAddress = \"{store}\"\nRatePerS = 50.0\nDuties = [\"promotion\"]\nDutyPerS = 50.0\n",
            self.ports.0,
            self.ports.1,
            self.starts == 1,
            self.front,
            self.ready,
        )
    }

    /// Ends the process at once, as a loss of power does.
    pub fn kill(&mut self, record: &Record) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            record.say(&format!("host {} was killed", self.plan.name));
        }
    }

    /// The number of the process, or zero.
    pub fn process(&self) -> i32 {
        self.child.as_ref().map_or(0, |child| i32::try_from(child.id()).unwrap_or(0))
    }

    /// Whether the process has ended by itself, and how.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        Some(status.to_string())
    }

    /// The resident memory of the process in megabytes: now, and at its peak.
    pub fn memory(&self) -> (u64, u64) {
        let id = self.child.as_ref().map_or(0, Child::id);
        let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let field = |name: &str| {
            let line = status.lines().find(|line| line.starts_with(name));
            let number = line.and_then(|line| line.split_whitespace().nth(1));
            number.and_then(|n| n.parse::<u64>().ok()).unwrap_or(0) / 1024
        };
        (field("VmRSS:"), field("VmHWM:"))
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut socket) = TcpStream::connect_timeout(&self.ready, Duration::from_millis(300)) else {
            return false;
        };
        let _ = socket.set_read_timeout(Some(Duration::from_millis(500)));
        let call = "GET /goldcrestusher/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let mut text = String::new();
        let _ = socket.write_all(call.as_bytes());
        let _ = socket.read_to_string(&mut text);
        text.starts_with("HTTP/1.1 200")
    }

    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;

/// Lets a process run for 18 of each 100 ms, which makes it 5.5 times slower.
pub fn slow_down(process: i32, time: Duration) {
    let send = |signal| {
        if process > 0 {
            // SAFETY: the call takes two numbers.
            unsafe { kill(process, signal) };
        }
    };
    let until = Instant::now() + time;
    while Instant::now() < until {
        std::thread::sleep(Duration::from_millis(18));
        send(SIGSTOP);
        std::thread::sleep(Duration::from_millis(82));
        send(SIGCONT);
    }
}
