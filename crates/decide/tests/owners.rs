//! Which hosts own a group's connections.

use std::{collections::BTreeMap, fmt::Write};

use goldcrest_decide::owners::{Candidate, Holders, holders, ranking};
use goldcrest_types::Name;
use rstest::rstest;

/// Hosts in three regions; in each region every sixth host has four times the capacity of the
/// others.
fn candidates(count: usize) -> Vec<Candidate> {
    let regions = ["east", "north", "west"];
    let each = (0..count).map(|number| Candidate {
        host: Name::from(format!("host-{number}")),
        region: Name::from(regions[number % regions.len()]),
        capacity: if (number / regions.len()).is_multiple_of(6) {
            0.5
        } else {
            0.12
        },
    });
    each.collect()
}

#[rstest]
#[case::small_today(6, 16)]
#[case::small_with_more_hosts(9, 16)]
#[case::wide_today(8, 32)]
#[case::more_hosts_than_connections(69, 46)]
#[case::little_more_connections_than_hosts(74, 107)]
#[case::many_connections(74, 400)]
#[case::one_connection(6, 1)]
#[case::nobody(0, 16)]
fn owners_hold_the_connections_that_are_too_few_for_all_hosts(
    #[case] hosts: usize,
    #[case] connections: usize,
) {
    let summary = match holders("orders", connections, &candidates(hosts)) {
        Holders::Everyone => "everyone".to_owned(),
        Holders::Owners(owners) => owners.join(", "),
    };
    insta::assert_snapshot!(
        format!("holders_{hosts}_{connections}"),
        format!("{hosts} hosts, {connections} connections: {summary}")
    );
}

#[test]
fn a_host_that_disappears_moves_only_what_it_owned() {
    let all = candidates(69);
    let first = |service: &str, hosts: &[Candidate]| ranking(service, "east", hosts)[0].clone();
    for number in 0..40 {
        let service = format!("service-{number}");
        let before = ranking(&service, "east", &all);
        let removed = &before[0];
        let left: Vec<Candidate> = all.iter().filter(|c| c.host != *removed).cloned().collect();
        assert_eq!(first(&service, &left), before[1], "{service}");
        for other in 0..40 {
            let other = format!("service-{other}");
            let owner = first(&other, &all);
            assert!(
                owner == *removed || first(&other, &left) == owner,
                "{other}"
            );
        }
    }
}

#[test]
fn hosts_own_in_proportion_to_their_capacity() {
    let all = candidates(69);
    let mut counts: BTreeMap<bool, usize> = BTreeMap::new();
    for number in 0..3_000 {
        let owner = ranking(&format!("service-{number}"), "north", &all)[0].clone();
        let large = all.iter().any(|c| c.host == owner && c.capacity > 0.2);
        *counts.entry(large).or_default() += 1;
    }
    let mut summary = String::new();
    for (large, count) in counts {
        writeln!(summary, "large {large}: {count} of 3000").unwrap();
    }
    insta::assert_snapshot!(summary);
}
