//! Decisions of one host for a group whose platform fences replaced primaries, tested without a
//! network.

mod fenced_group;

use fenced_group::{Harness, claim, member, ready, report, suspected};
use goldcrest_decide::fenced::Event;
use goldcrest_types::{
    AnswerFault, Claim, ConnectionNotice, EndpointIx, Kind, Lease, Mark, Name, RequestId, Role,
    StatementResult, StoreError, StoreNotice, Timestamp, TxState, Verdict,
};
use rstest::rstest;

#[test]
fn a_read_of_the_latest_data_waits_for_a_sample_from_after_its_arrival() {
    let mut harness = ready();
    harness.wait(50);
    harness.read(2, 0);
    harness.probed(0, Some(Mark::new(1, 9)));
    insta::assert_snapshot!(harness.log());
}

#[test]
fn a_read_that_accepts_an_age_uses_the_oldest_sample_that_proves_it() {
    let mut harness = ready();
    harness.wait(600);
    harness.probed(0, Some(Mark::new(1, 30)));
    harness.clear_log();
    harness.read(2, 2_500);
    harness.answered(1, 2, Verdict::Done, TxState::Idle);
    harness.read(3, 500);
    insta::assert_snapshot!(harness.log());
}

#[test]
fn a_replica_that_lacks_the_floor_is_skipped_and_the_leader_serves() {
    let mut harness = ready();
    harness.read(2, 2_500);
    harness.answered(1, 2, Verdict::Behind, TxState::Idle);
    insta::assert_snapshot!(harness.log());
}

#[rstest]
#[case::write_sent("write", true)]
#[case::write_unsent("write", false)]
#[case::read_sent("read", true)]
#[case::first_of_transaction("begin", true)]
fn a_request_that_loses_its_connection_is_retried_or_refused(
    #[case] what: &str,
    #[case] sent: bool,
) {
    let mut harness = ready();
    let connection = match what {
        "write" => {
            harness.write(2);
            0
        }
        "begin" => {
            harness.begin(2, Kind::Write);
            0
        }
        _ => {
            harness.read(2, 2_500);
            1
        }
    };
    harness.notice(
        connection,
        ConnectionNotice::Closed(Some((RequestId(2), sent))),
    );
    insta::assert_snapshot!(format!("lost_{what}_{sent}"), harness.log());
}

#[rstest]
#[case::commit("commit", Kind::Commit)]
#[case::write("write", Kind::Write)]
fn a_transaction_that_loses_its_connection_is_refused(#[case] name: &str, #[case] kind: Kind) {
    let mut harness = ready();
    harness.begin(2, Kind::Write);
    harness.answered(0, 2, Verdict::Done, TxState::Open);
    harness.in_transaction(3, kind, 2);
    harness.notice(0, ConnectionNotice::Closed(Some((RequestId(3), true))));
    insta::assert_snapshot!(format!("transaction_lost_{name}"), harness.log());
}

#[test]
fn a_commit_at_an_endpoint_that_was_replaced_meanwhile_has_an_unknown_outcome() {
    let mut harness = ready();
    harness.write(2);
    harness.answered(0, 2, Verdict::Unconfirmed, TxState::Idle);
    insta::assert_snapshot!(harness.log());
}

#[test]
fn a_refusal_of_an_endpoint_that_does_not_lead_sends_the_write_to_the_leader() {
    let mut harness = ready();
    harness.write(2);
    harness.answered(0, 2, Verdict::NotPrimary, TxState::Idle);
    harness.wait(100);
    harness.probed(1, Some(Mark::new(2, 5)));
    insta::assert_snapshot!(harness.log());
}

#[test]
fn a_transaction_that_is_abandoned_is_rolled_back_on_its_connection() {
    let mut harness = ready();
    harness.begin(2, Kind::Read);
    harness.answered(0, 2, Verdict::Done, TxState::Open);
    harness.event("release", Event::Release(EndpointIx(0), Lease(2)));
    harness.notice(0, ConnectionNotice::RolledBack);
    insta::assert_snapshot!(harness.log());
}

