//! Random sequences of faults in a world under load violate no invariant.

use std::time::Duration;

use goldcrest_fakes::{Fault, World, WorldPlan, violations};
use goldcrest_types::{Acknowledge, Consistency};
use proptest::{
    collection::vec,
    prelude::{ProptestConfig, any, prop_assert, proptest},
    sample::select,
    test_runner::RngSeed,
};

/// The seed of all sequences, so that each run tests the same ones.
const SEED: u64 = 20_261_204;

/// The time after the last fault in which all requests must complete.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(25);

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 96,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn random_faults_violate_no_invariant(
        seed in any::<u64>(),
        faults in vec((select(Fault::ALL.to_vec()), 0_u64..6000), 1..6),
        primary_only in any::<bool>(),
        idempotent in any::<bool>(),
        tokens in any::<bool>(),
        monotonic in any::<bool>(),
        hosts in 1_usize..4,
        lag_ms in select(vec![0_u64, 20, 500]),
        latency_us in select(vec![500_u64, 12_000]),
    ) {
        let acknowledge = if primary_only { Acknowledge::Primary } else { Acknowledge::Majority };
        let consistency = if monotonic { Consistency::Monotonic } else { Consistency::OwnWrites };
        let mut plan = WorldPlan {
            seed,
            hosts,
            acknowledge,
            consistency,
            idempotent,
            tokens,
            lag: Duration::from_millis(lag_ms),
            ..WorldPlan::default()
        };
        plan.latency.endpoint = Duration::from_micros(latency_us);
        let mut world = World::new(plan);
        world.run_for(Duration::from_millis(500));
        for (fault, pause_ms) in faults {
            world.inject_after(Duration::ZERO, fault);
            world.run_for(Duration::from_millis(pause_ms));
        }
        world.drain(DRAIN_TIMEOUT);
        let violated = violations(&world);
        prop_assert!(violated.is_empty(), "{:#?}", violated);
    }
}
