//! Runs a batch job through crashes, freezes and an outage of the key-value service.

use std::time::Duration;
use std::time::Instant;

use cv_policy::admission::AdmissionSettings;
use cv_standin::EngineSettings;
use tempfile::TempDir;

use super::ExperimentReport;
use super::PhaseOptions;
use crate::deployment::DeploymentSpec;
use crate::deployment::ModelSpec;
use crate::deployment::SmallDeployment;
use crate::load::BatchAudit;
use crate::load::BatchClient;

/// Number of entries, each with a disk.
const ENTRIES: usize = 5;

/// Maximum number of items that the engines complete per second.
const ITEMS_PER_SECOND: u64 = 1_200;

/// Minimum duration of the job, in addition to the phase: during each fault, the engines still
/// have work for about half a second.
const MIN_JOB_DURATION: Duration = Duration::from_secs(10);

/// Maximum number of items in the job.
const MAX_ITEMS: u64 = 150_000;

/// Length of each response, in tokens.
const TOKENS: usize = 8;

/// Time to live of the entries' leases.
const LEASE_TTL: Duration = Duration::from_secs(2);

/// Number of times that the job's owner is frozen, each time for longer than its lease.
const FREEZE_COUNT: u32 = 3;

/// Minimum outage of the key-value service, longer than the leases.
const MIN_OUTAGE: Duration = Duration::from_secs(5);

/// Maximum outage of the key-value service.
const MAX_OUTAGE: Duration = Duration::from_mins(1);

/// Timeout until the job makes progress after a fault.
const PROGRESS_TIMEOUT: Duration = Duration::from_mins(1);

/// Timeout for the job after the faults.
const JOB_TIMEOUT: Duration = Duration::from_mins(10);

/// Runs the experiment and records its figures.
pub(super) fn run(options: PhaseOptions, report: &mut ExperimentReport) {
    let folder = TempDir::new().expect("a temporary folder can be created");
    let mut deployment = SmallDeployment::start(spec(&folder));
    let items =
        ((options.length + MIN_JOB_DURATION).as_secs() * ITEMS_PER_SECOND).min(MAX_ITEMS) as usize;
    let audit = BatchAudit::completions("failover", "assist-llm", items, TOKENS);
    let started_at = Instant::now();
    let mut failover = FailoverRun::submit(&deployment, &audit, report);
    report.record_figure("accept_s", started_at.elapsed().as_secs_f64());
    failover.inject_fault(&mut deployment, report, "owner_killed", |deployment, owner| {
        kill_entry(deployment, owner);
    });
    failover.resubmit(&deployment, report);
    failover.inject_fault(&mut deployment, report, "sidecar_killed", |deployment, _| {
        if let Some(sidecar) = &deployment.targets[0].sidecar {
            sidecar.faults.kill();
        }
        deployment.restart_sidecar(0);
    });
    for freeze in 0..FREEZE_COUNT {
        let name = format!("owner_frozen_{freeze}");
        failover.inject_fault(&mut deployment, report, &name, |deployment, owner| {
            if let Some(entry) = &deployment.entries[owner] {
                entry.faults.freeze(LEASE_TTL * 2);
            }
        });
    }
    let outage = options.length.clamp(MIN_OUTAGE, MAX_OUTAGE);
    failover.inject_fault(&mut deployment, report, "service_down", |deployment, _| {
        deployment.key_value.update_faults(|faults| faults.down = true);
        std::thread::sleep(outage);
        deployment.key_value.update_faults(|faults| faults.down = false);
    });
    report.record_figure("outage_s", outage.as_secs_f64());
    failover.inject_fault(&mut deployment, report, "answers_lost", |deployment, _| {
        deployment.key_value.update_faults(|faults| faults.lost_write_responses = 5);
    });
    failover.resubmit(&deployment, report);
    let job = failover.client(&deployment).wait(&failover.job, JOB_TIMEOUT);
    report.record_figure("job_s", started_at.elapsed().as_secs_f64());
    report.record_figure("items", items as f64);
    report.record_figure("completed", f64::from(u8::from(job["status"] == "completed")));
    let client = failover.client(&deployment);
    let output = client.results(&failover.job, "output").unwrap_or_default();
    let errors = client.results(&failover.job, "errors").unwrap_or_default();
    report.record_figure("failed_items", errors.len() as f64);
    report.add_counts(&audit.check(&output, &errors));
    let calls = deployment.key_value.call_counts();
    let writes = calls.get("/v3/kv/txn").copied().unwrap_or(0);
    report.record_figure("service_writes_per_1000_items", writes as f64 * 1_000.0 / items as f64);
}

