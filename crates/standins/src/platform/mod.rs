//! The platform: a transactional table service, an object store and a lagging host list, over HTTP
//! and JSON.

mod routes;
mod state;

use std::{io, net::SocketAddr, time::Duration};

use compio::net::TcpListener;
use flume::Sender;

use self::state::{Call, State};

/// A fault of the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlatformFault {
    /// No call is answered or takes effect.
    Down,
    /// Each call takes this long.
    Slow(Duration),
    /// Writes take effect, and their answers are lost.
    AnswerLost,
    /// No fault.
    None,
}

/// The handle of the platform. It ends when it is dropped.
#[derive(Debug, Clone)]
pub struct PlatformHandle {
    calls: Sender<Call>,
}

impl PlatformHandle {
    /// Switches a fault.
    pub fn set_fault(&self, fault: PlatformFault) {
        // A platform that has ended has no faults.
        let _ = self.calls.send(Call::Fault(fault));
    }
}

/// Starts the platform on this thread's runtime. Its host list lags by `lag`.
///
/// # Errors
///
/// The error of binding the address.
pub async fn start(address: SocketAddr, lag: Duration) -> io::Result<PlatformHandle> {
    let listener = TcpListener::bind(address).await?;
    let (calls, inbox) = flume::unbounded();
    compio::runtime::spawn(State::new(lag).run(inbox)).detach();
    let router = routes::router(calls.clone());
    compio::runtime::spawn(async move {
        if let Err(error) = cyper_axum::serve(listener, router).await {
            spdlog::error!("the platform stopped: {}", error);
        }
    })
    .detach();
    Ok(PlatformHandle { calls })
}
