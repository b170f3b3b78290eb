//! A host's position in the history of configuration revisions only moves forward.

use goldcrest_decide::configuration::{ConfigFollower, ConfigHead, FETCH_TIMEOUT, Offer, Preset};
use goldcrest_types::{ChangeId, Name, Timestamp};
use rstest::rstest;

fn head(revision: u64, hash: &str, preset: Preset) -> ConfigHead {
    ConfigHead {
        revision,
        hash: Name::from(hash),
        preset,
        change: ChangeId(revision),
    }
}

fn revision(follower: &ConfigFollower) -> u64 {
    follower.current().map_or(0, |h| h.revision)
}

#[rstest]
fn an_older_head_is_ignored() {
    let mut follower = ConfigFollower::new(1);
    let now = Timestamp::ZERO;
    follower.offer(head(3, "c", Preset::Peak), now);
    assert!(follower.fetched("c"));
    // Two older heads, one with the current document and one with another, and the current head again.
    let stale = [
        head(2, "c", Preset::Ordinary),
        head(1, "a", Preset::Maintenance),
        head(3, "c", Preset::Peak),
    ];
    for old in stale {
        assert_eq!(follower.offer(old, now), Offer::Stale);
    }
    assert!(!follower.fetched("a"));
    assert_eq!(follower.current(), Some(&head(3, "c", Preset::Peak)));
}

#[rstest]
fn a_head_with_the_current_document_is_adopted_at_once() {
    let mut follower = ConfigFollower::new(1);
    follower.offer(head(1, "a", Preset::Ordinary), Timestamp::ZERO);
    assert!(follower.fetched("a"));
    let next = head(2, "a", Preset::Peak);
    assert_eq!(
        follower.offer(next.clone(), Timestamp::ZERO),
        Offer::Adopted
    );
    assert_eq!(follower.current(), Some(&next));
}

#[rstest]
fn a_late_document_of_an_older_revision_is_ignored() {
    let mut follower = ConfigFollower::new(1);
    let now = Timestamp::ZERO;
    let first = follower.offer(head(1, "a", Preset::Ordinary), now);
    assert_eq!(first, Offer::Fetch(Name::from("a")));
    let second = follower.offer(head(2, "b", Preset::Peak), now);
    assert_eq!(second, Offer::Fetch(Name::from("b")));
    assert!(follower.fetched("b"));
    assert!(!follower.fetched("a"));
    assert_eq!(revision(&follower), 2);
}

#[rstest]
fn a_document_that_does_not_arrive_is_fetched_again() {
    let mut follower = ConfigFollower::new(1);
    let wanted = head(1, "a", Preset::Ordinary);
    let fetch = Offer::Fetch(Name::from("a"));
    assert_eq!(follower.offer(wanted.clone(), Timestamp::ZERO), fetch);
    // While the fetch is in progress, the same head from other hosts starts no second one.
    assert_eq!(
        follower.offer(wanted.clone(), Timestamp::ZERO),
        Offer::Stale
    );
    let later = Timestamp::ZERO + FETCH_TIMEOUT;
    assert_eq!(follower.offer(wanted, later), fetch);
}