#[test]
fn a_write_without_a_leader_is_refused_as_not_run_when_it_can_no_longer_start() {
    let mut harness = ready();
    harness.probed(0, None);
    harness.clear_log();
    harness.write(2);
    harness.wait(700);
    insta::assert_snapshot!(harness.log());
}

#[test]
fn a_floor_of_an_older_term_is_replaced_by_the_newer_terms_first_sample() {
    let mut harness = ready();
    let mut head = fenced_group::head(2, Kind::Read, 2_500, harness.now);
    head.floor = goldcrest_types::Floor::At(Mark::new(1, 9));
    harness.wait(600);
    harness.probed(0, Some(Mark::new(2, 7)));
    harness.clear_log();
    harness.event(
        "read 2",
        Event::Request(head, goldcrest_types::TxStart::None),
    );
    insta::assert_snapshot!(harness.log());
}

#[test]
fn the_candidate_with_the_most_advanced_log_is_promoted() {
    let mut harness = suspected();
    harness.event("claimed", Event::Store(StoreNotice::Claimed(Ok(claim()))));
    harness.notice(1, report(Role::Replica, Mark::new(2, 40)));
    let opened = harness.log();
    let connection = opened
        .split("Open(ConnectionId(")
        .nth(1)
        .and_then(|rest| rest.split(')').next())
        .and_then(|number| number.parse().ok());
    let connection = connection.expect("a connection to the other candidate");
    harness.opened(connection);
    harness.wait(60);
    harness.notice(connection, report(Role::Replica, Mark::new(1, 90)));
    let order = harness.log();
    let order = order.lines().find(|line| line.contains("Promote"));
    insta::assert_snapshot!(order.unwrap_or("no promotion").trim());
}

#[test]
fn a_host_that_was_cut_off_follows_the_leader_that_was_promoted_meanwhile() {
    let mut harness = suspected();
    let replaced = StoreError::Replaced(Name::from("far"));
    harness.event("claimed", Event::Store(StoreNotice::Claimed(Err(replaced))));
    harness.wait(500);
    let leader = harness.group.leader().map(|m| m.name().clone());
    assert_eq!(leader.as_deref(), Some("far"));
    assert!(!harness.log().contains("Promote"), "{}", harness.log());
}

#[test]
fn the_successor_of_a_silent_leader_is_found_by_probing_the_others() {
    let mut harness = suspected();
    let conflict = StoreNotice::Claimed(Err(StoreError::Outrun));
    harness.event("claimed", Event::Store(conflict));
    harness.write(30);
    harness.probed(1, Some(Mark::new(2, 1)));
    insta::assert_snapshot!(harness.log());
}

#[test]
fn a_rejected_token_is_not_used_again() {
    let mut harness = suspected();
    harness.event("claimed", Event::Store(StoreNotice::Claimed(Ok(claim()))));
    harness.notice(1, report(Role::Replica, Mark::new(1, 40)));
    harness.wait(950);
    let conflict = StoreNotice::Promoted(EndpointIx(1), Err(StoreError::Outrun));
    harness.event("promoted", Event::Store(conflict));
    harness.clear_log();
    harness.wait(2_000);
    assert!(!harness.log().contains("token: 7"), "{}", harness.log());
}

/// Orders the promotion of the near replica (1) and loses the platform's answer. Then claims the
/// lease again.
fn unanswered_promotion() -> Harness {
    let mut harness = suspected();
    harness.event("claimed", Event::Store(StoreNotice::Claimed(Ok(claim()))));
    harness.notice(1, report(Role::Replica, Mark::new(1, 40)));
    harness.wait(950);
    assert!(harness.log().contains("Promote"), "{}", harness.log());
    let lost = StoreNotice::Promoted(EndpointIx(1), Err(StoreError::Unknown));
    harness.event("promoted", Event::Store(lost));
    harness.wait(500);
    let claim = Claim {
        token: 8,
        ..claim()
    };
    harness.clear_log();
    harness.event("claimed", Event::Store(StoreNotice::Claimed(Ok(claim))));
    harness
}

