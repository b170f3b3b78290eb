//! One host's decisions for a group whose platform fences its primaries, without a network.

mod cluster;

use cluster::{Stage, member};
use goldcrest_decide::fenced::Event;
use goldcrest_types::{
    Claim, ConnectionNotice, EndpointIx, Kind, Lease, Mark, Name, OpenError, ReplicationStatus,
    RequestId, Role, StoreError, StoreNotice, Timestamp, TxState, Verdict,
};
use rstest::rstest;

/// A stage whose leader has an idle connection (0) and has just told its position, and whose near
/// replica has one too.
fn ready() -> Stage {
    let mut stage = Stage::new();
    stage.read(1, 0);
    stage.opened(0);
    stage.probed(0, Some(Mark::new(1, 5)));
    stage.opened(1);
    stage.ran(1, 1, Verdict::Done, TxState::Idle);
    stage.forget();
    stage
}

/// The lease that a survey works under.
fn claim() -> Claim {
    Claim {
        holder: Name::from("host-1"),
        token: 7,
    }
}

#[test]
fn a_read_of_the_latest_waits_for_a_sample_from_after_its_arrival() {
    let mut stage = ready();
    stage.wait(50);
    stage.read(2, 0);
    stage.probed(0, Some(Mark::new(1, 9)));
    insta::assert_snapshot!(stage.said());
}

#[test]
fn a_read_that_accepts_an_age_uses_the_oldest_sample_that_proves_it() {
    let mut stage = ready();
    stage.wait(600);
    stage.probed(0, Some(Mark::new(1, 30)));
    stage.forget();
    stage.read(2, 2_500);
    stage.ran(1, 2, Verdict::Done, TxState::Idle);
    stage.read(3, 500);
    insta::assert_snapshot!(stage.said());
}

#[test]
fn a_replica_that_lacks_the_floor_is_passed_over_and_the_leader_serves() {
    let mut stage = ready();
    stage.read(2, 2_500);
    stage.ran(1, 2, Verdict::Behind, TxState::Idle);
    insta::assert_snapshot!(stage.said());
}

#[rstest]
#[case::write_sent("write", true)]
#[case::write_unsent("write", false)]
#[case::read_sent("read", true)]
#[case::first_of_transaction("begin", true)]
fn a_lost_connection(#[case] what: &str, #[case] sent: bool) {
    let mut stage = ready();
    let link = match what {
        "write" => {
            stage.write(2);
            0
        }
        "begin" => {
            stage.begin(2, Kind::Write);
            0
        }
        _ => {
            stage.read(2, 2_500);
            1
        }
    };
    stage.notice(link, ConnectionNotice::Closed(Some((RequestId(2), sent))));
    insta::assert_snapshot!(format!("lost_{what}_{sent}"), stage.said());
}

#[rstest]
#[case::commit("commit", Kind::Commit)]
#[case::write("write", Kind::Write)]
fn a_transaction_that_loses_its_connection(#[case] name: &str, #[case] kind: Kind) {
    let mut stage = ready();
    stage.begin(2, Kind::Write);
    stage.ran(0, 2, Verdict::Done, TxState::Open);
    stage.in_transaction(3, kind, 2);
    stage.notice(0, ConnectionNotice::Closed(Some((RequestId(3), true))));
    insta::assert_snapshot!(format!("transaction_lost_{name}"), stage.said());
}

#[test]
fn a_commit_of_an_endpoint_that_was_replaced_meanwhile_is_of_unknown_outcome() {
    let mut stage = ready();
    stage.write(2);
    stage.ran(0, 2, Verdict::Unconfirmed, TxState::Idle);
    insta::assert_snapshot!(stage.said());
}

#[test]
fn a_refusal_of_an_endpoint_that_does_not_lead_sends_the_write_to_the_leader() {
    let mut stage = ready();
    stage.write(2);
    stage.ran(0, 2, Verdict::NotPrimary, TxState::Idle);
    stage.wait(100);
    stage.probed(1, Some(Mark::new(2, 5)));
    insta::assert_snapshot!(stage.said());
}

#[test]
fn a_transaction_that_is_given_up_is_rolled_back_on_its_connection() {
    let mut stage = ready();
    stage.begin(2, Kind::Read);
    stage.ran(0, 2, Verdict::Done, TxState::Open);
    stage.event("release", Event::Release(EndpointIx(0), Lease(2)));
    stage.notice(0, ConnectionNotice::RolledBack);
    insta::assert_snapshot!(stage.said());
}

