//! Waiting in queues and coming back.

use std::time::Duration;

use cv_dispatch::RetryAdvice;
use cv_dispatch::RetryDetector;
use cv_dispatch::WaitPolicy;
use cv_policy::MonotonicTime;

/// A time span.
fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn a_first_attempt_waits_within_its_objective_and_a_returning_one_for_longer() {
    let patience =
        |is_returning| WaitPolicy.max_expected_wait(millis(300), millis(4_000), is_returning);
    assert!(patience(false) < millis(300));
    assert!(patience(true) > millis(2_000));
    assert_eq!(WaitPolicy.max_expected_wait(millis(300), millis(1_000), true), Duration::ZERO);
}

#[test]
fn a_caller_with_less_time_than_others_has_been_here_before() {
    let mut returns = RetryDetector::default();
    assert!(!returns.is_retry("a", millis(5_000)));
    assert!(!returns.is_retry("a", millis(4_990)));
    assert!(returns.is_retry("a", millis(3_600)));
    assert!(!returns.is_retry("b", millis(600)), "each route has its own deadline");
}

#[test]
fn the_advice_is_one_that_callers_honour() {
    let mut advice = RetryAdvice::default();
    for draw in [0.0, 0.5, 0.99] {
        let after = advice.record_refusal(MonotonicTime::from_millis(1_000), millis(3_000), draw);
        assert!(after <= millis(1_000), "{after:?} is over a third of the time left");
        assert!(after >= millis(100), "{after:?} meets the same queue again");
    }
}

#[test]
fn long_busy_times_make_the_advice_longer() {
    let time = MonotonicTime::from_millis;
    let mut short = RetryAdvice::default();
    let mut long = RetryAdvice::default();
    for cycle in 0..20 {
        let start = cycle * 10_000;
        short.record_refusal(time(start), millis(5_000), 0.0);
        short.record_admission(time(start + 100));
        long.record_refusal(time(start), millis(5_000), 0.0);
        long.record_admission(time(start + 3_000));
    }
    let now = time(900_000);
    let (short, long) = (
        short.record_refusal(now, millis(5_000), 0.0),
        long.record_refusal(now, millis(5_000), 0.0),
    );
    assert!(long > short * 2, "{long:?} {short:?}");
}
