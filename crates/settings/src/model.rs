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
    /// Logging.
    #[serde(default)]
    pub logs: Logs,
    /// Limits on what a caller can use.
    #[serde(default)]
    pub limits: Limits,
    /// The platform's services.
    pub platform: Platform,
    /// The availability zones where hosts and endpoints stand.
    #[serde(default)]
    pub zones: Vec<Zone>,
    /// Services with their databases.
    pub services: Vec<Service>,
    /// The workspaces that share the endpoints.
    pub workspaces: Vec<Workspace>,
    /// The three presets.
    #[serde(default)]
    pub presets: Presets,
}

/// One host of the system.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostSettings {
    /// Its name, unique in the fleet.
    pub name: Name,
    /// Where it stands.
    pub zone: Name,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where other hosts and operators connect.
    pub peers: SocketAddr,
    /// Where metrics and the balancer's health page are served.
    pub health: SocketAddr,
    /// Hosts to ask first for the others.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The secret that signs session tokens, the same on all hosts.
    pub secret: Name,
    /// The key that operators' calls must carry.
    pub operators: Name,
    /// The account on endpoints.
    #[serde(default = "default_account")]
    pub account: Name,
}

/// The platform's table service, object store and host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The address of the service's HTTP interface.
    pub address: SocketAddr,
}

/// How logs are written.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Logs {
    /// `plain` or `json`.
    pub form: Name,
    /// `error`, `warn`, `info` or `debug`.
    pub level: Name,
}

impl Default for Logs {
    fn default() -> Self {
        Self {
            form: Name::from("plain"),
            level: Name::from("info"),
        }
    }
}

/// Limits on everything that a caller can grow.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Caller sessions on this host.
    pub sessions: usize,
    /// The largest message of a caller, in bytes.
    pub message_bytes: usize,
    /// The largest answer, in bytes.
    pub answer_bytes: usize,
    /// Prepared statements of one session.
    pub prepared: usize,
    /// The longest wait of a request before it is sent, in milliseconds.
    pub start_ms: u64,
    /// The longest time of a short request, in milliseconds.
    pub short_ms: u64,
    /// The longest time of a long request, in milliseconds.
    pub long_ms: u64,
    /// The longest idle time inside a transaction, in milliseconds.
    pub idle_ms: u64,
    /// The time for a graceful stop, in milliseconds.
    pub grace_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            sessions: 8000,
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
    /// The preset of a name; an ordinary day's for an unknown one.
    #[must_use]
    pub fn named(&self, name: &str) -> &Preset {
        match name {
            "peak" => &self.peak,
            "maintenance" => &self.maintenance,
            _ => &self.ordinary,
        }
    }
}

impl Limits {
    /// The longest wait before a request is sent.
    #[must_use]
    pub const fn start(&self) -> Duration {
        Duration::from_millis(self.start_ms)
    }

    /// The longest time of a short request.
    #[must_use]
    pub const fn short(&self) -> Duration {
        Duration::from_millis(self.short_ms)
    }

    /// The longest time of a long request.
    #[must_use]
    pub const fn long(&self) -> Duration {
        Duration::from_millis(self.long_ms)
    }

    /// The longest idle time inside a transaction.
    #[must_use]
    pub const fn idle(&self) -> Duration {
        Duration::from_millis(self.idle_ms)
    }

    /// The time for a graceful stop.
    #[must_use]
    pub const fn grace(&self) -> Duration {
        Duration::from_millis(self.grace_ms)
    }
}

/// A availability zone: an availability zone within a region.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Its name.
    pub name: Name,
    /// Its region.
    pub region: Name,
}

/// A service: databases with the same settings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Its name.
    pub name: Name,
    /// When commits are acknowledged.
    #[serde(default)]
    pub acknowledge: AcknowledgeSetting,
    /// What reads never go back behind.
    #[serde(default)]
    pub reads: ReadsSetting,
    /// Connections that an endpoint takes, from all hosts together.
    pub connections: usize,
    /// Requests that an endpoint runs at once.
    pub slots: u32,
    /// Its databases.
    pub databases: Vec<Database>,
}

/// When commits are acknowledged, as settings spell it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AcknowledgeSetting {
    /// A majority holds the commit.
    #[default]
    Majority,
    /// The primary holds the commit, and a majority confirmed its term.
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

/// What reads never go back behind, as settings spell it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReadsSetting {
    /// What the session wrote.
    #[default]
    OwnWrites,
    /// What the session wrote and read.
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

/// A database: one group of endpoints.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Database {
    /// Its name, as callers give it.
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
    /// Where it stands.
    pub zone: Name,
    /// Whether it is being retired.
    #[serde(default)]
    pub retired: bool,
}

/// A workspace: an account of callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Its name, which is the account's name.
    pub name: Name,
    /// The account's password. Without one, callers are trusted.
    #[serde(default)]
    pub password: Option<Name>,
    /// The databases that it may use. Without any, all.
    #[serde(default)]
    pub databases: Vec<Name>,
}

/// The presets of a fleet.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Presets {
    /// An ordinary day.
    pub ordinary: Preset,
    /// A peak.
    pub peak: Preset,
    /// A maintenance window.
    pub maintenance: Preset,
}

/// What a preset changes.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Preset {
    /// When commits are acknowledged, in place of what each service says.
    pub acknowledge: Option<AcknowledgeSetting>,
    /// Weights of workspaces; 1 where none is given.
    pub weights: std::collections::BTreeMap<Name, u32>,
    /// Slots of an endpoint that long work may hold; all but one where none is given.
    pub long: Option<u32>,
}

fn default_account() -> Name {
    Name::from("goldcrest")
}
