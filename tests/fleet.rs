//! A fleet of several host processes: changes of the configuration, membership, retiring and
//! stopping.

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
    ServeProcess, connect, connect_with, eventually, first_value, fleet_with,
    inject_platform_fault, operate, rows, run_client, sqlstate, status,
};

const DATABASE: &str = "hearth-orders";

/// Starts a fleet whose first host runs in this process, and `others` more hosts as processes.
/// Waits until they accept clients.
fn start_processes(others: u16) -> (FleetThread, Vec<ServeProcess>) {
    let fleet = fleet_with(1, |settings| settings.limits.grace_ms = 6000);
    let hosts: Vec<ServeProcess> = (1..=others)
        .map(|number| ServeProcess::start(&fleet, number))
        .collect();
    run_client(async {
        for host in &hosts {
            wait_until_ready(&host.settings).await;
        }
    });
    (fleet, hosts)
}

async fn wait_until_ready(host: &Settings) {
    let address = host.host.callers;
    eventually(|| async { connect_with(address, "orders", DATABASE, "").await.is_ok() }).await;
}

async fn wait_in_force(host: &Settings, revision: u64, preset: &str) {
    eventually(|| async {
        status(host).is_some_and(|s| s.revision == revision && s.preset == preset)
    })
    .await;
}

#[rstest]
fn a_change_is_in_force_everywhere_and_racing_operators_have_one_winner() {
    let (fleet, hosts) = start_processes(2);
    let first = host_settings(&fleet.settings, 0);
    let (exit, output) = operate(&first, &["preset", "use", "peak", "--why", "storm"]);
    assert_eq!((exit, output.as_str()), (0, "revision 1 is accepted\n"));
    run_client(async {
        for host in hosts.iter().map(|h| &h.settings).chain([&first]) {
            wait_in_force(host, 1, "peak").await;
        }
    });
    // Both operators start from revision 1: the second one is refused and learns of the first
    // change.
    let base = ["--if-revision", "1"];
    let accepted = operate(
        &hosts[0].settings,
        &[&["preset", "use", "maintenance"], &base[..]].concat(),
    );
    let lost = operate(
        &hosts[1].settings,
        &[&["preset", "use", "ordinary"], &base[..]].concat(),
    );
    assert_eq!(accepted.0, 0);
    insta::assert_debug_snapshot!("racing_operators", lost);
    let (_, trail) = operate(&first, &["audit", "--json"]);
    let entries: Vec<goldcrest_operators::AuditEntry> = serde_json::from_str(&trail).unwrap();
    let entries: Vec<_> = entries
        .iter()
        .map(|e| (e.revision, &e.who, &e.what, &e.why))
        .collect();
    insta::assert_debug_snapshot!("audit_trail", entries);
}

/// Tests of the decision core cover the rule itself. This test covers that a change of the preset
/// reaches a running host.
#[rstest]
fn a_preset_changes_when_commits_are_acknowledged() {
    let fleet = fleet_with(1, |settings| {
        settings.presets.peak.acknowledge = Some(goldcrest_settings::AcknowledgeSetting::Primary);
    });
    let first = host_settings(&fleet.settings, 0);
    run_client(async {
        let rules = || {
            let groups = status(&first).map(|s| s.groups).unwrap_or_default();
            let rules = groups.into_iter().map(|g| g.acknowledge.to_string());
            rules.collect::<std::collections::BTreeSet<String>>()
        };
        assert_eq!(rules(), ["majority".to_owned()].into());
        assert_eq!(operate(&first, &["preset", "use", "peak"]).0, 0);
        wait_in_force(&first, 1, "peak").await;
        eventually(|| async { rules() == ["primary".to_owned()].into() }).await;
        assert_eq!(operate(&first, &["preset", "use", "ordinary"]).0, 0);
        wait_in_force(&first, 2, "ordinary").await;
        eventually(|| async { rules() == ["majority".to_owned()].into() }).await;
    });
}

#[rstest]
fn a_change_with_a_lost_answer_is_found_by_its_id() {
    let (fleet, _) = start_processes(0);
    let first = host_settings(&fleet.settings, 0);
    inject_platform_fault(&fleet, PlatformFault::AnswerLost);
    let (exit, _) = operate(&first, &["preset", "use", "peak"]);
    assert_eq!(exit, 0);
    inject_platform_fault(&fleet, PlatformFault::None);
    let (_, trail) = operate(&first, &["audit", "--json"]);
    let entries: Vec<goldcrest_operators::AuditEntry> = serde_json::from_str(&trail).unwrap();
    assert_eq!(entries.len(), 1);
}

#[rstest]
fn a_preset_never_reverts_through_restarts_and_outages() {
    let (fleet, mut hosts) = start_processes(1);
    let first = host_settings(&fleet.settings, 0);
    assert_eq!(operate(&first, &["preset", "use", "peak"]).0, 0);
    run_client(async { wait_in_force(&hosts[0].settings, 1, "peak").await });
    inject_platform_fault(&fleet, PlatformFault::Down);
    // Without the platform, no change can be made.
    let (exit, output) = operate(&first, &["preset", "use", "ordinary"]);
    assert_eq!(exit, 1, "{output}");
    // A host that starts while the platform is down gets the configuration from its peers.
    hosts[0].kill();
    hosts[0] = ServeProcess::start_with(hosts[0].settings.clone());
    run_client(async {
        wait_in_force(&hosts[0].settings, 1, "peak").await;
        wait_until_ready(&hosts[0].settings).await;
    });
    // A host without peers refuses clients until it can read the configuration in force.
    let mut alone = host_settings(&fleet.settings, 7);
    alone.host.seeds.clear();
    let alone = ServeProcess::start_with(alone);
    run_client(async {
        let address = alone.settings.host.callers;
        let is_starting = |e: tokio_postgres::Error| sqlstate(&e) == "57P03";
        eventually(|| async {
            let result = connect_with(address, "orders", DATABASE, "").await;
            result.err().is_some_and(is_starting)
        })
        .await;
        inject_platform_fault(&fleet, PlatformFault::None);
        wait_in_force(&alone.settings, 1, "peak").await;
    });
}

