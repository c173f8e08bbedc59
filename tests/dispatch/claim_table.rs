//! Whether the owners of jobs confirm them.

use cv_dispatch::ClaimReply;
use cv_dispatch::ClaimTable;
use cv_policy::MonotonicTime;
use rstest::rstest;

/// Records the same reply every second and returns the seconds at which a refresh is due.
fn refreshes(reply: Option<ClaimReply>) -> Vec<u64> {
    let mut claims = ClaimTable::default();
    let is_due =
        |second: &u64| claims.record("job", reply, MonotonicTime::from_millis(second * 1_000));
    (0..9).filter(is_due).collect()
}

#[rstest]
#[case::the_owner_is_silent(None, vec![2, 4, 6, 8])]
#[case::the_owner_leaves_it_to_another(Some(ClaimReply::Unclaimed), vec![2, 4, 6, 8])]
#[case::the_owner_has_it(Some(ClaimReply::Owned), Vec::new())]
#[case::it_is_over(Some(ClaimReply::Over), Vec::new())]
fn the_keeper_set_is_read_anew_for_as_long_as_nobody_claims_a_job(
    #[case] reply: Option<ClaimReply>,
    #[case] expected: Vec<u64>,
) {
    assert_eq!(refreshes(reply), expected);
}

#[test]
fn a_claim_begins_the_wait_anew() {
    let mut claims = ClaimTable::default();
    let at = MonotonicTime::from_millis;
    assert!(!claims.record("job", None, at(0)));
    assert!(!claims.record("job", Some(ClaimReply::Owned), at(1_900)));
    assert!(!claims.record("job", None, at(2_100)));
    assert!(!claims.record("job", None, at(4_000)));
    assert!(claims.record("job", None, at(4_100)));
}

#[test]
fn a_job_that_is_over_needs_no_owner() {
    let mut claims = ClaimTable::default();
    claims.record("job", Some(ClaimReply::Over), MonotonicTime::ZERO);
    assert!(claims.is_over("job"));
    claims.retain(|_| false);
    assert!(!claims.is_over("job"));
}
