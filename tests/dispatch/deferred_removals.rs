//! Deferral of removals around an outage of the coordination store.

use std::time::Duration;

use cv_dispatch::DeferredRemovals;
use cv_policy::MonotonicTime;

/// A time in milliseconds.
fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

#[test]
fn a_removal_without_an_outage_takes_effect_at_once() {
    let mut removals = DeferredRemovals::default();
    assert!(removals.remove(at(1_000), "x"));
}

#[test]
fn a_removal_after_an_outage_waits_for_a_new_registration() {
    let mut removals = DeferredRemovals::default();
    removals.record_outage(at(1_000));
    assert!(!removals.remove(at(1_100), "back"));
    assert!(!removals.remove(at(1_100), "gone"));
    removals.restore("back");
    assert!(removals.take_expired(at(2_000)).is_empty());
    assert_eq!(removals.take_expired(at(4_000)), ["gone"]);
    assert!(removals.take_expired(at(9_000)).is_empty());
}

#[test]
fn no_removal_takes_effect_while_the_outage_lasts() {
    let mut removals = DeferredRemovals::default();
    removals.record_outage(at(1_000));
    removals.remove(at(1_100), "x");
    removals.record_outage(at(8_000));
    assert!(removals.take_expired(at(8_100)).is_empty());
    assert_eq!(removals.take_expired(at(11_000)), ["x"]);
}

#[test]
fn registrations_that_vanish_together_are_given_time_to_return() {
    let mut removals = DeferredRemovals::default();
    let at = MonotonicTime::from_millis;
    removals.record_removals(at(1_000), 2, 3);
    assert!(removals.remove(at(1_000), "a"), "two of three may have left");
    removals.record_removals(at(2_000), 7, 9);
    assert!(!removals.remove(at(2_000), "b"));
    removals.restore("b");
    assert!(removals.take_expired(at(9_000)).is_empty(), "it has registered again");
}

#[test]
fn removals_take_effect_once_the_outage_was_none_for_others() {
    let mut removals = DeferredRemovals::default();
    removals.record_outage(at(1_000));
    assert!(!removals.remove(at(1_100), "gone"));
    removals.end_outage(at(1_300), at(1_000));
    assert_eq!(removals.take_expired(at(1_300)), ["gone"]);
    assert!(removals.remove(at(1_400), "later"));
}

#[test]
fn a_mass_removal_after_the_failure_is_still_deferred() {
    let mut removals = DeferredRemovals::default();
    removals.record_outage(at(1_000));
    removals.record_removals(at(1_200), 8, 10);
    assert!(!removals.remove(at(1_200), "x"));
    removals.end_outage(at(1_300), at(1_000));
    assert!(removals.take_expired(at(1_300)).is_empty());
}

#[test]
fn a_removal_takes_effect_although_single_calls_go_on_failing() {
    let mut removals = DeferredRemovals::default();
    removals.record_outage(at(1_000));
    assert!(!removals.remove(at(1_100), "dead"));
    for second in 0..6 {
        removals.record_responding_time(Duration::from_secs(second));
        removals.record_outage(at(1_500 + second * 1_200));
        let removed = removals.take_expired(at(1_600 + second * 1_200));
        assert_eq!(removed.is_empty(), second < 5, "{second}");
    }
}

#[test]
fn the_time_of_an_outage_ends_no_deferral() {
    let mut removals = DeferredRemovals::default();
    removals.record_responding_time(Duration::from_mins(1));
    removals.record_outage(at(1_000));
    assert!(!removals.remove(at(1_100), "x"));
    for second in 2..60 {
        removals.record_outage(at(second * 1_000));
        assert!(removals.take_expired(at(second * 1_000 + 500)).is_empty());
    }
}
