//! Connections of many workspaces to one endpoint: which workspace gets one, and at whose expense.

mod fenced_group;

use std::{fmt::Write, time::Duration};

use fenced_group::{
    Harness, head,
    pool::{Load, Pool, fraction},
};
use goldcrest_decide::fenced::{Event, GroupConfig};
use goldcrest_types::{EndpointIx, Kind, Lease, Name, Pin, Timestamp, TxStart, TxState, Verdict};
use rstest::rstest;

/// The load of one owner at the largest workspace count in use: 82 workspaces, a few of them large, on a
/// quarter of an endpoint's 56 connections.
const SKEWED: Load = Load {
    workspaces: 82,
    skew: 1.2,
    share: 14,
    slots: 4,
    rate: 120.0,
    cost: Duration::from_millis(9),
    transactions: 0.2,
    length: Duration::from_secs(20),
};

/// The rules are checked at each action.
#[test]
fn a_connection_runs_nothing_of_another_workspace() {
    for seed in 0..60 {
        let share = [1, 2, 3, 5, 14][usize::try_from(seed % 5).unwrap()];
        let load = Load {
            workspaces: share * 7,
            skew: [0.2, 1.2, 2.0][usize::try_from(seed % 3).unwrap()],
            share,
            rate: [30.0, 90.0, 250.0, 600.0][usize::try_from(seed % 4).unwrap()],
            transactions: 0.4,
            length: Duration::from_secs(4),
            ..SKEWED
        };
        let pool = Pool::play(load, seed);
        assert!(pool.served > 20, "seed {seed}: {} served", pool.served);
    }
}

/// Returns a host with `share` connections to the leader of its group, which is known.
fn host(share: usize) -> Harness {
    let mut harness = Harness::with_config(GroupConfig {
        name: Name::from("orders"),
        share,
        drain: Duration::from_secs(5),
        settled_at: Timestamp::ZERO,
        limited: false,
    });
    harness.set_members(vec![fenced_group::member("leader", 1, true)]);
    harness
}

fn write(harness: &mut Harness, id: u64, workspace: &str) {
    send(harness, id, workspace, None, TxStart::None);
}

fn begin(harness: &mut Harness, id: u64, workspace: &str) {
    send(harness, id, workspace, None, TxStart::ReadWrite);
}

fn send(harness: &mut Harness, id: u64, workspace: &str, lease: Option<u64>, tx_start: TxStart) {
    let mut head = head(id, Kind::Write, 0, harness.now);
    head.workspace = Name::from(workspace);
    head.pin = lease.map(|lease| Pin {
        endpoint: EndpointIx(0),
        lease: Lease(lease),
    });
    let what = format!("{workspace} writes {id}");
    harness.event(&what, Event::Request(head, tx_start));
}

/// Opens a connection for a workspace, which then is idle.
fn connect(harness: &mut Harness, connection: u64, workspace: &str) {
    write(harness, connection + 100, workspace);
    harness.opened(connection);
    harness.answered(connection, connection + 100, Verdict::Done, TxState::Idle);
    harness.wait(5);
}

#[test]
fn the_connection_that_was_not_used_for_the_longest_time_is_evicted() {
    let mut harness = host(3);
    for (connection, workspace) in ["north", "south", "west"].into_iter().enumerate() {
        connect(&mut harness, connection as u64, workspace);
    }
    harness.clear_log();
    write(&mut harness, 1, "north");
    harness.answered(0, 1, Verdict::Done, TxState::Idle);
    harness.wait(5);
    write(&mut harness, 2, "east");
    harness.opened(3);
    harness.answered(3, 2, Verdict::Done, TxState::Idle);
    insta::assert_snapshot!(harness.log());
}

#[test]
fn nothing_is_evicted_while_room_is_left() {
    let mut harness = host(3);
    connect(&mut harness, 0, "north");
    connect(&mut harness, 1, "south");
    harness.clear_log();
    write(&mut harness, 1, "east");
    assert!(!harness.log().contains("Evict"), "{}", harness.log());
    assert!(harness.log().contains("Open"), "{}", harness.log());
}

/// One workspace keeps all connections busy. Another one gets the next that becomes idle once it has
/// waited for long, although the first has more to run.
#[test]
fn an_overdue_request_gets_a_connection_of_a_busy_workspace() {
    let mut harness = host(2);
    connect(&mut harness, 0, "north");
    write(&mut harness, 1, "north");
    write(&mut harness, 2, "north");
    harness.opened(1);
    write(&mut harness, 3, "south");
    write(&mut harness, 4, "north");
    write(&mut harness, 5, "north");
    harness.wait(60);
    harness.clear_log();
    harness.answered(0, 1, Verdict::Done, TxState::Idle);
    harness.answered(1, 2, Verdict::Done, TxState::Idle);
    insta::assert_snapshot!("overdue_request", harness.log());
}

/// While an endpoint is full, replacing a connection is of no use, and idle ones serve their workspace.
#[test]
fn connections_stay_in_use_while_an_endpoint_accepts_no_others() {
    let mut harness = host(3);
    connect(&mut harness, 0, "north");
    write(&mut harness, 1, "north");
    write(&mut harness, 2, "south");
    let full = goldcrest_types::ConnectionNotice::OpenFailed(goldcrest_types::OpenError::Full);
    harness.notice(1, full);
    write(&mut harness, 3, "north");
    harness.wait(80);
    harness.clear_log();
    harness.answered(0, 1, Verdict::Done, TxState::Idle);
    insta::assert_snapshot!(harness.log());
}

#[test]
fn the_connection_of_a_transaction_is_never_taken() {
    let mut harness = host(1);
    begin(&mut harness, 1, "north");
    harness.opened(0);
    harness.answered(0, 1, Verdict::Done, TxState::Open);
    write(&mut harness, 2, "south");
    harness.wait(400);
    harness.clear_log();
    // Another workspace can't use the transaction's lease.
    send(&mut harness, 3, "south", Some(1), TxStart::None);
    send(&mut harness, 4, "north", Some(1), TxStart::None);
    harness.answered(0, 4, Verdict::Done, TxState::Open);
    harness.event("release", Event::Release(EndpointIx(0), Lease(1)));
    harness.notice(0, goldcrest_types::ConnectionNotice::RolledBack);
    insta::assert_snapshot!(harness.log());
}

/// What callers get from one owner whose clients belong to many workspaces, of which a few are large.
#[rstest]
#[case::calm("calm", 120.0)]
#[case::busy("busy", 200.0)]
#[case::crowded("crowded", 300.0)]
fn workspaces_of_skewed_demand_share_connections(#[case] name: &str, #[case] rate: f64) {
    let mut out = String::new();
    for workspaces in [1, 82] {
        let load = Load {
            workspaces,
            rate,
            ..SKEWED
        };
        let mut pool = Pool::play(load, 7);
        let served = fraction(pool.served, pool.served + pool.refused);
        let worst = pool.worst_share(20);
        writeln!(
            out,
            "{workspaces} workspaces: {}\n  {served:.3} of all, {worst:.3} of the worst-served workspace",
            pool.summary()
        )
        .unwrap();
    }
    insta::assert_snapshot!(format!("skewed_{name}"), out);
}
