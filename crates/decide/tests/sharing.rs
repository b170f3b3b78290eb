//! Shares of an endpoint's connections among hosts.

use goldcrest_decide::share::{Demand, borrowable, settling, share, standby};
use goldcrest_types::Name;
use rstest::rstest;

fn hosts(needs: &[f64]) -> Vec<Demand> {
    let each = needs.iter().enumerate();
    each.map(|(number, need)| Demand {
        host: Name::from(format!("host-{number}")),
        need: *need,
    })
    .collect()
}

#[rstest]
#[case::equal("equal", 16, &[1.0, 1.0, 1.0, 1.0, 1.0, 1.0])]
#[case::one_busy("one_busy", 16, &[1.0, 1.0, 1.0, 1.5, 1.5, 3.0])]
#[case::nothing_known("nothing_known", 32, &[0.0, 0.0, 0.0, 0.0])]
#[case::more_hosts_than_connections("more_hosts", 4, &[1.0, 1.0, 1.0, 1.0, 9.0, 1.0])]
#[case::one_host("one_host", 16, &[0.4])]
fn connections_are_divided_by_demand(
    #[case] name: &str,
    #[case] total: usize,
    #[case] needs: &[f64],
) {
    let hosts = hosts(needs);
    let shares: Vec<usize> = hosts
        .iter()
        .map(|own| share(total, &hosts, &own.host))
        .collect();
    let sum: usize = shares.iter().sum();
    assert!(sum <= total.max(hosts.len()), "{shares:?}");
    insta::assert_snapshot!(format!("shares_{name}"), format!("{needs:?} -> {shares:?}"));
}

#[rstest]
#[case::cascade(16, 6)]
#[case::verband(32, 8)]
fn hosts_that_restart_after_a_power_failure_find_free_connections(
    #[case] total: usize,
    #[case] count: usize,
) {
    let hosts = hosts(&vec![3.0; count]);
    let held: usize = hosts.iter().map(|h| share(total, &hosts, &h.host)).sum();
    // All lost connections are still counted when the hosts have restarted.
    let room = total - held;
    assert!(
        room + 1 >= count,
        "{room} connections are left for {count} hosts"
    );
}

#[rstest]
#[case::few(46, 3)]
#[case::catalogue(56, 3)]
#[case::more(79, 3)]
fn owners_that_restart_after_a_power_failure_open_what_is_certainly_free(
    #[case] total: usize,
    #[case] owners: usize,
) {
    let mut hosts = hosts(&vec![3.0; owners]);
    hosts.push(standby(&hosts));
    let count = hosts.len();
    let owning = hosts.iter().take(owners);
    let held: usize = owning.map(|h| share(total, &hosts, &h.host)).sum();
    let room = total - held - owners * borrowable(total, count);
    let wanted = owners * settling(total, count);
    assert!(wanted <= room.max(owners), "{wanted} of {room}");
    insta::assert_snapshot!(
        format!("settling_{total}"),
        format!("{owners} owners open {wanted} of {room} free connections")
    );
}

#[rstest]
#[case::cascade(16, 6)]
#[case::verband(32, 8)]
fn hosts_that_share_few_connections_open_one_after_a_power_failure(
    #[case] total: usize,
    #[case] hosts: usize,
) {
    assert_eq!(settling(total, hosts), 1);
}

#[test]
fn a_host_that_is_not_listed_holds_one_connection() {
    assert_eq!(share(16, &hosts(&[1.0, 1.0]), "stranger"), 1);
}
