//! The path through entry and sidecar against direct calls to the target.

use std::net::SocketAddr;
use std::time::Duration;

use cv_policy::admission::AdmissionSettings;

use super::ExperimentReport;
use super::PhaseOptions;
use super::shared_load::LoadHandle;
use super::shared_load::ServiceLoad;
use super::shared_load::join_all;
use super::shared_load::processor_seconds;
use crate::deployment::DeploymentSpec;
use crate::deployment::PlainSpec;
use crate::deployment::SmallDeployment;
use crate::load::AddressBook;
use crate::load::LoadPlan;
use crate::load::LoadReport;

/// Threads that make load.
const LOADERS: usize = 2;

/// Calls that each of them keeps under way at full load.
const CALLERS: usize = 32;

/// Most time that the path may add at half load, in milliseconds at the 99th percentile.
const ADDED_P99_MS: f64 = 1.0;

/// Requests a second that the path should carry on one machine.
const REQUESTS_PER_SECOND: f64 = 20_000.0;

/// Runs the experiment.
pub(super) fn run(options: PhaseOptions, report: &mut ExperimentReport) {
    let deployment = SmallDeployment::start(spec());
    let direct: Vec<SocketAddr> = deployment
        .targets
        .iter()
        .filter_map(|target| target.target.as_ref().map(|target| target.address))
        .collect();
    let entries = deployment.entry_addresses();
    report.begin_phase("direct at full load");
    let full_direct = measure_full("direct", &direct, "/notes", options);
    let before = processor_seconds();
    report.begin_phase("path at full load");
    let full_path = measure_full("path", &entries, "/services/echo/notes", options);
    let used = processor_seconds() - before;
    let rate = full_path.goodput();
    report.figure("direct_full_rps", full_direct.goodput());
    report.at_least("path_full_rps", rate, REQUESTS_PER_SECOND);
    report.figure("path_rps_per_core", full_path.in_time as f64 / used.max(1e-9));
    let half = rate / 2.0;
    report.begin_phase("direct at half load");
    let half_direct = measure_half("half-direct", &direct, "/notes", half, options);
    report.begin_phase("path at half load");
    let half_path = measure_half("half-path", &entries, "/services/echo/notes", half, options);
    report.figure("half_load_rps", half);
    for (name, quantile) in [("p50", 0.5), ("p99", 0.99)] {
        report.figure(format!("direct_{name}_ms"), half_direct.total_ms(quantile));
        report.figure(format!("path_{name}_ms"), half_path.total_ms(quantile));
    }
    report.figure("added_p50_ms", half_path.total_ms(0.5) - half_direct.total_ms(0.5));
    let added = half_path.total_ms(0.99) - half_direct.total_ms(0.99);
    report.at_most("added_p99_ms", added, ADDED_P99_MS);
    report.curve("direct at half load", &half_direct);
    report.curve("path at half load", &half_path);
    for load in [&full_path, &half_path] {
        report.count(&load.guarantees);
    }
}

/// Returns a deployment whose targets answer at once.
fn spec() -> DeploymentSpec {
    let admission = AdmissionSettings::builder().slots(256).build();
    let echo = PlainSpec::builder()
        .admission(admission)
        .name("echo")
        .repeatable(true)
        .replicas(2)
        .service_time(Duration::ZERO)
        .build();
    DeploymentSpec::builder().entries(2).plains(vec![echo]).build()
}

/// Measures as many calls as can be made.
fn measure_full(
    name: &str,
    addresses: &[SocketAddr],
    path: &'static str,
    options: PhaseOptions,
) -> LoadReport {
    let spawn = |loader: usize| {
        let plan = plan(addresses, 0.0, options, loader);
        load(name, path, loader).spawn_closed(plan, CALLERS)
    };
    join_all((0..LOADERS).map(spawn).collect())
}

/// Measures calls at a rate.
fn measure_half(
    name: &str,
    addresses: &[SocketAddr],
    path: &'static str,
    rate: f64,
    options: PhaseOptions,
) -> LoadReport {
    let spawn = |loader: usize| -> LoadHandle {
        let plan = plan(addresses, rate / LOADERS as f64, options, loader);
        load(name, path, loader).spawn(plan)
    };
    join_all((0..LOADERS).map(spawn).collect())
}

/// Returns the load of one thread.
fn load(name: &str, path: &'static str, loader: usize) -> ServiceLoad {
    let name = format!("{name}-{loader}");
    ServiceLoad { deadline: Duration::from_secs(5), name, path }
}

/// Returns the plan of one thread.
fn plan(addresses: &[SocketAddr], rate: f64, options: PhaseOptions, loader: usize) -> LoadPlan {
    LoadPlan {
        addresses: AddressBook::new(addresses),
        deadline: Duration::from_secs(5),
        duration: options.length,
        rate,
        seed: options.seed + loader as u64,
        warm_up: Duration::from_secs(1),
    }
}
