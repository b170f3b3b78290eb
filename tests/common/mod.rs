//! A fleet and real clients for tests on sockets.

#![allow(dead_code)]

use std::{net::SocketAddr, time::Duration};

use goldcrest_demo::{FleetThread, built_in};
use goldcrest_settings::Settings;
use goldcrest_standins::{database::Fault, faults::Target, platform::PlatformFault};
use tokio::runtime::Runtime;
use tokio_postgres::{Client, Config, Error, NoTls, SimpleQueryMessage};

/// How long a test waits for something that must happen.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// Starts a fleet with the demo's settings.
pub fn fleet(hosts: u16) -> FleetThread {
    fleet_with(hosts, |_| {})
}

/// Starts a fleet with changed settings.
pub fn fleet_with<F>(hosts: u16, change: F) -> FleetThread
where
    F: FnOnce(&mut Settings),
{
    let mut settings = built_in().unwrap();
    change(&mut settings);
    FleetThread::start(settings, hosts).unwrap()
}

/// Switches a fault of an endpoint.
pub fn fault(fleet: &FleetThread, endpoint: &str, fault: Fault) {
    assert!(fleet.switch(Target::Node(endpoint.into(), fault)));
}

/// Switches a fault of the platform.
pub fn platform_fault(fleet: &FleetThread, fault: PlatformFault) {
    assert!(fleet.switch(Target::Platform(fault)));
}

/// Runs a test's client side on a runtime of its own.
pub fn client_side<F, T>(work: F) -> T
where
    F: Future<Output = T>,
{
    let runtime: Runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(work)
}

/// Connects as a workspace.
pub async fn connect(address: SocketAddr, workspace: &str, database: &str) -> Client {
    connect_with(address, workspace, database, "")
        .await
        .unwrap()
}

/// Connects with start-up options.
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

/// The first column of the first row.
pub async fn one(client: &Client, sql: &str) -> String {
    rows(client, sql).await.unwrap()[0][0].clone()
}

/// The SQLSTATE of an error.
pub fn code(error: &Error) -> String {
    error
        .code()
        .map_or_else(|| "no code".to_owned(), |c| c.code().to_owned())
}

/// Repeats a check until it holds.
pub async fn eventually<F, R>(mut check: F)
where
    F: FnMut() -> R,
    R: Future<Output = bool>,
{
    let start = std::time::Instant::now();
    while !check().await {
        assert!(start.elapsed() < PATIENCE, "it did not happen in time");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// A host as a process of its own.
pub struct ServeProcess {
    /// Its settings.
    pub settings: Settings,
    child: std::process::Child,
    _directory: tempfile::TempDir,
}

impl ServeProcess {
    /// Starts a host that joins a fleet, as number `number`.
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

    /// Asks the host to stop gracefully.
    pub fn terminate(&mut self) {
        let id = self.child.id().to_string();
        let status = std::process::Command::new("kill")
            .args(["-TERM", &id])
            .status()
            .unwrap();
        assert!(status.success());
    }

    /// Kills the host.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Whether the host has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().unwrap().is_some()
    }
}

impl Drop for ServeProcess {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Runs an operator's command against a host. Returns its exit code and what it printed.
pub fn operate(host: &Settings, words: &[&str]) -> (i32, String) {
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_goldcrestusher"))
        .args(words)
        .args(["--at", &host.host.health.to_string()])
        .args(["--key", &host.host.operators])
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

/// A host's account of itself.
pub fn status(host: &Settings) -> Option<goldcrest_operators::HostStatus> {
    let (code, text) = operate(host, &["status", "--json"]);
    (code == 0).then(|| serde_json::from_str(&text).unwrap())
}
