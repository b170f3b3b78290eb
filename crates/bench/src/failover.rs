//! The failover gap, which is the longest time without an acknowledged write, in virtual time.

use std::time::Duration;

use goldcrest_fakes::{Fault, World, WorldPlan};

/// The number of runs for each fault.
const SEEDS: u64 = 20;

/// The faults that cause a failover.
const CASES: [(&str, Fault); 4] = [
    ("process crash", Fault::PrimaryDown),
    ("network partition", Fault::PrimaryCut),
    ("paused", Fault::PrimaryPaused),
    ("crash, table down", Fault::PrimaryDownTableDown),
];

/// Formats a table of the gap for each fault.
pub fn table() -> String {
    let mut lines = vec![
        "Failover gap, ms (20 seeds each; target 8000, aim 2000)".to_owned(),
        format!("{:<22}{:>8}{:>8}{:>8}", "fault", "least", "median", "most"),
    ];
    for (name, fault) in CASES {
        let mut gaps: Vec<u128> = (0..SEEDS).map(|seed| gap(fault, seed)).collect();
        gaps.sort_unstable();
        let (least, most) = (gaps[0], gaps[gaps.len() - 1]);
        let median = gaps[gaps.len() / 2];
        lines.push(format!("{name:<22}{least:>8}{median:>8}{most:>8}"));
    }
    lines.join("\n") + "\n"
}

fn gap(fault: Fault, seed: u64) -> u128 {
    let mut world = World::new(WorldPlan {
        seed,
        ..WorldPlan::default()
    });
    world.run_for(Duration::from_secs(1));
    world.inject_after(Duration::from_millis(seed * 13), fault);
    world.run_for(Duration::from_secs(10));
    world.longest_gap().as_millis()
}
