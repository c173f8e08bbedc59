//! Whether the owners of jobs confirm them.

use std::time::Duration;

use cv_dispatch::OwnerReply;
use cv_dispatch::UnclaimedJobs;
use cv_policy::MonotonicTime;
use rstest::rstest;

/// Records the same reply every second and returns the seconds at which a check is due.
fn check_times(reply: Option<OwnerReply>) -> Vec<u64> {
    let mut unclaimed = UnclaimedJobs::default();
    let mut check = |second: u64| {
        let now = MonotonicTime::from_millis(second * 1_000);
        unclaimed.record("job", reply, now).map(|time| time.as_secs())
    };
    (0..9).filter_map(&mut check).collect()
}

#[rstest]
#[case::the_owner_is_silent(None, vec![2, 4, 6, 8])]
#[case::the_owner_leaves_it_to_another(Some(OwnerReply::Unclaimed), vec![2, 4, 6, 8])]
#[case::the_owner_has_it(Some(OwnerReply::Owned), Vec::new())]
#[case::it_is_over(Some(OwnerReply::Over), Vec::new())]
fn the_owner_is_checked_for_as_long_as_nobody_claims_a_job(
    #[case] reply: Option<OwnerReply>,
    #[case] expected: Vec<u64>,
) {
    assert_eq!(check_times(reply), expected);
}

#[test]
fn a_claim_begins_the_wait_anew() {
    let mut unclaimed = UnclaimedJobs::default();
    let at = MonotonicTime::from_millis;
    assert_eq!(unclaimed.record("job", None, at(0)), None);
    assert_eq!(unclaimed.record("job", Some(OwnerReply::Owned), at(1_900)), None);
    assert_eq!(unclaimed.record("job", None, at(2_100)), None);
    assert_eq!(unclaimed.record("job", None, at(4_000)), None);
    assert_eq!(unclaimed.record("job", None, at(4_100)), Some(Duration::from_secs(2)));
}

#[test]
fn a_job_that_is_over_needs_no_owner() {
    let mut unclaimed = UnclaimedJobs::default();
    unclaimed.record("job", Some(OwnerReply::Over), MonotonicTime::ZERO);
    assert!(unclaimed.is_over("job"));
    unclaimed.retain(|_| false);
    assert!(!unclaimed.is_over("job"));
}
