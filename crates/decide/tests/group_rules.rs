//! Rules of one group, driven by hand with no socket and no clock: what each event makes it do.

use std::time::Duration;

use goldcrest_decide::group::{Action, Actions, AnswerHead, EndpointPlan, Event, Group, GroupPlan};
use goldcrest_types::{
    Acknowledge, Class, Consistency, EndpointIx, Floor, History, Kind, Mark, Name, Outcome, Pin,
    Position, Refusal, Report, RequestHead, RequestId, Role, RoundId, Term, Timestamp, TxState,
};
use rstest::rstest;

/// A group driven by hand.
struct Driven {
    group: Group,
    now: Timestamp,
    next: u64,
}

impl Driven {
    fn new(acknowledge: Acknowledge) -> Self {
        let endpoints = (0..3).map(|i| EndpointPlan {
            name: Name::from(format!("endpoint-{i}")),
            distance: Duration::from_micros(500),
            slots: 2,
            leaving: false,
        });
        let group = Group::new(GroupPlan {
            name: Name::from("base"),
            endpoints: endpoints.collect(),
            acknowledge,
            consistency: Consistency::OwnWrites,
            // A watcher of a low rank keeps the group's state and leaves promotions to others.
            rank: Some(9),
            seed: 1,
        });
        let mut driven = Self {
            group,
            now: Timestamp::from_millis(1000),
            next: 0,
        };
        driven.step(Event::Tick);
        for ix in 0..3 {
            driven.report(0, ix, 1, 10);
        }
        driven
    }

    fn step(&mut self, event: Event) -> Actions {
        self.group.step(event, self.now)
    }

    fn after(&mut self, millis: u64) -> Actions {
        self.now = self.now + Duration::from_millis(millis);
        self.step(Event::Tick)
    }

    /// Endpoint `ix` answers a round: it promised `term` and holds `position`.
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

