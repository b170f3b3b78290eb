//! Promotions in groups whose commits are acknowledged once replicas have received them.

mod fenced_group;

use fenced_group::{
    Harness, claim, fail_leader, member, ready, report, status, suspected,
    synchronous::{Listing, Rule, World},
};
use goldcrest_decide::fenced::{Assignment, Event};
use goldcrest_types::{ConnectionNotice, EndpointIx, Mark, Role, StoreError, StoreNotice, Term};
use rstest::rstest;

/// Acknowledges commits once one replica has received them.
fn synchronous(mut harness: Harness) -> Harness {
    let assignment = Assignment {
        connections: 3,
        borrowable: 0,
        settling: 1,
        replaces_leaving: true,
        sync_replicas: 1,
    };
    harness.event("assign", Event::Assign(assignment));
    harness.clear_log();
    harness
}

/// A survey under a claimed lease, and the number of the connection to far. Near has connection 1.
fn surveyed() -> (Harness, u64) {
    let mut harness = synchronous(suspected());
    harness.event("claimed", Event::Store(StoreNotice::Claimed(Ok(claim()))));
    let far = connection_to(&harness, 2);
    harness.opened(far);
    harness.wait(60);
    harness.clear_log();
    (harness, far)
}

/// A survey in which both replicas have reported and are asked to pause.
fn pausing() -> (Harness, u64) {
    let (mut harness, far) = surveyed();
    harness.notice(1, report(Role::Replica, Mark::new(1, 40)));
    harness.notice(far, report(Role::Replica, Mark::new(1, 39)));
    harness.wait(60);
    (harness, far)
}

/// The number of the connection that was last opened to an endpoint.
fn connection_to(harness: &Harness, endpoint: u16) -> u64 {
    let log = harness.log();
    let end = format!("), EndpointIx({endpoint}), \"\")");
    let mut opened = log.lines().filter_map(|line| {
        let number = line.trim().strip_prefix("Open(ConnectionId(")?;
        number.strip_suffix(&end)?.parse().ok()
    });
    opened.next_back().expect("a connection to the endpoint")
}

fn paused(term: u64, held: Mark) -> ConnectionNotice {
    ConnectionNotice::Paused(Term(term), Some(status(Role::Replica, held)))
}

/// The promoted replica lacked what the other one received, and acknowledged, after its report.
#[test]
fn replicas_are_paused_before_one_is_promoted() {
    let (mut harness, far) = pausing();
    harness.notice(1, paused(2, Mark::new(1, 41)));
    harness.notice(far, paused(2, Mark::new(1, 45)));
    insta::assert_snapshot!(harness.log());
}

/// A survey that ended after 0.9 s promoted a replica without asking the one with the last commits.
#[test]
fn no_replica_is_promoted_or_paused_while_another_one_does_not_report() {
    let (mut harness, _) = surveyed();
    harness.notice(1, report(Role::Replica, Mark::new(1, 40)));
    harness.wait(2_400);
    let log = harness.log();
    assert!(!log.contains("Promote") && !log.contains("Pause("), "{log}");
}

/// An endpoint ignores a pause at a term that is not above all known ones.
#[test]
fn a_pause_that_was_ignored_is_repeated_at_a_higher_term() {
    let (mut harness, far) = pausing();
    harness.clear_log();
    let mut newer = status(Role::Replica, Mark::new(1, 41));
    newer.term = Term(5);
    harness.notice(1, ConnectionNotice::Paused(Term(2), Some(newer)));
    harness.notice(far, paused(2, Mark::new(1, 40)));
    harness.wait(60);
    insta::assert_snapshot!(harness.log());
}

/// A replica that is shutting down counts as a synchronous one until it ends.
#[test]
fn a_replica_that_shuts_down_is_promoted_if_it_alone_holds_the_last_commits() {
    let (mut harness, far) = pausing();
    let mut leaving = member("far", 12, false);
    leaving.leaving = true;
    harness.set_members(vec![
        member("leader", 12, true),
        member("near", 1, false),
        leaving,
    ]);
    harness.clear_log();
    harness.notice(1, paused(2, Mark::new(1, 41)));
    harness.notice(far, paused(2, Mark::new(1, 45)));
    insta::assert_snapshot!(harness.log());
}

