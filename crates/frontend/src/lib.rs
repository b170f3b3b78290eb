//! The side of the proxy that faces callers, in PostgreSQL v3.
//!
//! One task accepts connections and knows every session's cancel key. Each session is a task that
//! owns its socket and its state, and asks the group of its database by message.

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
use goldcrest_types::{SessionCommand, Timestamp};

pub use crate::{
    classify::{Classification, classify},
    error::ClientError,
    token::Signer,
};

/// Why a caller is not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmitError {
    /// There is no such workspace, or its password is wrong.
    Account,
    /// The workspace may not use the database.
    Database,
}

/// Finds the group of a database by its name.
pub type FindGroup = Rc<dyn Fn(&str) -> Option<Sender<SessionCommand>>>;

/// Admits a workspace with its password to a database.
pub type Admit = Rc<dyn Fn(&str, &str, Option<&str>) -> Result<(), AdmitError>>;

/// What the front needs of its host.
#[derive(Clone)]
pub struct FrontendConfig {
    /// Finds the group of a database.
    pub find_group: FindGroup,
    /// Admits a workspace with its password to a database.
    pub admit: Admit,
    /// Whether a workspace needs a password.
    pub needs_password: Rc<dyn Fn(&str) -> bool>,
    /// The host's clock.
    pub now: Rc<dyn Fn() -> Timestamp>,
    /// Signs session tokens.
    pub signer: Signer,
    /// Limits on callers.
    pub limits: ClientLimits,
}

/// Limits on what a caller can use.
#[derive(Debug, Clone, Copy)]
pub struct ClientLimits {
    /// Sessions on this host.
    pub sessions: usize,
    /// The largest message, in bytes.
    pub message_bytes: usize,
    /// Prepared statements of one session.
    pub prepared: usize,
    /// The longest idle time inside a transaction.
    pub idle_timeout: Duration,
    /// The times within which requests start and end.
    pub request_limits: Limits,
}

/// A message to the accepting task.
#[derive(Clone)]
pub enum FrontendCommand {
    /// Let callers in. Until then they are told that the host is starting.
    Admit,
    /// Use these settings for new sessions.
    Update(FrontendConfig),
    /// Refuse new sessions.
    Drain,
    /// End the sessions that are idle, and the others when their transaction ends.
    Stop,
    /// Reply with the number of sessions.
    Count(Sender<usize>),
}

/// The handle of the front's tasks.
#[derive(Clone)]
pub struct FrontendHandle {
    control: Sender<FrontendCommand>,
}

impl FrontendHandle {
    /// Sends a message to the accepting task.
    pub fn send(&self, control: FrontendCommand) {
        // The accepting task ends only with its host.
        let _ = self.control.send(control);
    }
}

/// Starts the front on this thread's runtime.
#[must_use]
pub fn start(listener: TcpListener, front: FrontendConfig) -> FrontendHandle {
    let (control, inbox) = flume::unbounded();
    compio::runtime::spawn(accept::run(listener, front, inbox)).detach();
    FrontendHandle { control }
}
