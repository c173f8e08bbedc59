//! Rolling restart of the whole deployment under load.

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

/// Questions a second.
const QUESTION_RATE: f64 = 40.0;

/// Orders a second.
const ORDER_RATE: f64 = 20.0;

/// Items of the job that runs meanwhile.
const ITEMS: usize = 2_000;

/// Time that each restart is given, besides that of the draining itself.
const PAUSE: Duration = Duration::from_millis(1_200);

/// Longest time that the job may take after the restarts.
const JOB_PATIENCE: Duration = Duration::from_mins(2);

/// Runs the experiment.
pub(super) fn run(options: PhaseOptions, report: &mut ExperimentReport) {
    let folder = TempDir::new().expect("a folder for the disks");
    let mut deployment = SmallDeployment::start(spec(&folder));
    let client = BatchClient::new(deployment.entry_addresses()[0], "members");
    let audit = BatchAudit::completions("drain", "assist-llm", ITEMS, 24);
    let file = client.upload(audit.input()).expect("the file is accepted");
    let due = Duration::from_hours(1);
    let job = client.create(&file, Some("drain"), due).expect("the job is accepted");
    let restarts = deployment.entries.len() + deployment.targets.len();
    // Draining takes some seconds for each part, which the load has to outlast.
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
    let ended = client.wait(&job, JOB_PATIENCE);
    report.figure("job_completed", f64::from(u8::from(ended["status"] == "completed")));
    if let (Ok(output), Ok(errors)) =
        (client.results(&job, "output"), client.results(&job, "errors"))
    {
        report.count(&audit.check(&output, &errors));
    }
    check(&deployment, "questions", &questions, report);
    check(&deployment, "orders", &orders, report);
}

/// Restarts every sidecar and every entry, one after the other.
fn restart_all(
    deployment: &mut SmallDeployment,
    addresses: &AddressBook,
    report: &ExperimentReport,
) {
    for index in 0..deployment.targets.len() {
        report.begin_phase(&format!("sidecar {index} restarts"));
        deployment.restart_sidecar(index);
        std::thread::sleep(PAUSE);
        deployment.wait_until_ready();
    }
    for index in 0..deployment.entries.len() {
        report.begin_phase(&format!("entry {index} restarts"));
        let leaving = deployment.entries[index].as_ref().map(|entry| entry.data);
        let mut others = deployment.entry_addresses();
        others.retain(|address| Some(*address) != leaving);
        // The balancer sees at its next check that the entry is not ready any more.
        if let Some(entry) = &deployment.entries[index] {
            entry.thread.request_shutdown();
        }
        std::thread::sleep(Duration::from_millis(100));
        addresses.set(&others);
        deployment.restart_entry(index);
        deployment.wait_until_ready();
        addresses.set(&deployment.entry_addresses());
        std::thread::sleep(PAUSE);
    }
}

/// Checks that every call was answered, and none ran twice.
fn check(
    deployment: &SmallDeployment,
    name: &str,
    load: &LoadReport,
    report: &mut ExperimentReport,
) {
    report.figure(format!("{name}_sent"), load.sent as f64);
    report.figure(format!("{name}_refused"), load.guarantees.refused as f64);
    let cut = load.cut_off + load.unknown + load.failed;
    report.at_most(format!("{name}_cut_off"), cut as f64, 0.0);
    report.count(&load.guarantees);
    let counts = deployment.executions.snapshot();
    let twice = counts.values().filter(|count| **count > 1).count();
    report.at_most("orders_run_twice", twice as f64, 0.0);
}

/// Returns a deployment with two replicas of everything.
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
