//! The share of reads served by replicas, in virtual time.

use std::{collections::BTreeSet, time::Duration};

use goldcrest_fakes::{Op, World, WorldPlan};
use goldcrest_types::Consistency;

/// The replication lags, in milliseconds.
const LAGS_MS: [u64; 4] = [0, 50, 500, 5000];

/// The mixes of 20 and of 4 reads per write, each with its probability of a read.
const MIXES: [(&str, f64); 2] = [("20:1", 20.0 / 21.0), ("4:1", 4.0 / 5.0)];

/// Formats a table of the share for each lag, mix and session guarantee, with and without tokens.
pub fn table() -> String {
    let mut lines = vec![
        "Share of reads served by replicas, %".to_owned(),
        format!(
            "{:<8}{:<8}{:<8}{:<12}{:>8}{:>12}{:>10}",
            "lag ms", "mix", "tokens", "reads", "share", "of allowed", "baseline"
        ),
    ];
    for lag in LAGS_MS {
        for (mix, read_share) in MIXES {
            for consistency in [Consistency::OwnWrites, Consistency::Monotonic] {
                for tokens in [true, false] {
                    lines.push(line(lag, mix, read_share, tokens, consistency));
                }
            }
        }
    }
    lines.push("baseline: a session stays with the primary after its first write".to_owned());
    lines.join("\n") + "\n"
}

fn line(lag: u64, mix: &str, read_share: f64, tokens: bool, consistency: Consistency) -> String {
    let mut world = World::new(WorldPlan {
        lag: Duration::from_millis(lag),
        read_share,
        tokens,
        consistency,
        clients: 12,
        think_time: Duration::from_millis(50),
        ..WorldPlan::default()
    });
    world.run_for(Duration::from_secs(30));
    let counts = world.counts();
    let served = counts.replica_reads + counts.primary_reads;
    let share = percent(counts.replica_reads, served);
    let allowed = percent(counts.replica_reads, counts.replica_eligible);
    let kind = format!("{consistency:?}");
    let baseline = percent(reads_before_writes(&world), served);
    format!("{lag:<8}{mix:<8}{tokens:<8}{kind:<12}{share:>8.1}{allowed:>12.1}{baseline:>10.1}")
}

/// Counts the reads of clients that had not written before.
fn reads_before_writes(world: &World) -> u64 {
    let mut wrote = BTreeSet::new();
    let mut reads = 0;
    for record in world.records() {
        match record.op {
            Op::Read if !wrote.contains(&record.client) => reads += 1,
            Op::Read => {}
            _ => {
                wrote.insert(record.client);
            }
        }
    }
    reads
}

#[allow(clippy::cast_precision_loss)]
fn percent(part: u64, whole: u64) -> f64 {
    100.0 * part as f64 / whole.max(1) as f64
}
