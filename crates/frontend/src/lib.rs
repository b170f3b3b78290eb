//! The PostgreSQL v3 front end, which serves the clients of the proxy.
//!
//! One task accepts connections and holds the cancel key of every session. Each session is a task
//! that owns its socket and its state, and sends its requests to the group task of its database.

mod accept;
mod batch;
mod classify;
mod error;
mod local;
mod query;
mod refusals;
mod rewrite;
mod session;
mod startup;
mod token;

use std::{rc::Rc, time::Duration};

use compio::net::TcpListener;
use flume::Sender;
use goldcrest_decide::session::Limits;
use goldcrest_stream::budget::HostBudget;
use goldcrest_types::{SessionCommand, Timestamp};

pub use crate::{
    classify::{Classification, classify},
    error::ClientError,
    token::Signer,
};

/// Why a client is not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmitError {
    /// The workspace does not exist, or the password is wrong.
    Authentication,
    /// The workspace may not use the database.
    Forbidden,
}

/// Looks up the command channel of a database's group by the database's name.
pub type FindGroup = Rc<dyn Fn(&str) -> Option<Sender<SessionCommand>>>;

/// Decides whether a workspace (first argument) with a password (third) may use a database
/// (second).
pub type Admit = Rc<dyn Fn(&str, &str, Option<&str>) -> Result<(), AdmitError>>;

/// The settings and host functions that the front end runs with.
#[derive(Clone)]
pub struct FrontendConfig {
    /// Looks up the group of a database.
    pub find_group: FindGroup,
    /// Decides whether a workspace may use a database.
    pub admit: Admit,
    /// Whether a workspace must give a password.
    pub needs_password: Rc<dyn Fn(&str) -> bool>,
    /// Reads the host's monotonic clock.
    pub now: Rc<dyn Fn() -> Timestamp>,
    /// Signs and verifies session tokens.
    pub signer: Signer,
    /// Limits on what clients can use.
    pub limits: ClientLimits,
}

/// Limits on what clients can use.
#[derive(Debug, Clone, Copy)]
pub struct ClientLimits {
    /// The largest number of sessions on this host.
    pub sessions: usize,
    /// The largest size of a message or of an extended-protocol batch, in bytes.
    pub message_bytes: usize,
    /// The largest number of prepared statements in one session.
    pub prepared: usize,
    /// How long a session may be idle inside a transaction before the transaction is rolled back
    /// and the connection closed.
    pub idle_timeout: Duration,
    /// The time limits for the start and the end of a request.
    pub request_limits: Limits,
}

/// A command to the task that accepts connections.
#[derive(Clone)]
pub enum FrontendCommand {
    /// Start to admit clients. Until then they are refused because the host is starting.
    Admit,
    /// Use this configuration for new sessions.
    Update(FrontendConfig),
    /// Refuse new sessions and leave the open ones alone.
    Drain,
    /// Refuse new sessions and close each open one as soon as it has no open transaction.
    Stop,
    /// Reply with the number of open sessions.
    Count(Sender<usize>),
}

/// A handle to the front end's tasks.
#[derive(Clone)]
pub struct FrontendHandle {
    commands: Sender<FrontendCommand>,
}

impl FrontendHandle {
    /// Sends a command to the accepting task.
    pub fn send(&self, command: FrontendCommand) {
        // The accepting task runs as long as the host.
        let _ = self.commands.send(command);
    }
}

/// Starts the front end on this thread's runtime.
///
/// What clients make the host hold is counted in `budget`.
#[must_use]
pub fn start(listener: TcpListener, config: FrontendConfig, budget: HostBudget) -> FrontendHandle {
    let (commands, receiver) = flume::unbounded();
    compio::runtime::spawn(accept::run(listener, config, budget, receiver)).detach();
    FrontendHandle { commands }
}
