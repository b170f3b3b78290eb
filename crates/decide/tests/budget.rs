//! Crowds of clients at a budget of memory and connections, without a network.

use std::time::Duration;

use goldcrest_decide::budget::{BASE_BYTES, Budget, Decision, Decisions, HolderId, Reason, Use};
use goldcrest_types::Timestamp;
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use rstest::rstest;

/// Memory of the smallest host in the users' fleets, in bytes.
const MEMORY: u64 = 112_000_000;

/// A large message in bytes.
const LARGE: usize = 900_000;

fn at(seconds: u64) -> Timestamp {
    Timestamp::ZERO + Duration::from_secs(seconds)
}

fn connect(budget: &mut Budget) -> HolderId {
    let id = budget.connect().0.unwrap();
    budget.started(id);
    budget.finish_message(id, 0, Timestamp::ZERO);
    id
}

fn grants(decisions: &Decisions) -> usize {
    let is_grant = |d: &&Decision| matches!(d, Decision::Grant(_));
    decisions.iter().filter(is_grant).count()
}

/// Load: 250 clients send a large message at once, and each message runs for a while.
#[rstest]
fn large_messages_take_turns() {
    let mut budget = Budget::new(Some(MEMORY), None);
    let ids: Vec<_> = (0..250).map(|_| connect(&mut budget)).collect();
    let mut running: Vec<_> = ids
        .iter()
        .copied()
        .filter(|id| budget.request(*id, Use::Message, LARGE, at(0)))
        .collect();
    let at_once = running.len();
    let mut served = 0;
    while let Some(id) = running.pop() {
        budget.run(id);
        for decision in budget.finish_message(id, 0, at(0)) {
            let Decision::Grant(next) = decision else {
                panic!("nobody is closed");
            };
            running.insert(0, next);
        }
        served += 1;
    }
    insta::assert_debug_snapshot!((at_once, served, budget.used()));
}

/// Load: all memory for large messages is held by clients that stop half-way.
#[rstest]
fn ordinary_messages_need_no_grant_in_a_crowd() {
    let mut budget = Budget::new(Some(MEMORY), None);
    for _ in 0..250 {
        let id = connect(&mut budget);
        budget.request(id, Use::Message, LARGE, at(0));
        let medium = connect(&mut budget);
        budget.request(medium, Use::Message, 60_000, at(0));
    }
    let ordinary = connect(&mut budget);
    assert!(budget.request(ordinary, Use::Message, BASE_BYTES, at(1)));
}

/// Load: clients that stop half-way, and others with large messages behind them.
#[rstest]
fn the_slowest_client_makes_room() {
    let mut budget = Budget::new(Some(MEMORY), None);
    let mut held = Vec::new();
    loop {
        let id = connect(&mut budget);
        if !budget.request(id, Use::Message, LARGE, at(held.len() as u64)) {
            break;
        }
        held.push(id);
    }
    // The first one runs.
    budget.run(held[0]);
    let now = held.len() as u64;
    for _ in 0..2 {
        let id = connect(&mut budget);
        assert!(!budget.request(id, Use::Message, LARGE, at(now)));
    }
    let decisions: Vec<_> = (now..now + 6).map(|s| budget.tick(at(s))).collect();
    insta::assert_debug_snapshot!(decisions);
}

/// Load: more silent connections than descriptors.
#[rstest]
fn the_oldest_connection_without_a_session_makes_room() {
    let mut budget = Budget::new(None, Some(210));
    let first = connect(&mut budget);
    let steps: Vec<_> = (0..12).map(|_| budget.connect()).collect();
    assert!(steps.iter().all(|(id, _)| id.is_some()));
    assert_eq!(budget.clients(), 8);
    let closed: Vec<_> = steps.iter().flat_map(|(_, d)| d.clone()).collect();
    let expected: Vec<_> = (1..=5)
        .map(|n| Decision::Close(HolderId(first.0 + n), Reason::NotStarted))
        .collect();
    assert_eq!(closed, expected);
}

