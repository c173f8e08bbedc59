//! Batch beside online bursts that take idle engines to full at once.

use std::time::Duration;

use cv_policy::admission::AdmissionSettings;
use tempfile::TempDir;

use super::ExperimentReport;
use super::PhaseOptions;
use super::shared_batch::BatchBench;
use super::shared_batch::ENGINES;
use super::shared_batch::SLOTS;
use crate::load::LoadReport;

/// Time between two bursts.
const PERIOD: Duration = Duration::from_secs(5);

/// Time within which a burst's requests arrive.
const LENGTH: Duration = Duration::from_millis(100);

/// Online time to first token of bursts beside batch, over that without.
const HARM: f64 = 1.1;

/// Batch throughput as a share of what online leaves.
const THROUGHPUT: f64 = 0.75;

/// Runs the experiment.
pub(super) fn run(options: PhaseOptions, report: &mut ExperimentReport) {
    let folder = TempDir::new().expect("a folder for the disks");
    let admission = AdmissionSettings::builder().slots(SLOTS).build();
    let bench = BatchBench::start(&folder, admission);
    let bursts = (options.length.as_secs() / PERIOD.as_secs()).max(1);
    report.begin_phase("bursts alone");
    let alone = run_bursts(&bench, bursts, options);
    report.begin_phase("batch alone");
    let job = bench.submit_endless();
    let idle_rate = bench.settled_batch_rate(options);
    let before = bench.generated_tokens();
    report.begin_phase("bursts beside batch");
    let beside = run_bursts(&bench, bursts, options);
    let generated = (bench.generated_tokens() - before) as f64;
    bench.cancel(&job);
    let seconds = (PERIOD * bursts as u32).as_secs_f64();
    let online_tokens = bench.online_tokens(&beside) / seconds;
    let share = (generated / seconds - online_tokens) / (idle_rate - online_tokens).max(1e-9);
    for (name, quantile) in [("p50", 0.5), ("p99", 0.99)] {
        report.figure(format!("first_{name}_alone_ms"), alone.first_response_ms(quantile));
        report.figure(format!("first_{name}_beside_ms"), beside.first_response_ms(quantile));
    }
    let harm = beside.first_response_ms(0.99) / alone.first_response_ms(0.99);
    report.at_most("burst_harm_p99_ratio", harm, HARM);
    report.at_least("batch_share_of_idle", share, THROUGHPUT);
    let waited = beside.first_response_ms(0.99) - alone.first_response_ms(0.99);
    report.figure("slot_return_p99_ms", waited.max(0.0));
    report.figure("preemptions", bench.preemptions());
    report.curve("burst alone", &alone);
    report.curve("burst beside batch", &beside);
    report.count(&alone.guarantees);
    report.count(&beside.guarantees);
}

/// Runs bursts that fill every slot, one a period.
fn run_bursts(bench: &BatchBench, bursts: u64, options: PhaseOptions) -> LoadReport {
    let requests = f64::from(SLOTS) * ENGINES as f64;
    let rate = requests / LENGTH.as_secs_f64();
    let mut report = LoadReport::new();
    for burst in 0..bursts {
        let begin = std::time::Instant::now();
        let seeded = PhaseOptions { seed: options.seed + burst, ..options };
        report.merge(&bench.burst(rate, seeded, LENGTH));
        std::thread::sleep(PERIOD.saturating_sub(begin.elapsed()));
    }
    report
}
