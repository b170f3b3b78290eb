//! Which leases a host may claim, in a store that may have been restored from an older copy.

use std::time::Duration;

use goldcrest_decide::lease::{Reading, Stored, claim};
use goldcrest_types::Name;
use rstest::rstest;

/// A lease that was claimed 10 s after the start of the store's clock, when e-2 had been promoted.
fn stored(era: u64, own: bool) -> Stored {
    Stored {
        era,
        claimed: Duration::from_secs(10),
        own,
        promoted: Some(Name::from("e-2")),
    }
}

/// A reading at `clock_s`, in an era that the host has known for `known_s`.
fn reading(era: u64, clock_s: u64, known_s: u64) -> Reading {
    Reading {
        era,
        clock: Duration::from_secs(clock_s),
        known_for: Duration::from_secs(known_s),
    }
}

/// Two hosts held a lease at once: the claim of the first one was lost with the store's last seconds, or the
/// copy held an earlier claim.
#[rstest]
#[case::none("no_eras_none", None, reading(0, 12, 0))]
#[case::held("no_eras_held", Some(stored(0, false)), reading(0, 12, 0))]
#[case::ended("no_eras_ended", Some(stored(0, false)), reading(0, 15, 0))]
#[case::own("no_eras_own", Some(stored(0, true)), reading(0, 12, 0))]
#[case::same_era("same_era_held", Some(stored(1, false)), reading(1, 12, 0))]
#[case::same_era_ended("same_era_ended", Some(stored(1, false)), reading(1, 15, 0))]
#[case::lost("restored_none", None, reading(2, 12, 4))]
#[case::lost_long_ago("restored_none_known", None, reading(2, 12, 5))]
#[case::earlier("restored_earlier", Some(stored(1, false)), reading(2, 20, 4))]
#[case::earlier_known("restored_earlier_known", Some(stored(1, false)), reading(2, 20, 5))]
#[case::earlier_own("restored_earlier_own", Some(stored(1, true)), reading(2, 20, 4))]
#[case::late_claim("restored_late_claim", Some(stored(1, false)), reading(2, 12, 5))]
#[case::clock_back("restored_clock_back", Some(stored(1, false)), reading(2, 3, 5))]
fn a_lease_is_claimed_only_once_no_other_claim_may_hold(
    #[case] name: &str,
    #[case] stored: Option<Stored>,
    #[case] reading: Reading,
) {
    let outcomes = ["e-1", "e-2"].map(|leader| {
        let outcome = claim(stored.clone(), Some(&Name::from(leader)), reading);
        format!("{leader} leads: {outcome:?}")
    });
    insta::assert_snapshot!(format!("claim_{name}"), outcomes.join("\n"));
}
