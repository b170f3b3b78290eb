//! Which marks a log with a given history contains.

use goldcrest_types::{History, Mark, Survival};
use rstest::rstest;

/// Term 2 starts at 90 and term 4 at 120. No entry of term 3 was kept.
fn history() -> History {
    History::from_pairs([(1, 0), (2, 90), (4, 120)])
}

#[rstest]
#[case::kept(Mark::new(1, 90), Survival::Kept)]
#[case::tail_dropped(Mark::new(1, 91), Survival::Lost)]
#[case::later_term_kept(Mark::new(2, 120), Survival::Kept)]
#[case::later_term_dropped(Mark::new(2, 121), Survival::Lost)]
#[case::term_of_another_line(Mark::new(3, 100), Survival::Lost)]
#[case::present_term(Mark::new(4, 500), Survival::Kept)]
#[case::future_term(Mark::new(5, 1), Survival::Unknown)]
#[case::nothing(Mark::new(0, 0), Survival::Kept)]
fn a_mark_survives_if_later_terms_keep_its_entries(#[case] mark: Mark, #[case] survival: Survival) {
    assert_eq!(history().survival(mark), survival);
}

#[rstest]
#[case::same_term(Mark::new(4, 130), Mark::new(4, 130), true)]
#[case::same_term_behind(Mark::new(4, 129), Mark::new(4, 130), false)]
#[case::old_primary_with_a_longer_tail(Mark::new(1, 500), Mark::new(2, 95), false)]
#[case::kept_floor_of_an_older_term(Mark::new(4, 130), Mark::new(1, 80), true)]
#[case::dropped_floor_of_an_older_term(Mark::new(4, 130), Mark::new(1, 95), false)]
#[case::term_that_the_history_lacks(Mark::new(6, 500), Mark::new(4, 130), false)]
fn an_endpoint_covers_a_floor_that_its_log_contains(
    #[case] at: Mark,
    #[case] floor: Mark,
    #[case] covered: bool,
) {
    assert_eq!(history().covers(at, floor), covered);
}
