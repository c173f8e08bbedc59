//! A batch job through deaths, pauses and an outage of the key-value service.

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

/// Entries with a disk.
const ENTRIES: usize = 5;

/// Items that the engines answer in a second, at most.
const ITEMS_PER_SECOND: u64 = 1_200;

/// Time that the job runs at least, besides that of the phase: the faults leave work for the
/// engines for about half a second each.
const SHORTEST_JOB: Duration = Duration::from_secs(10);

/// Most items in one job.
const MAX_ITEMS: u64 = 150_000;

/// Length of each answer, in tokens.
const TOKENS: usize = 8;

/// Time to live of the leases.
const LEASE_TTL: Duration = Duration::from_secs(2);

/// Pauses of owners, each longer than the lease.
const FREEZES: u32 = 3;

/// Shortest outage of the key-value service, longer than the leases.
const SHORTEST_OUTAGE: Duration = Duration::from_secs(5);

/// Longest outage of the key-value service.
const LONGEST_OUTAGE: Duration = Duration::from_mins(1);

/// Longest time until work goes on after a fault.
const PROGRESS_PATIENCE: Duration = Duration::from_mins(1);

/// Longest time that the whole job may take.
const JOB_PATIENCE: Duration = Duration::from_mins(10);

/// Runs the experiment.
pub(super) fn run(options: PhaseOptions, report: &mut ExperimentReport) {
    let folder = TempDir::new().expect("a folder for the disks");
    let mut deployment = SmallDeployment::start(spec(&folder));
    let items =
        ((options.length + SHORTEST_JOB).as_secs() * ITEMS_PER_SECOND).min(MAX_ITEMS) as usize;
    let audit = BatchAudit::completions("failover", "assist-llm", items, TOKENS);
    let begin = Instant::now();
    let mut drill = FailoverDrill::submit(&deployment, &audit, report);
    report.figure("accept_s", begin.elapsed().as_secs_f64());
    drill.fault(&mut deployment, report, "owner_killed", |deployment, owner| {
        kill_entry(deployment, owner);
    });
    drill.resend(&deployment, report);
    drill.fault(&mut deployment, report, "sidecar_killed", |deployment, _| {
        if let Some(sidecar) = &deployment.targets[0].sidecar {
            sidecar.faults.kill();
        }
        deployment.restart_sidecar(0);
    });
    for freeze in 0..FREEZES {
        let name = format!("owner_frozen_{freeze}");
        drill.fault(&mut deployment, report, &name, |deployment, owner| {
            if let Some(entry) = &deployment.entries[owner] {
                entry.faults.freeze(LEASE_TTL * 2);
            }
        });
    }
    let outage = options.length.clamp(SHORTEST_OUTAGE, LONGEST_OUTAGE);
    drill.fault(&mut deployment, report, "service_down", |deployment, _| {
        deployment.key_value.update_faults(|faults| faults.down = true);
        std::thread::sleep(outage);
        deployment.key_value.update_faults(|faults| faults.down = false);
    });
    report.figure("outage_s", outage.as_secs_f64());
    drill.fault(&mut deployment, report, "answers_lost", |deployment, _| {
        deployment.key_value.update_faults(|faults| faults.lost_write_responses = 5);
    });
    drill.resend(&deployment, report);
    let job = drill.client(&deployment).wait(&drill.job, JOB_PATIENCE);
    report.figure("job_s", begin.elapsed().as_secs_f64());
    report.figure("items", items as f64);
    report.figure("completed", f64::from(u8::from(job["status"] == "completed")));
    let client = drill.client(&deployment);
    let output = client.results(&drill.job, "output").unwrap_or_default();
    let errors = client.results(&drill.job, "errors").unwrap_or_default();
    report.figure("failed_items", errors.len() as f64);
    report.count(&audit.check(&output, &errors));
    let calls = deployment.key_value.call_counts();
    let writes = calls.get("/v3/kv/txn").copied().unwrap_or(0);
    report.figure("service_writes_per_1000_items", writes as f64 * 1_000.0 / items as f64);
}

/// A job and the faults that it goes through.
struct FailoverDrill {
    file: String,
    input: Vec<u8>,
    job: String,
}

impl FailoverDrill {
    /// Submits the job.
    fn submit(
        deployment: &SmallDeployment,
        audit: &BatchAudit,
        report: &mut ExperimentReport,
    ) -> Self {
        let client = BatchClient::new(deployment.entry_addresses()[0], "members");
        let input = audit.input();
        report.figure("input_mb", input.len() as f64 / 1e6);
        let file = client.upload(input.clone()).expect("the file is accepted");
        let job = client.create(&file, Some("failover"), Duration::from_hours(1));
        Self { file, input, job: job.expect("the job is accepted") }
    }

    /// Returns a client of an entry that runs.
    fn client(&self, deployment: &SmallDeployment) -> BatchClient {
        let _ = self;
        let addresses = deployment.entry_addresses();
        BatchClient::new(*addresses.last().expect("an entry runs"), "members")
    }

    /// Brings about a fault and measures the time until work goes on.
    fn fault(
        &mut self,
        deployment: &mut SmallDeployment,
        report: &mut ExperimentReport,
        name: &str,
        fault: impl FnOnce(&mut SmallDeployment, usize),
    ) {
        report.begin_phase(name);
        let Some((owner, _)) = self.wait_for_progress(deployment, 0) else {
            report.skip_fault(name);
            return;
        };
        fault(deployment, owner);
        let (begin, before) = (Instant::now(), self.ended_items(deployment));
        if self.wait_for_progress(deployment, before).is_some() {
            report.figure(format!("{name}_recovery_s"), begin.elapsed().as_secs_f64());
        } else {
            report.skip_fault(name);
        }
    }

    /// Sends the job again; it has to be the same one.
    fn resend(&self, deployment: &SmallDeployment, report: &mut ExperimentReport) {
        let client = self.client(deployment);
        let file = client.upload(self.input.clone()).unwrap_or_else(|_| self.file.clone());
        let again = client.create(&file, Some("failover"), Duration::from_hours(1));
        if again.is_ok_and(|job| job != self.job) {
            report.counts.duplicated += 1;
        }
    }

    /// Waits until the job has an owner and more ended items than `before`; returns both, or
    /// `None` once the job has ended.
    fn wait_for_progress(&self, deployment: &SmallDeployment, before: u64) -> Option<(usize, u64)> {
        let begin = Instant::now();
        while begin.elapsed() < PROGRESS_PATIENCE {
            let job = self.client(deployment).fetch(&self.job);
            if job["status"] == "completed" {
                return None;
            }
            let ended = ended_of(&job);
            let owner = job["owner"].as_str().and_then(|name| name.strip_prefix("entry-"));
            if let Some(owner) = owner.and_then(|index| index.parse().ok())
                && ended > before
            {
                return Some((owner, ended));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        None
    }

    /// Returns the number of the job's ended items.
    fn ended_items(&self, deployment: &SmallDeployment) -> u64 {
        ended_of(&self.client(deployment).fetch(&self.job))
    }
}

/// Kills an entry without any farewell and has the platform start another in its place.
fn kill_entry(deployment: &mut SmallDeployment, index: usize) {
    if let Some(entry) = &deployment.entries[index] {
        entry.faults.kill();
    }
    deployment.restart_entry(index);
}

/// Adds up the ended items in a job's answer.
fn ended_of(job: &serde_json::Value) -> u64 {
    let counts = &job["request_counts"];
    let count = |name: &str| counts[name].as_u64().unwrap_or(0);
    count("completed") + count("failed") + count("unknown")
}

/// Returns a deployment with several disks.
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
