//! Which requests a process that shuts down still takes.

use std::time::Duration;

use cv_dispatch::DrainTerms;
use cv_dispatch::RunTimes;
use cv_policy::MonotonicTime;
use rstest::rstest;

/// Returns a time after a number of seconds.
fn second(number: u64) -> MonotonicTime {
    MonotonicTime::from_micros(number * 1_000_000)
}

#[rstest]
#[case::its_time_fits(5_000, 4_000, None, true, true)]
#[case::its_time_does_not_fit(5_000, 6_000, None, false, false)]
#[case::runs_are_short(5_000, 15_000, Some(1_000), false, true)]
#[case::runs_are_short_but_callers_go_elsewhere(5_000, 15_000, Some(1_000), true, false)]
#[case::runs_are_long(5_000, 15_000, Some(3_000), false, false)]
#[case::nothing_is_left(0, 1, Some(0), true, false)]
fn a_request_is_taken_if_it_ends_in_time(
    #[case] grace_left_ms: u64,
    #[case] time_left_ms: u64,
    #[case] longest_run_ms: Option<u64>,
    #[case] is_draining: bool,
    #[case] is_taken: bool,
) {
    let terms = DrainTerms {
        grace_left: Duration::from_millis(grace_left_ms),
        is_draining,
        longest_run: longest_run_ms.map(Duration::from_millis),
        time_left: Duration::from_millis(time_left_ms),
    };
    assert_eq!(terms.ends_in_time(), is_taken);
}

#[test]
fn a_long_run_is_remembered_for_a_while() {
    let mut times = RunTimes::default();
    assert_eq!(times.longest("a"), None);
    times.record(second(0), "b", Duration::from_secs(9));
    times.record(second(0), "a", Duration::from_secs(3));
    times.record(second(1), "a", Duration::from_secs(1));
    assert_eq!(times.longest("a"), Some(Duration::from_secs(3)));
    times.record(second(31), "a", Duration::from_secs(1));
    assert_eq!(times.longest("a"), Some(Duration::from_secs(3)));
    times.record(second(62), "a", Duration::from_secs(1));
    assert_eq!(times.longest("a"), Some(Duration::from_secs(1)));
}