/// A lagging replica was promoted once discovery had dropped the one that had acknowledged the last commits.
#[rstest]
#[case::no_later_position("no_later_position", None, 45, false)]
#[case::behind("behind", Some(41), 40, false)]
#[case::caught_up("caught_up", Some(41), 41, false)]
#[case::listed_again("listed_again", None, 40, true)]
fn a_replica_that_discovery_dropped_counts_until_its_commits_are_covered(
    #[case] name: &str,
    #[case] leader_reached: Option<u64>,
    #[case] far_holds: u64,
    #[case] returns: bool,
) {
    let mut harness = synchronous(ready());
    harness.set_members(vec![member("leader", 12, true), member("far", 12, false)]);
    harness.wait(500);
    if let Some(reached) = leader_reached {
        harness.probed(0, Some(Mark::new(1, reached)));
    }
    let mut harness = fail_leader(harness);
    harness.event("claimed", Event::Store(StoreNotice::Claimed(Ok(claim()))));
    let far = connection_to(&harness, 2);
    harness.opened(far);
    harness.wait(60);
    if returns {
        let near = member("near", 1, false);
        harness.set_members(vec![
            member("leader", 12, true),
            near,
            member("far", 12, false),
        ]);
    }
    harness.clear_log();
    harness.notice(far, report(Role::Replica, Mark::new(1, far_holds)));
    harness.wait(60);
    harness.notice(far, paused(2, Mark::new(1, far_holds)));
    harness.wait(60);
    insta::assert_snapshot!(format!("dropped_{name}"), harness.log());
}

#[test]
fn replicas_receive_again_after_a_survey_without_a_result() {
    let (mut harness, _) = pausing();
    harness.notice(1, paused(2, Mark::new(1, 41)));
    harness.clear_log();
    harness.wait(2_400);
    harness.notice(1, ConnectionNotice::Resumed(true));
    insta::assert_snapshot!(harness.log());
}

/// Commits that are acknowledged while the order may still be carried out would be lost.
#[test]
fn replicas_stay_paused_while_the_outcome_of_an_order_is_unknown() {
    let (mut harness, far) = pausing();
    harness.notice(1, paused(2, Mark::new(1, 45)));
    harness.notice(far, paused(2, Mark::new(1, 41)));
    harness.clear_log();
    let lost = StoreNotice::Promoted(EndpointIx(1), Err(StoreError::Unknown));
    harness.event("promoted", Event::Store(lost));
    harness.wait(500);
    let log = harness.log();
    assert!(!log.contains("Resume"), "{log}");
}

/// A leader that steps down acknowledges nothing more, so a replica that holds its log holds all.
#[rstest]
#[case::caught_up("caught_up", true)]
#[case::silent("silent", false)]
fn a_planned_switchover_loses_no_commit(#[case] name: &str, #[case] steps_down: bool) {
    let (mut harness, far) = switching_over();
    if steps_down {
        harness.notice(0, report(Role::Primary, Mark::new(1, 12)));
        harness.notice(0, report(Role::Replica, Mark::new(1, 12)));
    }
    harness.notice(1, report(Role::Replica, Mark::new(1, 11)));
    harness.wait(60);
    harness.notice(far, report(Role::Replica, Mark::new(1, 12)));
    if !steps_down {
        harness.notice(1, report(Role::Replica, Mark::new(1, 12)));
        harness.wait(1_440);
        harness.notice(1, report(Role::Replica, Mark::new(1, 12)));
        harness.notice(far, report(Role::Replica, Mark::new(1, 12)));
        harness.wait(60);
        harness.notice(1, paused(2, Mark::new(1, 14)));
        harness.notice(far, paused(2, Mark::new(1, 13)));
    }
    insta::assert_snapshot!(format!("planned_{name}"), harness.log());
}

/// A planned switchover under a claimed lease: the leader is asked first, and far has a connection.
fn switching_over() -> (Harness, u64) {
    let mut harness = synchronous(ready());
    let mut leaving = member("leader", 12, true);
    leaving.leaving = true;
    harness.set_members(vec![
        leaving,
        member("near", 1, false),
        member("far", 12, false),
    ]);
    harness.event("claimed", Event::Store(StoreNotice::Claimed(Ok(claim()))));
    let far = connection_to(&harness, 2);
    harness.opened(far);
    harness.clear_log();
    (harness, far)
}

