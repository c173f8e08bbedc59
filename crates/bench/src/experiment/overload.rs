//! Goodput when more is asked than the targets can answer.

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

/// Sequences that each engine runs at once.
const SLOTS: usize = 8;

/// Length of each answer, in tokens.
const TOKENS: usize = 16;

/// Time for each answer.
const DEADLINE: Duration = Duration::from_millis(1_500);

/// Loads as shares of the capacity.
const LOADS: [(&str, f64); 5] = [("0.5", 0.5), ("1", 1.0), ("1.5", 1.5), ("2", 2.0), ("4", 4.0)];

/// Goodput at four times the capacity as a share of that at the capacity.
const KEPT_GOODPUT: f64 = 0.95;

/// Runs the experiment.
pub(super) fn run(options: PhaseOptions, report: &mut ExperimentReport) {
    let admission = AdmissionSettings::builder().slots(SLOTS as u32).build();
    report.begin_phase("capacity");
    let capacity = {
        let deployment = SmallDeployment::start(spec(admission.clone(), RoutingPolicy::default()));
        measure_capacity(&deployment, options)
    };
    report.figure("capacity_rps", capacity);
    let own = run_loads("", &admission, RoutingPolicy::default(), capacity, options, report);
    let unlimited = AdmissionSettings::builder()
        .early_refusal(false)
        .limit(LimitPolicy::Fixed)
        .order(QueueOrder::Fifo)
        .slots(SLOTS as u32)
        .max_waiting(1_000_000)
        .build();
    let policy = RoutingPolicy::RoundRobin;
    let baseline = run_loads("baseline_", &unlimited, policy, capacity, options, report);
    report.at_least("goodput_kept_at_4x", own[4] / own[1], KEPT_GOODPUT);
    report.figure("baseline_goodput_kept_at_4x", baseline[4] / baseline[1]);
}

/// Runs all loads against a deployment of their own and returns the goodputs.
fn run_loads(
    prefix: &str,
    admission: &AdmissionSettings,
    routing: RoutingPolicy,
    capacity: f64,
    options: PhaseOptions,
    report: &mut ExperimentReport,
) -> Vec<f64> {
    let mut goodputs = Vec::new();
    for (name, share) in LOADS {
        report.begin_phase(&format!("{prefix}{name}x"));
        let deployment = SmallDeployment::start(spec(admission.clone(), routing));
        let load = measure(&deployment, capacity * share, options);
        report.figure(format!("{prefix}goodput_{name}x_rps"), load.goodput());
        report.figure(format!("{prefix}p99_{name}x_ms"), load.total_ms(0.99));
        report.count(&load.guarantees);
        if share >= 4.0 {
            report.curve(&format!("{prefix}first token at {name}x"), &load);
        }
        goodputs.push(load.goodput());
    }
    goodputs
}

/// Returns a deployment of four engines.
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

/// Measures the requests a second that the engines answer when they are never idle.
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
