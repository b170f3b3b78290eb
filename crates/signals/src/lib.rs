//! Watches for signals for as long as the process runs.
//!
//! The runtime restores a signal's default action, which ends the process, whenever no listener for it
//! is left. One listener is therefore kept that is never used up.

use std::{io, task::Poll};

use compio::signal::unix::signal;
use flume::{Receiver, Sender};
use futures_util::{pin_mut, poll};
use spdlog::error;

/// The number of the signal that asks a process to reload its settings.
pub const SIGHUP: i32 = 1;

/// The number of the signal of an interrupt from the terminal.
pub const SIGINT: i32 = 2;

/// The number of the signal that asks a process to stop.
pub const SIGTERM: i32 = 15;

/// Reports that a signal has arrived.
#[derive(Debug)]
pub struct Watch(Receiver<()>);

impl Watch {
    /// Waits for the next signal. Signals that arrive before the last one was handled count once.
    pub async fn received(&self) {
        // The task that watches runs as long as the process.
        let _ = self.0.recv_async().await;
    }
}

/// Watches for a signal from now on.
///
/// # Errors
///
/// When the signal can't be watched.
pub async fn watch(number: i32) -> io::Result<Watch> {
    let (arrived, signals) = flume::bounded(1);
    let (registered, result) = flume::bounded(1);
    compio::runtime::spawn(forward(number, arrived, registered)).detach();
    // The task reports before anything else.
    let failed = || io::Error::other("the task that watches for the signal has ended");
    result.recv_async().await.map_err(|_| failed())??;
    Ok(Watch(signals))
}

async fn forward(number: i32, arrived: Sender<()>, registered: Sender<io::Result<()>>) {
    let kept = signal(number);
    pin_mut!(kept);
    // A listener is registered when it is polled first.
    let state = match poll!(&mut kept) {
        Poll::Ready(Err(error)) => Err(error),
        _ => Ok(()),
    };
    // The caller waits for it.
    let _ = registered.send(state);
    loop {
        if let Err(error) = signal(number).await {
            return error!("signal {} is no longer watched: {}", number, error);
        }
        // A full channel already holds a signal.
        let _ = arrived.try_send(());
    }
}