/// A leader's status at a term that this host has not seen.
fn leads_at(term: u64, held: Mark) -> ConnectionNotice {
    let mut leading = status(Role::Primary, held);
    leading.term = Term(term);
    ConnectionNotice::Reported(Some(leading))
}

/// A leader ignored the command to step down, at a term that was not above its own, and its answer was taken
/// for the proof that it had. What it acknowledged from then on was lost.
#[test]
fn a_leader_that_goes_on_leading_is_not_taken_for_stepped_down() {
    let (mut harness, _) = switching_over();
    harness.notice(0, leads_at(3, Mark::new(3, 12)));
    harness.notice(1, report(Role::Replica, Mark::new(3, 12)));
    harness.wait(60);
    harness.notice(0, leads_at(3, Mark::new(3, 13)));
    harness.notice(1, report(Role::Replica, Mark::new(3, 13)));
    harness.wait(60);
    let log = harness.log();
    assert!(!log.contains("Promote"), "{log}");
    harness.notice(0, report(Role::Replica, Mark::new(3, 14)));
    harness.notice(1, report(Role::Replica, Mark::new(3, 14)));
    insta::assert_snapshot!(harness.log());
}

/// A host that had not seen the present leader took a lagging replica's log for the last leader's.
#[test]
fn a_replica_that_was_taken_for_the_leader_shows_nothing() {
    let (mut harness, _) = switching_over();
    harness.notice(0, report(Role::Replica, Mark::new(1, 12)));
    harness.notice(1, report(Role::Replica, Mark::new(1, 12)));
    harness.wait(60);
    let log = harness.log();
    assert!(!log.contains("Promote"), "{log}");
}

/// The leader had led again, and acknowledged more, since it gave the answer.
#[test]
fn an_answer_from_an_earlier_survey_shows_nothing() {
    let (mut harness, _) = switching_over();
    harness.notice(0, report(Role::Primary, Mark::new(1, 12)));
    // The answer to the command to step down comes only in the next survey.
    harness.wait(3_000);
    harness.event("claimed", Event::Store(StoreNotice::Claimed(Ok(claim()))));
    harness.clear_log();
    harness.notice(0, report(Role::Replica, Mark::new(1, 12)));
    harness.notice(1, report(Role::Replica, Mark::new(1, 12)));
    harness.wait(60);
    let log = harness.log();
    assert!(!log.contains("Promote"), "{log}");
}

/// What a group with one synchronous replica loses in 200 runs.
fn play(rule: Rule) -> u64 {
    let (mut lost, mut faulty) = (0, Vec::new());
    for seed in 0..200 {
        let mut world = World::new(rule, seed);
        world.run();
        lost += world.lost;
        if world.served == 0 || world.is_paused() {
            faulty.push((seed, world.served, world.promotions));
        }
    }
    assert!(faulty.is_empty(), "not served, or left paused: {faulty:?}");
    lost
}

const RULE: Rule = Rule {
    sync_replicas: 1,
    leaving: false,
    unreachable: false,
    late_order: false,
    listing: Listing::Complete,
};

#[rstest]
#[case::plain(RULE)]
#[case::leaving(Rule { leaving: true, ..RULE })]
#[case::unreachable(Rule { unreachable: true, ..RULE })]
#[case::late_order(Rule { late_order: true, ..RULE })]
#[case::dropped(Rule { listing: Listing::DropsReplica, ..RULE })]
#[case::all(Rule { leaving: true, unreachable: true, late_order: true, ..RULE })]
fn no_acknowledged_commit_is_lost_by_a_promotion(#[case] rule: Rule) {
    assert_eq!(play(rule), 0);
}

/// Shows that the simulation can lose commits.
#[test]
fn without_the_rule_promotions_lose_acknowledged_commits() {
    let unaware = Rule {
        sync_replicas: 0,
        ..RULE
    };
    assert!(play(unaware) > 0);
}
