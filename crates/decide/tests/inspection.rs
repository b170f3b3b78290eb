//! What is wrong with a proposed configuration, and what it changes.

use std::time::Duration;

use goldcrest_decide::inspection::{
    Database, Entry, Proposal, Reads, Service, Workspace, differences, findings, older,
};
use goldcrest_types::{KeyDigest, Name};
use rstest::rstest;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn entries<T, const N: usize>(named: [(&str, T); N]) -> Vec<Entry<T>> {
    let numbered = named.into_iter().enumerate();
    numbered
        .map(|(at, (name, content))| Entry {
            at,
            name: Name::from(name),
            content,
        })
        .collect()
}

fn database(service: &str) -> Database {
    Database {
        service: Name::from(service),
        reads: Reads::Latest,
        timeout: ms(800),
        target: Some(ms(1_500)),
        priority: 0,
        open: false,
    }
}

fn service(connections: u64) -> Service {
    Service {
        connections,
        sync_replicas: 0,
    }
}

fn workspace(keys: &[&str]) -> Workspace {
    let digests = keys.iter().map(|key| KeyDigest::new(Name::from(*key)));
    Workspace {
        keys: digests.collect(),
        unusable: 0,
        rate: None,
        burst: None,
    }
}

fn limited(key: &str, rate: Option<f64>, burst: Option<f64>) -> Workspace {
    Workspace {
        rate,
        burst,
        ..workspace(&[key])
    }
}

fn in_order() -> Proposal {
    Proposal {
        version: Some(4),
        databases: entries([("orders", database("svc"))]),
        services: entries([("svc", service(56))]),
        workspaces: Some(entries([("north", workspace(&["n1"]))])),
        idle: Some(ms(3_000)),
    }
}

fn shown(proposal: &Proposal, hosts: Option<usize>) -> String {
    let found = findings(proposal, hosts);
    let lines = found
        .iter()
        .map(|f| format!("{:?} {:?} {:?}", f.fault.severity(), f.entry, f.fault));
    lines.collect::<Vec<_>>().join("\n")
}

#[test]
fn a_configuration_in_order_has_no_findings() {
    assert_eq!(shown(&in_order(), None), "");
    let without = Proposal {
        workspaces: None,
        ..in_order()
    };
    assert_eq!(shown(&without, Some(6)), "");
}

#[rstest]
#[case::whole("whole", Proposal { version: Some(0), idle: Some(ms(500)), workspaces: Some(Vec::new()), ..in_order() })]
#[case::unread("unread", Proposal { version: None, idle: Some(Duration::ZERO), ..in_order() })]
#[case::databases("databases", Proposal { databases: entries([
    ("orders", database("svc")),
    ("orders", Database { timeout: ms(60), ..database("gone") }),
    ("", Database { target: Some(Duration::ZERO), ..database("svc") }),
    ("a b", Database { reads: Reads::Bounded(None), ..database("svc") }),
    ("a\tb", Database { reads: Reads::OwnWrites(None), ..database("svc") }),
    ("late", Database { target: Some(ms(600)), ..database("svc") }),
]), ..in_order() })]
#[case::services("services", Proposal { services: entries([
    ("svc", service(8)), ("svc", service(0)), ("unused", service(9)), ("", service(90)),
]), ..in_order() })]
#[case::keys("keys", Proposal { workspaces: Some(entries([
    ("north", workspace(&["n1", "n2", "n1"])),
    ("south", workspace(&["n1", "n2"])),
    ("west", workspace(&["n1"])),
    ("north", workspace(&["n3"])),
    ("none", workspace(&[])),
    ("odd", Workspace { unusable: 2, ..workspace(&["o1"]) }),
])), ..in_order() })]
#[case::limits("limits", Proposal { workspaces: Some(entries([
    ("good", limited("k1", Some(5.0), Some(2.0))),
    ("zero", limited("k2", Some(0.0), None)),
    ("less", limited("k3", Some(-1.0), Some(-1.0))),
    ("huge", limited("k4", Some(1e300), Some(f64::INFINITY))),
    ("nan", limited("k5", Some(f64::NAN), None)),
    ("burst", limited("k6", None, Some(3.0))),
    ("none", limited("k7", Some(5.0), Some(0.0))),
])), ..in_order() })]
fn what_is_wrong_is_found(#[case] name: &str, #[case] proposal: Proposal) {
    insta::assert_snapshot!(format!("findings_{name}"), shown(&proposal, Some(6)));
}

#[test]
fn differences_name_entries_and_count_keys() {
    let current = Proposal {
        databases: entries([
            ("kept", database("svc")),
            ("gone", database("svc")),
            ("other", database("svc")),
        ]),
        workspaces: Some(entries([
            ("north", workspace(&["n1", "n2"])),
            ("south", workspace(&["s1"])),
            ("west", limited("w1", Some(5.0), None)),
        ])),
        ..in_order()
    };
    let proposed = Proposal {
        version: Some(4),
        databases: entries([
            ("kept", database("svc")),
            ("new", database("svc")),
            (
                "other",
                Database {
                    reads: Reads::Bounded(Some(ms(1_500))),
                    timeout: ms(700),
                    target: None,
                    priority: 2,
                    open: true,
                    ..database("svc-2")
                },
            ),
        ]),
        services: entries([
            (
                "svc",
                Service {
                    connections: 48,
                    sync_replicas: 1,
                },
            ),
            ("svc-2", service(9)),
        ]),
        workspaces: Some(entries([
            ("north", workspace(&["n2", "n3", "s1"])),
            ("west", limited("w1", Some(6.0), Some(1.0))),
            ("east", workspace(&["e1"])),
        ])),
        idle: None,
    };
    let found = differences(&current, &proposed);
    let lines: Vec<String> = found.iter().map(|d| format!("{d:?}")).collect();
    insta::assert_snapshot!(lines.join("\n"));
    assert!(differences(&current, &current).is_empty());
    assert!(older(&current, &proposed).is_some());
    let newer = Proposal {
        version: Some(5),
        ..proposed
    };
    assert!(older(&current, &newer).is_none());
}