#[rstest]
fn a_client_is_refused_if_all_connections_have_sessions() {
    let mut budget = Budget::new(None, Some(210));
    for _ in 0..8 {
        connect(&mut budget);
    }
    assert_eq!(budget.connect().0, None);
    budget.remove(HolderId(3));
    assert!(budget.connect().0.is_some());
}

/// Load: clients that don't read answers of a megabyte.
#[rstest]
fn the_client_that_takes_an_answer_for_longest_makes_room() {
    let mut budget = Budget::new(Some(MEMORY), None);
    let ids: Vec<_> = (0..40).map(|_| connect(&mut budget)).collect();
    let mut closed = 0;
    for (second, id) in (0..).zip(&ids) {
        closed += budget.send(*id, 1 << 20, at(second)).len();
        assert!(budget.used() <= 28_000_000, "{}", budget.used());
    }
    insta::assert_debug_snapshot!(closed);
}

/// Clients inside the limits of the users' pages on the smallest host meet no limit.
#[rstest]
fn clients_inside_the_limits_meet_none() {
    let mut budget = Budget::new(Some(MEMORY), Some(3_010));
    let ids: Vec<_> = (0..2_000).map(|_| connect(&mut budget)).collect();
    for id in &ids {
        assert!(budget.request(*id, Use::Message, 4096, at(0)));
        budget.run(*id);
        assert!(budget.send(*id, 4096, at(0)).is_empty());
    }
    // One large message at a time.
    for id in &ids {
        assert!(budget.request(*id, Use::Message, 1 << 20, at(0)));
        budget.run(*id);
        budget.finish_message(*id, 0, at(0));
    }
}

/// Whatever clients do, the bytes stay within the budget, and all of them are given back.
#[rstest]
fn nothing_is_lost_or_exceeded(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut budget = Budget::new(Some(MEMORY), Some(400));
    let mut ids = Vec::new();
    let mut granted = 0;
    for step in 0..20_000_u64 {
        let now = Timestamp::from_millis(step * 10);
        let Some(id) = ids.choose(&mut rng).copied() else {
            ids.extend(budget.connect().0);
            continue;
        };
        let bytes = rng.random_range(0..2 << 20);
        match rng.random_range(0..9) {
            0 => ids.extend(budget.connect().0),
            1 => granted += usize::from(budget.request(id, Use::Message, bytes, now)),
            2 => budget.run(id),
            3 => granted += grants(&budget.finish_message(id, bytes / 1024, now)),
            4 => granted += budget.send(id, bytes, now).len(),
            5 => granted += grants(&budget.finish_answer(id)),
            6 => granted += usize::from(budget.keep(id, Use::Kept, bytes)),
            7 => granted += grants(&budget.tick(now)),
            _ => {
                granted += grants(&budget.remove(id));
                ids.retain(|other| *other != id);
            }
        }
        assert!(budget.used() <= 65_000_000, "{}", budget.used());
        assert!(budget.clients() <= 160);
    }
    for id in ids {
        budget.remove(id);
    }
    assert!(granted > 0);
    assert_eq!((budget.used(), budget.clients()), (0, 0));
}

/// Load: sessions that prepare large statements and leave. The connections to endpoints that they used went on
/// holding the texts, which nothing counted, until the process was out of memory.
#[rstest]
fn what_connections_remember_of_ended_sessions_is_bounded() {
    let mut budget = Budget::new(Some(MEMORY), None);
    let connections: Vec<_> = (0..40).map(|_| budget.attach()).collect();
    let remembering = connections
        .iter()
        .filter(|id| budget.keep(**id, Use::Remembered, 10 * LARGE))
        .count();
    let used = budget.used();
    // Sessions have a part of their own.
    let client = connect(&mut budget);
    let kept = budget.keep(client, Use::Kept, LARGE);
    for id in connections {
        assert!(budget.keep(id, Use::Remembered, 0));
    }
    let kept_bytes = budget.used();
    budget.remove(client);
    insta::assert_debug_snapshot!((remembering, used, kept, kept_bytes, budget.used()));
}
