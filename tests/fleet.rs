//! Several hosts as one, each a process of its own: configuration, membership, leaving, stopping.

mod common;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use goldcrest_demo::{FleetThread, host_settings};
use goldcrest_settings::Settings;
use goldcrest_standins::platform::PlatformFault;
use rstest::rstest;

use common::{
    ServeProcess, client_side, code, connect, connect_with, eventually, fleet_with, one, operate,
    platform_fault, rows, status,
};

const DATABASE: &str = "hearth-orders";

/// A fleet whose first host runs in this process, and `others` more as processes.
fn processes(others: u16) -> (FleetThread, Vec<ServeProcess>) {
    let fleet = fleet_with(1, |settings| settings.limits.grace_ms = 6000);
    let hosts: Vec<ServeProcess> = (1..=others)
        .map(|number| ServeProcess::start(&fleet, number))
        .collect();
    client_side(async {
        for host in &hosts {
            ready(&host.settings).await;
        }
    });
    (fleet, hosts)
}

async fn ready(host: &Settings) {
    let address = host.host.callers;
    eventually(|| async { connect_with(address, "orders", DATABASE, "").await.is_ok() }).await;
}

async fn in_force(host: &Settings, revision: u64, preset: &str) {
    eventually(|| async {
        status(host).is_some_and(|s| s.revision == revision && s.preset == preset)
    })
    .await;
}

#[rstest]
fn a_change_is_in_force_everywhere_and_racing_operators_have_one_winner() {
    let (fleet, hosts) = processes(2);
    let first = host_settings(&fleet.settings, 0);
    let (exit, told) = operate(&first, &["preset", "use", "peak", "--why", "storm"]);
    assert_eq!((exit, told.as_str()), (0, "revision 1 is accepted\n"));
    client_side(async {
        for host in hosts.iter().map(|h| &h.settings).chain([&first]) {
            in_force(host, 1, "peak").await;
        }
    });
    // Both operators start from revision 1; the second one is told of the first.
    let base = ["--if-revision", "1"];
    let won = operate(
        &hosts[0].settings,
        &[&["preset", "use", "maintenance"], &base[..]].concat(),
    );
    let lost = operate(
        &hosts[1].settings,
        &[&["preset", "use", "ordinary"], &base[..]].concat(),
    );
    assert_eq!(won.0, 0);
    insta::assert_debug_snapshot!("racing_operators", lost);
    let (_, trail) = operate(&first, &["audit", "--json"]);
    let entries: Vec<goldcrest_operators::AuditEntry> = serde_json::from_str(&trail).unwrap();
    let entries: Vec<_> = entries
        .iter()
        .map(|e| (e.revision, &e.who, &e.what, &e.why))
        .collect();
    insta::assert_debug_snapshot!("audit_trail", entries);
}

/// The rule itself is proved by the group's rules; here the preset brings it to a running host.
#[rstest]
fn a_preset_changes_when_commits_are_acknowledged() {
    let fleet = fleet_with(1, |settings| {
        settings.presets.peak.acknowledge = Some(goldcrest_settings::AcknowledgeSetting::Primary);
    });
    let first = host_settings(&fleet.settings, 0);
    client_side(async {
        let rules = || {
            let groups = status(&first).map(|s| s.groups).unwrap_or_default();
            let rules = groups.into_iter().map(|g| g.acknowledge.to_string());
            rules.collect::<std::collections::BTreeSet<String>>()
        };
        assert_eq!(rules(), ["majority".to_owned()].into());
        assert_eq!(operate(&first, &["preset", "use", "peak"]).0, 0);
        in_force(&first, 1, "peak").await;
        eventually(|| async { rules() == ["primary".to_owned()].into() }).await;
        assert_eq!(operate(&first, &["preset", "use", "ordinary"]).0, 0);
        in_force(&first, 2, "ordinary").await;
        eventually(|| async { rules() == ["majority".to_owned()].into() }).await;
    });
}

