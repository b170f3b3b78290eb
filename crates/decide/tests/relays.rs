//! Which host runs the requests of a group that other hosts own, tested without a network.

use std::time::Duration;

use goldcrest_decide::relay::{Event, LinkId, Relay, ReplySummary};
use goldcrest_types::{
    Class, EndpointIx, Floor, Kind, Lease, Mark, Name, NotRun, Pin, RequestHead, RequestId,
    Timestamp, TxStart,
};
use rstest::rstest;

/// A relay with a simulated clock.
struct Harness {
    relay: Relay,
    now: Timestamp,
    log: Vec<String>,
}

/// The pin that the owner assigns to a transaction.
const REMOTE: Pin = Pin {
    endpoint: EndpointIx(2),
    lease: Lease(900),
};

impl Harness {
    /// A relay with two owners.
    fn new() -> Self {
        let mut harness = Self {
            relay: Relay::new(Name::from("own")),
            now: Timestamp::from_millis(10_000),
            log: Vec::new(),
        };
        let owners = ["first", "second"].map(Name::from);
        harness.event("owners", Event::Owners(owners.into_iter().collect()));
        harness
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

    fn request(&mut self, id: u64, kind: Kind, tx_start: TxStart, lease: Option<u64>) {
        let head = RequestHead {
            id: RequestId(id),
            workspace: Name::from("orders"),
            database: Name::from("orders"),
            priority: 0,
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
        self.event(&format!("{kind:?} {id}"), Event::Request(head, tx_start));
    }

    fn read(&mut self, id: u64) {
        self.request(id, Kind::Read, TxStart::None, None);
    }

    /// Opens a transaction at the first owner with statement 1.
    fn open(&mut self) {
        self.request(1, Kind::Write, TxStart::ReadWrite, None);
        self.replied(1, 1, Some(REMOTE), None);
    }

    fn replied(&mut self, link: u64, id: u64, pin: Option<Pin>, not_run: Option<NotRun>) {
        let event = Event::Replied(LinkId(link), RequestId(id), ReplySummary { pin, not_run });
        self.event(&format!("reply to {id}"), event);
    }

    fn closed(&mut self, link: u64, sent: bool) {
        self.event("closed", Event::Closed(LinkId(link), sent));
    }

    fn log(&self) -> String {
        self.log.join("\n")
    }
}

#[test]
fn a_transaction_stays_with_its_owner_under_a_pin_of_this_host() {
    let mut harness = Harness::new();
    harness.open();
    harness.request(2, Kind::Write, TxStart::None, Some(1));
    harness.replied(1, 2, Some(REMOTE), None);
    harness.request(3, Kind::Commit, TxStart::None, Some(1));
    harness.replied(1, 3, None, None);
    harness.request(4, Kind::Write, TxStart::None, Some(1));
    insta::assert_snapshot!(harness.log());
}

#[test]
fn a_transaction_that_is_abandoned_is_released_at_its_owner() {
    let mut harness = Harness::new();
    harness.open();
    harness.event("release", Event::Release(Lease(1)));
    insta::assert_snapshot!(harness.log());
}

#[rstest]
#[case::read_sent(Kind::Read, TxStart::None, true)]
#[case::write_sent(Kind::Write, TxStart::None, true)]
#[case::write_unsent(Kind::Write, TxStart::None, false)]
#[case::first_of_transaction(Kind::Write, TxStart::ReadWrite, true)]
#[case::commit_alone(Kind::Commit, TxStart::ReadWrite, true)]
fn a_request_whose_owner_is_lost_is_retried_or_refused(
    #[case] kind: Kind,
    #[case] tx_start: TxStart,
    #[case] sent: bool,
) {
    let mut harness = Harness::new();
    harness.request(1, kind, tx_start, None);
    harness.closed(1, sent);
    insta::assert_snapshot!(format!("lost_{kind:?}_{tx_start:?}_{sent}"), harness.log());
}

#[rstest]
#[case::write(Kind::Write)]
#[case::commit(Kind::Commit)]
fn a_transaction_whose_owner_is_lost_is_refused(#[case] kind: Kind) {
    let mut harness = Harness::new();
    harness.open();
    harness.request(2, kind, TxStart::None, Some(1));
    harness.closed(1, true);
    harness.request(3, Kind::Read, TxStart::None, Some(1));
    insta::assert_snapshot!(format!("lost_open_{kind:?}"), harness.log());
}

#[test]
fn without_an_owner_requests_are_refused_at_once_and_the_owners_are_pinged() {
    let mut harness = Harness::new();
    harness.read(1);
    harness.closed(1, false);
    harness.closed(2, false);
    harness.read(2);
    harness.wait(500);
    harness.event("alive", Event::Pong(LinkId(3)));
    harness.read(3);
    insta::assert_snapshot!(harness.log());
}

#[test]
fn a_host_that_is_next_serves_itself_when_the_owner_is_lost() {
    let mut harness = Harness::new();
    let owners = ["first", "own"].map(Name::from);
    harness.event("owners", Event::Owners(owners.into_iter().collect()));
    harness.read(1);
    harness.closed(1, false);
    harness.read(2);
    insta::assert_snapshot!(harness.log());
}

#[test]
fn a_failed_owner_gets_no_request_before_it_has_answered_a_ping() {
    let mut harness = Harness::new();
    harness.read(1);
    harness.closed(1, false);
    harness.wait(500);
    harness.read(2);
    harness.event("alive", Event::Pong(LinkId(3)));
    harness.read(3);
    insta::assert_snapshot!(harness.log());
}

#[test]
fn an_owner_that_shuts_down_is_skipped_at_once_and_its_transactions_continue() {
    let mut harness = Harness::new();
    harness.open();
    harness.request(2, Kind::Write, TxStart::None, None);
    harness.replied(1, 2, None, Some(NotRun::Stopping));
    harness.read(3);
    harness.request(4, Kind::Commit, TxStart::None, Some(1));
    insta::assert_snapshot!(harness.log());
}

#[rstest]
#[case::read(Kind::Read, TxStart::None)]
#[case::first_of_transaction(Kind::Write, TxStart::ReadWrite)]
fn a_request_that_may_have_run_before_is_never_reported_as_not_run(
    #[case] kind: Kind,
    #[case] tx_start: TxStart,
) {
    let mut harness = Harness::new();
    harness.request(1, kind, tx_start, None);
    harness.closed(1, true);
    harness.replied(2, 1, None, Some(NotRun::Late));
    insta::assert_snapshot!(format!("tried_before_{kind:?}"), harness.log());
}

#[test]
fn a_refusal_of_the_owner_is_passed_on() {
    let mut harness = Harness::new();
    harness.read(1);
    harness.replied(1, 1, None, Some(NotRun::Behind));
    insta::assert_snapshot!(harness.log());
}

/// A host that stands still for less than a statement's time limit has neither lost its work nor may
/// it be started again elsewhere.
#[test]
fn what_a_silent_owner_may_run_stays_with_it_and_new_requests_go_elsewhere() {
    let mut harness = Harness::new();
    harness.request(1, Kind::Write, TxStart::None, None);
    harness.wait(150);
    harness.wait(350);
    harness.request(2, Kind::Write, TxStart::None, None);
    harness.wait(100);
    harness.replied(1, 1, None, None);
    harness.request(3, Kind::Write, TxStart::None, None);
    insta::assert_snapshot!(harness.log());
}

#[test]
fn a_write_at_an_owner_that_stays_silent_has_an_unknown_outcome_at_its_deadline() {
    let mut harness = Harness::new();
    harness.request(1, Kind::Write, TxStart::None, None);
    harness.wait(150);
    harness.wait(350);
    harness.wait(400);
    insta::assert_snapshot!(harness.log());
}

#[test]
fn a_read_at_a_silent_owner_is_sent_elsewhere_and_the_first_reply_counts() {
    let mut harness = Harness::new();
    harness.read(1);
    harness.wait(150);
    harness.wait(350);
    harness.replied(1, 1, None, None);
    harness.replied(2, 1, None, None);
    insta::assert_snapshot!(harness.log());
}

/// After a host itself stood still, replies that arrived meanwhile are still unread.
#[test]
fn a_host_that_stood_still_blames_no_owner_for_the_silence() {
    let mut harness = Harness::new();
    harness.request(1, Kind::Write, TxStart::None, None);
    harness.wait(5_000);
    harness.replied(1, 1, None, None);
    insta::assert_snapshot!(harness.log());
}

#[test]
fn an_owner_that_answers_the_ping_is_waited_for() {
    let mut harness = Harness::new();
    harness.read(1);
    harness.wait(150);
    harness.event("alive", Event::Pong(LinkId(1)));
    harness.wait(100);
    harness.wait(60);
    harness.replied(1, 1, None, None);
    insta::assert_snapshot!(harness.log());
}

#[test]
fn a_reply_after_a_cancellation_leaves_no_transaction_open() {
    let mut harness = Harness::new();
    harness.request(1, Kind::Write, TxStart::ReadWrite, None);
    harness.event("cancel", Event::Cancel(RequestId(1)));
    harness.replied(1, 1, Some(REMOTE), None);
    insta::assert_snapshot!(harness.log());
}

#[test]
fn an_unused_link_is_closed() {
    let mut harness = Harness::new();
    harness.read(1);
    harness.replied(1, 1, None, None);
    harness.wait(10_000);
    harness.read(2);
    insta::assert_snapshot!(harness.log());
}
