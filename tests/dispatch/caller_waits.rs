//! Limits on queue waits, detection of retries and retry advice.

use std::time::Duration;

use cv_dispatch::RetryAdvice;
use cv_dispatch::RetryDetector;
use cv_dispatch::WaitPolicy;
use cv_policy::MonotonicTime;

/// A duration in milliseconds.
fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn a_first_attempt_waits_less_than_its_objective_and_a_retry_longer() {
    let max_wait = |is_retry| WaitPolicy.max_expected_wait(millis(300), millis(4_000), is_retry);
    assert!(max_wait(false) < millis(300));
    assert!(max_wait(true) > millis(2_000));
    assert_eq!(WaitPolicy.max_expected_wait(millis(300), millis(1_000), true), Duration::ZERO);
}

#[test]
fn a_caller_with_a_shorter_deadline_than_others_is_retrying() {
    let mut detector = RetryDetector::default();
    let at = MonotonicTime::from_millis;
    for route in ["a", "b"] {
        detector.is_retry(at(0), route, millis(if route == "a" { 5_000 } else { 600 }));
    }
    assert!(!detector.is_retry(at(3_000), "a", millis(5_000)));
    assert!(!detector.is_retry(at(3_000), "a", millis(4_990)));
    assert!(detector.is_retry(at(3_000), "a", millis(3_600)));
    assert!(!detector.is_retry(at(3_000), "b", millis(600)), "each route has its own deadline");
}

#[test]
fn after_a_start_every_caller_counts_as_retrying_until_the_deadlines_are_known() {
    let mut detector = RetryDetector::default();
    let at = MonotonicTime::from_millis;
    // The first callers return from connections that were refused while the entry was down.
    assert!(detector.is_retry(at(100), "a", millis(3_900)));
    assert!(detector.is_retry(at(200), "a", millis(4_100)));
    assert!(detector.is_retry(at(300), "a", millis(5_000)));
    assert!(!detector.is_retry(at(2_100), "a", millis(5_000)));
    assert!(detector.is_retry(at(2_100), "a", millis(4_100)));
}

#[test]
fn the_advised_delay_is_one_that_callers_accept() {
    let mut advice = RetryAdvice::default();
    for jitter in [0.0, 0.5, 0.99] {
        let delay = advice.record_refusal(MonotonicTime::from_millis(1_000), millis(3_000), jitter);
        assert!(delay <= millis(1_000), "{delay:?} is more than a third of the time left");
        assert!(delay >= millis(100), "{delay:?} is too short to find another queue");
    }
}

#[test]
fn long_busy_periods_lengthen_the_advised_delay() {
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
