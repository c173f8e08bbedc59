//! Compares prefix affinity with round robin by cache hit rate and time to first token.

use std::time::Duration;

use cv_policy::admission::AdmissionSettings;
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
use crate::load::PromptSource;

/// Number of different prefixes in the load.
const PREFIXES: usize = 48;

/// Number of words in each prefix.
const PREFIX_WORDS: usize = 512;

/// Blocks in each engine's cache, enough for a quarter of the prefixes.
const CACHE_BLOCKS: usize = 512;

/// Requests per second.
const RATE: f64 = 60.0;

/// Runs the experiment and records its figures.
pub(super) fn run(options: PhaseOptions, report: &mut ExperimentReport) {
    let affinity = measure("affinity", RoutingPolicy::BoundedAffinity, options, report);
    let baseline = measure("round_robin", RoutingPolicy::RoundRobin, options, report);
    report.record_figure(
        "first_p50_ratio",
        affinity.first_response_ms(0.5) / baseline.first_response_ms(0.5),
    );
    report.record_figure(
        "first_p99_ratio",
        affinity.first_response_ms(0.99) / baseline.first_response_ms(0.99),
    );
}

/// Measures one routing policy.
fn measure(
    name: &str,
    routing: RoutingPolicy,
    options: PhaseOptions,
    report: &mut ExperimentReport,
) -> LoadReport {
    let deployment = SmallDeployment::start(spec(routing));
    let load = CompletionLoad {
        deadline: Duration::from_secs(10),
        model: "assist-llm",
        organisations: 8,
        prompts: PromptSource::new(options.seed, PREFIXES, PREFIX_WORDS, 16),
        tokens: 8,
    };
    report.begin_phase(name);
    let plan = plan_for(&deployment, RATE, options.length, options.seed);
    let load = load.spawn(plan).join();
    let engines = deployment.targets.iter().filter_map(|target| target.engine.as_ref());
    let (mut cached, mut prompts) = (0, 0);
    for engine in engines {
        cached += engine.report().cached_tokens;
        prompts += engine.report().prompt_tokens;
    }
    report.record_figure(format!("{name}_hit_rate"), cached as f64 / prompts.max(1) as f64);
    report.record_figure(format!("{name}_first_p50_ms"), load.first_response_ms(0.5));
    report.record_figure(format!("{name}_first_p99_ms"), load.first_response_ms(0.99));
    report.add_curve(&format!("first token, {name}"), &load);
    report.add_counts(&load.guarantees);
    load
}

/// Returns the specification of six engines with small caches.
fn spec(routing: RoutingPolicy) -> DeploymentSpec {
    let engine = EngineSettings::builder().cache_blocks(CACHE_BLOCKS).max_sequences(16).build();
    let model = ModelSpec::builder()
        .admission(AdmissionSettings::builder().slots(16).build())
        .engine(engine)
        .name("assist-llm")
        .replicas(6)
        .build();
    DeploymentSpec::builder().models(vec![model]).routing(routing).build()
}
