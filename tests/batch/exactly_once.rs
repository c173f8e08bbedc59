//! Each item of an accepted job ends with exactly one result, and a cancelled job stops.

use std::time::Duration;

use cv_bench::deployment::DeploymentSpec;
use cv_bench::deployment::ModelSpec;
use cv_bench::deployment::PlainSpec;
use cv_bench::deployment::SmallDeployment;
use cv_bench::load::BatchAudit;
use cv_bench::load::BatchClient;
use cv_bench::load::GuaranteeCounts;
use cv_standin::EngineSettings;
use tempfile::TempDir;

/// Timeout for a job to complete.
const JOB_TIMEOUT: Duration = Duration::from_mins(1);

/// Returns a deployment of three entries with a disk each, two engines and two plain servers.
fn deployment_spec(folder: &TempDir) -> DeploymentSpec {
    let engine = EngineSettings::builder().step_base(Duration::from_millis(3)).build();
    let model = ModelSpec::builder().engine(engine).name("assist-llm").replicas(2).build();
    let plain = PlainSpec::builder().name("orders-app").replicas(2).build();
    DeploymentSpec::builder()
        .data(folder.path().to_owned())
        .entries(3)
        .lease_ttl(Duration::from_secs(2))
        .models(vec![model])
        .plains(vec![plain])
        .build()
}

/// Uploads the input, submits a job with an idempotency key, and returns the id of the job.
fn submit(client: &BatchClient, audit: &BatchAudit, key: &str) -> String {
    let file = client.upload(audit.input()).expect("the file is accepted");
    client.create(&file, Some(key), Duration::from_hours(1)).expect("the job is accepted")
}

/// Returns the number of requests that the engines have admitted.
fn admitted_requests(deployment: &SmallDeployment) -> u64 {
    let engines = deployment.targets.iter().filter_map(|target| target.engine.as_ref());
    engines.map(|engine| engine.report().sequences).sum()
}

/// Waits for a job to complete and audits its results.
fn wait_and_audit(client: &BatchClient, audit: &BatchAudit, id: &str) -> GuaranteeCounts {
    let job = client.wait(id, JOB_TIMEOUT);
    assert_eq!(job["status"], "completed", "{job}");
    let output = client.results(id, "output").expect("the output is readable");
    let errors = client.results(id, "errors").expect("the errors are readable");
    audit.check(&output, &errors)
}

#[test]
fn a_job_ends_with_one_correct_result_per_item() {
    let folder = TempDir::new().expect("a temporary folder");
    let deployment = SmallDeployment::start(deployment_spec(&folder));
    let client = BatchClient::new(deployment.entry_addresses()[0], "members");
    let audit = BatchAudit::completions("a", "assist-llm", 1_200, 6);
    let id = submit(&client, &audit, "job-a");
    assert_eq!(wait_and_audit(&client, &audit, &id), GuaranteeCounts::default());
}

#[test]
fn a_repeated_submission_returns_the_same_job_and_different_content_conflicts() {
    let folder = TempDir::new().expect("a temporary folder");
    let deployment = SmallDeployment::start(deployment_spec(&folder));
    let addresses = deployment.entry_addresses();
    let audit = BatchAudit::completions("b", "assist-llm", 20, 4);
    let ids: Vec<String> = addresses
        .iter()
        .map(|address| submit(&BatchClient::new(*address, "members"), &audit, "job-b"))
        .collect();
    assert!(ids.iter().all(|id| *id == ids[0]), "{ids:?}");
    let client = BatchClient::new(addresses[0], "members");
    let other = BatchAudit::completions("c", "assist-llm", 20, 4);
    let file = client.upload(other.input()).expect("the file is accepted");
    let refused = client.create(&file, Some("job-b"), JOB_TIMEOUT).expect_err("the key conflicts");
    assert_eq!(refused["error"]["reason"], "key_conflict");
    assert_eq!(wait_and_audit(&client, &audit, &ids[0]), GuaranteeCounts::default());
}

