//! Estimates of the run time of batch items.

use std::time::Duration;

use cv_dispatch::RunEstimate;

#[test]
fn the_estimate_follows_earlier_runs() {
    let mut estimate = RunEstimate::default();
    for _ in 0..100 {
        estimate.record_events(8, Duration::from_millis(320));
        estimate.record_completion(1_000, 250);
    }
    let whole = estimate.remaining(1_000, 0);
    assert!((whole.as_secs_f64() - 10.0).abs() < 0.5, "{whole:?}");
    let half = estimate.remaining(1_000, 125);
    assert!((half.as_secs_f64() - 5.0).abs() < 0.3, "{half:?}");
    assert!(estimate.remaining(1_000, 400) < Duration::from_millis(100));
}

#[test]
fn pauses_without_a_slot_do_not_count_as_run_time() {
    let mut estimate = RunEstimate::default();
    assert_eq!(estimate.remaining(1_000, 0), Duration::ZERO, "no item has completed");
    estimate.record_events(10, Duration::from_millis(200));
    estimate.record_completion(1_000, 100);
    let before = estimate.remaining(1_000, 0);
    estimate.record_events(5, Duration::from_secs(4));
    assert_eq!(estimate.remaining(1_000, 0), before);
}