#[rstest]
fn a_retired_primary_is_replaced_and_gets_no_new_requests() {
    let (fleet, hosts) = start_processes(1);
    let first = host_settings(&fleet.settings, 0);
    run_client(async {
        let client = connect(first.host.callers, "orders", DATABASE).await;
        rows(&client, "CREATE TABLE t (id int primary key)")
            .await
            .unwrap();
        let (exit, output) = operate(&first, &["endpoint", "retire", "orders-1"]);
        assert_eq!(exit, 0, "{output}");
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
                first_value(&client, "SELECT count(*) FROM t").await,
                (id + 1).to_string()
            );
        }
        let (_, output) = operate(&first, &["explain", DATABASE]);
        assert!(
            output.contains("orders-1 is passed over: leaving"),
            "{output}"
        );
    });
}

#[rstest]
fn a_killed_host_is_marked_failed_until_it_restarts() {
    let (fleet, mut hosts) = start_processes(3);
    let first = host_settings(&fleet.settings, 0);
    let health = |name: &str| {
        let members = status(&first).map(|s| s.members).unwrap_or_default();
        let found = members.into_iter().find(|m| m.host == name);
        found.map(|m| m.health.to_string()).unwrap_or_default()
    };
    run_client(async {
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
fn a_host_cut_off_from_its_peers_serves_clients_and_rejoins() {
    let (fleet, hosts) = start_processes(1);
    let first = host_settings(&fleet.settings, 0);
    let health = |at: &Settings, name: &str| {
        let members = status(at).map(|s| s.members).unwrap_or_default();
        let found = members.into_iter().find(|m| m.host == name);
        found.map(|m| m.health.to_string()).unwrap_or_default()
    };
    run_client(async {
        let other = &hosts[0].settings;
        eventually(|| async { health(other, "host-1") == "live" }).await;
        common::inject_fault(&fleet, "host-1", goldcrest_standins::database::Fault::Cut);
        eventually(|| async { health(other, "host-1") == "gone" }).await;
        // The host still reaches the endpoints and the platform: its clients are served, and a
        // change that is made there reaches the other host through the platform's table.
        let client = connect(first.host.callers, "orders", DATABASE).await;
        rows(&client, "CREATE TABLE t (id int)").await.unwrap();
        assert_eq!(operate(&first, &["preset", "use", "peak"]).0, 0);
        common::inject_fault(&fleet, "host-1", goldcrest_standins::database::Fault::None);
        eventually(|| async { health(other, "host-1") == "live" }).await;
        wait_in_force(other, 1, "peak").await;
    });
}

/// Clients keep writing while each host is stopped gracefully and started again.
#[rstest]
fn a_rolling_restart_interrupts_no_request() {
    let (fleet, mut hosts) = start_processes(2);
    let first = fleet.client_addresses[0];
    let addresses: Vec<SocketAddr> = hosts.iter().map(|h| h.settings.host.callers).collect();
    run_client(async {
        let setup = connect(first, "orders", DATABASE).await;
        rows(&setup, "CREATE TABLE t (id int primary key)")
            .await
            .unwrap();
        let next = Arc::new(AtomicUsize::new(0));
        let stop = Arc::new(AtomicBool::new(false));
        let workers: Vec<_> = (0..6)
            .map(|n| {
                tokio::spawn(write_until(
                    addresses[n % 2],
                    Arc::clone(&next),
                    Arc::clone(&stop),
                ))
            })
            .collect();
        for host in &mut hosts {
            tokio::time::sleep(Duration::from_millis(300)).await;
            host.terminate();
            let settings = host.settings.clone();
            while !host.has_exited() {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
            *host = ServeProcess::start_with(settings);
            wait_until_ready(&host.settings).await;
        }
        stop.store(true, Ordering::Relaxed);
        let mut written = 0;
        for worker in workers {
            written += worker.await.unwrap();
        }
        assert!(written > 0);
        assert_eq!(
            first_value(&setup, "SELECT count(*) FROM t").await,
            written.to_string()
        );
    });
}

/// Writes until `stop` is set, and returns the number of writes. Reconnects when the host closes
/// the session between two requests in order to stop.
async fn write_until(address: SocketAddr, next: Arc<AtomicUsize>, stop: Arc<AtomicBool>) -> usize {
    let mut written = 0;
    while !stop.load(Ordering::Relaxed) {
        let Ok(client) = connect_with(address, "orders", DATABASE, "").await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        while !stop.load(Ordering::Relaxed) && !client.is_closed() {
            let id = next.fetch_add(1, Ordering::Relaxed);
            match rows(&client, &format!("INSERT INTO t VALUES ({id})")).await {
                Ok(_) => written += 1,
                // The host ended the idle session before it received the request.
                Err(error) if sqlstate(&error) == "57P01" => break,
                Err(error) => panic!("a request was interrupted: {error:?}"),
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    written
}