    fn ask(&mut self, kind: Kind, floor: Floor) -> (RequestId, Actions) {
        let id = RequestId(self.next);
        self.next += 1;
        let head = RequestHead {
            id,
            workspace: Name::from("orders"),
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
fn a_check_from_before_the_commit_does_not_count() {
    let mut driven = Driven::new(Acknowledge::Primary);
    // A probe is under way, and one endpoint has answered it, when the write is asked for.
    driven.after(1100);
    driven.report(1, 0, 1, 10);
    let (id, sent) = driven.ask(Kind::Write, Floor::At(Mark::new(1, 10)));
    assert_eq!(sent_to(&sent), [0]);
    driven.now = driven.now + Duration::from_millis(1);
    let answered = driven.answer(id, 0, Mark::new(1, 11));
    assert!(!delivered(&answered));
    // The old round reaches a majority now, and says nothing of the commit.
    assert!(!delivered(&driven.report(1, 1, 1, 10)));
    assert!(!delivered(&driven.report(1, 2, 1, 10)));
    // The round that was sent after the commit does.
    assert!(!delivered(&driven.report(2, 0, 1, 11)));
    assert!(delivered(&driven.report(2, 1, 1, 10)));
}

#[rstest]
#[case(Acknowledge::Primary, true)]
#[case(Acknowledge::Majority, false)]
fn a_majority_must_hold_the_commit_where_the_rule_says_so(
    #[case] rule: Acknowledge,
    #[case] early: bool,
) {
    let mut driven = Driven::new(rule);
    let (id, _) = driven.ask(Kind::Write, Floor::At(Mark::new(1, 10)));
    driven.answer(id, 0, Mark::new(1, 11));
    driven.report(1, 0, 1, 11);
    assert_eq!(delivered(&driven.report(1, 1, 1, 10)), early);
    if !early {
        assert!(delivered(&driven.report(1, 2, 1, 11)));
    }
}

/// Term 2 began at position 8: a commit at 11 is gone, and one at 8 is kept.
#[rstest]
#[case::dropped(11)]
#[case::kept(8)]
fn a_commit_is_judged_by_the_log_of_the_next_primary(#[case] position: u64) {
    let mut driven = Driven::new(Acknowledge::Majority);
    let (id, _) = driven.ask(Kind::Write, Floor::At(Mark::new(1, 8)));
    driven.answer(id, 0, Mark::new(1, position));
    // A majority follows term 2, whose primary has not spoken yet.
    let mut told = driven.report(1, 1, 2, 8);
    told.extend(driven.report(1, 2, 2, 8));
    assert!(told.iter().all(|a| matches!(a, Action::Check { .. })));
    let told = driven.report(1, 0, 2, 12);
    let name = format!("commit_at_{position}_after_a_change");
    insta::assert_debug_snapshot!(name, (delivered(&told), refusals(&told)));
}

/// A preset may bring another rule while commits wait.
#[rstest]
fn a_change_of_rule_holds_for_commits_that_wait() {
    let mut driven = Driven::new(Acknowledge::Majority);
    let (id, _) = driven.ask(Kind::Write, Floor::At(Mark::new(1, 10)));
    driven.answer(id, 0, Mark::new(1, 11));
    driven.report(1, 0, 1, 11);
    assert!(!delivered(&driven.report(1, 1, 1, 10)));
    driven.step(Event::Acknowledge(Acknowledge::Primary));
    assert!(delivered(&driven.after(1)));
}

#[rstest]
fn an_unknown_floor_is_learned_and_never_guessed() {
    let mut driven = Driven::new(Acknowledge::Majority);
    let (_, asked) = driven.ask(Kind::Read, Floor::Unknown);
    assert!(sent_to(&asked).is_empty());
    // The primary's position moved on: the replica that trails may not serve.
    assert!(sent_to(&driven.report(1, 0, 1, 20)).is_empty());
    assert_eq!(sent_to(&driven.report(1, 1, 1, 15)), [0]);
}

#[rstest]
fn a_cut_off_primary_alone_confirms_no_floor() {
    let mut driven = Driven::new(Acknowledge::Majority);
    let (_, asked) = driven.ask(Kind::Read, Floor::Unknown);
    assert!(sent_to(&asked).is_empty());
    let mut told = sent_to(&driven.report(1, 0, 1, 20));
    for round in 2..40 {
        driven.after(200);
        told.extend(sent_to(&driven.report(round, 0, 1, 20)));
    }
    assert!(told.is_empty());
}

/// The first endpoint was cut off before it could be sealed, and still calls itself primary.
#[rstest]
fn a_replaced_primary_that_was_not_sealed_hides_no_confirmed_one() {
    let mut driven = Driven::new(Acknowledge::Majority);
    let (_, asked) = driven.ask(Kind::Read, Floor::Unknown);
    assert!(sent_to(&asked).is_empty());
    driven.report(1, 0, 1, 20);
    driven.report(1, 2, 2, 12);
    let confirmed = driven.report_as(Role::Primary, 1, 1, 2, 12);
    assert_eq!(sent_to(&confirmed), [2]);
}

#[rstest]
fn a_lost_write_is_named_once() {
    let mut driven = Driven::new(Acknowledge::Majority);
    driven.after(1100);
    for ix in 0..3 {
        // Term 2 began at position 8.
        driven.report(1, ix, 2, 12);
    }
    let (_, first) = driven.ask(Kind::Read, Floor::At(Mark::new(1, 10)));
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
    // What the new log kept is served.
    let (_, kept) = driven.ask(Kind::Read, Floor::At(Mark::new(1, 8)));
    assert_eq!(sent_to(&kept).len(), 1);
}

#[rstest]
#[case::read(Kind::Read, true)]
#[case::write(Kind::Write, true)]
#[case::read_not_sent(Kind::Read, false)]
#[case::write_not_sent(Kind::Write, false)]
fn a_lost_connection(#[case] kind: Kind, #[case] sent: bool) {
    let mut driven = Driven::new(Acknowledge::Majority);
    let (id, first) = driven.ask(kind, Floor::At(Mark::new(1, 10)));
    let endpoint = EndpointIx(sent_to(&first)[0]);
    let lost = driven.step(Event::Lost { id, endpoint, sent });
    let name = format!("lost_{kind:?}_{sent}").to_lowercase();
    insta::assert_debug_snapshot!(name, (sent_to(&lost), refusals(&lost)));
}

#[rstest]
fn statements_of_a_transaction_stay_on_its_connection() {
    let mut driven = Driven::new(Acknowledge::Majority);
    let (begin, sent) = driven.ask(Kind::Begin, Floor::At(Mark::new(1, 10)));
    assert_eq!(sent_to(&sent), [0]);
    let open = driven.step(Event::Answered {
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
fn a_late_answer_reaches_nobody() {
    let mut driven = Driven::new(Acknowledge::Majority);
    let (id, _) = driven.ask(Kind::Write, Floor::At(Mark::new(1, 10)));
    let over = driven.after(16_000);
    assert_eq!(refusals(&over).len(), 1);
    let late = driven.answer(id, 0, Mark::new(1, 11));
    assert_eq!(late.first(), Some(&Action::Discard(id)));
    assert!(!delivered(&late));
}
