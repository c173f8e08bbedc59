//! A deployment whose engines serve batch and online together.

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

/// Sequences that each engine runs at once.
pub(super) const SLOTS: u32 = 16;

/// Length of each online answer, in tokens.
const ONLINE_TOKENS: usize = 16;

/// Length of each batch answer, in tokens.
const BATCH_TOKENS: usize = 64;

/// Items of a job that outlasts every phase.
const ENDLESS_ITEMS: usize = 30_000;

/// Time in which batch takes all idle slots.
const SETTLING: Duration = Duration::from_secs(2);

/// The deployment with its client.
pub(super) struct BatchBench {
    client: BatchClient,
    deployment: SmallDeployment,
}

impl BatchBench {
    /// Starts the deployment with disks in a folder.
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

    /// Submits a job that outlasts every phase, and waits until it runs.
    pub fn submit_endless(&self) -> String {
        let audit = BatchAudit::completions("endless", "assist-llm", ENDLESS_ITEMS, BATCH_TOKENS);
        let file = self.client.upload(audit.input()).expect("the file is accepted");
        let due = Duration::from_hours(24);
        let job = self.client.create(&file, None, due).expect("the job is accepted");
        let before = self.generated_tokens();
        while self.generated_tokens() == before {
            std::thread::sleep(Duration::from_millis(20));
        }
        job
    }

    /// Returns the tokens a second that batch alone generates once it has taken all slots.
    pub fn settled_batch_rate(&self, options: PhaseOptions) -> f64 {
        std::thread::sleep(SETTLING);
        let (before, begin) = (self.generated_tokens(), Instant::now());
        std::thread::sleep(options.length);
        (self.generated_tokens() - before) as f64 / begin.elapsed().as_secs_f64()
    }

    /// Returns the tokens that the engines have generated so far.
    pub fn generated_tokens(&self) -> u64 {
        let engines = self.deployment.targets.iter().filter_map(|target| target.engine.as_ref());
        engines.map(|engine| engine.report().generated_tokens).sum()
    }

    /// Returns the tokens of a load's whole answers.
    pub fn online_tokens(&self, load: &LoadReport) -> f64 {
        let _ = self;
        (load.in_time + load.guarantees.late) as f64 * ONLINE_TOKENS as f64
    }

    /// Returns the number of preemptions so far, as the sidecars count them.
    pub fn preemptions(&self) -> f64 {
        let sidecars = self.deployment.targets.iter().filter_map(|target| target.sidecar.as_ref());
        sidecars.map(|sidecar| preemptions_of(&AdminClient::new(sidecar.data))).sum()
    }

    /// Cancels a job.
    pub fn cancel(&self, job: &str) {
        let _ = self.client.cancel(job);
    }
}

/// Reads one sidecar's count of preemptions.
fn preemptions_of(client: &AdminClient) -> f64 {
    let Ok(response) = client.call(ClientRequest::new(Method::GET, "/-/metrics", "")) else {
        return 0.0;
    };
    let text = String::from_utf8_lossy(&response.body).into_owned();
    let line = text.lines().find(|line| line.starts_with("cv_sidecar_preemptions_total "));
    line.and_then(|line| line.rsplit(' ').next()?.parse().ok()).unwrap_or(0.0)
}
