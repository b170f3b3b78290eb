//! What log lines hold of texts that clients choose.

use goldcrest_observe::excerpt;
use rstest::rstest;

/// 512 queued lines with ids of 1 MB held half a gigabyte.
#[rstest]
#[case::empty(String::new(), 0)]
#[case::an_id("5c0e7a21d94b36f8".to_owned(), 16)]
#[case::as_long_as_it_may_be("x".repeat(256), 256)]
#[case::long("x".repeat(1 << 20), 256)]
#[case::within_a_character("ä".repeat(200).replacen('ä', "x", 1), 255)]
fn an_excerpt_is_bounded(#[case] text: String, #[case] bytes: usize) {
    let start = excerpt(&text);
    assert!(text.starts_with(start));
    assert_eq!(start.len(), bytes);
}
