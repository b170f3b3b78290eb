//! Which answers of a store count that was restored from an older copy.

use std::fmt::Write;

use goldcrest_decide::eras::Eras;
use goldcrest_types::{StoreVersion, Timestamp};
use rstest::rstest;

/// Answers of two eras that arrive in any order change what is known only once.
#[rstest]
#[case::without_eras("without_eras", &[None, None])]
#[case::one_restore("one_restore", &[Some(3), Some(4), Some(4)])]
#[case::several_at_once("several_at_once", &[Some(3), Some(9)])]
#[case::interleaved("interleaved", &[Some(3), Some(4), Some(3), Some(4), Some(3)])]
#[case::back("back", &[Some(4), Some(3), Some(3)])]
#[case::missing_later("missing_later", &[Some(3), None, Some(4), None])]
#[case::named_later("named_later", &[None, Some(1), None])]
fn the_newest_era_counts(#[case] name: &str, #[case] answers: &[Option<u64>]) {
    let mut eras = Eras::default();
    let mut text = String::new();
    for (second, era) in (1..).zip(answers) {
        let (taken, sighting) = eras.observe(*era, Timestamp::from_millis(second * 1_000));
        let known_for = eras.known_for(Timestamp::from_millis(10_000));
        writeln!(
            text,
            "{era:?} is taken for {taken}, {sighting:?}: newest {}, known for {known_for:?}, {} restores",
            eras.newest(),
            eras.restores(),
        )
        .unwrap();
    }
    insta::assert_snapshot!(format!("answers_{name}"), text);
}

/// Two holders of a lease got the same token, as the change counter had gone back.
#[test]
fn fencing_tokens_grow_with_versions_across_eras() {
    let versions = [
        StoreVersion::new(0, 0),
        StoreVersion::new(0, 7),
        StoreVersion::new(1, 3),
        StoreVersion::new(1, 7),
        StoreVersion::new(2, 7),
        StoreVersion::new(8_191, 7),
    ];
    let line = |v: &StoreVersion| format!("{v}: {}", v.fencing_token());
    let lines: Vec<String> = versions.iter().map(line).collect();
    assert!(versions.is_sorted());
    assert!(versions.is_sorted_by(|a, b| a.fencing_token() < b.fencing_token()));
    insta::assert_snapshot!(lines.join("\n"));
}
