//! The cost of gossip membership by fleet size, in virtual time, and its CPU time on this machine.

use std::time::{Duration, Instant};

use goldcrest_decide::fleet::Health;
use goldcrest_fakes::{GossipPlan, GossipWorld};

/// The fleet sizes, in hosts.
const SIZES: [usize; 4] = [8, 128, 1000, 2900];
/// The time to warm up, and the time to measure without changes.
const QUIET_TIME: Duration = Duration::from_secs(20);
/// The longest wait for a change to spread.
const LIMIT: Duration = Duration::from_mins(1);

/// Formats a table of the spread and detection times, bytes and CPU time for each fleet size.
pub fn table() -> String {
    let mut lines = vec![
        "Membership and configuration (12 ms one way, 1% of messages lost)".to_owned(),
        format!(
            "{:<8}{:>16}{:>16}{:>16}{:>16}",
            "hosts", "change all s", "failed all s", "bytes/s host", "µs/s host"
        ),
    ];
    for hosts in SIZES {
        lines.push(line(hosts));
    }
    lines.join("\n") + "\n"
}

fn line(hosts: usize) -> String {
    let mut world = GossipWorld::new(GossipPlan {
        hosts,
        seed: 7,
        latency: Duration::from_millis(12),
        loss: 0.01,
    });
    world.run_for(QUIET_TIME);
    let (_, before) = world.busiest();
    let start = Instant::now();
    world.run_for(QUIET_TIME);
    let spent = start.elapsed().as_secs_f64() * 1e6 / QUIET_TIME.as_secs_f64();
    let (_, after) = world.busiest();
    let bytes = (after - before) / QUIET_TIME.as_secs();
    world.change_configuration(0, 1);
    let change = world.run_until(LIMIT, |w| w.all_have_revision(1));
    world.crash(3);
    let failed = world.run_until(LIMIT, |w| w.all_know(3, Health::Suspect));
    let seconds =
        |t: Option<Duration>| t.map_or("over 60".to_owned(), |t| format!("{:.2}", t.as_secs_f64()));
    #[allow(clippy::cast_precision_loss)]
    let per_host = spent / hosts as f64;
    format!(
        "{hosts:<8}{:>16}{:>16}{bytes:>16}{per_host:>16.1}",
        seconds(change),
        seconds(failed)
    )
}