/// The first order may have been carried out. A second one for another endpoint would roll back what
/// the first endpoint has acknowledged since.
#[rstest]
#[case::not_leading_yet("replica", Role::Replica)]
#[case::leading("primary", Role::Primary)]
fn a_promotion_without_an_answer_is_ordered_again_for_the_same_endpoint(
    #[case] name: &str,
    #[case] role: Role,
) {
    let mut harness = unanswered_promotion();
    harness.opened(20);
    harness.notice(1, report(role, Mark::new(1, 41)));
    let log = harness.log();
    let order = log.lines().find(|line| line.contains("Promote"));
    insta::assert_snapshot!(
        format!("ordered_again_{name}"),
        order.unwrap_or("no promotion").trim()
    );
}

/// Another host may have promoted an endpoint in the meantime.
#[test]
fn an_endpoint_that_reports_to_lead_is_asked_for_a_proof_and_not_replaced() {
    let mut harness = suspected();
    harness.event("claimed", Event::Store(StoreNotice::Claimed(Ok(claim()))));
    harness.notice(1, report(Role::Primary, Mark::new(2, 41)));
    harness.wait(60);
    harness.probed(1, Some(Mark::new(2, 41)));
    harness.wait(1_000);
    let log = harness.log();
    assert!(
        log.contains("LeaderProved(EndpointIx(1), Term(2))"),
        "{log}"
    );
    assert!(!log.contains("Promote"), "{log}");
}

#[test]
fn a_lease_is_not_used_after_it_expires() {
    let mut harness = suspected();
    harness.now = harness.now + goldcrest_decide::fenced::LEASE_USE;
    harness.event("claimed", Event::Store(StoreNotice::Claimed(Ok(claim()))));
    harness.notice(1, report(Role::Replica, Mark::new(1, 40)));
    harness.wait(1_000);
    assert!(!harness.log().contains("Promote"), "{}", harness.log());
}

#[test]
fn one_lost_connection_starts_no_promotion() {
    let mut harness = ready();
    harness.notice(0, ConnectionNotice::Closed(None));
    harness.write(2);
    harness.wait(150);
    harness.opened(2);
    harness.answered(2, 2, Verdict::Done, TxState::Idle);
    harness.wait(2_000);
    assert!(!harness.log().contains("Claim"), "{}", harness.log());
}

#[test]
fn a_statement_that_a_closed_connection_never_took_is_sent_on_another_one() {
    let mut harness = ready();
    harness.write(2);
    harness.notice(0, ConnectionNotice::Closed(None));
    harness.wait(150);
    harness.opened(2);
    harness.answered(2, 2, Verdict::Done, TxState::Idle);
    insta::assert_snapshot!(harness.log());
}

#[test]
fn connections_that_are_out_of_step_at_once_are_not_reopened_without_a_pause() {
    let mut harness = ready();
    harness.notice(0, ConnectionNotice::Closed(None));
    harness.write(2);
    harness.wait(150);
    harness.opened(2);
    harness.notice(2, ConnectionNotice::OutOfStep(AnswerFault::Unrequested));
    harness.notice(2, ConnectionNotice::Closed(Some((RequestId(2), false))));
    harness.wait(60);
    harness.wait(60);
    insta::assert_snapshot!(harness.log());
}

#[rstest]
#[case::read(Kind::Read)]
#[case::write(Kind::Write)]
fn an_endpoint_whose_answers_are_out_of_step_is_not_taken_for_a_failed_one(#[case] kind: Kind) {
    let mut harness = ready();
    match kind {
        Kind::Read => harness.read(2, 0),
        _ => harness.write(2),
    }
    harness.notice(0, ConnectionNotice::OutOfStep(AnswerFault::Repeated));
    harness.notice(0, ConnectionNotice::Closed(Some((RequestId(2), true))));
    harness.write(3);
    let counts = harness.group.counts();
    insta::assert_snapshot!(
        format!("out_of_step_{kind:?}"),
        format!("{}\nrepeated {}", harness.log(), counts.repeated)
    );
}

