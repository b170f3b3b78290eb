//! Helpers for tests over sockets: a fleet on loopback, host processes and PostgreSQL clients.

#![allow(dead_code)]

pub mod line_client;
pub mod platform;

use std::{net::SocketAddr, time::Duration};

use goldcrest_demo::{FleetThread, built_in_settings};
use goldcrest_settings::Settings;
use goldcrest_standins::{database::Fault, faults::Target, platform::PlatformFault};
use tokio::runtime::Runtime;
use tokio_postgres::{Client, Config, Error, NoTls, SimpleQueryMessage};

/// How long a test waits for a condition that must come true.
pub const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// Starts a fleet with the demo's settings.
pub fn fleet(hosts: u16) -> FleetThread {
    fleet_with(hosts, |_| {})
}

/// Starts a fleet with changed settings.
pub fn fleet_with<F>(hosts: u16, change: F) -> FleetThread
where
    F: FnOnce(&mut Settings),
{
    let mut settings = built_in_settings().unwrap();
    change(&mut settings);
    FleetThread::start(settings, hosts).unwrap()
}

/// Switches a fault of the endpoint or host with this name.
pub fn inject_fault(fleet: &FleetThread, name: &str, fault: Fault) {
    assert!(fleet.set_fault(Target::Node(name.into(), fault)));
}

/// Switches a fault of the platform.
pub fn inject_platform_fault(fleet: &FleetThread, fault: PlatformFault) {
    assert!(fleet.set_fault(Target::Platform(fault)));
}

/// Runs a test's client code on its own runtime.
pub fn run_client<F, T>(work: F) -> T
where
    F: Future<Output = T>,
{
    let runtime: Runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(work)
}

/// Connects to a host as a workspace.
pub async fn connect(address: SocketAddr, workspace: &str, database: &str) -> Client {
    connect_with(address, workspace, database, "")
        .await
        .unwrap()
}

/// Connects to a host as a workspace, with start-up options.
pub async fn connect_with(
    address: SocketAddr,
    workspace: &str,
    database: &str,
    options: &str,
) -> Result<Client, Error> {
    let mut config = Config::new();
    config
        .host(address.ip().to_string())
        .port(address.port())
        .user(workspace)
        .dbname(database);
    if !options.is_empty() {
        config.options(options);
    }
    let (client, connection) = config.connect(NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

/// Runs a simple query and returns its rows as text.
pub async fn rows(client: &Client, sql: &str) -> Result<Vec<Vec<String>>, Error> {
    let messages = client.simple_query(sql).await?;
    let rows = messages.into_iter().filter_map(|m| match m {
        SimpleQueryMessage::Row(row) => Some(
            (0..row.len())
                .map(|i| row.get(i).unwrap_or("NULL").to_owned())
                .collect(),
        ),
        _ => None,
    });
    Ok(rows.collect())
}

/// Runs a simple query and returns the first column of the first row.
pub async fn first_value(client: &Client, sql: &str) -> String {
    rows(client, sql).await.unwrap()[0][0].clone()
}

/// Returns the SQLSTATE of an error.
pub fn sqlstate(error: &Error) -> String {
    error
        .code()
        .map_or_else(|| "no code".to_owned(), |c| c.code().to_owned())
}

/// Repeats a check until it returns true, and panics if that takes longer than [`WAIT_LIMIT`].
pub async fn eventually<F, R>(mut check: F)
where
    F: FnMut() -> R,
    R: Future<Output = bool>,
{
    let start = std::time::Instant::now();
    while !check().await {
        assert!(
            start.elapsed() < WAIT_LIMIT,
            "the condition did not hold in time"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// A host that runs as a separate process.
pub struct ServeProcess {
    /// The host's settings.
    pub settings: Settings,
    child: std::process::Child,
    _directory: tempfile::TempDir,
}

impl ServeProcess {
    /// Starts host number `number` of a fleet.
    pub fn start(fleet: &FleetThread, number: u16) -> Self {
        let mut settings = goldcrest_demo::host_settings(&fleet.settings, number);
        settings.logs.level = "info".into();
        Self::start_with(settings)
    }

    /// Starts a host with these settings.
    pub fn start_with(settings: Settings) -> Self {
        let directory = tempfile::tempdir().unwrap();
        let file = directory.path().join("host.toml");
        std::fs::write(&file, toml::to_string(&settings).unwrap()).unwrap();
        let child = std::process::Command::new(env!("CARGO_BIN_EXE_goldcrestusher"))
            .args(["serve", "--settings"])
            .arg(&file)
            .stderr(std::process::Stdio::null())
            .spawn()
            .unwrap();
        Self {
            settings,
            child,
            _directory: directory,
        }
    }

    /// The id of the host's process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends the host a signal to stop gracefully.
    pub fn terminate(&mut self) {
        let id = self.child.id().to_string();
        let status = std::process::Command::new("kill")
            .args(["-TERM", &id])
            .status()
            .unwrap();
        assert!(status.success());
    }

    /// Kills the host's process.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Whether the host's process has exited.
    pub fn has_exited(&mut self) -> bool {
        self.child.try_wait().unwrap().is_some()
    }
}

impl Drop for ServeProcess {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Runs an operator's command against a host. Returns the exit code and the output.
pub fn operate(host: &Settings, words: &[&str]) -> (i32, String) {
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_goldcrestusher"))
        .args(words)
        .args(["--at", &host.host.health.to_string()])
        .args(["--key", &host.host.operator_key])
        .env("USER", "tester")
        .output()
        .unwrap();
    let text = if output.status.success() {
        output.stdout
    } else {
        output.stderr
    };
    let text = String::from_utf8_lossy(&text).into_owned();
    (output.status.code().unwrap_or(-1), text)
}

/// Returns a host's status, or `None` if the command fails.
pub fn status(host: &Settings) -> Option<goldcrest_operators::HostStatus> {
    let (code, text) = operate(host, &["status", "--json"]);
    (code == 0).then(|| serde_json::from_str(&text).unwrap())
}