#[test]
fn a_write_without_a_leader_is_refused_as_not_run_when_its_time_is_over() {
    let mut stage = ready();
    stage.list(vec![member("near", 1, false), member("far", 12, false)]);
    stage.forget();
    stage.write(2);
    stage.wait(700);
    insta::assert_snapshot!(stage.said());
}

#[test]
fn a_floor_of_an_older_term_is_replaced_by_the_newer_terms_first_sample() {
    let mut stage = ready();
    let mut head = cluster::head(2, Kind::Read, 2_500, stage.now);
    head.floor = goldcrest_types::Floor::At(Mark::new(1, 9));
    stage.wait(600);
    stage.probed(0, Some(Mark::new(2, 7)));
    stage.forget();
    stage.event("read 2", Event::Ask(head, goldcrest_types::TxStart::None));
    insta::assert_snapshot!(stage.said());
}

/// Lets the leader be silent for long enough to be suspected, with replicas that answer.
fn suspected() -> Stage {
    let mut stage = ready();
    stage.write(2);
    stage.notice(0, ConnectionNotice::Closed(Some((RequestId(2), true))));
    stage.write(3);
    stage.wait(200);
    let mut link = 2;
    while !stage.said().contains("Claim") && link < 12 {
        stage.notice(link, ConnectionNotice::OpenFailed(OpenError::Unreachable));
        link += 1;
        stage.wait(400);
    }
    stage.forget();
    stage
}

fn report(role: Role, held: Mark) -> ConnectionNotice {
    ConnectionNotice::Reported(Some(ReplicationStatus { role, held }))
}

#[test]
fn the_fullest_log_of_the_newest_term_is_promoted() {
    let mut stage = suspected();
    stage.event("claimed", Event::Store(StoreNotice::Claimed(Ok(claim()))));
    stage.notice(1, report(Role::Replica, Mark::new(2, 40)));
    let opened = stage.said();
    let link = opened
        .split("Open(ConnectionId(")
        .nth(1)
        .and_then(|rest| rest.split(')').next())
        .and_then(|number| number.parse().ok());
    let link = link.expect("a connection to the other candidate");
    stage.opened(link);
    stage.wait(60);
    stage.notice(link, report(Role::Replica, Mark::new(1, 90)));
    let order = stage.said();
    let order = order.lines().find(|line| line.contains("Promote"));
    insta::assert_snapshot!(order.unwrap_or("no promotion").trim());
}

#[test]
fn a_host_that_was_cut_off_follows_the_leader_that_was_promoted_meanwhile() {
    let mut stage = suspected();
    let replaced = StoreError::Replaced(Name::from("far"));
    stage.event("claimed", Event::Store(StoreNotice::Claimed(Err(replaced))));
    stage.wait(500);
    let leader = stage.cluster.leader().map(|m| m.name().clone());
    assert_eq!(leader.as_deref(), Some("far"));
    assert!(!stage.said().contains("Promote"), "{}", stage.said());
}

#[test]
fn the_successor_of_a_silent_leader_is_found_by_asking_the_others() {
    let mut stage = suspected();
    let outrun = StoreNotice::Claimed(Err(StoreError::Outrun));
    stage.event("claimed", Event::Store(outrun));
    stage.write(30);
    stage.probed(1, Some(Mark::new(2, 1)));
    insta::assert_snapshot!(stage.said());
}

#[test]
fn a_refused_token_is_dropped() {
    let mut stage = suspected();
    stage.event("claimed", Event::Store(StoreNotice::Claimed(Ok(claim()))));
    stage.notice(1, report(Role::Replica, Mark::new(1, 40)));
    stage.wait(950);
    let outrun = StoreNotice::Promoted(EndpointIx(1), Err(StoreError::Outrun));
    stage.event("promoted", Event::Store(outrun));
    stage.forget();
    stage.wait(2_000);
    assert!(!stage.said().contains("token: 7"), "{}", stage.said());
}

#[test]
fn a_lease_is_not_used_beyond_its_time() {
    let mut stage = suspected();
    stage.now = stage.now + goldcrest_decide::fenced::LEASE_USE;
    stage.event("claimed", Event::Store(StoreNotice::Claimed(Ok(claim()))));
    stage.notice(1, report(Role::Replica, Mark::new(1, 40)));
    stage.wait(1_000);
    assert!(!stage.said().contains("Promote"), "{}", stage.said());
}

