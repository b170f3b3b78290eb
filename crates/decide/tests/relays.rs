//! Which host runs the requests of a group that other hosts own, without a network.

use std::time::Duration;

use goldcrest_decide::relay::{Event, LinkId, Relay, Replied};
use goldcrest_types::{
    Class, EndpointIx, Floor, Kind, Lease, Mark, Name, NotRun, Pin, RequestHead, RequestId,
    Timestamp, TxStart,
};
use rstest::rstest;

/// A relay with a clock of its own.
struct Stage {
    relay: Relay,
    now: Timestamp,
    log: Vec<String>,
}

/// The pin that an owner gives.
const REMOTE: Pin = Pin {
    endpoint: EndpointIx(2),
    lease: Lease(900),
};

impl Stage {
    /// A relay that knows two owners.
    fn new() -> Self {
        let mut stage = Self {
            relay: Relay::default(),
            now: Timestamp::from_millis(10_000),
            log: Vec::new(),
        };
        let owners = ["first", "second"].map(Name::from);
        stage.event("owners", Event::Owners(owners.into_iter().collect()));
        stage
    }

    fn event(&mut self, what: &str, event: Event) {
        let at = self.now.millis();
        let actions = self.relay.step(event, self.now);
        self.log.push(format!("{at} {what}"));
        self.log
            .extend(actions.iter().map(|a| format!("      {a:?}")));
    }

    fn wait(&mut self, ms: u64) {
        self.now = self.now + Duration::from_millis(ms);
        self.event("tick", Event::Tick);
    }

    fn ask(&mut self, id: u64, kind: Kind, opening: TxStart, lease: Option<u64>) {
        let head = RequestHead {
            id: RequestId(id),
            workspace: Name::from("orders"),
            kind,
            class: Class::Short,
            floor: Floor::At(Mark::default()),
            max_age: None,
            pin: lease.map(|lease| Pin {
                endpoint: EndpointIx(0),
                lease: Lease(lease),
            }),
            idempotent: false,
            arrived: self.now,
            start_by: self.now + Duration::from_millis(700),
            deadline: self.now + Duration::from_millis(800),
        };
        self.event(&format!("{kind:?} {id}"), Event::Ask(head, opening));
    }

    fn read(&mut self, id: u64) {
        self.ask(id, Kind::Read, TxStart::None, None);
    }

    /// Opens a transaction on the first owner with statement 1.
    fn open(&mut self) {
        self.ask(1, Kind::Write, TxStart::ReadWrite, None);
        self.replied(1, 1, Some(REMOTE), None);
    }

    fn replied(&mut self, link: u64, id: u64, pin: Option<Pin>, not_run: Option<NotRun>) {
        let event = Event::Replied(LinkId(link), RequestId(id), Replied { pin, not_run });
        self.event(&format!("reply to {id}"), event);
    }

    fn closed(&mut self, link: u64, sent: bool) {
        self.event("closed", Event::Closed(LinkId(link), sent));
    }

    fn said(&self) -> String {
        self.log.join("\n")
    }
}

#[test]
fn a_transaction_stays_with_its_owner_under_a_number_of_this_host() {
    let mut stage = Stage::new();
    stage.open();
    stage.ask(2, Kind::Write, TxStart::None, Some(1));
    stage.replied(1, 2, Some(REMOTE), None);
    stage.ask(3, Kind::Commit, TxStart::None, Some(1));
    stage.replied(1, 3, None, None);
    stage.ask(4, Kind::Write, TxStart::None, Some(1));
    insta::assert_snapshot!(stage.said());
}

#[test]
fn a_transaction_that_is_given_up_is_released_at_its_owner() {
    let mut stage = Stage::new();
    stage.open();
    stage.event("release", Event::Release(Lease(1)));
    insta::assert_snapshot!(stage.said());
}