#[test]
fn a_job_completes_after_its_owner_crashes() {
    let folder = TempDir::new().expect("a temporary folder");
    let mut deployment = SmallDeployment::start(deployment_spec(&folder));
    let client = BatchClient::new(deployment.entry_addresses()[0], "members");
    let audit = BatchAudit::completions("d", "assist-llm", 1_500, 24);
    let id = submit(&client, &audit, "job-d");
    let mut owner = None;
    while owner.is_none() {
        owner = client.fetch(&id)["owner"].as_str().map(str::to_owned);
    }
    let owner = owner.expect("the job has an owner");
    let index: usize =
        owner.trim_start_matches("entry-").parse().expect("the owner's name ends with its index");
    deployment.entries[index] = None;
    deployment.publish_list();
    let client = BatchClient::new(deployment.entry_addresses()[0], "members");
    assert_eq!(wait_and_audit(&client, &audit, &id), GuaranteeCounts::default());
}

#[test]
fn items_that_may_not_be_repeated_run_at_most_once() {
    let folder = TempDir::new().expect("a temporary folder");
    let deployment = SmallDeployment::start(deployment_spec(&folder));
    let client = BatchClient::new(deployment.entry_addresses()[0], "members");
    let audit = BatchAudit::calls("e", "orders-app", 200);
    let id = submit(&client, &audit, "job-e");
    assert_eq!(client.wait(&id, JOB_TIMEOUT)["status"], "completed");
    let executions = deployment.executions.snapshot();
    assert_eq!(executions.len(), 200);
    assert!(executions.values().all(|count| *count == 1), "{executions:?}");
}

#[test]
fn a_cancelled_job_stops() {
    let folder = TempDir::new().expect("a temporary folder");
    let deployment = SmallDeployment::start(deployment_spec(&folder));
    let addresses = deployment.entry_addresses();
    let client = BatchClient::new(addresses[0], "members");
    let audit = BatchAudit::completions("f", "assist-llm", 3_000, 50);
    let id = submit(&client, &audit, "job-f");
    let other = BatchClient::new(addresses[1], "members");
    assert_eq!(other.cancel(&id)["status"], "cancelled");
    // Items still running at the response are cancelled, and no item is handed over after it.
    let after = admitted_requests(&deployment);
    std::thread::sleep(Duration::from_millis(700));
    assert_eq!(admitted_requests(&deployment), after);
    assert_eq!(client.fetch(&id)["status"], "cancelled");
}

#[test]
fn jobs_cancelled_during_a_claim_never_start_afterwards() {
    let folder = TempDir::new().expect("a temporary folder");
    let deployment = SmallDeployment::start(deployment_spec(&folder));
    let clients: Vec<BatchClient> = deployment
        .entry_addresses()
        .into_iter()
        .map(|address| BatchClient::new(address, "members"))
        .collect();
    let audit = BatchAudit::completions("i", "assist-llm", 1_000, 50);
    for attempt in 0..12_u64 {
        let id = submit(&clients[0], &audit, &format!("job-i-{attempt}"));
        // A job is claimed within 200 ms, so some cancellations come before, some during and some
        // after the claim.
        std::thread::sleep(Duration::from_millis(attempt * 20));
        let client = &clients[attempt as usize % clients.len()];
        while client.cancel(&id)["status"] != "cancelled" {}
    }
    let after = admitted_requests(&deployment);
    std::thread::sleep(Duration::from_millis(700));
    assert_eq!(admitted_requests(&deployment), after);
}

#[test]
fn an_invalid_file_is_refused_with_all_findings() {
    let folder = TempDir::new().expect("a temporary folder");
    let deployment = SmallDeployment::start(deployment_spec(&folder));
    let client = BatchClient::new(deployment.entry_addresses()[0], "members");
    let good = BatchAudit::completions("g", "assist-llm", 1, 4).input();
    let mut lines = good.clone();
    lines.extend_from_slice(b"not json\n");
    lines.extend_from_slice(&BatchAudit::completions("h", "no-such-model", 1, 4).input());
    lines.extend_from_slice(&good);
    let response = client.upload(lines).expect_err("the file is refused");
    let findings =
        response["error"]["findings"].as_array().expect("the error lists findings").clone();
    assert_eq!(findings.len(), 3, "{response}");
    assert_eq!(findings[0]["line"], 2);
    assert_eq!(findings[1]["line"], 3);
}
