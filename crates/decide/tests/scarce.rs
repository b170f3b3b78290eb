//! Simulates more hosts than an endpoint accepts connections, under moderate load. Compares what
//! clients get if each host holds its own connections, and if one host per region owns them.

mod fenced_group;

use std::fmt::Write;

use fenced_group::simulation::{Load, Simulation};
use goldcrest_decide::{
    owners::{Candidate, Holders, holders, ranking},
    share::{Demand, settling, share, standby},
};
use goldcrest_types::Name;

const HOSTS: usize = 69;

/// 200 writes of 8 ms per second for ten seconds, at four slots.
const LOAD: Load = Load {
    connections: 46,
    slots: 4,
    queue: 32,
    open_cost: 24,
    write_cost: 16,
    latency: 0,
    pause: 10,
    arrivals: 20_000,
    steps: 20_000,
};

#[test]
fn owners_serve_what_single_connections_refuse() {
    let candidates: Vec<Candidate> = (0..HOSTS)
        .map(|number| Candidate {
            host: Name::from(number.to_string()),
            region: Name::from(["east", "north", "west"][number % 3]),
            capacity: 0.12,
        })
        .collect();
    let Holders::Owners(owners) = holders("orders", LOAD.connections, &candidates) else {
        panic!("each host holds its own connections");
    };
    let mut demands: Vec<Demand> = owners
        .iter()
        .map(|host| Demand {
            host: host.clone(),
            need: 2.0,
        })
        .collect();
    demands.push(standby(&demands));
    let shares: Vec<usize> = candidates
        .iter()
        .map(|c| {
            if owners.contains(&c.host) {
                share(LOAD.connections, &demands, &c.host)
            } else {
                1
            }
        })
        .collect();
    // A step that is coprime to the number of hosts visits all of them.
    let client = |number: u64| usize::try_from(number).unwrap() * 31 % HOSTS;
    let mut single = Simulation::new(LOAD, &[1; HOSTS]);
    single.run(client);
    let mut owned = Simulation::new(LOAD, &shares);
    owned.run(|number| {
        let host = client(number);
        let region = &candidates[host].region;
        ranking("orders", region, &candidates)[0].parse().unwrap()
    });
    let mut summary = String::new();
    writeln!(summary, "single connections: {}", single.summary()).unwrap();
    writeln!(summary, "owners: {}", owned.summary()).unwrap();
    assert_eq!(owned.refused, 0, "{summary}");
    assert!(owned.served > single.served, "{summary}");
    insta::assert_snapshot!(summary);
}

/// 120 writes of 18 ms per second for three seconds, at six slots 12 ms away.
const RESTART: Load = Load {
    connections: 24,
    slots: 6,
    queue: 32,
    open_cost: 24,
    write_cost: 36,
    latency: 24,
    pause: 17,
    arrivals: 6_000,
    steps: 8_000,
};

#[test]
fn owners_that_restart_serve_more_with_the_connections_that_are_certainly_free() {
    let play = |settling: usize| {
        let mut simulation = Simulation::new(RESTART, &[settling; 3]);
        simulation.run(|number| usize::try_from(number).unwrap() % 3);
        simulation
    };
    let (one, more) = (play(1), play(settling(79, 4)));
    let summary = format!("one each: {}\nmore: {}", one.summary(), more.summary());
    assert!(more.served > one.served, "{summary}");
    assert_eq!(more.refused, 0, "{summary}");
    insta::assert_snapshot!(summary);
}
