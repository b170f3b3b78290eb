//! The Tokio timer that `tarpc` needs for its deadlines.

use std::{io, thread};

use tokio::runtime::{Builder, EnterGuard, Handle};

/// A Tokio runtime on a thread of its own that runs timers only. The thread sleeps between them.
#[derive(Debug, Clone)]
pub struct Timer {
    handle: Handle,
}

impl Timer {
    /// Starts the timer's thread.
    ///
    /// # Errors
    ///
    /// When the runtime can't be built.
    pub fn start() -> io::Result<Self> {
        let runtime = Builder::new_current_thread().enable_time().build()?;
        let handle = runtime.handle().clone();
        thread::Builder::new()
            .name("timer".to_owned())
            .spawn(move || runtime.block_on(std::future::pending::<()>()))?;
        Ok(Self { handle })
    }

    /// Makes the timer available to the current thread until the guard is dropped.
    pub fn enter(&self) -> EnterGuard<'_> {
        self.handle.enter()
    }
}
