//! The typed form of a settings file.

use std::{net::SocketAddr, time::Duration};

use goldcrest_types::{Acknowledge, Consistency, Name};
use serde::{Deserialize, Serialize};

/// A whole settings file.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// This host.
    pub host: HostSettings,
    /// The format and level of logs.
    #[serde(default)]
    pub logs: Logs,
    /// Limits on what clients can use.
    #[serde(default)]
    pub limits: Limits,
    /// The platform's services.
    pub platform: Platform,
    /// The availability zones of hosts and endpoints.
    #[serde(default)]
    pub zones: Vec<Zone>,
    /// Services with their databases.
    pub services: Vec<Service>,
    /// The workspaces that share the endpoints.
    pub workspaces: Vec<Workspace>,
    /// The settings that each of the three presets overrides.
    #[serde(default)]
    pub presets: Presets,
}

/// The settings of one host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostSettings {
    /// Its name, unique in the fleet.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// The address for clients.
    pub callers: SocketAddr,
    /// The address for other hosts.
    pub peers: SocketAddr,
    /// The address for operators, metrics and the load balancer's health check.
    pub health: SocketAddr,
    /// Addresses of hosts through which this host joins the fleet.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The secret that signs session tokens, the same on all hosts.
    pub secret: Name,
    /// The key that operators' requests must carry.
    #[serde(rename = "operators")]
    pub operator_key: Name,
    /// The account with which the host connects to endpoints.
    #[serde(default = "default_account")]
    pub account: Name,
}

/// The platform's table service, object store and host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The address of the platform's HTTP interface.
    pub address: SocketAddr,
}

/// The format and level of logs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Logs {
    /// The format: `plain` or `json`.
    #[serde(rename = "form")]
    pub format: Name,
    /// The least severe level that is written: `error`, `warn`, `info` or `debug`.
    pub level: Name,
}

impl Default for Logs {
    fn default() -> Self {
        Self {
            format: Name::from("plain"),
            level: Name::from("info"),
        }
    }
}

/// Bytes in the settings' unit of memory.
const BYTES_PER_MEGABYTE: u64 = 1_000_000;

/// Limits on what clients can use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The largest number of client sessions on this host.
    pub sessions: usize,
    /// Memory that the process may use, in megabytes of a million bytes. Zero stands for no limit.
    pub memory_mb: u64,
    /// Descriptors that the process may open. Zero stands for no limit.
    pub descriptors: u64,
    /// The largest message of a client, in bytes.
    pub message_bytes: usize,
    /// The largest answer of an endpoint, in bytes.
    pub answer_bytes: usize,
    /// The largest number of prepared statements of one session.
    pub prepared: usize,
    /// The longest time that a request waits before it is sent to an endpoint, in milliseconds.
    pub start_ms: u64,
    /// The timeout of a short request, in milliseconds.
    pub short_ms: u64,
    /// The timeout of a long request, in milliseconds.
    pub long_ms: u64,
    /// The longest idle time inside a transaction, in milliseconds.
    pub idle_ms: u64,
    /// How long sessions may go on after a graceful stop has begun, in milliseconds.
    pub grace_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            sessions: 8000,
            memory_mb: 0,
            descriptors: 0,
            message_bytes: 1 << 20,
            answer_bytes: 8 << 20,
            prepared: 256,
            start_ms: 5_000,
            short_ms: 15_000,
            long_ms: 600_000,
            idle_ms: 60_000,
            grace_ms: 20_000,
        }
    }
}

impl Presets {
    /// Returns the preset with this name, or the ordinary one if the name is unknown.
    #[must_use]
    pub fn named(&self, name: &str) -> &PresetOverrides {
        match name {
            "peak" => &self.peak,
            "maintenance" => &self.maintenance,
            _ => &self.ordinary,
        }
    }
}

impl Limits {
    /// Memory that the process may use in bytes, if it is limited.
    #[must_use]
    pub fn memory(&self) -> Option<u64> {
        let bytes = self.memory_mb.saturating_mul(BYTES_PER_MEGABYTE);
        (bytes > 0).then_some(bytes)
    }

