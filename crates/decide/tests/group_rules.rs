//! The actions that each event triggers in one group.

use std::time::Duration;

use goldcrest_decide::group::{Action, Actions, AnswerHead, EndpointPlan, Event, Group, GroupPlan};
use goldcrest_types::{
    Acknowledge, Class, Consistency, EndpointIx, Floor, History, Kind, Mark, Name, Outcome, Pin,
    Position, Refusal, Report, RequestHead, RequestId, Role, RoundId, Term, Timestamp, TxState,
};
use rstest::rstest;

/// A group with a virtual clock and request numbers.
struct Driver {
    group: Group,
    now: Timestamp,
    next: u64,
}

impl Driver {
    fn new(acknowledge: Acknowledge) -> Self {
        let endpoints = (0..3).map(|i| EndpointPlan {
            name: Name::from(format!("endpoint-{i}")),
            latency: Duration::from_micros(500),
            slots: 2,
            leaving: false,
        });
        let group = Group::new(GroupPlan {
            name: Name::from("base"),
            endpoints: endpoints.collect(),
            acknowledge,
            consistency: Consistency::OwnWrites,
            // A watcher of a high rank number tracks the group's state and starts no promotion.
            rank: Some(9),
            seed: 1,
        });
        let mut driver = Self {
            group,
            now: Timestamp::from_millis(1000),
            next: 0,
        };
        driver.step(Event::Tick);
        for ix in 0..3 {
            driver.report(0, ix, 1, 10);
        }
        driver
    }

    fn step(&mut self, event: Event) -> Actions {
        self.group.step(event, self.now)
    }

    fn advance(&mut self, millis: u64) -> Actions {
        self.now = self.now + Duration::from_millis(millis);
        self.step(Event::Tick)
    }

    /// Reports that endpoint `ix` promised `term` and holds `position`. Endpoint 0 is the primary.
    fn report(&mut self, round: u64, ix: u16, term: u64, position: u64) -> Actions {
        let role = if ix == 0 {
            Role::Primary
        } else {
            Role::Replica
        };
        self.report_as(role, round, ix, term, position)
    }

    fn report_as(&mut self, role: Role, round: u64, ix: u16, term: u64, position: u64) -> Actions {
        let history = match term {
            1 => History::from_pairs([(1, 0)]),
            later => History::from_pairs([(1, 0), (later, 8)]),
        };
        let report = Report {
            role,
            promised: Term(term),
            applied: Mark::new(term, position),
            held: Position(position),
            connected: true,
            history,
        };
        self.step(Event::Reported {
            endpoint: EndpointIx(ix),
            round: RoundId(round),
            report,
        })
    }

    fn request(&mut self, kind: Kind, floor: Floor) -> (RequestId, Actions) {
        let id = RequestId(self.next);
        self.next += 1;
        let head = RequestHead {
            id,
            workspace: Name::from("orders"),
            database: Name::from("orders"),
            priority: 0,
            kind,
            class: Class::Short,
            floor,
            max_age: None,
            pin: None,
            idempotent: false,
            arrived: self.now,
            start_by: self.now + Duration::from_secs(5),
            deadline: self.now + Duration::from_secs(15),
        };
        (id, self.step(Event::Request(head)))
    }

    fn answer(&mut self, id: RequestId, ix: u16, mark: Mark) -> Actions {
        self.step(Event::Answered {
            id,
            endpoint: EndpointIx(ix),
            answer: AnswerHead {
                outcome: Outcome::Done,
                mark,
                role: if ix == 0 {
                    Role::Primary
                } else {
                    Role::Replica
                },
                tx: TxState::Idle,
            },
        })
    }
}

fn delivered(actions: &Actions) -> bool {
    actions.iter().any(|a| matches!(a, Action::Deliver { .. }))
}

fn sent_to(actions: &Actions) -> Vec<u16> {
    let sent = actions.iter().filter_map(|a| match a {
        Action::Send { endpoint, .. } => Some(endpoint.0),
        _ => None,
    });
    sent.collect()
}

