//! Compares calls through entry and sidecar with direct calls to the target.

use std::net::SocketAddr;
use std::time::Duration;

use cv_policy::admission::AdmissionSettings;

use super::ExperimentReport;
use super::PhaseOptions;
use super::shared_load::LoadHandle;
use super::shared_load::ServiceLoad;
use super::shared_load::cpu_seconds;
use super::shared_load::join_all;
use crate::deployment::DeploymentSpec;
use crate::deployment::PlainSpec;
use crate::deployment::SmallDeployment;
use crate::load::AddressBook;
use crate::load::LoadPlan;
use crate::load::LoadReport;

/// Number of threads that generate load.
const LOAD_THREADS: usize = 2;

/// Calls that each thread keeps in progress at full load.
const CALLERS_PER_THREAD: usize = 32;

/// Maximum latency that entry and sidecar add at half load at the 99th percentile, in
/// milliseconds.
const MAX_ADDED_P99_MS: f64 = 1.0;

/// Minimum requests per second through entry and sidecar on one machine.
const MIN_REQUESTS_PER_SECOND: f64 = 20_000.0;

/// Runs the experiment and records its figures.
pub(super) fn run(options: PhaseOptions, report: &mut ExperimentReport) {
    let deployment = SmallDeployment::start(spec());
    let direct: Vec<SocketAddr> = deployment
        .targets
        .iter()
        .filter_map(|target| target.target.as_ref().map(|target| target.address))
        .collect();
    let entries = deployment.entry_addresses();
    report.begin_phase("direct at full load");
    let full_direct = measure_closed("direct", &direct, "/notes", options);
    let before = cpu_seconds();
    report.begin_phase("path at full load");
    let full_path = measure_closed("path", &entries, "/services/echo/notes", options);
    let used = cpu_seconds() - before;
    let rate = full_path.goodput();
    report.record_figure("direct_full_rps", full_direct.goodput());
    report.record_at_least("path_full_rps", rate, MIN_REQUESTS_PER_SECOND);
    report.record_figure("path_rps_per_core", full_path.in_time as f64 / used.max(1e-9));
    let half = rate / 2.0;
    report.begin_phase("direct at half load");
    let half_direct = measure_at_rate("half-direct", &direct, "/notes", half, options);
    report.begin_phase("path at half load");
    let half_path = measure_at_rate("half-path", &entries, "/services/echo/notes", half, options);
    report.record_figure("half_load_rps", half);
    for (name, quantile) in [("p50", 0.5), ("p99", 0.99)] {
        report.record_figure(format!("direct_{name}_ms"), half_direct.total_ms(quantile));
        report.record_figure(format!("path_{name}_ms"), half_path.total_ms(quantile));
    }
    report.record_figure("added_p50_ms", half_path.total_ms(0.5) - half_direct.total_ms(0.5));
    let added = half_path.total_ms(0.99) - half_direct.total_ms(0.99);
    report.record_at_most("added_p99_ms", added, MAX_ADDED_P99_MS);
    report.add_curve("direct at half load", &half_direct);
    report.add_curve("path at half load", &half_path);
    for load in [&full_path, &half_path] {
        report.add_counts(&load.guarantees);
    }
}

/// Returns the specification of targets without processing time.
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

/// Measures closed load with all callers busy.
fn measure_closed(
    name: &str,
    addresses: &[SocketAddr],
    path: &'static str,
    options: PhaseOptions,
) -> LoadReport {
    let spawn = |thread: usize| {
        let plan = plan(addresses, 0.0, options, thread);
        load(name, path, thread).spawn_closed(plan, CALLERS_PER_THREAD)
    };
    join_all((0..LOAD_THREADS).map(spawn).collect())
}

/// Measures open load at a rate.
fn measure_at_rate(
    name: &str,
    addresses: &[SocketAddr],
    path: &'static str,
    rate: f64,
    options: PhaseOptions,
) -> LoadReport {
    let spawn = |thread: usize| -> LoadHandle {
        let plan = plan(addresses, rate / LOAD_THREADS as f64, options, thread);
        load(name, path, thread).spawn(plan)
    };
    join_all((0..LOAD_THREADS).map(spawn).collect())
}

/// Returns the calls of one thread.
fn load(name: &str, path: &'static str, thread: usize) -> ServiceLoad {
    let name = format!("{name}-{thread}");
    ServiceLoad { deadline: Duration::from_secs(5), name, path }
}

/// Returns the plan of one thread's load.
fn plan(addresses: &[SocketAddr], rate: f64, options: PhaseOptions, thread: usize) -> LoadPlan {
    LoadPlan {
        addresses: AddressBook::new(addresses),
        deadline: Duration::from_secs(5),
        duration: options.length,
        rate,
        seed: options.seed + thread as u64,
        warm_up: Duration::from_secs(1),
    }
}
