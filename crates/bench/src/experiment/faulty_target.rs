//! One faulty target among healthy ones.

use std::time::Duration;

use cv_policy::admission::AdmissionSettings;
use cv_standin::EngineSettings;
use cv_standin::FaultMode;

use super::ExperimentReport;
use super::PhaseOptions;
use super::shared_load::CompletionLoad;
use super::shared_load::plan_for;
use crate::deployment::DeploymentSpec;
use crate::deployment::ModelSpec;
use crate::deployment::SmallDeployment;
use crate::load::LoadReport;

/// Number of replicas of the model service.
const REPLICAS: usize = 12;

/// Requests per second.
const RATE: f64 = 150.0;

/// Length of each response, in tokens.
const TOKENS: usize = 8;

/// Time within which the entries have to detect the faulty target and avoid it.
const ADAPTATION_TIME: Duration = Duration::from_secs(3);

/// Maximum ratio of the 99th percentile of latency to that of the healthy deployment.
const MAX_LATENCY_RATIO: f64 = 1.2;

/// Step time of the slow engine, as a percentage of that of a healthy one.
const SLOW_STEP_TIME_PERCENT: u32 = 800;

/// The fault of the faulty target.
#[derive(Clone, Copy, Debug)]
enum TargetFault {
    /// Its engine takes eight times as long for each step.
    Slow,
    /// Its engine has crashed.
    CrashedEngine,
    /// Its sidecar has crashed.
    CrashedSidecar,
    /// Its connections accept bytes and never return any.
    HalfOpen,
    /// Its engine keeps reporting the load that it had when the fault began.
    StaleLoadReport,
}

impl TargetFault {
    /// All faults.
    const ALL: [Self; 5] = [
        Self::Slow,
        Self::CrashedEngine,
        Self::CrashedSidecar,
        Self::HalfOpen,
        Self::StaleLoadReport,
    ];

    /// Returns the fault's name as used in figures.
    fn name(self) -> &'static str {
        match self {
            Self::Slow => "slow",
            Self::CrashedEngine => "dead_engine",
            Self::CrashedSidecar => "dead_sidecar",
            Self::HalfOpen => "half_open",
            Self::StaleLoadReport => "lying",
        }
    }

    /// Injects the fault into the first target.
    fn apply(self, deployment: &mut SmallDeployment) {
        let target = &mut deployment.targets[0];
        match self {
            Self::Slow => {
                if let Some(engine) = &target.engine {
                    engine.set_step_time_percent(SLOW_STEP_TIME_PERCENT);
                }
            }
            Self::CrashedEngine => target.target = None,
            Self::CrashedSidecar => {
                if let Some(sidecar) = &target.sidecar {
                    sidecar.faults.kill();
                }
            }
            Self::HalfOpen => {
                if let Some(proxy) = &target.proxy {
                    proxy.set_mode(FaultMode::HalfOpen);
                }
            }
            Self::StaleLoadReport => {
                if let Some(engine) = &target.engine {
                    engine.freeze_load_report();
                }
            }
        }
    }
}

/// Runs the experiment and records its figures.
pub(super) fn run(options: PhaseOptions, report: &mut ExperimentReport) {
    let deployment = SmallDeployment::start(spec());
    report.begin_phase("healthy");
    let healthy = measure(&deployment, options.length, options.seed);
    drop(deployment);
    report.record_figure("healthy_first_p99_ms", healthy.first_response_ms(0.99));
    report.add_counts(&healthy.guarantees);
    report.add_curve("healthy", &healthy);
    for fault in TargetFault::ALL {
        report.begin_phase(fault.name());
        let mut deployment = SmallDeployment::start(spec());
        fault.apply(&mut deployment);
        let during = measure(&deployment, ADAPTATION_TIME, options.seed);
        let after = measure(&deployment, options.length, options.seed + 1);
        let name = fault.name();
        report.record_figure(format!("{name}_during_p99_ms"), during.first_response_ms(0.99));
        report.record_figure(format!("{name}_not_answered"), (after.sent - after.in_time) as f64);
        let ratio = after.first_response_ms(0.99) / healthy.first_response_ms(0.99);
        report.record_at_most(format!("{name}_p99_ratio"), ratio, MAX_LATENCY_RATIO);
        report.add_curve(name, &after);
        report.add_counts(&during.guarantees);
        report.add_counts(&after.guarantees);
    }
}

/// Returns the specification of 12 replicas behind fault proxies.
fn spec() -> DeploymentSpec {
    let model = ModelSpec::builder()
        .admission(AdmissionSettings::builder().slots(8).build())
        .engine(EngineSettings::builder().max_sequences(8).build())
        .name("assist-llm")
        .replicas(REPLICAS)
        .build();
    DeploymentSpec::builder().models(vec![model]).proxied(true).build()
}

/// Runs a load and returns its report.
fn measure(deployment: &SmallDeployment, duration: Duration, seed: u64) -> LoadReport {
    let load = CompletionLoad::short("assist-llm", seed, TOKENS);
    load.spawn(plan_for(deployment, RATE, duration, seed)).join()
}