fn refusals(actions: &Actions) -> Vec<String> {
    let refused = actions.iter().filter_map(|a| match a {
        Action::Refuse { refusal, .. } => Some(refusal.to_string()),
        _ => None,
    });
    refused.collect()
}

#[rstest]
fn a_round_sent_before_the_commit_does_not_confirm_it() {
    let mut driver = Driver::new(Acknowledge::Primary);
    // A probe is in progress, and one endpoint has answered it, when the write is requested.
    driver.advance(1100);
    driver.report(1, 0, 1, 10);
    let (id, sent) = driver.request(Kind::Write, Floor::At(Mark::new(1, 10)));
    assert_eq!(sent_to(&sent), [0]);
    driver.now = driver.now + Duration::from_millis(1);
    let answered = driver.answer(id, 0, Mark::new(1, 11));
    assert!(!delivered(&answered));
    // The old round reaches a majority, but proves nothing about the commit.
    assert!(!delivered(&driver.report(1, 1, 1, 10)));
    assert!(!delivered(&driver.report(1, 2, 1, 10)));
    // The round that was sent after the commit proves it.
    assert!(!delivered(&driver.report(2, 0, 1, 11)));
    assert!(delivered(&driver.report(2, 1, 1, 10)));
}

#[rstest]
#[case(Acknowledge::Primary, true)]
#[case(Acknowledge::Majority, false)]
fn the_rule_decides_whether_a_majority_must_hold_the_commit(
    #[case] rule: Acknowledge,
    #[case] early: bool,
) {
    let mut driver = Driver::new(rule);
    let (id, _) = driver.request(Kind::Write, Floor::At(Mark::new(1, 10)));
    driver.answer(id, 0, Mark::new(1, 11));
    driver.report(1, 0, 1, 11);
    assert_eq!(delivered(&driver.report(1, 1, 1, 10)), early);
    if !early {
        assert!(delivered(&driver.report(1, 2, 1, 11)));
    }
}

/// Term 2 starts at position 8, so a commit at 11 was dropped and one at 8 is kept.
#[rstest]
#[case::dropped(11)]
#[case::kept(8)]
fn the_log_of_the_next_primary_decides_about_a_commit(#[case] position: u64) {
    let mut driver = Driver::new(Acknowledge::Majority);
    let (id, _) = driver.request(Kind::Write, Floor::At(Mark::new(1, 8)));
    driver.answer(id, 0, Mark::new(1, position));
    // A majority follows term 2, whose primary has not answered yet.
    let mut actions = driver.report(1, 1, 2, 8);
    actions.extend(driver.report(1, 2, 2, 8));
    assert!(actions.iter().all(|a| matches!(a, Action::Check { .. })));
    let actions = driver.report(1, 0, 2, 12);
    let name = format!("commit_at_{position}_after_a_change");
    insta::assert_debug_snapshot!(name, (delivered(&actions), refusals(&actions)));
}

/// A change of preset can change the acknowledge rule while commits wait.
#[rstest]
fn a_change_of_rule_applies_to_waiting_commits() {
    let mut driver = Driver::new(Acknowledge::Majority);
    let (id, _) = driver.request(Kind::Write, Floor::At(Mark::new(1, 10)));
    driver.answer(id, 0, Mark::new(1, 11));
    driver.report(1, 0, 1, 11);
    assert!(!delivered(&driver.report(1, 1, 1, 10)));
    driver.step(Event::Acknowledge(Acknowledge::Primary));
    assert!(delivered(&driver.advance(1)));
}

#[rstest]
fn an_unknown_floor_is_confirmed_before_a_read() {
    let mut driver = Driver::new(Acknowledge::Majority);
    let (_, requested) = driver.request(Kind::Read, Floor::Unknown);
    assert!(sent_to(&requested).is_empty());
    // The primary's position has advanced, so the replica that lags may not serve the read.
    assert!(sent_to(&driver.report(1, 0, 1, 20)).is_empty());
    assert_eq!(sent_to(&driver.report(1, 1, 1, 15)), [0]);
}

