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

#[test]
fn short_runs_at_a_load_peak_do_not_lengthen_the_estimate() {
    let mut estimate = RunEstimate::default();
    for _ in 0..100 {
        estimate.record_events(10, Duration::from_millis(250));
        estimate.record_completion(1_000, 160);
    }
    // Preempted runs: the first token takes 47 ms, then an online request takes the slot.
    for _ in 0..60 {
        estimate.record_events(1, Duration::from_millis(80));
        estimate.record_events(2, Duration::from_millis(310));
        estimate.record_events(10, Duration::from_millis(250));
    }
    let run = estimate.remaining(1_000, 0);
    // The exact run time is 4 s; an item that is due in 18 s must not count as late from the start.
    assert!(run < Duration::from_secs(9), "{run:?}");
}