#[test]
fn one_lost_connection_starts_no_promotion() {
    let mut stage = ready();
    stage.notice(0, ConnectionNotice::Closed(None));
    stage.write(2);
    stage.wait(150);
    stage.opened(2);
    stage.ran(2, 2, Verdict::Done, TxState::Idle);
    stage.wait(2_000);
    assert!(!stage.said().contains("Claim"), "{}", stage.said());
}

#[test]
fn a_leader_that_leaves_steps_down_before_its_successor_is_promoted() {
    let mut stage = ready();
    let mut leaving = member("leader", 12, true);
    leaving.leaving = true;
    stage.list(vec![
        leaving,
        member("near", 1, false),
        member("far", 12, false),
    ]);
    stage.event("claimed", Event::Store(StoreNotice::Claimed(Ok(claim()))));
    stage.notice(0, report(Role::Replica, Mark::new(1, 12)));
    stage.notice(1, report(Role::Replica, Mark::new(1, 11)));
    stage.wait(60);
    stage.notice(1, report(Role::Replica, Mark::new(1, 12)));
    insta::assert_snapshot!(stage.said());
}

#[test]
fn time_spent_suspended_makes_samples_old() {
    let mut stage = ready();
    stage.now = stage.now + std::time::Duration::from_secs(4);
    stage.read(2, 2_500);
    let served = stage.said().contains("Run(");
    assert!(!served, "{}", stage.said());
    assert!(stage.now > Timestamp::from_millis(13_000));
}

/// The first read of a transaction (2) has been tried on the near replica (1), and is now tried on
/// the leader (0).
fn tried_elsewhere() -> Stage {
    let mut stage = ready();
    let head = cluster::head(2, Kind::Read, 2_500, stage.now);
    let opening = goldcrest_types::TxStart::ReadOnly;
    stage.event("begin 2", Event::Ask(head, opening));
    stage.wait(360);
    stage
}

#[test]
fn a_read_that_is_tried_elsewhere_is_served_by_whoever_answers_first() {
    // Found by a hunt: the late answer was taken for the second try's, and that connection went to
    // the next statement with a transaction open.
    let mut stage = tried_elsewhere();
    stage.ran(1, 2, Verdict::Done, TxState::Open);
    stage.ran(0, 2, Verdict::Done, TxState::Open);
    insta::assert_snapshot!(stage.said());
}

#[test]
fn a_late_refusal_does_not_end_the_second_try() {
    let mut stage = tried_elsewhere();
    stage.ran(1, 2, Verdict::Busy, TxState::Idle);
    stage.ran(0, 2, Verdict::Done, TxState::Open);
    insta::assert_snapshot!(stage.said());
}

#[test]
fn the_end_of_the_first_tries_connection_does_not_end_the_second() {
    let mut stage = tried_elsewhere();
    stage.notice(1, ConnectionNotice::Closed(Some((RequestId(2), true))));
    stage.ran(0, 2, Verdict::Done, TxState::Open);
    insta::assert_snapshot!(stage.said());
}

#[test]
fn a_late_answer_serves_a_read_that_still_waits_for_its_second_try() {
    let mut stage = ready();
    stage.write(9);
    stage.read(2, 2_500);
    stage.wait(360);
    stage.forget();
    stage.ran(1, 2, Verdict::Done, TxState::Idle);
    insta::assert_snapshot!(stage.said());
}

#[rstest]
#[case::read("read", Kind::Read, goldcrest_types::TxStart::None)]
#[case::first_of_transaction("first", Kind::Write, goldcrest_types::TxStart::ReadWrite)]
fn a_request_that_was_sent_is_never_told_to_have_not_run(
    #[case] name: &str,
    #[case] kind: Kind,
    #[case] opening: goldcrest_types::TxStart,
) {
    let mut stage = ready();
    let head = cluster::head(2, kind, 2_500, stage.now);
    stage.event("ask 2", Event::Ask(head, opening));
    let link = u64::from(kind == Kind::Read);
    stage.notice(link, ConnectionNotice::Closed(Some((RequestId(2), true))));
    stage.list(Vec::new());
    stage.wait(700);
    assert!(!stage.said().contains("NotRun"), "{}", stage.said());
    insta::assert_snapshot!(format!("sent_and_expired_{name}"), stage.said());
}
