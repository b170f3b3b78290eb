//! Routing decisions, with the reasons for the skipped endpoints.

use std::time::Duration;

use goldcrest_decide::route::{Candidate, ReadRequirement, choose};
use goldcrest_types::{EndpointIx, History, Mark, Role};
use rstest::rstest;
use smallvec::SmallVec;

fn candidate(ix: u16, role: Role, position: u64) -> Candidate {
    Candidate {
        ix: EndpointIx(ix),
        role,
        mark: Mark::new(1, position),
        reachable: true,
        leaving: false,
        load: 0,
        slots: 2,
        latency: Duration::from_micros(500),
        rate: 0,
    }
}

fn group(nearest: u64, farthest: u64) -> Vec<Candidate> {
    let mut distant = candidate(2, Role::Replica, farthest);
    distant.latency = Duration::from_millis(12);
    vec![
        candidate(0, Role::Primary, 100),
        candidate(1, Role::Replica, nearest),
        distant,
    ]
}

#[rstest]
#[case::nearest_replica(group(100, 100), 100)]
#[case::far_replica_with_the_writes(group(90, 100), 100)]
#[case::primary_when_replicas_trail(group(90, 90), 100)]
#[case::nobody_has_it(group(90, 90), 200)]
#[case::busy_replica_yields(
    group(100, 90).into_iter().map(|c| Candidate { load: u32::from(c.ix.0) * 9, ..c }).collect(),
    100
)]
#[case::busy_primary_waits_for_a_replica_about_to_catch_up(
    group(99, 90).into_iter().map(|c| Candidate { load: if c.ix.0 == 0 { 9 } else { 0 }, rate: 500, ..c }).collect(),
    100
)]
#[case::down_and_leaving_are_gated(
    group(100, 100).into_iter().map(|c| Candidate { reachable: c.ix.0 != 1, leaving: c.ix.0 == 2, ..c }).collect(),
    100
)]
fn a_read_goes_to_the_best_eligible_endpoint(
    #[case] candidates: Vec<Candidate>,
    #[case] floor: u64,
    #[values(true)] may_wait: bool,
) {
    let history = History::from_pairs([(1, 0)]);
    let need = ReadRequirement {
        floors: SmallVec::from_iter([Mark::new(1, floor)]),
        history: &history,
        may_wait,
    };
    let name = std::thread::current().name().unwrap_or_default().to_owned();
    let case = name.rsplit("::").nth(1).unwrap_or_default().to_owned();
    insta::assert_debug_snapshot!(case, choose(&candidates, &need, 0));
}
