//! A planned switchover loses no acknowledged write, under either acknowledge rule.

use std::time::Duration;

use goldcrest_fakes::{ClientOutcome, World, WorldPlan, lost_writes, violations};
use goldcrest_types::Acknowledge;
use rstest::rstest;

/// The longest allowed time without an acknowledged write at a planned switchover.
const GAP_LIMIT: Duration = Duration::from_secs(1);

#[rstest]
fn a_planned_switchover_loses_no_acknowledged_write(
    #[values(Acknowledge::Majority, Acknowledge::Primary)] acknowledge: Acknowledge,
    #[values(0, 20, 200)] lag_ms: u64,
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let mut world = World::new(WorldPlan {
        acknowledge,
        seed,
        lag: Duration::from_millis(lag_ms),
        ..WorldPlan::default()
    });
    world.run_for(Duration::from_millis(1500 + seed * 7));
    world.switch_primary();
    world.run_for(Duration::from_secs(5));
    world.drain(Duration::from_secs(15));
    assert_eq!(world.promotions().len(), 1);
    assert_eq!(violations(&world), Vec::<String>::new());
    assert_eq!(lost_writes(&world), Vec::<u64>::new());
    assert!(
        world.longest_gap() <= GAP_LIMIT,
        "{:?}",
        world.longest_gap()
    );
    let outcomes = world.records().iter().filter_map(|r| r.outcome.as_ref());
    let labels = outcomes.map(|(_, outcome)| outcome.label());
    // A request may run, lose its transaction or have an unknown outcome. No other refusal is
    // allowed.
    let observed: std::collections::BTreeSet<&str> = labels.collect();
    let allowed = [
        ClientOutcome::Done(Vec::new()),
        ClientOutcome::TransactionLost,
        ClientOutcome::Unknown,
    ];
    let allowed: Vec<&str> = allowed.iter().map(ClientOutcome::label).collect();
    assert!(observed.iter().all(|l| allowed.contains(l)), "{observed:?}");
}