#[rstest]
#[case::read_sent(Kind::Read, TxStart::None, true)]
#[case::write_sent(Kind::Write, TxStart::None, true)]
#[case::write_unsent(Kind::Write, TxStart::None, false)]
#[case::first_of_transaction(Kind::Write, TxStart::ReadWrite, true)]
#[case::commit_alone(Kind::Commit, TxStart::ReadWrite, true)]
fn an_owner_that_is_lost(#[case] kind: Kind, #[case] opening: TxStart, #[case] sent: bool) {
    let mut stage = Stage::new();
    stage.ask(1, kind, opening, None);
    stage.closed(1, sent);
    insta::assert_snapshot!(format!("lost_{kind:?}_{opening:?}_{sent}"), stage.said());
}

#[rstest]
#[case::write(Kind::Write)]
#[case::commit(Kind::Commit)]
fn an_owner_that_is_lost_in_a_transaction(#[case] kind: Kind) {
    let mut stage = Stage::new();
    stage.open();
    stage.ask(2, kind, TxStart::None, Some(1));
    stage.closed(1, true);
    stage.ask(3, Kind::Read, TxStart::None, Some(1));
    insta::assert_snapshot!(format!("lost_open_{kind:?}"), stage.said());
}

#[test]
fn without_an_owner_this_hosts_own_connections_serve() {
    let mut stage = Stage::new();
    stage.read(1);
    stage.closed(1, false);
    stage.closed(2, false);
    stage.wait(600);
    stage.read(2);
    insta::assert_snapshot!(stage.said());
}

#[test]
fn an_owner_that_stops_is_passed_over_at_once_and_its_transactions_go_on() {
    let mut stage = Stage::new();
    stage.open();
    stage.ask(2, Kind::Write, TxStart::None, None);
    stage.replied(1, 2, None, Some(NotRun::Stopping));
    stage.read(3);
    stage.ask(4, Kind::Commit, TxStart::None, Some(1));
    insta::assert_snapshot!(stage.said());
}

#[rstest]
#[case::read(Kind::Read, TxStart::None)]
#[case::first_of_transaction(Kind::Write, TxStart::ReadWrite)]
fn a_request_that_may_have_run_before_is_never_told_that_it_has_not(
    #[case] kind: Kind,
    #[case] opening: TxStart,
) {
    let mut stage = Stage::new();
    stage.ask(1, kind, opening, None);
    stage.closed(1, true);
    stage.replied(2, 1, None, Some(NotRun::Late));
    insta::assert_snapshot!(format!("tried_before_{kind:?}"), stage.said());
}

#[test]
fn a_refusal_of_the_owner_is_passed_on() {
    let mut stage = Stage::new();
    stage.read(1);
    stage.replied(1, 1, None, Some(NotRun::Behind));
    insta::assert_snapshot!(stage.said());
}

#[test]
fn a_silent_owner_is_asked_and_then_given_up() {
    let mut stage = Stage::new();
    stage.read(1);
    stage.wait(150);
    stage.wait(350);
    insta::assert_snapshot!(stage.said());
}

#[test]
fn an_owner_that_answers_the_ping_is_waited_for() {
    let mut stage = Stage::new();
    stage.read(1);
    stage.wait(150);
    stage.event("alive", Event::Alive(LinkId(1)));
    stage.wait(100);
    stage.wait(60);
    stage.replied(1, 1, None, None);
    insta::assert_snapshot!(stage.said());
}

#[test]
fn a_reply_that_comes_after_the_request_went_elsewhere_leaves_nothing_open() {
    let mut stage = Stage::new();
    stage.ask(1, Kind::Write, TxStart::ReadWrite, None);
    stage.event("cancel", Event::Cancel(RequestId(1)));
    stage.replied(1, 1, Some(REMOTE), None);
    insta::assert_snapshot!(stage.said());
}

#[test]
fn an_unused_connection_is_closed() {
    let mut stage = Stage::new();
    stage.read(1);
    stage.replied(1, 1, None, None);
    stage.wait(10_000);
    stage.read(2);
    insta::assert_snapshot!(stage.said());
}