#[rstest]
fn a_change_whose_answer_is_lost_is_settled_by_its_id() {
    let (fleet, _) = processes(0);
    let first = host_settings(&fleet.settings, 0);
    platform_fault(&fleet, PlatformFault::AnswerLost);
    let (exit, _) = operate(&first, &["preset", "use", "peak"]);
    assert_eq!(exit, 0);
    platform_fault(&fleet, PlatformFault::None);
    let (_, trail) = operate(&first, &["audit", "--json"]);
    let entries: Vec<goldcrest_operators::AuditEntry> = serde_json::from_str(&trail).unwrap();
    assert_eq!(entries.len(), 1);
}

#[rstest]
fn a_preset_never_reverts_through_restarts_and_outages() {
    let (fleet, mut hosts) = processes(1);
    let first = host_settings(&fleet.settings, 0);
    assert_eq!(operate(&first, &["preset", "use", "peak"]).0, 0);
    client_side(async { in_force(&hosts[0].settings, 1, "peak").await });
    platform_fault(&fleet, PlatformFault::Down);
    // A change can't be accepted now, and is refused as such.
    let (exit, told) = operate(&first, &["preset", "use", "ordinary"]);
    assert_eq!(exit, 1, "{told}");
    // A host that starts while the platform is down takes the configuration from its peers.
    hosts[0].kill();
    hosts[0] = ServeProcess::start_with(hosts[0].settings.clone());
    client_side(async {
        in_force(&hosts[0].settings, 1, "peak").await;
        ready(&hosts[0].settings).await;
    });
    // One that knows no peers does not guess.
    let mut alone = host_settings(&fleet.settings, 7);
    alone.host.seeds.clear();
    let alone = ServeProcess::start_with(alone);
    client_side(async {
        let address = alone.settings.host.callers;
        let told = |e: tokio_postgres::Error| code(&e) == "57P03";
        eventually(|| async {
            let tried = connect_with(address, "orders", DATABASE, "").await;
            tried.err().is_some_and(told)
        })
        .await;
        platform_fault(&fleet, PlatformFault::None);
        in_force(&alone.settings, 1, "peak").await;
    });
}

#[rstest]
fn a_retired_primary_is_switched_and_gets_no_new_work() {
    let (fleet, hosts) = processes(1);
    let first = host_settings(&fleet.settings, 0);
    client_side(async {
        let client = connect(first.host.callers, "orders", DATABASE).await;
        rows(&client, "CREATE TABLE t (id int primary key)")
            .await
            .unwrap();
        let (exit, told) = operate(&first, &["endpoint", "retire", "orders-1"]);
        assert_eq!(exit, 0, "{told}");
        for host in [&first, &hosts[0].settings] {
            eventually(|| async {
                let groups = status(host).map(|s| s.groups).unwrap_or_default();
                let group = groups.into_iter().find(|g| g.database == DATABASE);
                group.is_some_and(|g| {
                    let old = &g.endpoints[0];
                    old.leaving && !old.primary && g.endpoints.iter().any(|e| e.primary)
                })
            })
            .await;
        }
        for id in 0..20 {
            rows(&client, &format!("INSERT INTO t VALUES ({id})"))
                .await
                .unwrap();
            assert_eq!(
                one(&client, "SELECT count(*) FROM t").await,
                (id + 1).to_string()
            );
        }
        let (_, told) = operate(&first, &["explain", DATABASE]);
        assert!(told.contains("orders-1 is passed over: leaving"), "{told}");
    });
}