/// A batch job into which faults are injected.
struct FailoverRun {
    file: String,
    input: Vec<u8>,
    job: String,
}

impl FailoverRun {
    /// Submits the job to the first entry.
    fn submit(
        deployment: &SmallDeployment,
        audit: &BatchAudit,
        report: &mut ExperimentReport,
    ) -> Self {
        let client = BatchClient::new(deployment.entry_addresses()[0], "members");
        let input = audit.input();
        report.record_figure("input_mb", input.len() as f64 / 1e6);
        let file = client.upload(input.clone()).expect("the file is accepted");
        let job = client.create(&file, Some("failover"), Duration::from_hours(1));
        Self { file, input, job: job.expect("the job is accepted") }
    }

    /// Returns a client of the last running entry.
    fn client(&self, deployment: &SmallDeployment) -> BatchClient {
        let _ = self;
        let addresses = deployment.entry_addresses();
        BatchClient::new(*addresses.last().expect("at least one entry is running"), "members")
    }

    /// Injects a fault and measures the time until the job makes progress.
    fn inject_fault(
        &mut self,
        deployment: &mut SmallDeployment,
        report: &mut ExperimentReport,
        name: &str,
        fault: impl FnOnce(&mut SmallDeployment, usize),
    ) {
        report.begin_phase(name);
        let Some((owner, _)) = self.wait_for_progress(deployment, 0) else {
            report.record_failed_fault(name);
            return;
        };
        fault(deployment, owner);
        let (started_at, before) = (Instant::now(), self.finished_items(deployment));
        if self.wait_for_progress(deployment, before).is_some() {
            report.record_figure(format!("{name}_recovery_s"), started_at.elapsed().as_secs_f64());
        } else {
            report.record_failed_fault(name);
        }
    }

    /// Submits the job again with the same idempotency key; a different id counts as a duplicate.
    fn resubmit(&self, deployment: &SmallDeployment, report: &mut ExperimentReport) {
        let client = self.client(deployment);
        let file = client.upload(self.input.clone()).unwrap_or_else(|_| self.file.clone());
        let second_job = client.create(&file, Some("failover"), Duration::from_hours(1));
        if second_job.is_ok_and(|job| job != self.job) {
            report.counts.duplicated += 1;
        }
    }

    /// Waits until the job has an owner and more finished items than `before`, and returns both;
    /// `None` if the job is completed or the wait times out.
    fn wait_for_progress(&self, deployment: &SmallDeployment, before: u64) -> Option<(usize, u64)> {
        let started_at = Instant::now();
        while started_at.elapsed() < PROGRESS_TIMEOUT {
            let job = self.client(deployment).fetch(&self.job);
            if job["status"] == "completed" {
                return None;
            }
            let finished = count_finished(&job);
            let owner = job["owner"].as_str().and_then(|name| name.strip_prefix("entry-"));
            if let Some(owner) = owner.and_then(|index| index.parse().ok())
                && finished > before
            {
                return Some((owner, finished));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        None
    }

    /// Returns the number of the job's finished items.
    fn finished_items(&self, deployment: &SmallDeployment) -> u64 {
        count_finished(&self.client(deployment).fetch(&self.job))
    }
}

/// Kills an entry without draining it and restarts it with the same name and disk.
fn kill_entry(deployment: &mut SmallDeployment, index: usize) {
    if let Some(entry) = &deployment.entries[index] {
        entry.faults.kill();
    }
    deployment.restart_entry(index);
}

/// Adds up the finished items in a job's counts.
fn count_finished(job: &serde_json::Value) -> u64 {
    let counts = &job["request_counts"];
    let count = |name: &str| counts[name].as_u64().unwrap_or(0);
    count("completed") + count("failed") + count("unknown")
}

/// Returns the specification of five entries with disks and three engines.
fn spec(folder: &TempDir) -> DeploymentSpec {
    let engine = EngineSettings::builder()
        .max_sequences(64)
        .step_base(Duration::from_millis(20))
        .step_per_sequence(Duration::from_micros(5))
        .build();
    let model = ModelSpec::builder()
        .admission(
            AdmissionSettings::builder().slots(64).batch_start_interval(Duration::ZERO).build(),
        )
        .engine(engine)
        .name("assist-llm")
        .replicas(3)
        .build();
    DeploymentSpec::builder()
        .data(folder.path().to_owned())
        .entries(ENTRIES)
        .lease_ttl(LEASE_TTL)
        .models(vec![model])
        .build()
}
