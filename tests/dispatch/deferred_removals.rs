//! Removals around an outage of the store.

use cv_dispatch::DeferredRemovals;
use cv_policy::MonotonicTime;

/// A time.
fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

#[test]
fn a_removal_on_a_calm_day_takes_effect_at_once() {
    let mut hold = DeferredRemovals::default();
    assert!(hold.remove(at(1_000), "x"));
}

#[test]
fn a_removal_after_an_outage_waits_for_a_return() {
    let mut hold = DeferredRemovals::default();
    hold.record_outage(at(1_000));
    assert!(!hold.remove(at(1_100), "back"));
    assert!(!hold.remove(at(1_100), "gone"));
    hold.restore("back");
    assert!(hold.take_expired(at(2_000)).is_empty());
    assert_eq!(hold.take_expired(at(4_000)), ["gone"]);
    assert!(hold.take_expired(at(9_000)).is_empty());
}

#[test]
fn nothing_is_gone_while_the_store_stays_away() {
    let mut hold = DeferredRemovals::default();
    hold.record_outage(at(1_000));
    hold.remove(at(1_100), "x");
    hold.record_outage(at(8_000));
    assert!(hold.take_expired(at(8_100)).is_empty());
    assert_eq!(hold.take_expired(at(11_000)), ["x"]);
}
