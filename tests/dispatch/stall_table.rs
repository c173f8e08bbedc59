//! When a job counts as stalled, and what is reported of it.

use std::time::Duration;

use cv_dispatch::StallChange;
use cv_dispatch::StallTable;
use cv_dispatch::WaitCause;
use cv_policy::MonotonicTime;

/// A time in milliseconds.
fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

#[test]
fn a_stall_is_reported_once_for_each_cause() {
    let mut stalls = StallTable::default();
    let mut observe = |millis, progress, cause| stalls.observe("job", at(millis), progress, cause);
    assert_eq!(observe(0, 0, WaitCause::NoRoom), None);
    assert_eq!(observe(2_900, 0, WaitCause::NoRoom), None);
    let stalled = StallChange::Stalled(WaitCause::NoRoom, Duration::from_secs(3));
    assert_eq!(observe(3_000, 0, WaitCause::NoRoom), Some(stalled));
    assert_eq!(observe(3_500, 0, WaitCause::NoRoom), None);
    let changed = StallChange::Stalled(WaitCause::Quarantined, Duration::from_secs(4));
    assert_eq!(observe(4_000, 0, WaitCause::Quarantined), Some(changed));
    let resumed = StallChange::Resumed(Duration::from_secs(5));
    assert_eq!(observe(5_000, 1, WaitCause::Running), Some(resumed));
    assert_eq!(observe(7_900, 1, WaitCause::Running), None);
}

#[test]
fn jobs_that_make_progress_are_not_reported() {
    let mut stalls = StallTable::default();
    for step in 0..20 {
        let change = stalls.observe("job", at(step * 1_000), step, WaitCause::Running);
        assert_eq!(change, None);
    }
}

#[test]
fn the_longest_stall_is_that_of_the_jobs_that_are_left() {
    let mut stalls = StallTable::default();
    stalls.observe("over", at(0), 0, WaitCause::Running);
    stalls.observe("open", at(1_000), 0, WaitCause::Running);
    stalls.observe("open", at(4_000), 0, WaitCause::Running);
    assert_eq!(stalls.finish_review(at(4_000)), Duration::from_secs(3));
    assert_eq!(stalls.finish_review(at(5_000)), Duration::ZERO);
}
