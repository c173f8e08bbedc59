//! Restarts every sidecar and entry in turn under load.

use std::time::Duration;

use cv_policy::admission::AdmissionSettings;
use cv_standin::EngineSettings;
use tempfile::TempDir;

use super::ExperimentReport;
use super::PhaseOptions;
use super::shared_load::CompletionLoad;
use super::shared_load::ServiceLoad;
use super::shared_load::plan_for;
use crate::deployment::DeploymentSpec;
use crate::deployment::ModelSpec;
use crate::deployment::PlainSpec;
use crate::deployment::SmallDeployment;
use crate::load::AddressBook;
use crate::load::BatchAudit;
use crate::load::BatchClient;
use crate::load::LoadReport;

/// Requests to the model service per second.
const QUESTION_RATE: f64 = 40.0;

/// Requests to the plain service per second.
const ORDER_RATE: f64 = 20.0;

/// Number of items in the batch job that runs during the restarts.
const ITEMS: usize = 2_000;

/// Time to wait after each restart, in addition to the draining itself.
const RESTART_DELAY: Duration = Duration::from_millis(1_200);

/// Timeout for the batch job after the restarts.
const JOB_TIMEOUT: Duration = Duration::from_mins(2);

/// Runs the experiment and records its figures.
pub(super) fn run(options: PhaseOptions, report: &mut ExperimentReport) {
    let folder = TempDir::new().expect("a temporary folder can be created");
    let mut deployment = SmallDeployment::start(spec(&folder));
    let client = BatchClient::new(deployment.entry_addresses()[0], "members");
    let audit = BatchAudit::completions("drain", "assist-llm", ITEMS, 24);
    let file = client.upload(audit.input()).expect("the file is accepted");
    let due = Duration::from_hours(1);
    let job = client.create(&file, Some("drain"), due).expect("the job is accepted");
    let restarts = deployment.entries.len() + deployment.targets.len();
    // Draining takes some seconds per server, and the load has to run until the last restart.
    let duration = Duration::from_secs(5) * restarts as u32 + options.length;
    let addresses = AddressBook::new(&deployment.entry_addresses());
    let mut plan = plan_for(&deployment, QUESTION_RATE, duration, options.seed);
    plan.addresses = addresses.clone();
    let mut order_plan = plan.clone();
    order_plan.rate = ORDER_RATE;
    let questions = CompletionLoad::short("assist-llm", options.seed, 12).spawn(plan);
    let orders = ServiceLoad {
        deadline: Duration::from_secs(10),
        name: "drain".to_owned(),
        path: "/services/orders-app/orders",
    };
    let orders = orders.spawn(order_plan);
    restart_all(&mut deployment, &addresses, report);
    let (questions, orders) = (questions.join(), orders.join());
    let client = BatchClient::new(deployment.entry_addresses()[0], "members");
    let job_state = client.wait(&job, JOB_TIMEOUT);
    report.record_figure("job_completed", f64::from(u8::from(job_state["status"] == "completed")));
    if let (Ok(output), Ok(errors)) =
        (client.results(&job, "output"), client.results(&job, "errors"))
    {
        report.add_counts(&audit.check(&output, &errors));
    }
    record_load(&deployment, "questions", &questions, report);
    record_load(&deployment, "orders", &orders, report);
}

/// Restarts every sidecar and every entry, one at a time.
fn restart_all(
    deployment: &mut SmallDeployment,
    addresses: &AddressBook,
    report: &ExperimentReport,
) {
    for index in 0..deployment.targets.len() {
        report.begin_phase(&format!("sidecar {index} restarts"));
        deployment.restart_sidecar(index);
        std::thread::sleep(RESTART_DELAY);
        deployment.wait_until_ready();
    }
    for index in 0..deployment.entries.len() {
        report.begin_phase(&format!("entry {index} restarts"));
        let draining = deployment.entries[index].as_ref().map(|entry| entry.data);
        let mut remaining = deployment.entry_addresses();
        remaining.retain(|address| Some(*address) != draining);
        // A load balancer stops sending calls once its next readiness check fails; 100 ms stand for
        // that delay.
        if let Some(entry) = &deployment.entries[index] {
            entry.thread.request_shutdown();
        }
        std::thread::sleep(Duration::from_millis(100));
        addresses.set(&remaining);
        deployment.restart_entry(index);
        deployment.wait_until_ready();
        addresses.set(&deployment.entry_addresses());
        std::thread::sleep(RESTART_DELAY);
    }
}

/// Records whether every call received a response and no request ran twice.
fn record_load(
    deployment: &SmallDeployment,
    name: &str,
    load: &LoadReport,
    report: &mut ExperimentReport,
) {
    report.record_figure(format!("{name}_sent"), load.sent as f64);
    report.record_figure(format!("{name}_refused"), load.guarantees.refused as f64);
    let incomplete = load.cut_off + load.unknown + load.failed;
    report.record_at_most(format!("{name}_cut_off"), incomplete as f64, 0.0);
    report.add_counts(&load.guarantees);
    let counts = deployment.executions.snapshot();
    let twice = counts.values().filter(|count| **count > 1).count();
    report.record_at_most("orders_run_twice", twice as f64, 0.0);
}

/// Returns the specification of three entries and two replicas of each service.
fn spec(folder: &TempDir) -> DeploymentSpec {
    let model = ModelSpec::builder()
        .admission(AdmissionSettings::builder().slots(16).build())
        .engine(EngineSettings::builder().max_sequences(16).build())
        .name("assist-llm")
        .replicas(2)
        .build();
    let plain = PlainSpec::builder().name("orders-app").replicas(2).build();
    DeploymentSpec::builder()
        .data(folder.path().to_owned())
        .entries(3)
        .lease_ttl(Duration::from_secs(2))
        .models(vec![model])
        .plains(vec![plain])
        .build()
}