#[rstest]
fn a_partitioned_primary_confirms_no_floor() {
    let mut driver = Driver::new(Acknowledge::Majority);
    let (_, requested) = driver.request(Kind::Read, Floor::Unknown);
    assert!(sent_to(&requested).is_empty());
    let mut sent = sent_to(&driver.report(1, 0, 1, 20));
    for round in 2..40 {
        driver.advance(200);
        sent.extend(sent_to(&driver.report(round, 0, 1, 20)));
    }
    assert!(sent.is_empty());
}

/// The first endpoint was partitioned before it could be sealed, and still reports that it is the
/// primary.
#[rstest]
fn an_unsealed_old_primary_does_not_hide_the_confirmed_one() {
    let mut driver = Driver::new(Acknowledge::Majority);
    let (_, requested) = driver.request(Kind::Read, Floor::Unknown);
    assert!(sent_to(&requested).is_empty());
    driver.report(1, 0, 1, 20);
    driver.report(1, 2, 2, 12);
    let confirmed = driver.report_as(Role::Primary, 1, 1, 2, 12);
    assert_eq!(sent_to(&confirmed), [2]);
}

#[rstest]
fn a_lost_write_is_reported_once() {
    let mut driver = Driver::new(Acknowledge::Majority);
    driver.advance(1100);
    for ix in 0..3 {
        // Term 2 starts at position 8.
        driver.report(1, ix, 2, 12);
    }
    let (_, first) = driver.request(Kind::Read, Floor::At(Mark::new(1, 10)));
    let floors: Vec<Floor> = first
        .iter()
        .filter_map(|a| match a {
            Action::Refuse {
                refusal: Refusal::WriteLost { .. },
                floor,
                ..
            } => Some(*floor),
            _ => None,
        })
        .collect();
    assert_eq!(floors, [Floor::Unknown]);
    // A read whose floor the new log contains is served.
    let (_, kept) = driver.request(Kind::Read, Floor::At(Mark::new(1, 8)));
    assert_eq!(sent_to(&kept).len(), 1);
}

#[rstest]
#[case::read(Kind::Read, true)]
#[case::write(Kind::Write, true)]
#[case::read_not_sent(Kind::Read, false)]
#[case::write_not_sent(Kind::Write, false)]
fn a_request_that_loses_its_connection_is_retried_or_refused(
    #[case] kind: Kind,
    #[case] sent: bool,
) {
    let mut driver = Driver::new(Acknowledge::Majority);
    let (id, first) = driver.request(kind, Floor::At(Mark::new(1, 10)));
    let endpoint = EndpointIx(sent_to(&first)[0]);
    let lost = driver.step(Event::Lost { id, endpoint, sent });
    let name = format!("lost_{kind:?}_{sent}").to_lowercase();
    insta::assert_debug_snapshot!(name, (sent_to(&lost), refusals(&lost)));
}

#[rstest]
fn statements_of_a_transaction_stay_on_its_connection() {
    let mut driver = Driver::new(Acknowledge::Majority);
    let (begin, sent) = driver.request(Kind::Begin, Floor::At(Mark::new(1, 10)));
    assert_eq!(sent_to(&sent), [0]);
    let open = driver.step(Event::Answered {
        id: begin,
        endpoint: EndpointIx(0),
        answer: AnswerHead {
            outcome: Outcome::Done,
            mark: Mark::new(1, 10),
            role: Role::Primary,
            tx: TxState::Open,
        },
    });
    let pins: Vec<Pin> = open
        .iter()
        .filter_map(|a| match a {
            Action::Deliver { pin, .. } => *pin,
            _ => None,
        })
        .collect();
    insta::assert_debug_snapshot!(pins);
}

#[rstest]
fn a_late_answer_is_discarded() {
    let mut driver = Driver::new(Acknowledge::Majority);
    let (id, _) = driver.request(Kind::Write, Floor::At(Mark::new(1, 10)));
    let expired = driver.advance(16_000);
    assert_eq!(refusals(&expired).len(), 1);
    let late = driver.answer(id, 0, Mark::new(1, 11));
    assert_eq!(late.first(), Some(&Action::Discard(id)));
    assert!(!delivered(&late));
}
