//! The steps of a promotion, driven by hand.

use std::time::Duration;

use goldcrest_decide::promote::{Action, Actions, Event, GroupState, Watcher};
use goldcrest_types::{AttemptId, EndpointIx, Mark, SealReply, Term, Timestamp};
use rstest::rstest;

const START: Timestamp = Timestamp::from_millis(10_000);

/// A group of three whose first endpoint was primary in term 1 and is silent.
fn silent_primary() -> GroupState {
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

fn claimed(watch: &mut Watcher, state: &GroupState) -> AttemptId {
    watch.step(Event::Tick, state, START);
    let claims = watch.step(Event::Tick, state, START + Duration::from_secs(1));
    let Some(Action::Claim { attempt, .. }) = claims.first() else {
        panic!("no claim: {claims:?}");
    };
    watch.step(
        Event::Claimed(*attempt),
        state,
        START + Duration::from_secs(1),
    );
    *attempt
}

fn sealed(
    watch: &mut Watcher,
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
    watch.step(event, state, START + Duration::from_secs(1))
}

fn promoted(actions: &Actions) -> Vec<u16> {
    let promoted = actions.iter().filter_map(|a| match a {
        Action::Promote { endpoint, .. } => Some(endpoint.0),
        _ => None,
    });
    promoted.collect()
}

#[rstest]
fn one_seal_is_not_enough() {
    let state = silent_primary();
    let mut watch = Watcher::new(0, 1);
    let attempt = claimed(&mut watch, &state);
    let mut told = sealed(&mut watch, attempt, 1, Mark::new(1, 10), &state);
    // Not at once, and not when the time for seals is over.
    for millis in (1000..4000).step_by(50) {
        let now = START + Duration::from_millis(millis);
        told.extend(watch.step(Event::Tick, &state, now));
    }
    assert!(promoted(&told).is_empty());
}

/// An old primary that came back holds a longer tail of an older term.
#[rstest]
#[case::newer_term([Mark::new(1, 500), Mark::new(2, 460), Mark::new(2, 450)], 1)]
#[case::longer_log([Mark::new(2, 440), Mark::new(2, 450), Mark::new(2, 460)], 2)]
fn the_newest_log_is_chosen(#[case] held: [Mark; 3], #[case] chosen: u16) {
    let state = GroupState {
        reachable: 3,
        primary: None,
        ..silent_primary()
    };
    let mut watch = Watcher::new(0, 1);
    let attempt = claimed(&mut watch, &state);
    let mut told = Actions::new();
    for (ix, mark) in (0..).zip(held) {
        told.extend(sealed(&mut watch, attempt, ix, mark, &state));
    }
    assert_eq!(promoted(&told), [chosen]);
}

#[rstest]
fn a_failed_primary_is_not_chosen_again_while_others_are_a_majority() {
    let state = GroupState {
        reachable: 3,
        ..silent_primary()
    };
    let mut watch = Watcher::new(0, 1);
    let attempt = claimed(&mut watch, &state);
    let mut told = sealed(&mut watch, attempt, 0, Mark::new(1, 20), &state);
    told.extend(sealed(&mut watch, attempt, 1, Mark::new(1, 10), &state));
    told.extend(sealed(&mut watch, attempt, 2, Mark::new(1, 12), &state));
    assert_eq!(promoted(&told), [2]);
}

#[rstest]
fn an_attempt_that_is_refused_or_taken_gives_way_and_goes_beyond() {
    let state = silent_primary();
    let mut watch = Watcher::new(0, 1);
    watch.step(Event::Tick, &state, START);
    let now = START + Duration::from_secs(1);
    let first = watch.step(Event::Tick, &state, now);
    let Some(Action::Claim { attempt, term }) = first.first().copied() else {
        panic!("no claim: {first:?}");
    };
    assert_eq!(term, Term(2));
    let taken = Event::ClaimTaken {
        attempt,
        term: Term(4),
    };
    assert!(watch.step(taken, &state, now).is_empty());
    let next = watch.step(Event::Tick, &state, now + Duration::from_secs(1));
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
fn a_primary_is_replaced(
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
        ..silent_primary()
    };
    let mut watch = Watcher::new(0, 1);
    watch.step(Event::Tick, &state, START);
    let told = watch.step(Event::Tick, &state, START + Duration::from_secs(1));
    assert_eq!(!told.is_empty(), replaced);
}
