//! A graceful stop: the balancer is told first, work in hand ends, and nothing is cut.

use std::time::{Duration, Instant};

use compio::time::sleep;
use flume::Sender;
use goldcrest_decide::fleet;
use goldcrest_frontend::{FrontendCommand, FrontendHandle};
use spdlog::info;

use super::{Controller, Phase};

/// How long the balancer may take to see that the host leaves. New callers are served meanwhile.
const BALANCER_NOTICE: Duration = Duration::from_secs(2);

/// The time between two looks at the sessions that are left.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// How long ended sessions may take to close their sockets.
const CLOSE_LIMIT: Duration = Duration::from_secs(1);

impl Controller {
    /// Starts to leave. `done` is told when no session is left, or the time for it is over.
    pub(super) fn begin_stop(&mut self, done: Sender<()>) {
        self.phase = Phase::Leaving;
        self.members.leave();
        self.gossip_step(fleet::Event::Tick);
        let front = self.front.clone();
        let grace = self.settings.limits.grace();
        compio::runtime::spawn(async move {
            wind_down(&front, grace).await;
            // Whoever ordered the stop may be gone.
            let _ = done.send(());
        })
        .detach();
    }
}

async fn wind_down(front: &FrontendHandle, grace: Duration) {
    let start = Instant::now();
    sleep(BALANCER_NOTICE.min(grace)).await;
    front.send(FrontendCommand::Drain);
    // Callers leave by themselves as their balancer moves them; idle ones are told at the end.
    let quiet = grace.saturating_sub(CLOSE_LIMIT);
    while start.elapsed() < quiet && sessions(front).await > 0 {
        sleep(LOOK_EVERY).await;
    }
    front.send(FrontendCommand::Stop);
    while start.elapsed() < grace + CLOSE_LIMIT && sessions(front).await > 0 {
        sleep(LOOK_EVERY).await;
    }
    let left = sessions(front).await;
    info!("{} session(s) left at the end of the stop", left);
}

async fn sessions(front: &FrontendHandle) -> usize {
    let (reply, count) = flume::bounded(1);
    front.send(FrontendCommand::Count(reply));
    count.recv_async().await.unwrap_or(0)
}