#[test]
fn a_leader_that_shuts_down_steps_down_before_its_successor_is_promoted() {
    let mut harness = ready();
    let mut leaving = member("leader", 12, true);
    leaving.leaving = true;
    harness.set_members(vec![
        leaving,
        member("near", 1, false),
        member("far", 12, false),
    ]);
    harness.event("claimed", Event::Store(StoreNotice::Claimed(Ok(claim()))));
    harness.notice(0, report(Role::Replica, Mark::new(1, 12)));
    harness.notice(1, report(Role::Replica, Mark::new(1, 11)));
    harness.wait(60);
    harness.notice(1, report(Role::Replica, Mark::new(1, 12)));
    insta::assert_snapshot!(harness.log());
}

#[test]
fn time_spent_suspended_counts_towards_the_age_of_samples() {
    let mut harness = ready();
    harness.now = harness.now + std::time::Duration::from_secs(4);
    harness.read(2, 2_500);
    let served = harness.log().contains("Run(");
    assert!(!served, "{}", harness.log());
    assert!(harness.now > Timestamp::from_millis(13_000));
}

/// The first read of a transaction (2) was sent to the near replica (1), and is now retried at the
/// leader (0).
fn retried_elsewhere() -> Harness {
    let mut harness = ready();
    let head = fenced_group::head(2, Kind::Read, 2_500, harness.now);
    let tx_start = goldcrest_types::TxStart::ReadOnly;
    harness.event("begin 2", Event::Request(head, tx_start));
    harness.wait(360);
    harness
}

#[test]
fn a_read_that_is_retried_elsewhere_is_served_by_the_first_answer() {
    // Guards against taking the late answer for that of the second attempt, which handed the
    // connection to the next statement with a transaction still open.
    let mut harness = retried_elsewhere();
    harness.answered(1, 2, Verdict::Done, TxState::Open);
    harness.answered(0, 2, Verdict::Done, TxState::Open);
    insta::assert_snapshot!(harness.log());
}

#[test]
fn a_late_refusal_does_not_end_the_second_attempt() {
    let mut harness = retried_elsewhere();
    harness.answered(1, 2, Verdict::Busy, TxState::Idle);
    harness.answered(0, 2, Verdict::Done, TxState::Open);
    insta::assert_snapshot!(harness.log());
}

#[test]
fn the_end_of_the_first_attempts_connection_does_not_end_the_second() {
    let mut harness = retried_elsewhere();
    harness.notice(1, ConnectionNotice::Closed(Some((RequestId(2), true))));
    harness.answered(0, 2, Verdict::Done, TxState::Open);
    insta::assert_snapshot!(harness.log());
}

#[test]
fn a_late_answer_serves_a_read_that_still_waits_for_its_second_attempt() {
    let mut harness = ready();
    harness.write(9);
    harness.read(2, 2_500);
    harness.wait(360);
    harness.clear_log();
    harness.answered(1, 2, Verdict::Done, TxState::Idle);
    insta::assert_snapshot!(harness.log());
}

/// The position in a late answer counted as asked for when the second attempt was sent, or when the
/// answer arrived. A read of the latest data that had come in between was sent to a replica without it.
#[rstest]
#[case::second_attempt_runs("runs", true)]
#[case::second_attempt_waits("waits", false)]
fn a_late_answer_proves_the_leaders_position_only_from_its_own_attempt_on(
    #[case] name: &str,
    #[case] retried: bool,
) {
    let mut harness = ready();
    harness.begin(2, Kind::Read);
    harness.wait(10);
    harness.read(3, 0);
    harness.wait(360);
    if retried {
        harness.opened(2);
    }
    harness.wait(20);
    harness.clear_log();
    let result = StatementResult {
        verdict: Verdict::Done,
        body: bytes::Bytes::new(),
        mark: Some(Mark::new(1, 6)),
        led: true,
        tx: TxState::Open,
    };
    let answer = ConnectionNotice::Answered(RequestId(2), result);
    harness.notice(0, answer);
    let log = harness.log();
    assert!(
        !log.contains("Run("),
        "read 3 was served from an older position: {log}"
    );
    insta::assert_snapshot!(format!("late_answer_{name}"), log);
}

