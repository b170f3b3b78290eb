//! The promotion watcher's decisions, event by event.

use std::time::Duration;

use goldcrest_decide::promote::{Action, Actions, Event, GroupState, Watcher};
use goldcrest_types::{AttemptId, EndpointIx, Mark, SealReply, Term, Timestamp};
use rstest::rstest;

const START: Timestamp = Timestamp::from_millis(10_000);

/// A group of three endpoints. The first is the primary of term 1 and is unreachable.
fn unreachable_primary() -> GroupState {
    GroupState {
        size: 3,
        promised: Term(1),
        reachable: 2,
        primary: Some(EndpointIx(0)),
        primary_up: false,
        silent_for: Duration::from_secs(1),
        ..GroupState::default()
    }
}

fn claim(watcher: &mut Watcher, state: &GroupState) -> AttemptId {
    watcher.step(Event::Tick, state, START);
    let claims = watcher.step(Event::Tick, state, START + Duration::from_secs(1));
    let Some(Action::Claim { attempt, .. }) = claims.first() else {
        panic!("no claim: {claims:?}");
    };
    watcher.step(
        Event::Claimed(*attempt),
        state,
        START + Duration::from_secs(1),
    );
    *attempt
}

fn seal(
    watcher: &mut Watcher,
    attempt: AttemptId,
    ix: u16,
    held: Mark,
    state: &GroupState,
) -> Actions {
    let event = Event::Sealed {
        endpoint: EndpointIx(ix),
        attempt,
        reply: SealReply::Sealed { held },
    };
    watcher.step(event, state, START + Duration::from_secs(1))
}

fn promoted_endpoints(actions: &Actions) -> Vec<u16> {
    let endpoints = actions.iter().filter_map(|a| match a {
        Action::Promote { endpoint, .. } => Some(endpoint.0),
        _ => None,
    });
    endpoints.collect()
}

#[rstest]
fn one_seal_does_not_promote() {
    let state = unreachable_primary();
    let mut watcher = Watcher::new(0, 1);
    let attempt = claim(&mut watcher, &state);
    let mut actions = seal(&mut watcher, attempt, 1, Mark::new(1, 10), &state);
    // It does so neither at once nor after the timeout of sealing.
    for millis in (1000..4000).step_by(50) {
        let now = START + Duration::from_millis(millis);
        actions.extend(watcher.step(Event::Tick, &state, now));
    }
    assert!(promoted_endpoints(&actions).is_empty());
}

/// A returning old primary can hold a longer log of an older term.
#[rstest]
#[case::newer_term([Mark::new(1, 500), Mark::new(2, 460), Mark::new(2, 450)], 1)]
#[case::longer_log([Mark::new(2, 440), Mark::new(2, 450), Mark::new(2, 460)], 2)]
fn the_endpoint_with_the_newest_log_is_promoted(#[case] held: [Mark; 3], #[case] chosen: u16) {
    let state = GroupState {
        reachable: 3,
        primary: None,
        ..unreachable_primary()
    };
    let mut watcher = Watcher::new(0, 1);
    let attempt = claim(&mut watcher, &state);
    let mut actions = Actions::new();
    for (ix, mark) in (0..).zip(held) {
        actions.extend(seal(&mut watcher, attempt, ix, mark, &state));
    }
    assert_eq!(promoted_endpoints(&actions), [chosen]);
}

#[rstest]
fn a_failed_primary_is_not_chosen_again_while_others_are_a_majority() {
    let state = GroupState {
        reachable: 3,
        ..unreachable_primary()
    };
    let mut watcher = Watcher::new(0, 1);
    let attempt = claim(&mut watcher, &state);
    let mut actions = seal(&mut watcher, attempt, 0, Mark::new(1, 20), &state);
    actions.extend(seal(&mut watcher, attempt, 1, Mark::new(1, 10), &state));
    actions.extend(seal(&mut watcher, attempt, 2, Mark::new(1, 12), &state));
    assert_eq!(promoted_endpoints(&actions), [2]);
}

#[rstest]
fn a_taken_claim_ends_the_attempt_and_the_next_uses_a_higher_term() {
    let state = unreachable_primary();
    let mut watcher = Watcher::new(0, 1);
    watcher.step(Event::Tick, &state, START);
    let now = START + Duration::from_secs(1);
    let first = watcher.step(Event::Tick, &state, now);
    let Some(Action::Claim { attempt, term }) = first.first().copied() else {
        panic!("no claim: {first:?}");
    };
    assert_eq!(term, Term(2));
    let taken = Event::ClaimTaken {
        attempt,
        term: Term(4),
    };
    assert!(watcher.step(taken, &state, now).is_empty());
    let next = watcher.step(Event::Tick, &state, now + Duration::from_secs(1));
    assert!(matches!(
        next.first(),
        Some(Action::Claim { term: Term(5), .. })
    ));
}

#[rstest]
#[case::healthy(3, true, 2, 0, false)]
#[case::silent_and_unheard(2, false, 0, 1, true)]
#[case::silent_but_heard(2, false, 2, 1, false)]
#[case::silent_for_long_though_heard(2, false, 2, 4, true)]
#[case::cut_off_from_its_group(3, true, 0, 0, true)]
#[case::cut_off_and_no_other_majority(2, true, 0, 0, false)]
#[case::no_majority_reachable(1, false, 0, 9, false)]
fn a_primary_is_replaced_if_it_is_silent_or_isolated(
    #[case] reachable: usize,
    #[case] primary_up: bool,
    #[case] connected: usize,
    #[case] silent_s: u64,
    #[case] replaced: bool,
) {
    let state = GroupState {
        reachable,
        primary_up,
        connected,
        silent_for: Duration::from_secs(silent_s),
        ..unreachable_primary()
    };
    let mut watcher = Watcher::new(0, 1);
    watcher.step(Event::Tick, &state, START);
    let actions = watcher.step(Event::Tick, &state, START + Duration::from_secs(1));
    assert_eq!(!actions.is_empty(), replaced);
}
