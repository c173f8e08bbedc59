//! Named experiments, each against a baseline or a target, from a seed.

mod affinity;
mod burst;
pub(crate) mod config_spread;
mod drain;
mod experiment_options;
mod experiment_plots;
mod experiment_report;
mod failover;
mod faulty_target;
mod mixed;
mod online;
mod overload;
mod shared_batch;
pub(crate) mod shared_load;

pub use self::experiment_options::ExperimentName;
pub use self::experiment_options::ExperimentOptions;
pub use self::experiment_plots::render_report;
pub use self::experiment_report::ExperimentReport;

/// Runs an experiment.
#[must_use]
pub fn run_experiment(name: ExperimentName, options: ExperimentOptions) -> ExperimentReport {
    let mut report = ExperimentReport::new(name.as_str(), options);
    match name {
        ExperimentName::Affinity => affinity::run(options, &mut report),
        ExperimentName::Burst => burst::run(options, &mut report),
        ExperimentName::ConfigSpread => config_spread::run(options, &mut report),
        ExperimentName::Drain => drain::run(options, &mut report),
        ExperimentName::Failover => failover::run(options, &mut report),
        ExperimentName::FaultyTarget => faulty_target::run(options, &mut report),
        ExperimentName::Mixed => mixed::run(options, &mut report),
        ExperimentName::Online => online::run(options, &mut report),
        ExperimentName::Overload => overload::run(options, &mut report),
    }
    report
}
