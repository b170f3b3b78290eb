//! Which clients are admitted, for which workspace, and what becomes of an open transaction.

use std::fmt::Write;

use goldcrest_decide::admission::{Continuation, Declared, Limit, Workspaces, continuation};
use goldcrest_types::{Allowance, KeyDigest, Name};

fn key(text: &str) -> KeyDigest {
    KeyDigest::new(Name::from(text))
}

fn workspace(name: &str, keys: &[&str]) -> Declared {
    Declared {
        name: Name::from(name),
        keys: keys.iter().map(|text| key(text)).collect(),
        limit: Limit::None,
    }
}

fn limited(name: &str, limit: Limit) -> Declared {
    Declared {
        limit,
        ..workspace(name, &[])
    }
}

fn allowance(rate: f64) -> Limit {
    Limit::Allowance(Allowance { rate, burst: 2.0 })
}

#[test]
fn clients_are_admitted_by_key() {
    let declared = [
        workspace("north", &["n1", "n2"]),
        workspace("south", &["s1", "twice", "s1"]),
        workspace("west", &["twice", "w1"]),
        workspace("east", &["twice"]),
        workspace("nobody", &[]),
    ];
    let (all, shared) = Workspaces::new(declared);
    let mut out = String::new();
    for text in ["n1", "n2", "s1", "w1", "twice", "stranger", ""] {
        let [closed, open] = [false, true].map(|open| all.admit(&key(text), open));
        writeln!(out, "{text:?}: {closed:?}, open database: {open:?}").unwrap();
    }
    writeln!(out, "{shared:?}").unwrap();
    insta::assert_snapshot!(out);
}

#[test]
fn without_workspaces_only_open_databases_admit() {
    let (none, _) = Workspaces::new([]);
    let admitted = [false, true].map(|open| none.admit(&key("k"), open));
    assert_eq!(admitted, [None, Some(Name::new())]);
}

/// The keys of a transaction's client in successive configurations.
#[test]
fn a_transaction_ends_when_its_key_moves_or_is_withdrawn() {
    let first = [workspace("north", &["k", "l"]), workspace("south", &["m"])];
    let moved = [workspace("north", &["l"]), workspace("south", &["m", "k"])];
    let withdrawn = [workspace("north", &["l"]), workspace("south", &["m"])];
    let shared = [workspace("north", &["k"]), workspace("south", &["k"])];
    let mut out = String::new();
    for (what, declared) in [
        ("the same", first.to_vec()),
        ("moved", moved.to_vec()),
        ("withdrawn", withdrawn.to_vec()),
        ("shared", shared.to_vec()),
    ] {
        let (all, _) = Workspaces::new(declared);
        let each = [false, true].map(|open| {
            let admitted = all.admit(&key("k"), open);
            continuation(&Name::from("north"), admitted.as_ref())
        });
        writeln!(out, "{what}: {:?}, open database: {:?}", each[0], each[1]).unwrap();
    }
    insta::assert_snapshot!(out);
    let unnamed = Name::new();
    assert_eq!(
        continuation(&unnamed, Some(&unnamed)),
        Continuation::Continue
    );
}

#[test]
fn a_limit_that_can_not_be_read_leaves_the_former_one_in_force() {
    let (former, _) = Workspaces::new([
        limited("north", allowance(10.0)),
        limited("south", allowance(20.0)),
        limited("west", allowance(30.0)),
        limited("east", Limit::None),
    ]);
    let (mut next, _) = Workspaces::new([
        limited("north", Limit::Unreadable),
        limited("south", allowance(5.0)),
        limited("west", Limit::None),
        limited("east", Limit::Unreadable),
        limited("new", Limit::Unreadable),
    ]);
    let kept = next.keep_limits(Some(&former));
    let again = {
        let declared = [limited("north", Limit::Unreadable)];
        let (mut third, _) = Workspaces::new(declared);
        third.keep_limits(Some(&next));
        third
    };
    insta::assert_snapshot!(format!(
        "kept: {kept:?}\nin force: {:?}\nin force after the next: {:?}",
        next.allowances(),
        again.allowances()
    ));
}

#[test]
fn a_digest_is_not_shown() {
    let (all, shared) = Workspaces::new([workspace("a", &["k1"]), workspace("b", &["k1", "k2"])]);
    let shown = format!("{all:?} {shared:?}");
    assert!(!shown.contains("k1") && !shown.contains("k2"), "{shown}");
}
