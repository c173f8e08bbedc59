//! Whether a failure of the store concerned one process alone.

use std::time::Duration;

use cv_dispatch::ContactHistory;
use cv_policy::MonotonicTime;
use rstest::rstest;

/// A time in milliseconds.
fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

/// Plays calls that succeed every half second up to a time, except within some outages.
fn play(until: u64, outages: &[(u64, u64)], is_stopped: impl Fn(u64) -> bool) -> ContactHistory {
    let mut history = ContactHistory::default();
    for millis in (0..=until).step_by(500).filter(|millis| !is_stopped(*millis)) {
        if outages.iter().any(|(from, to)| (*from..*to).contains(&millis)) {
            history.record_failure(at(millis));
        } else {
            history.record_success(at(millis));
        }
    }
    history
}

#[rstest]
#[case::peer_had_contact(&[], |_| false, true)]
#[case::peer_failed_too(&[(10_500, 12_000)], |_| false, false)]
#[case::peer_failed_before(&[(4_000, 5_000)], |_| false, true)]
#[case::peer_was_stopped(&[], |millis| (9_000..13_000).contains(&millis), false)]
#[case::peer_is_stopped(&[], |millis| millis >= 10_000, false)]
#[case::peer_has_just_started(&[], |millis| millis < 12_500, false)]
fn a_peer_tells_a_failure_for_one_from_one_for_all(
    #[case] peer_outages: &[(u64, u64)],
    #[case] is_peer_stopped: fn(u64) -> bool,
    #[case] concerned_one: bool,
) {
    let mut own = play(13_000, &[(10_000, 12_500)], |_| false);
    let peer = play(13_000, peer_outages, is_peer_stopped);
    let now = at(13_100);
    assert!(own.failing_time(now).is_some());
    let contact_time = peer.contact_time(now);
    let forgotten = contact_time.and_then(|time| own.forget_own_failures(now, time));
    assert_eq!(forgotten.is_some(), concerned_one);
    assert_eq!(own.last_failure().is_none(), concerned_one);
}

#[test]
fn an_old_failure_needs_no_peer() {
    let own = play(20_000, &[(10_000, 12_000)], |_| false);
    assert_eq!(own.failing_time(at(20_000)), None);
    assert_eq!(own.contact_time(at(20_000)), Some(Duration::from_secs(8)));
}

#[rstest]
#[case::calls_succeed_afterwards(&[], 4_500)]
#[case::calls_fail_afterwards(&[(13_000, 13_500)], 4_500)]
fn a_process_that_was_stopped_does_not_take_that_time_for_contact(
    #[case] outages: &[(u64, u64)],
    #[case] failing_millis: u64,
) {
    let mut own = play(13_000, outages, |millis| (9_000..13_000).contains(&millis));
    let (now, failing_time) = (at(13_000), Duration::from_millis(failing_millis));
    assert_eq!(own.last_failure(), Some(now));
    assert_eq!(own.failing_time(now), Some(failing_time));
    assert_eq!(own.forget_own_failures(now, failing_time), None);
    let longer = failing_time + Duration::from_millis(1);
    assert_eq!(own.forget_own_failures(now, longer), Some(now));
}
