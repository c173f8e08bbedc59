//! Experiment reports: which of them fail, and how the requested time is divided into phases.

use std::time::Duration;

use cv_bench::experiment::ExperimentName;
use cv_bench::experiment::ExperimentOptions;
use cv_bench::experiment::ExperimentReport;
use cv_bench::experiment::PhaseProgress;

#[test]
fn an_experiment_with_a_skipped_fault_fails() {
    let options = ExperimentOptions { seconds: 8, seed: 7_919 };
    let mut report = ExperimentReport::new("failover", options, PhaseProgress::new(|_| ()));
    assert!(report.has_passed());
    report.record_failed_fault("service_down");
    assert!(!report.has_passed());
    assert_eq!(report.not_played, ["service_down"]);
}

#[test]
fn the_phases_add_up_to_the_requested_time() {
    for name in ExperimentName::ALL {
        let phase = ExperimentOptions { seconds: 110, seed: 1 }.split(name.phase_count());
        let total = phase.length * name.phase_count();
        assert!(total.abs_diff(Duration::from_secs(110)) < Duration::from_millis(1));
    }
}

#[test]
fn no_phase_is_shorter_than_a_second() {
    let phase = ExperimentOptions { seconds: 1, seed: 1 }.split(11);
    assert_eq!(phase.length, Duration::from_secs(1));
}
