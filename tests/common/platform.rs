//! The platform's stand-ins on a thread of their own, and hosts as processes.

use std::{
    fs::File,
    net::SocketAddr,
    path::Path,
    process::{Child, Command, Stdio},
    sync::mpsc,
    thread,
};

use goldcrest_standin::{Group, Store};

/// The endpoints of the group. The first one leads.
pub const ENDPOINTS: [&str; 3] = ["e-1", "e-2", "e-3"];

/// Connections that all endpoints accept together.
const CONNECTION_LIMIT: usize = 64;

/// What the stand-ins' thread owns.
pub struct World {
    pub group: Group,
    /// The store of each host.
    pub stores: Vec<Store>,
    /// Statements that each endpoint runs concurrently.
    slots: u32,
}

impl World {
    /// Registers the endpoints in the stores.
    pub fn register(&self) {
        let slots = format!("\"Slots\":{}", self.slots);
        for id in ENDPOINTS {
            let entry = String::from_utf8(self.group.entry(id).unwrap()).unwrap();
            let entry = entry.replace("\"Slots\":2", &slots);
            for store in &self.stores {
                store.put("servers", id, entry.as_bytes());
            }
        }
    }
}

type Call = Box<dyn FnOnce(&World) + Send>;

/// The hosts and endpoints of a test.
pub struct Site<'a> {
    /// The address of the stand-ins.
    pub ip: &'a str,
    /// The operator's configuration.
    pub configuration: &'a str,
    /// Statements that each endpoint runs concurrently.
    pub slots: u32,
    /// The address and the capacity of each host. If there are two, each has a store of its own with
    /// the rows of both.
    pub hosts: &'a [(&'a str, f64)],
}

/// A handle to the stand-ins.
pub struct Standins {
    calls: flume::Sender<Call>,
    /// The addresses of the hosts' stores.
    pub stores: Vec<SocketAddr>,
}

impl Standins {
    /// Starts the stand-ins of a site.
    pub fn start(site: &Site<'_>) -> Self {
        let (calls, received) = flume::unbounded::<Call>();
        let (started, stores) = mpsc::channel();
        let (ip, slots) = (site.ip.to_owned(), site.slots);
        let configuration = site.configuration.to_owned();
        let host_rows: Vec<_> = site.hosts.iter().map(|(ip, c)| host_row(ip, *c)).collect();
        thread::spawn(move || {
            compio::runtime::Runtime::new().unwrap().block_on(async {
                let world = start_world(&ip, slots, &configuration, &host_rows).await;
                let addresses = world.stores.iter().map(|store| store.address);
                started.send(addresses.collect()).unwrap();
                while let Ok(call) = received.recv_async().await {
                    call(&world);
                }
            });
        });
        let stores = stores.recv().unwrap();
        Self { calls, stores }
    }

    /// Runs a question on the stand-ins' thread.
    pub fn ask<F, T>(&self, question: F) -> T
    where
        F: FnOnce(&World) -> T + Send + 'static,
        T: Send + 'static,
    {
        let (reply, replied) = mpsc::channel();
        let call = move |world: &World| reply.send(question(world)).unwrap();
        self.calls.send(Box::new(call)).unwrap();
        replied.recv().unwrap()
    }
}

async fn start_world(ip: &str, slots: u32, configuration: &str, hosts: &[String]) -> World {
    let group = Group::start(ip, "svc", &ENDPOINTS, CONNECTION_LIMIT)
        .await
        .unwrap();
    let mut stores = Vec::new();
    for _ in hosts {
        let store = Store::start(ip, vec![group.clone()]).await.unwrap();
        store.put("op", "config", configuration.as_bytes());
        if hosts.len() > 1 {
            for (number, row) in hosts.iter().enumerate() {
                store.put("hosts", &host_name(number), row.as_bytes());
            }
        }
        stores.push(store);
    }
    let world = World {
        group,
        stores,
        slots,
    };
    world.register();
    world
}

/// A row in the table of hosts that never expires.
pub fn host_row(ip: &str, capacity: f64) -> String {
    let until = u64::MAX;
    format!(
        r#"{{"until":{until},"needs":{{}},"contact":{{"region":"a","address":"{ip}:7440","capacity":{capacity}}}}}"#
    )
}

pub fn host_name(number: usize) -> String {
    format!("host-{}", number + 1)
}

/// Where the output of a host goes.
#[derive(Debug, Clone, Copy, Default)]
pub enum Output<'a> {
    /// Nowhere.
    #[default]
    Dropped,
    /// Into this file, with log lines of all levels.
    AllTo(&'a Path),
}

/// What differs in the settings and the output of a host.
#[derive(Debug, Clone, Copy, Default)]
pub struct HostOptions<'a> {
    /// The first lines of its settings.
    pub first: &'a str,
    /// Further limits in its settings.
    pub limits: &'a str,
    /// Where its output goes.
    pub output: Output<'a>,
}

/// The process of a host.
pub struct HostProcess {
    /// The process.
    pub child: Child,
    /// Where it listens for clients.
    pub frontend: SocketAddr,
    _settings: tempfile::TempDir,
}

impl HostProcess {
    /// Starts a host of a site.
    pub fn start(site: &Site<'_>, number: usize, store: SocketAddr, grace_s: u64) -> Self {
        Self::start_with(site, number, store, grace_s, HostOptions::default())
    }

    /// The same with options.
    pub fn start_with(
        site: &Site<'_>,
        number: usize,
        store: SocketAddr,
        grace_s: u64,
        options: HostOptions<'_>,
    ) -> Self {
        let HostOptions {
            first,
            limits,
            output,
        } = options;
        let (ip, capacity) = site.hosts[number];
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("local.toml");
        let settings = format!(
            r#"{first}
NodeName = "{name}"
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
CpuShare = {capacity:?}
{limits}
[Bounds]
DrainMs = 7000
GraceS = {grace_s}
[platform]
Address = "{store}"
[CloudApi]
Address = "{store}"
"#,
            name = host_name(number),
        );
        std::fs::write(&path, settings).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_goldcrestusher"));
        command.arg("platform").stdin(Stdio::null());
        command.env("GOLDCRESTUSHER_CONFIG", &path);
        match output {
            Output::Dropped => command.stdout(Stdio::null()),
            Output::AllTo(log) => {
                let file = File::create(log).unwrap();
                let errors = file.try_clone().unwrap();
                command.args(["--log", "debug"]).stdout(file).stderr(errors)
            }
        };
        let child = command.spawn().unwrap();
        Self {
            child,
            frontend: format!("{ip}:8784").parse().unwrap(),
            _settings: folder,
        }
    }
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
