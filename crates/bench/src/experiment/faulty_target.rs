//! One bad target among good ones.

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

/// Replicas of the model.
const REPLICAS: usize = 12;

/// Requests a second.
const RATE: f64 = 150.0;

/// Length of each answer, in tokens.
const TOKENS: usize = 8;

/// Time in which the fault has to be found and avoided.
const ADAPTATION: Duration = Duration::from_secs(3);

/// Latency over that of the healthy fleet, at the 99th percentile.
const LATENCY_RATIO: f64 = 1.2;

/// Step time of the slow engine, in percent of a healthy one's.
const SLOWNESS: u32 = 800;

/// What is wrong with the one target.
#[derive(Clone, Copy, Debug)]
enum TargetFault {
    /// Its engine takes many times as long.
    Slow,
    /// Its engine is gone.
    DeadEngine,
    /// Its sidecar is gone.
    DeadSidecar,
    /// Its connections take bytes and give none.
    HalfOpen,
    /// Its engine goes on reporting the load that it had.
    Lying,
}

impl TargetFault {
    /// All faults.
    const ALL: [Self; 5] =
        [Self::Slow, Self::DeadEngine, Self::DeadSidecar, Self::HalfOpen, Self::Lying];

    /// Returns the fault's name in figures.
    fn name(self) -> &'static str {
        match self {
            Self::Slow => "slow",
            Self::DeadEngine => "dead_engine",
            Self::DeadSidecar => "dead_sidecar",
            Self::HalfOpen => "half_open",
            Self::Lying => "lying",
        }
    }

    /// Makes the first target faulty.
    fn apply(self, deployment: &mut SmallDeployment) {
        let target = &mut deployment.targets[0];
        match self {
            Self::Slow => {
                if let Some(engine) = &target.engine {
                    engine.set_step_time_percent(SLOWNESS);
                }
            }
            Self::DeadEngine => target.target = None,
            Self::DeadSidecar => {
                if let Some(sidecar) = &target.sidecar {
                    sidecar.faults.kill();
                }
            }
            Self::HalfOpen => {
                if let Some(proxy) = &target.proxy {
                    proxy.set_mode(FaultMode::HalfOpen);
                }
            }
            Self::Lying => {
                if let Some(engine) = &target.engine {
                    engine.freeze_load_report();
                }
            }
        }
    }
}

/// Runs the experiment.
pub(super) fn run(options: PhaseOptions, report: &mut ExperimentReport) {
    let deployment = SmallDeployment::start(spec());
    report.begin_phase("healthy");
    let healthy = measure(&deployment, options.length, options.seed);
    drop(deployment);
    report.figure("healthy_first_p99_ms", healthy.first_response_ms(0.99));
    report.count(&healthy.guarantees);
    report.curve("healthy", &healthy);
    for fault in TargetFault::ALL {
        report.begin_phase(fault.name());
        let mut deployment = SmallDeployment::start(spec());
        fault.apply(&mut deployment);
        let during = measure(&deployment, ADAPTATION, options.seed);
        let after = measure(&deployment, options.length, options.seed + 1);
        let name = fault.name();
        report.figure(format!("{name}_during_p99_ms"), during.first_response_ms(0.99));
        report.figure(format!("{name}_not_answered"), (after.sent - after.in_time) as f64);
        let ratio = after.first_response_ms(0.99) / healthy.first_response_ms(0.99);
        report.at_most(format!("{name}_p99_ratio"), ratio, LATENCY_RATIO);
        report.curve(name, &after);
        report.count(&during.guarantees);
        report.count(&after.guarantees);
    }
}

/// Returns a deployment of many replicas behind proxies.
fn spec() -> DeploymentSpec {
    let model = ModelSpec::builder()
        .admission(AdmissionSettings::builder().slots(8).build())
        .engine(EngineSettings::builder().max_sequences(8).build())
        .name("assist-llm")
        .replicas(REPLICAS)
        .build();
    DeploymentSpec::builder().models(vec![model]).proxied(true).build()
}

/// Measures a load.
fn measure(deployment: &SmallDeployment, duration: Duration, seed: u64) -> LoadReport {
    let load = CompletionLoad::short("assist-llm", seed, TOKENS);
    load.spawn(plan_for(deployment, RATE, duration, seed)).join()
}
