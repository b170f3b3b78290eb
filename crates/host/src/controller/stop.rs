//! Graceful stop: the load balancer is notified first, then each session is closed once it has no
//! open transaction, within the grace time.

use std::time::{Duration, Instant};

use compio::time::sleep;
use flume::Sender;
use goldcrest_decide::fleet;
use goldcrest_frontend::{FrontendCommand, FrontendHandle};
use spdlog::info;

use super::{Controller, Phase};

/// How long the load balancer may take to notice that the host leaves. New clients are accepted
/// until then.
const BALANCER_DELAY: Duration = Duration::from_secs(2);

/// The time between two checks of the number of open sessions.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How long ended sessions may take to close their sockets.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

impl Controller {
    /// Starts a graceful stop. Notifies `done` when no session is left, or the grace time is over.
    pub(super) fn begin_stop(&mut self, done: Sender<()>) {
        self.phase = Phase::Leaving;
        self.members.leave();
        self.gossip_step(fleet::Event::Tick);
        let frontend = self.frontend.clone();
        let grace = self.settings.limits.grace();
        compio::runtime::spawn(async move {
            drain_sessions(&frontend, grace).await;
            // The receiver may have been dropped.
            let _ = done.send(());
        })
        .detach();
    }
}

async fn drain_sessions(frontend: &FrontendHandle, grace: Duration) {
    let start = Instant::now();
    sleep(BALANCER_DELAY.min(grace)).await;
    frontend.send(FrontendCommand::Drain);
    // The load balancer moves clients to other hosts, and their sessions end. The remaining
    // sessions are closed once they have no open transaction.
    let drain_time = grace.saturating_sub(CLOSE_TIMEOUT);
    while start.elapsed() < drain_time && open_sessions(frontend).await > 0 {
        sleep(POLL_INTERVAL).await;
    }
    frontend.send(FrontendCommand::Stop);
    while start.elapsed() < grace + CLOSE_TIMEOUT && open_sessions(frontend).await > 0 {
        sleep(POLL_INTERVAL).await;
    }
    let left = open_sessions(frontend).await;
    info!(
        "{} session(s) still open at the end of the graceful stop",
        left
    );
}

async fn open_sessions(frontend: &FrontendHandle) -> usize {
    let (reply, count) = flume::bounded(1);
    frontend.send(FrontendCommand::Count(reply));
    count.recv_async().await.unwrap_or(0)
}
