//! The CPU cost of decisions on this machine.

use std::{hint::black_box, time::Instant};

use goldcrest_decide::group::{AnswerHead, EndpointPlan, Event, Group, GroupPlan};
use goldcrest_frontend::classify;
use goldcrest_types::{
    Acknowledge, Class, Consistency, EndpointIx, Floor, History, Kind, Mark, Name, Outcome,
    Position, Report, RequestHead, RequestId, Role, RoundId, Term, Timestamp, TxState,
};

/// The number of repetitions of a measured step.
const ITERATIONS: u32 = 200_000;

/// Formats a table of the nanoseconds per decision.
pub fn table() -> String {
    let read = read_cost();
    let check = check_cost();
    let select = classify_cost("SELECT note FROM visits WHERE id = 42");
    let insert = classify_cost("INSERT INTO visits (id, note) VALUES (42, 'checked')");
    format!(
        "Decision cost on this machine, ns\n\
         a read, from request to delivery  {read:>8}\n\
         a round of three term checks      {check:>8}\n\
         classifying a SELECT statement    {select:>8}\n\
         classifying an INSERT statement   {insert:>8}\n\
         size of a group's state, bytes    {:>8}\n",
        size_of::<Group>() + 3 * size_of::<goldcrest_decide::group::EndpointView>()
    )
}

fn read_cost() -> u128 {
    let mut group = group_with_reports();
    let start = Instant::now();
    for n in 0..ITERATIONS {
        let now = Timestamp::from_millis(10);
        let id = RequestId(u64::from(n));
        black_box(group.step(Event::Request(request_head(id, now)), now));
        for ix in 0..3 {
            let answer = AnswerHead {
                outcome: Outcome::Done,
                mark: Mark::new(1, 100),
                role: Role::Replica,
                tx: TxState::Idle,
            };
            let endpoint = EndpointIx(ix);
            let answered = Event::Answered {
                id,
                endpoint,
                answer,
            };
            black_box(group.step(answered, now));
        }
    }
    start.elapsed().as_nanos() / u128::from(ITERATIONS)
}

fn check_cost() -> u128 {
    let mut group = group_with_reports();
    let start = Instant::now();
    for n in 0..ITERATIONS {
        let now = Timestamp::from_millis(2000 * u64::from(n));
        black_box(group.step(Event::Tick, now));
        report_all(&mut group, RoundId(u64::from(n) + 1), now);
    }
    start.elapsed().as_nanos() / u128::from(ITERATIONS)
}

fn classify_cost(sql: &str) -> u128 {
    let rounds = ITERATIONS / 10;
    let start = Instant::now();
    for _ in 0..rounds {
        black_box(classify(black_box(sql)));
    }
    start.elapsed().as_nanos() / u128::from(rounds)
}

/// Creates a group with current reports of its three endpoints.
fn group_with_reports() -> Group {
    let endpoints = (0..3).map(|i| EndpointPlan {
        name: Name::from(format!("endpoint-{i}")),
        latency: std::time::Duration::from_micros(500),
        slots: 2,
        leaving: false,
    });
    let mut group = Group::new(GroupPlan {
        name: Name::from("base"),
        endpoints: endpoints.collect(),
        acknowledge: Acknowledge::Majority,
        consistency: Consistency::OwnWrites,
        rank: Some(0),
        seed: 1,
    });
    group.step(Event::Tick, Timestamp::ZERO);
    report_all(&mut group, RoundId(0), Timestamp::ZERO);
    group
}

fn report_all(group: &mut Group, round: RoundId, now: Timestamp) {
    for ix in 0..3 {
        let report = Report {
            role: if ix == 0 {
                Role::Primary
            } else {
                Role::Replica
            },
            promised: Term(1),
            applied: Mark::new(1, 100),
            held: Position(100),
            connected: true,
            history: History::from_pairs([(1, 0)]),
        };
        let endpoint = EndpointIx(ix);
        group.step(
            Event::Reported {
                endpoint,
                round,
                report,
            },
            now,
        );
    }
}

fn request_head(id: RequestId, now: Timestamp) -> RequestHead {
    RequestHead {
        id,
        workspace: Name::from("orders"),
        database: Name::from("orders"),
        priority: 0,
        kind: Kind::Read,
        class: Class::Short,
        floor: Floor::At(Mark::new(1, 100)),
        max_age: None,
        pin: None,
        idempotent: false,
        arrived: now,
        start_by: now + std::time::Duration::from_secs(5),
        deadline: now + std::time::Duration::from_secs(15),
    }
}