#[rstest]
#[case::read("read", Kind::Read, goldcrest_types::TxStart::None)]
#[case::first_of_transaction("first", Kind::Write, goldcrest_types::TxStart::ReadWrite)]
fn a_request_that_was_sent_is_never_reported_as_not_run(
    #[case] name: &str,
    #[case] kind: Kind,
    #[case] tx_start: goldcrest_types::TxStart,
) {
    let mut harness = ready();
    let head = fenced_group::head(2, kind, 2_500, harness.now);
    harness.event("request 2", Event::Request(head, tx_start));
    let connection = u64::from(kind == Kind::Read);
    harness.notice(
        connection,
        ConnectionNotice::Closed(Some((RequestId(2), true))),
    );
    harness.set_members(Vec::new());
    harness.wait(700);
    assert!(!harness.log().contains("NotRun"), "{}", harness.log());
    insta::assert_snapshot!(format!("sent_and_expired_{name}"), harness.log());
}

/// An endpoint that is slow to report disappears from discovery although it runs.
#[test]
fn an_endpoint_that_is_no_longer_listed_completes_what_it_runs() {
    let mut harness = ready();
    harness.write(2);
    harness.read(3, 2_500);
    harness.set_members(vec![member("far", 12, false)]);
    harness.wait(100);
    harness.answered(0, 2, Verdict::Done, TxState::Idle);
    harness.answered(1, 3, Verdict::Done, TxState::Idle);
    insta::assert_snapshot!(harness.log());
    assert!(!harness.log().contains("Refuse"), "{}", harness.log());
    let left: Vec<&str> = harness
        .group
        .members()
        .iter()
        .map(|m| m.name().as_str())
        .collect();
    assert_eq!(
        left,
        ["leader", "far"],
        "the leader leads until it is replaced"
    );
}

#[test]
fn a_replica_that_is_no_longer_listed_gets_no_new_reads() {
    let mut harness = ready();
    harness.set_members(vec![member("leader", 12, true), member("far", 12, false)]);
    harness.clear_log();
    harness.read(2, 2_500);
    harness.wait(700);
    assert!(
        !harness.log().contains("ConnectionId(1)"),
        "{}",
        harness.log()
    );
}

#[test]
fn a_leader_that_stays_unlisted_gets_no_writes_after_the_drain_time() {
    let mut harness = ready();
    harness.set_members(vec![member("near", 1, false), member("far", 12, false)]);
    harness.wait(5_100);
    assert!(harness.group.leader().is_none());
    harness.set_members(vec![member("leader", 12, true), member("near", 1, false)]);
    assert_eq!(
        harness.group.leader().map(|m| m.name().as_str()),
        Some("leader")
    );
}

/// What arrived while a host stood still is read only after the first tick.
#[rstest]
#[case::write("write", Kind::Write)]
#[case::read("read", Kind::Read)]
fn answers_that_arrived_while_the_host_stood_still_are_delivered(
    #[case] name: &str,
    #[case] kind: Kind,
) {
    let mut harness = ready();
    let connection = u64::from(kind == Kind::Read);
    let head = fenced_group::head(2, kind, 2_500, harness.now);
    harness.event(
        "request",
        Event::Request(head, goldcrest_types::TxStart::None),
    );
    harness.stand_still(5_000);
    harness.wait(20);
    harness.answered(connection, 2, Verdict::Done, TxState::Idle);
    assert!(!harness.log().contains("Refuse"), "{}", harness.log());
    assert!(harness.log().contains("Deliver"), "{}", harness.log());
    insta::assert_snapshot!(format!("stood_still_{name}"), harness.log());
}

/// After a power failure the endpoints still count the lost connections, and what is left must do for
/// all hosts.
#[test]
fn a_host_that_has_just_started_opens_one_connection_to_each_endpoint() {
    let config = goldcrest_decide::fenced::GroupConfig {
        name: Name::from("orders"),
        share: 3,
        drain: std::time::Duration::from_secs(5),
        settled_at: Timestamp::from_millis(13_500),
        limited: false,
    };
    let mut harness = Harness::with_config(config);
    for id in 1..=6 {
        harness.write(id);
    }
    let early = harness.log().matches("Open(").count();
    harness.wait(3_600);
    harness.clear_log();
    for id in 7..=12 {
        harness.write(id);
    }
    assert_eq!(early, 1);
    assert!(harness.log().contains("Open("), "{}", harness.log());
}