#[rstest]
fn a_host_that_dies_is_known_to_be_gone() {
    let (fleet, mut hosts) = processes(3);
    let first = host_settings(&fleet.settings, 0);
    let health = |name: &str| {
        let members = status(&first).map(|s| s.members).unwrap_or_default();
        let found = members.into_iter().find(|m| m.host == name);
        found.map(|m| m.health.to_string()).unwrap_or_default()
    };
    client_side(async {
        for name in ["host-2", "host-3", "host-4"] {
            eventually(|| async { health(name) == "live" }).await;
        }
        hosts[1].kill();
        eventually(|| async { health("host-3") == "gone" }).await;
        assert_eq!(health("host-2"), "live");
        hosts[1] = ServeProcess::start_with(hosts[1].settings.clone());
        eventually(|| async { health("host-3") == "live" }).await;
    });
}

#[rstest]
fn a_host_cut_off_from_the_others_serves_and_comes_back() {
    let (fleet, hosts) = processes(1);
    let first = host_settings(&fleet.settings, 0);
    let health = |at: &Settings, name: &str| {
        let members = status(at).map(|s| s.members).unwrap_or_default();
        let found = members.into_iter().find(|m| m.host == name);
        found.map(|m| m.health.to_string()).unwrap_or_default()
    };
    client_side(async {
        let other = &hosts[0].settings;
        eventually(|| async { health(other, "host-1") == "live" }).await;
        common::fault(&fleet, "host-1", goldcrest_standins::database::Fault::Cut);
        eventually(|| async { health(other, "host-1") == "gone" }).await;
        // The cut-off host reaches the endpoints and the platform, so its callers notice nothing,
        // and what is accepted there is in force on the other side by way of the platform's table.
        let client = connect(first.host.callers, "orders", DATABASE).await;
        rows(&client, "CREATE TABLE t (id int)").await.unwrap();
        assert_eq!(operate(&first, &["preset", "use", "peak"]).0, 0);
        common::fault(&fleet, "host-1", goldcrest_standins::database::Fault::None);
        eventually(|| async { health(other, "host-1") == "live" }).await;
        in_force(other, 1, "peak").await;
    });
}

/// Callers at work while each host is stopped gracefully and started again.
#[rstest]
fn a_rolling_restart_cuts_no_request() {
    let (fleet, mut hosts) = processes(2);
    let first = fleet.callers[0];
    let addresses: Vec<SocketAddr> = hosts.iter().map(|h| h.settings.host.callers).collect();
    client_side(async {
        let setup = connect(first, "orders", DATABASE).await;
        rows(&setup, "CREATE TABLE t (id int primary key)")
            .await
            .unwrap();
        let next = Arc::new(AtomicUsize::new(0));
        let over = Arc::new(AtomicBool::new(false));
        let workers: Vec<_> = (0..6)
            .map(|n| tokio::spawn(work(addresses[n % 2], Arc::clone(&next), Arc::clone(&over))))
            .collect();
        for host in &mut hosts {
            tokio::time::sleep(Duration::from_millis(300)).await;
            host.terminate();
            let settings = host.settings.clone();
            while !host.has_ended() {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
            *host = ServeProcess::start_with(settings);
            ready(&host.settings).await;
        }
        over.store(true, Ordering::Relaxed);
        let mut done = 0;
        for worker in workers {
            done += worker.await.unwrap();
        }
        assert!(done > 0);
        assert_eq!(
            one(&setup, "SELECT count(*) FROM t").await,
            done.to_string()
        );
    });
}

/// Writes until told to end, and counts the writes. A caller leaves a host only between requests,
/// when it is told that the host stops.
async fn work(address: SocketAddr, next: Arc<AtomicUsize>, over: Arc<AtomicBool>) -> usize {
    let mut done = 0;
    while !over.load(Ordering::Relaxed) {
        let Ok(client) = connect_with(address, "orders", DATABASE, "").await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        while !over.load(Ordering::Relaxed) && !client.is_closed() {
            let id = next.fetch_add(1, Ordering::Relaxed);
            match rows(&client, &format!("INSERT INTO t VALUES ({id})")).await {
                Ok(_) => done += 1,
                // The host had ended the idle session before it saw the request.
                Err(error) if code(&error) == "57P01" => break,
                Err(error) => panic!("a request was cut: {error:?}"),
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    done
}
