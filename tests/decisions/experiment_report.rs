//! What makes an experiment fail, and how it keeps to the time that was asked for.

use std::time::Duration;

use cv_bench::experiment::ExperimentName;
use cv_bench::experiment::ExperimentOptions;
use cv_bench::experiment::ExperimentReport;
use cv_bench::experiment::PhaseProgress;

#[test]
fn an_experiment_that_skips_a_fault_fails() {
    let options = ExperimentOptions { seconds: 8, seed: 7_919 };
    let mut report = ExperimentReport::new("failover", options, PhaseProgress::new(|_| ()));
    assert!(report.has_passed());
    report.skip_fault("service_down");
    assert!(!report.has_passed());
    assert_eq!(report.not_played, ["service_down"]);
}

#[test]
fn all_phases_together_take_the_time_that_was_asked_for() {
    for name in ExperimentName::ALL {
        let phase = ExperimentOptions { seconds: 110, seed: 1 }.split(name.phases());
        let together = phase.length * name.phases();
        assert!(together.abs_diff(Duration::from_secs(110)) < Duration::from_millis(1));
    }
}

#[test]
fn no_phase_is_shorter_than_a_second() {
    let phase = ExperimentOptions { seconds: 1, seed: 1 }.split(11);
    assert_eq!(phase.length, Duration::from_secs(1));
}
