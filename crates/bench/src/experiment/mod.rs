//! Named experiments with seeded load, each compared with a baseline or a target.

mod affinity;
mod burst;
pub(crate) mod config_spread;
mod drain;
mod experiment_name;
mod experiment_options;
mod experiment_plots;
mod experiment_report;
mod failover;
mod faulty_target;
mod mixed;
mod online;
mod overload;
mod phase_progress;
mod shared_batch;
pub(crate) mod shared_load;

pub use self::experiment_name::ExperimentName;
pub use self::experiment_options::ExperimentOptions;
pub use self::experiment_options::PhaseOptions;
pub use self::experiment_plots::render_report;
pub use self::experiment_report::ExperimentReport;
pub use self::phase_progress::PhaseProgress;
pub use self::phase_progress::PhaseStart;

/// Runs an experiment and calls `listener` at the start of each phase.
#[must_use]
pub fn run_experiment(
    name: ExperimentName,
    options: ExperimentOptions,
    listener: fn(&PhaseStart<'_>),
) -> ExperimentReport {
    let mut report = ExperimentReport::new(name.as_str(), options, PhaseProgress::new(listener));
    let phase = options.split(name.phase_count());
    match name {
        ExperimentName::Affinity => affinity::run(phase, &mut report),
        ExperimentName::Burst => burst::run(phase, &mut report),
        ExperimentName::ConfigSpread => config_spread::run(phase, &mut report),
        ExperimentName::Drain => drain::run(phase, &mut report),
        ExperimentName::Failover => failover::run(phase, &mut report),
        ExperimentName::FaultyTarget => faulty_target::run(phase, &mut report),
        ExperimentName::Mixed => mixed::run(phase, &mut report),
        ExperimentName::Online => online::run(phase, &mut report),
        ExperimentName::Overload => overload::run(phase, &mut report),
    }
    report
}
