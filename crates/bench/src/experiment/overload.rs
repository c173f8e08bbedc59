//! Measures goodput under load beyond the capacity of the targets.

use std::time::Duration;

use cv_policy::admission::AdmissionSettings;
use cv_policy::admission::LimitPolicy;
use cv_policy::admission::QueueOrder;
use cv_policy::routing::RoutingPolicy;
use cv_standin::EngineSettings;

use super::ExperimentReport;
use super::PhaseOptions;
use super::shared_load::CompletionLoad;
use super::shared_load::plan_for;
use crate::deployment::DeploymentSpec;
use crate::deployment::ModelSpec;
use crate::deployment::SmallDeployment;
use crate::load::LoadReport;

/// Maximum number of concurrent sequences per engine.
const SLOTS: usize = 8;

/// Length of each response, in tokens.
const TOKENS: usize = 16;

/// Deadline of each response.
const DEADLINE: Duration = Duration::from_millis(1_500);

/// Names of the loads and their rates as multiples of the capacity.
const LOADS: [(&str, f64); 5] = [("0.5", 0.5), ("1", 1.0), ("1.5", 1.5), ("2", 2.0), ("4", 4.0)];

/// Minimum goodput at four times the capacity as a share of that at the capacity.
const MIN_GOODPUT_SHARE: f64 = 0.95;

/// Runs the experiment and records its figures.
pub(super) fn run(options: PhaseOptions, report: &mut ExperimentReport) {
    let admission = AdmissionSettings::builder().slots(SLOTS as u32).build();
    report.begin_phase("capacity");
    let capacity = {
        let deployment = SmallDeployment::start(spec(admission.clone(), RoutingPolicy::default()));
        measure_capacity(&deployment, options)
    };
    report.record_figure("capacity_rps", capacity);
    let adaptive = run_loads("", &admission, RoutingPolicy::default(), capacity, options, report);
    let unlimited = AdmissionSettings::builder()
        .early_refusal(false)
        .limit(LimitPolicy::Fixed)
        .order(QueueOrder::Fifo)
        .slots(SLOTS as u32)
        .max_waiting(1_000_000)
        .build();
    let policy = RoutingPolicy::RoundRobin;
    let baseline = run_loads("baseline_", &unlimited, policy, capacity, options, report);
    report.record_at_least("goodput_kept_at_4x", adaptive[4] / adaptive[1], MIN_GOODPUT_SHARE);
    report.record_figure("baseline_goodput_kept_at_4x", baseline[4] / baseline[1]);
}

/// Runs each load against a new deployment and returns the goodputs.
fn run_loads(
    prefix: &str,
    admission: &AdmissionSettings,
    routing: RoutingPolicy,
    capacity: f64,
    options: PhaseOptions,
    report: &mut ExperimentReport,
) -> Vec<f64> {
    let mut goodputs = Vec::new();
    for (name, multiple) in LOADS {
        report.begin_phase(&format!("{prefix}{name}x"));
        let deployment = SmallDeployment::start(spec(admission.clone(), routing));
        let load = measure(&deployment, capacity * multiple, options);
        report.record_figure(format!("{prefix}goodput_{name}x_rps"), load.goodput());
        report.record_figure(format!("{prefix}p99_{name}x_ms"), load.total_ms(0.99));
        report.add_counts(&load.guarantees);
        if multiple >= 4.0 {
            report.add_curve(&format!("{prefix}first token at {name}x"), &load);
        }
        goodputs.push(load.goodput());
    }
    goodputs
}

/// Returns the specification of four engines.
fn spec(admission: AdmissionSettings, routing: RoutingPolicy) -> DeploymentSpec {
    let engine = EngineSettings::builder().max_sequences(SLOTS).build();
    let model = ModelSpec::builder()
        .admission(admission)
        .engine(engine)
        .name("assist-llm")
        .replicas(4)
        .build();
    DeploymentSpec::builder().models(vec![model]).routing(routing).build()
}

/// Measures the completed requests per second of engines that are never idle.
fn measure_capacity(deployment: &SmallDeployment, options: PhaseOptions) -> f64 {
    let load = CompletionLoad::short("assist-llm", options.seed, TOKENS);
    let plan = plan_for(deployment, 0.0, options.length, options.seed);
    // Twice as many callers as slots keep every slot in use.
    load.spawn_closed(plan, SLOTS * 4 * 2).join().goodput()
}

/// Measures a load.
fn measure(deployment: &SmallDeployment, rate: f64, options: PhaseOptions) -> LoadReport {
    let mut load = CompletionLoad::short("assist-llm", options.seed, TOKENS);
    load.deadline = DEADLINE;
    let mut plan = plan_for(deployment, rate, options.length, options.seed);
    plan.deadline = DEADLINE;
    load.spawn(plan).join()
}
