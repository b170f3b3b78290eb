//! Injects every fault at every step of a request, a transaction or a promotion, in virtual time.
//! Checks that no invariant is violated, and records the target request's outcome, the number of
//! promotions and the longest gap without acknowledged writes.

use std::{fmt::Write, time::Duration};

use goldcrest_fakes::{Fault, Step, World, WorldPlan, violations};
use goldcrest_types::Acknowledge;
use rstest::rstest;

/// The longest allowed time without an acknowledged write, if a majority stays up and reachable.
const GAP_LIMIT: Duration = Duration::from_secs(8);

/// The time that the world runs after a fault is scheduled.
const RUN_TIME: Duration = Duration::from_secs(12);

/// The time after [`RUN_TIME`] in which all requests must complete.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(15);

fn faulty_world(step: Step, fault: Fault, plan: WorldPlan) -> World {
    let mut world = World::new(plan);
    world.run_for(Duration::from_secs(1));
    world.inject_at(step, fault);
    if step.is_promotion() {
        // The steps of a promotion are only reached after the primary fails.
        world.inject_after(Duration::ZERO, Fault::PrimaryDown);
    }
    world.run_for(RUN_TIME);
    world.drain(DRAIN_TIMEOUT);
    world
}

fn cell(step: Step, fault: Fault, plan: WorldPlan) -> String {
    let world = faulty_world(step, fault, plan);
    assert!(world.injected_at().is_some(), "{step:?} was not reached");
    let violated = violations(&world);
    assert!(violated.is_empty(), "{fault:?} at {step:?}: {violated:#?}");
    let gap = world.longest_gap();
    // A second fault during a promotion may leave no majority until one of the two faults ends.
    if fault.leaves_majority() && !step.is_promotion() {
        assert!(
            gap <= GAP_LIMIT,
            "{fault:?} at {step:?}: no writes for {gap:?}"
        );
    }
    let outcome = world.target().and_then(|r| r.outcome.as_ref());
    let label = outcome.map_or("-", |(_, outcome)| outcome.label());
    format!("{label}/{}/{}ms", world.promotions().len(), gap.as_millis())
}

fn table(plan: &WorldPlan) -> String {
    let mut out = String::new();
    write!(out, "{:<26}", "").unwrap();
    for step in Step::ALL {
        write!(out, "{:<20}", format!("{step:?}")).unwrap();
    }
    for fault in Fault::ALL {
        write!(out, "\n{:<26}", format!("{fault:?}")).unwrap();
        for step in Step::ALL {
            write!(out, "{:<20}", cell(step, fault, plan.clone())).unwrap();
        }
    }
    let lines: Vec<&str> = out.lines().map(str::trim_end).collect();
    lines.join("\n")
}

#[rstest]
#[case::majority(Acknowledge::Majority, false)]
#[case::primary(Acknowledge::Primary, false)]
#[case::repeatable(Acknowledge::Majority, true)]
fn no_fault_at_any_step_violates_an_invariant(
    #[case] acknowledge: Acknowledge,
    #[case] idempotent: bool,
) {
    let plan = WorldPlan {
        acknowledge,
        idempotent,
        ..WorldPlan::default()
    };
    let name = format!(
        "{acknowledge:?}{}",
        if idempotent { "_repeatable" } else { "" }
    );
    insta::assert_snapshot!(name, table(&plan));
}
