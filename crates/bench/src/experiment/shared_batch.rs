//! A deployment whose engines serve batch and online requests at the same time.

use std::time::Duration;
use std::time::Instant;

use cv_http::ClientRequest;
use cv_policy::admission::AdmissionSettings;
use cv_standin::EngineSettings;
use http::Method;
use tempfile::TempDir;

use super::PhaseOptions;
use super::shared_load::CompletionLoad;
use super::shared_load::plan_for;
use crate::deployment::AdminClient;
use crate::deployment::DeploymentSpec;
use crate::deployment::ModelSpec;
use crate::deployment::SmallDeployment;
use crate::load::BatchAudit;
use crate::load::BatchClient;
use crate::load::LoadReport;

/// Number of engines.
pub(super) const ENGINES: usize = 4;

/// Maximum number of concurrent sequences per engine.
pub(super) const SLOTS: u32 = 16;

/// Length of each online response, in tokens.
const ONLINE_TOKENS: usize = 16;

/// Length of each batch response, in tokens.
const BATCH_TOKENS: usize = 64;

/// Number of items in a job that outlasts every phase.
const LONG_JOB_ITEMS: usize = 30_000;

/// Time within which batch fills all idle slots.
const SETTLING_TIME: Duration = Duration::from_secs(2);

/// A deployment for batch and online load, with its batch client.
pub(super) struct BatchDeployment {
    client: BatchClient,
    deployment: SmallDeployment,
}

impl BatchDeployment {
    /// Starts the deployment with the data folders of its entries in `folder`.
    pub fn start(folder: &TempDir, admission: AdmissionSettings) -> Self {
        let engine = EngineSettings::builder().max_sequences(SLOTS as usize).build();
        let model = ModelSpec::builder()
            .admission(admission)
            .engine(engine)
            .name("assist-llm")
            .replicas(ENGINES)
            .build();
        let spec = DeploymentSpec::builder()
            .data(folder.path().to_owned())
            .entries(3)
            .models(vec![model])
            .build();
        let deployment = SmallDeployment::start(spec);
        let client = BatchClient::new(deployment.entry_addresses()[0], "members");
        Self { client, deployment }
    }

    /// Runs online load at a rate.
    pub fn online(&self, rate: f64, options: PhaseOptions, duration: Duration) -> LoadReport {
        let load = CompletionLoad::short("assist-llm", options.seed, ONLINE_TOKENS);
        load.spawn(plan_for(&self.deployment, rate, duration, options.seed)).join()
    }

    /// Runs one burst of online load.
    pub fn burst(&self, rate: f64, options: PhaseOptions, length: Duration) -> LoadReport {
        let load = CompletionLoad::short("assist-llm", options.seed, ONLINE_TOKENS);
        let mut plan = plan_for(&self.deployment, rate, length, options.seed);
        plan.warm_up = Duration::ZERO;
        load.spawn(plan).join()
    }

    /// Submits a job that outlasts every phase, waits until it runs and returns its id.
    pub fn submit_long_job(&self) -> String {
        let audit = BatchAudit::completions("endless", "assist-llm", LONG_JOB_ITEMS, BATCH_TOKENS);
        let file = self.client.upload(audit.input()).expect("the file is accepted");
        let due = Duration::from_hours(24);
        let job = self.client.create(&file, None, due).expect("the job is accepted");
        let before = self.generated_tokens();
        while self.generated_tokens() == before {
            std::thread::sleep(Duration::from_millis(20));
        }
        job
    }

    /// Measures the tokens per second that batch alone generates once it has filled all slots.
    pub fn steady_batch_rate(&self, options: PhaseOptions) -> f64 {
        std::thread::sleep(SETTLING_TIME);
        let (before, started_at) = (self.generated_tokens(), Instant::now());
        std::thread::sleep(options.length);
        (self.generated_tokens() - before) as f64 / started_at.elapsed().as_secs_f64()
    }

    /// Returns the tokens that the engines have generated so far.
    pub fn generated_tokens(&self) -> u64 {
        let engines = self.deployment.targets.iter().filter_map(|target| target.engine.as_ref());
        engines.map(|engine| engine.report().generated_tokens).sum()
    }

    /// Returns the number of tokens in a load's complete responses.
    pub fn online_tokens(&self, load: &LoadReport) -> f64 {
        let _ = self;
        (load.in_time + load.guarantees.late) as f64 * ONLINE_TOKENS as f64
    }

    /// Returns the number of preemptions so far, as the sidecars count them.
    pub fn preemptions(&self) -> f64 {
        let sidecars = self.deployment.targets.iter().filter_map(|target| target.sidecar.as_ref());
        sidecars.map(|sidecar| read_preemptions(&AdminClient::new(sidecar.data))).sum()
    }

    /// Cancels a job.
    pub fn cancel(&self, job: &str) {
        let _ = self.client.cancel(job);
    }
}

/// Reads one sidecar's count of preemptions; 0 if it cannot be read.
fn read_preemptions(client: &AdminClient) -> f64 {
    let Ok(response) = client.call(ClientRequest::new(Method::GET, "/-/metrics", "")) else {
        return 0.0;
    };
    let text = String::from_utf8_lossy(&response.body).into_owned();
    let line = text.lines().find(|line| line.starts_with("cv_sidecar_preemptions_total "));
    line.and_then(|line| line.rsplit(' ').next()?.parse().ok()).unwrap_or(0.0)
}