    /// Descriptors that the process may open, if they are limited.
    #[must_use]
    pub fn descriptors(&self) -> Option<u64> {
        (self.descriptors > 0).then_some(self.descriptors)
    }

    /// The longest time that a request waits before it is sent to an endpoint.
    #[must_use]
    pub const fn start(&self) -> Duration {
        Duration::from_millis(self.start_ms)
    }

    /// The timeout of a short request.
    #[must_use]
    pub const fn short(&self) -> Duration {
        Duration::from_millis(self.short_ms)
    }

    /// The timeout of a long request.
    #[must_use]
    pub const fn long(&self) -> Duration {
        Duration::from_millis(self.long_ms)
    }

    /// The longest idle time inside a transaction.
    #[must_use]
    pub const fn idle(&self) -> Duration {
        Duration::from_millis(self.idle_ms)
    }

    /// How long sessions may go on after a graceful stop has begun.
    #[must_use]
    pub const fn grace(&self) -> Duration {
        Duration::from_millis(self.grace_ms)
    }
}

/// An availability zone within a region.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Its name.
    pub name: Name,
    /// Its region.
    pub region: Name,
}

/// A service: a set of databases with the same settings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Its name.
    pub name: Name,
    /// When commits are acknowledged.
    #[serde(default)]
    pub acknowledge: AcknowledgeSetting,
    /// The session consistency of reads.
    #[serde(default)]
    pub reads: ReadsSetting,
    /// Connections to each endpoint, from all hosts together.
    pub connections: usize,
    /// Requests that an endpoint runs at the same time.
    pub slots: u32,
    /// Its databases.
    pub databases: Vec<Database>,
}

/// When commits are acknowledged, as written in settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AcknowledgeSetting {
    /// Once a majority of the endpoints holds the commit.
    #[default]
    Majority,
    /// Once the primary holds the commit and a majority has confirmed the primary's term.
    Primary,
}

impl From<AcknowledgeSetting> for Acknowledge {
    fn from(setting: AcknowledgeSetting) -> Self {
        match setting {
            AcknowledgeSetting::Majority => Self::Majority,
            AcknowledgeSetting::Primary => Self::Primary,
        }
    }
}

/// The session consistency of reads, as written in settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReadsSetting {
    /// Reads see at least what the session wrote.
    #[default]
    OwnWrites,
    /// Reads see at least what the session wrote and what it read before.
    Monotonic,
}

impl From<ReadsSetting> for Consistency {
    fn from(setting: ReadsSetting) -> Self {
        match setting {
            ReadsSetting::OwnWrites => Self::OwnWrites,
            ReadsSetting::Monotonic => Self::Monotonic,
        }
    }
}

/// A database, served by one group of endpoints.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Database {
    /// Its name, as clients give it.
    pub name: Name,
    /// Its endpoints.
    pub endpoints: Vec<Endpoint>,
}

/// One endpoint of a database.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Its name, unique in the fleet.
    pub name: Name,
    /// Its address.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Name,
    /// Whether it is being retired.
    #[serde(default)]
    pub retired: bool,
}

/// A workspace: an account with which clients log in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Its name, which is the account's name.
    pub name: Name,
    /// The account's password. If absent, clients log in without a password.
    #[serde(default)]
    pub password: Option<Name>,
    /// The databases that it may use. If empty, all of them.
    #[serde(default)]
    pub databases: Vec<Name>,
}

/// The presets of a fleet.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Presets {
    /// For ordinary days.
    pub ordinary: PresetOverrides,
    /// For peak load.
    pub peak: PresetOverrides,
    /// For maintenance windows.
    pub maintenance: PresetOverrides,
}

/// The settings that a preset overrides.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PresetOverrides {
    /// When commits are acknowledged, in place of the services' own settings.
    pub acknowledge: Option<AcknowledgeSetting>,
    /// Weights of workspaces in sharing the endpoints; 1 where none is given.
    pub weights: std::collections::BTreeMap<Name, u32>,
    /// Slots of an endpoint that long requests may hold; all but one where none is given.
    #[serde(rename = "long")]
    pub long_slots: Option<u32>,
}

fn default_account() -> Name {
    Name::from("goldcrest")
}
