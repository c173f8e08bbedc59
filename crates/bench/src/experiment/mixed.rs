//! Batch beside steady online load.

use cv_policy::admission::AdmissionSettings;
use cv_policy::admission::QueueOrder;
use tempfile::TempDir;

use super::ExperimentReport;
use super::PhaseOptions;
use super::shared_batch::BatchBench;
use super::shared_batch::SLOTS;

/// Online requests a second, about two fifths of what the engines could answer.
const ONLINE_RATE: f64 = 90.0;

/// Online time to first token beside batch, over that without.
const HARM: f64 = 1.05;

/// Batch throughput as a share of what online leaves.
const THROUGHPUT: f64 = 0.9;

/// Runs the experiment.
pub(super) fn run(options: PhaseOptions, report: &mut ExperimentReport) {
    let own = AdmissionSettings::builder().slots(SLOTS).build();
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
    let (harm, throughput) = measure("", own, options, report);
    report.at_most("harm_p99_ratio", harm, HARM);
    report.at_least("batch_share_of_idle", throughput, THROUGHPUT);
    for (name, admission) in [("shared_queue", shared), ("static_split", split)] {
        let (harm, throughput) = measure(name, admission, options, report);
        report.figure(format!("{name}_harm_p99_ratio"), harm);
        report.figure(format!("{name}_batch_share_of_idle"), throughput);
    }
}

/// Measures one way of admission: harm, and batch throughput as a share of the idle capacity.
fn measure(
    name: &str,
    admission: AdmissionSettings,
    options: PhaseOptions,
    report: &mut ExperimentReport,
) -> (f64, f64) {
    let folder = TempDir::new().expect("a folder for the disks");
    let bench = BatchBench::start(&folder, admission);
    let label = if name.is_empty() { "own" } else { name };
    report.begin_phase(&format!("{label}: online alone"));
    let alone = bench.online(ONLINE_RATE, options, options.length);
    report.begin_phase(&format!("{label}: batch alone"));
    let job = bench.submit_endless();
    let idle_rate = bench.settled_batch_rate(options);
    let before = bench.generated_tokens();
    report.begin_phase(&format!("{label}: online beside batch"));
    let beside = bench.online(ONLINE_RATE, options, options.length);
    let generated = (bench.generated_tokens() - before) as f64;
    bench.cancel(&job);
    let seconds = beside.duration.as_secs_f64();
    let online_tokens = bench.online_tokens(&beside) / seconds;
    let batch_rate = generated / seconds - online_tokens;
    let prefix = if name.is_empty() { String::new() } else { format!("{name}_") };
    report.figure(format!("{prefix}first_p99_alone_ms"), alone.first_response_ms(0.99));
    report.figure(format!("{prefix}first_p99_beside_ms"), beside.first_response_ms(0.99));
    report.figure(format!("{prefix}first_p50_alone_ms"), alone.first_response_ms(0.5));
    report.figure(format!("{prefix}first_p50_beside_ms"), beside.first_response_ms(0.5));
    report.figure(format!("{prefix}batch_tokens_per_s"), batch_rate);
    report.figure(format!("{prefix}batch_alone_tokens_per_s"), idle_rate);
    report.curve(&format!("{prefix}online alone"), &alone);
    report.curve(&format!("{prefix}online beside batch"), &beside);
    report.count(&alone.guarantees);
    report.count(&beside.guarantees);
    let idle = (idle_rate - online_tokens).max(1e-9);
    (beside.first_response_ms(0.99) / alone.first_response_ms(0.99), batch_rate / idle)
}
