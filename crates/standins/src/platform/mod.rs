//! A stand-in for the platform: a transactional table service, an object store and a host list that
//! is updated with a delay, over HTTP and JSON.

mod routes;
mod state;

use std::{io, net::SocketAddr, time::Duration};

use compio::net::TcpListener;
use flume::Sender;

use self::state::{Call, State};

/// A fault of the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlatformFault {
    /// Calls take no effect and are not answered.
    Down,
    /// Each call is delayed by this much.
    Slow(Duration),
    /// Writes take effect, but are not answered.
    AnswerLost,
    /// No fault.
    None,
}

/// A handle to the platform, for setting faults.
#[derive(Debug, Clone)]
pub struct PlatformHandle {
    calls: Sender<Call>,
}

impl PlatformHandle {
    /// Sets the current fault.
    pub fn set_fault(&self, fault: PlatformFault) {
        // Sending fails only after the platform has stopped.
        let _ = self.calls.send(Call::Fault(fault));
    }
}

/// Starts the platform on this thread's runtime. Changes appear in its host list after `lag`.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn start(address: SocketAddr, lag: Duration) -> io::Result<PlatformHandle> {
    let listener = TcpListener::bind(address).await?;
    let (calls, inbox) = flume::unbounded();
    compio::runtime::spawn(State::new(lag).run(inbox)).detach();
    let router = routes::router(calls.clone());
    compio::runtime::spawn(async move {
        if let Err(error) = cyper_axum::serve(listener, router).await {
            spdlog::error!("the platform's HTTP interface has stopped: {}", error);
        }
    })
    .detach();
    Ok(PlatformHandle { calls })
}
