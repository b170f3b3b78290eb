//! A panic in the task of a group ends neither its host nor the group for good.

use std::{cell::Cell, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use compio::time::{sleep, timeout};
use flume::Receiver;
use goldcrest_clock::Clock;
use goldcrest_decide::{fenced::MemberInfo, owners::Candidate, session_state::Freshness};
use goldcrest_fenced::{
    Configuration, Directory, DiscoveredEndpoint, EndpointConnection, Environment, Identity, Peer,
    Route, ServiceRules,
};
use goldcrest_types::{
    Class, Floor, KeyDigest, Kind, Mark, Name, RequestHead, RequestId, SessionCommand, Statement,
    TxStart,
};

const RULES: ServiceRules = ServiceRules {
    connections: 16,
    sync_replicas: 0,
};

const WAIT: Duration = Duration::from_secs(5);

fn address() -> SocketAddr {
    "127.0.6.1:7440".parse().unwrap()
}

/// A directory with one database. The first connection that its group opens panics, later ones are
/// reported.
fn directory(clock: Clock) -> (Directory, Receiver<EndpointConnection>) {
    let (opened, connections) = flume::unbounded();
    let panics = Rc::new(Cell::new(true));
    let start = move |config| {
        let (opened, panics) = (opened.clone(), Rc::clone(&panics));
        let environment = Environment {
            clock,
            host: Name::from("host-1"),
            connect: Box::new(move |connection| {
                assert!(!panics.replace(false), "planted");
                opened.send(connection).unwrap();
            }),
            succession: Box::new(|_, _, _| {}),
            connect_host: Rc::new(|_| {}),
            record_duration: Rc::new(|_, _, _| {}),
        };
        goldcrest_fenced::start(config, environment)
    };
    let identity = Identity {
        host: Name::from("host-1"),
        region: Name::from("east"),
    };
    let mut directory = Directory::new(identity, WAIT, Box::new(start));
    directory.update_hosts(vec![Peer {
        candidate: Candidate {
            host: Name::from("host-1"),
            region: Name::from("east"),
            capacity: 1.0,
        },
        address: address(),
        needs: std::iter::empty().collect(),
    }]);
    directory.apply(configuration());
    directory.set_endpoints([(Name::from("svc"), vec![endpoint()])].into());
    (directory, connections)
}

fn configuration() -> Configuration {
    let route = Route {
        service: Name::from("svc"),
        freshness: Freshness::Latest,
        timeout: Duration::from_millis(800),
        priority: 0,
        open: false,
    };
    Configuration {
        version: 1,
        routes: [(Name::from("orders"), route)].into(),
        services: [(Name::from("svc"), RULES)].into(),
        workspaces: None,
        idle: WAIT,
        faults: Vec::new(),
    }
}

fn endpoint() -> DiscoveredEndpoint {
    DiscoveredEndpoint {
        info: MemberInfo {
            name: Name::from("leader"),
            incarnation: 1,
            latency: Duration::from_millis(1),
            leaving: false,
            claims_primary: true,
        },
        address: address(),
    }
}

fn write(id: u64, clock: Clock) -> SessionCommand<Statement> {
    let now = clock.now();
    let statement = Statement {
        head: RequestHead {
            id: RequestId(id),
            workspace: Name::from("orders"),
            database: Name::from("orders"),
            priority: 0,
            kind: Kind::Write,
            class: Class::Short,
            floor: Floor::At(Mark::default()),
            max_age: Some(Duration::ZERO),
            pin: None,
            idempotent: false,
            arrived: now,
            start_by: now + Duration::from_millis(700),
            deadline: now + Duration::from_millis(800),
        },
        label: Name::from("q1"),
        text: Name::from("WRITE a 1"),
        tx_start: TxStart::None,
        settings: std::iter::empty().collect(),
    };
    SessionCommand::Run(Arc::new(statement), flume::unbounded().0)
}

#[compio::test]
async fn a_group_whose_task_panics_is_started_again() {
    let clock = Clock::start();
    let (mut directory, connections) = directory(clock);
    // The first connection is opened once the host counts as settled or at once: either panics.
    let target = directory
        .find("orders", &KeyDigest::new(Name::new()))
        .unwrap();
    target.group.send(write(1, clock)).unwrap();
    sleep(Duration::from_millis(50)).await;
    assert!(target.group.is_disconnected(), "the group did not panic");
    directory.restart_ended_groups();
    let target = directory
        .find("orders", &KeyDigest::new(Name::new()))
        .unwrap();
    target.group.send(write(2, clock)).unwrap();
    let opened = timeout(WAIT, connections.recv_async())
        .await
        .unwrap()
        .unwrap();
    assert_eq!(opened.endpoint, "leader");
}

/// A group that is created after the other hosts are known has its assignment at once. Without it,
/// hosts of a large fleet would open connections of their own until the hosts are read again.
#[compio::test]
async fn a_new_group_of_a_large_fleet_sends_its_requests_to_owners_at_once() {
    let clock = Clock::start();
    let (mut directory, _connections) = directory(clock);
    let peers = (1..=100).map(|number| Peer {
        candidate: Candidate {
            host: Name::from(format!("host-{number}")),
            region: Name::from("east"),
            // This host is too small to own anything.
            capacity: if number == 1 { 0.01 } else { 1.0 },
        },
        address: address(),
        needs: std::iter::empty().collect(),
    });
    directory.update_hosts(peers.collect());
    let mut next = configuration();
    next.version = 2;
    next.services.insert(Name::from("new"), RULES);
    let route = Route {
        service: Name::from("new"),
        ..next.routes["orders"].clone()
    };
    next.routes.insert(Name::from("visits"), route);
    directory.apply(next);
    let group = directory.local_group("new").unwrap();
    let target = directory
        .find("visits", &KeyDigest::new(Name::new()))
        .unwrap();
    assert!(
        !target.group.same_channel(&group),
        "it uses its own connections"
    );
}
