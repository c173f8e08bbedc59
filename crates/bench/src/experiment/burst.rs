//! Batch with online bursts that fill all slots of idle engines at once.

use std::time::Duration;

use cv_policy::admission::AdmissionSettings;
use tempfile::TempDir;

use super::ExperimentReport;
use super::PhaseOptions;
use super::shared_batch::BatchDeployment;
use super::shared_batch::ENGINES;
use super::shared_batch::SLOTS;
use crate::load::LoadReport;

/// Time between the starts of two bursts.
const BURST_INTERVAL: Duration = Duration::from_secs(5);

/// Time within which a burst's requests arrive.
const BURST_DURATION: Duration = Duration::from_millis(100);

/// Maximum ratio of the bursts' time to first token with batch to that without.
const MAX_LATENCY_RATIO: f64 = 1.1;

/// Minimum batch throughput as a share of the capacity that online leaves.
const MIN_THROUGHPUT_SHARE: f64 = 0.75;

/// Runs the experiment and records its figures.
pub(super) fn run(options: PhaseOptions, report: &mut ExperimentReport) {
    let folder = TempDir::new().expect("a temporary folder can be created");
    let admission = AdmissionSettings::builder().slots(SLOTS).build();
    let deployment = BatchDeployment::start(&folder, admission);
    let bursts = (options.length.as_secs() / BURST_INTERVAL.as_secs()).max(1);
    report.begin_phase("bursts alone");
    let alone = run_bursts(&deployment, bursts, options);
    report.begin_phase("batch alone");
    let job = deployment.submit_long_job();
    let idle_rate = deployment.steady_batch_rate(options);
    let before = deployment.generated_tokens();
    report.begin_phase("bursts beside batch");
    let with_batch = run_bursts(&deployment, bursts, options);
    let generated = (deployment.generated_tokens() - before) as f64;
    deployment.cancel(&job);
    let seconds = (BURST_INTERVAL * bursts as u32).as_secs_f64();
    let online_tokens = deployment.online_tokens(&with_batch) / seconds;
    let share = (generated / seconds - online_tokens) / (idle_rate - online_tokens).max(1e-9);
    for (name, quantile) in [("p50", 0.5), ("p99", 0.99)] {
        report.record_figure(format!("first_{name}_alone_ms"), alone.first_response_ms(quantile));
        report.record_figure(
            format!("first_{name}_beside_ms"),
            with_batch.first_response_ms(quantile),
        );
    }
    let latency_ratio = with_batch.first_response_ms(0.99) / alone.first_response_ms(0.99);
    report.record_at_most("burst_harm_p99_ratio", latency_ratio, MAX_LATENCY_RATIO);
    report.record_at_least("batch_share_of_idle", share, MIN_THROUGHPUT_SHARE);
    let added_latency_ms = with_batch.first_response_ms(0.99) - alone.first_response_ms(0.99);
    report.record_figure("slot_return_p99_ms", added_latency_ms.max(0.0));
    report.record_figure("preemptions", deployment.preemptions());
    report.add_curve("burst alone", &alone);
    report.add_curve("burst beside batch", &with_batch);
    report.add_counts(&alone.guarantees);
    report.add_counts(&with_batch.guarantees);
}

/// Runs bursts that fill every slot, one per interval.
fn run_bursts(deployment: &BatchDeployment, bursts: u64, options: PhaseOptions) -> LoadReport {
    let requests = f64::from(SLOTS) * ENGINES as f64;
    let rate = requests / BURST_DURATION.as_secs_f64();
    let mut report = LoadReport::new();
    for burst in 0..bursts {
        let started_at = std::time::Instant::now();
        let seeded = PhaseOptions { seed: options.seed + burst, ..options };
        report.merge(&deployment.burst(rate, seeded, BURST_DURATION));
        std::thread::sleep(BURST_INTERVAL.saturating_sub(started_at.elapsed()));
    }
    report
}
