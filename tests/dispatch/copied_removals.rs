//! Removals that a process without contact copies from its peers.

use std::time::Duration;

use cv_dispatch::CopiedRemovals;
use cv_policy::MonotonicTime;
use rstest::rstest;

/// A time in milliseconds.
fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

/// Returns the removals that take effect when a peer's view misses keys.
fn copy(
    removals: &mut CopiedRemovals,
    millis: u64,
    contact: Option<u64>,
    missing: &[&str],
) -> Vec<String> {
    let missing = missing.iter().map(|key| (*key).to_owned()).collect();
    removals.remove(at(millis), contact.map(Duration::from_millis), missing)
}

#[rstest]
#[case::peer_without_contact(None, false)]
#[case::peer_that_has_just_gained_contact(Some(17), false)]
#[case::peer_within_the_grace(Some(2_499), false)]
#[case::peer_with_steady_contact(Some(2_500), true)]
fn a_copied_removal_counts_as_far_as_the_peer_can_know(
    #[case] contact: Option<u64>,
    #[case] counts: bool,
) {
    let mut removals = CopiedRemovals::default();
    let removed = copy(&mut removals, 1_000, contact, &["x"]);
    assert_eq!(removed.len(), usize::from(counts));
}

#[test]
fn a_target_that_no_peer_lists_is_dropped_although_no_peer_has_steady_contact() {
    let mut removals = CopiedRemovals::default();
    for millis in (1_000..6_000).step_by(500) {
        assert!(copy(&mut removals, millis, Some(300), &["x"]).is_empty());
    }
    assert_eq!(copy(&mut removals, 6_000, Some(300), &["x"]), ["x"]);
}

#[test]
fn a_target_that_a_peer_lists_again_is_kept() {
    let mut removals = CopiedRemovals::default();
    assert!(copy(&mut removals, 1_000, Some(300), &["x", "y"]).is_empty());
    assert!(copy(&mut removals, 5_000, Some(300), &["y"]).is_empty());
    assert_eq!(copy(&mut removals, 6_000, Some(300), &["y", "x"]), ["y"]);
    assert!(copy(&mut removals, 9_900, Some(300), &["x"]).is_empty());
}

#[test]
fn views_from_before_the_own_contact_do_not_count() {
    let mut removals = CopiedRemovals::default();
    assert!(copy(&mut removals, 1_000, Some(300), &["x"]).is_empty());
    removals.clear();
    assert!(copy(&mut removals, 9_000, Some(300), &["x"]).is_empty());
}
