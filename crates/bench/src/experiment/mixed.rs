//! Batch with steady online load.

use cv_policy::admission::AdmissionSettings;
use cv_policy::admission::QueueOrder;
use tempfile::TempDir;

use super::ExperimentReport;
use super::PhaseOptions;
use super::shared_batch::BatchDeployment;
use super::shared_batch::SLOTS;

/// Online requests per second, about two fifths of the capacity of the engines.
const ONLINE_RATE: f64 = 90.0;

/// Maximum ratio of the online time to first token with batch to that without.
const MAX_LATENCY_RATIO: f64 = 1.05;

/// Minimum batch throughput as a share of the capacity that online leaves.
const MIN_THROUGHPUT_SHARE: f64 = 0.9;

/// Runs the experiment and records its figures.
pub(super) fn run(options: PhaseOptions, report: &mut ExperimentReport) {
    let priority = AdmissionSettings::builder().slots(SLOTS).build();
    let shared = AdmissionSettings::builder()
        .batch_beside_online(SLOTS)
        .order(QueueOrder::Fifo)
        .preemption(false)
        .slots(SLOTS)
        .build();
    let split = AdmissionSettings::builder()
        .batch_beside_online(SLOTS / 2)
        .preemption(false)
        .reserved_slots(SLOTS / 2)
        .slots(SLOTS)
        .build();
    let (latency_ratio, throughput) = measure("", priority, options, report);
    report.record_at_most("harm_p99_ratio", latency_ratio, MAX_LATENCY_RATIO);
    report.record_at_least("batch_share_of_idle", throughput, MIN_THROUGHPUT_SHARE);
    for (name, admission) in [("shared_queue", shared), ("static_split", split)] {
        let (latency_ratio, throughput) = measure(name, admission, options, report);
        report.record_figure(format!("{name}_harm_p99_ratio"), latency_ratio);
        report.record_figure(format!("{name}_batch_share_of_idle"), throughput);
    }
}

/// Measures one admission policy and returns the ratio of the online time to first token with
/// batch to that without, and the batch throughput as a share of the idle capacity.
fn measure(
    name: &str,
    admission: AdmissionSettings,
    options: PhaseOptions,
    report: &mut ExperimentReport,
) -> (f64, f64) {
    let folder = TempDir::new().expect("a temporary folder can be created");
    let deployment = BatchDeployment::start(&folder, admission);
    let label = if name.is_empty() { "own" } else { name };
    report.begin_phase(&format!("{label}: online alone"));
    let alone = deployment.online(ONLINE_RATE, options, options.length);
    report.begin_phase(&format!("{label}: batch alone"));
    let job = deployment.submit_long_job();
    let idle_rate = deployment.steady_batch_rate(options);
    let before = deployment.generated_tokens();
    report.begin_phase(&format!("{label}: online beside batch"));
    let with_batch = deployment.online(ONLINE_RATE, options, options.length);
    let generated = (deployment.generated_tokens() - before) as f64;
    deployment.cancel(&job);
    let seconds = with_batch.duration.as_secs_f64();
    let online_tokens = deployment.online_tokens(&with_batch) / seconds;
    let batch_rate = generated / seconds - online_tokens;
    let prefix = if name.is_empty() { String::new() } else { format!("{name}_") };
    report.record_figure(format!("{prefix}first_p99_alone_ms"), alone.first_response_ms(0.99));
    report
        .record_figure(format!("{prefix}first_p99_beside_ms"), with_batch.first_response_ms(0.99));
    report.record_figure(format!("{prefix}first_p50_alone_ms"), alone.first_response_ms(0.5));
    report.record_figure(format!("{prefix}first_p50_beside_ms"), with_batch.first_response_ms(0.5));
    report.record_figure(format!("{prefix}batch_tokens_per_s"), batch_rate);
    report.record_figure(format!("{prefix}batch_alone_tokens_per_s"), idle_rate);
    report.add_curve(&format!("{prefix}online alone"), &alone);
    report.add_curve(&format!("{prefix}online beside batch"), &with_batch);
    report.add_counts(&alone.guarantees);
    report.add_counts(&with_batch.guarantees);
    let idle = (idle_rate - online_tokens).max(1e-9);
    (with_batch.first_response_ms(0.99) / alone.first_response_ms(0.99), batch_rate / idle)
}
