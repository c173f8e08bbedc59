//! Runs a small deployment with online and batch traffic.

use std::io::Write;
use std::rc::Rc;
use std::time::Duration;

use cv_runtime::ServingThread;
use cv_runtime::block_on_with_tarpc;
use cv_standin::EngineSettings;
use tempfile::TempDir;

use crate::deployment::DeploymentSpec;
use crate::deployment::ModelSpec;
use crate::deployment::PlainSpec;
use crate::deployment::SmallDeployment;
use crate::load::AddressBook;
use crate::load::BatchAudit;
use crate::load::BatchClient;
use crate::load::CompletionCall;
use crate::load::GuaranteeCounts;
use crate::load::LoadPlan;
use crate::load::LoadReport;
use crate::load::PromptSource;
use crate::load::ServiceCall;
use crate::load::run_open_load;

/// Deadline of the demo's online requests.
const DEADLINE: Duration = Duration::from_secs(5);

/// Requests to the model service per second.
const QUESTION_RATE: f64 = 20.0;

/// Requests to the plain service per second.
const ORDER_RATE: f64 = 5.0;

/// Number of items in the batch job.
const BATCH_ITEMS: usize = 400;

/// Timeout for the batch job after the online traffic has ended.
const BATCH_TIMEOUT: Duration = Duration::from_mins(1);

/// Options of the demo.
#[derive(Clone, Copy, Debug)]
pub struct DemoOptions {
    /// Whether the deployment keeps serving after the summary.
    pub keep: bool,
    /// Duration of the online traffic, in seconds.
    pub seconds: u64,
    /// Seed of the traffic.
    pub seed: u64,
}

/// Runs the demo, writes its progress and summary, and returns whether no guarantee was violated.
///
/// # Errors
/// Fails if the output cannot be written.
pub fn run_demo(options: DemoOptions, output: &mut impl Write) -> std::io::Result<bool> {
    writeln!(output, "starting 4 assistants, 2 order desks, 3 entries and the platform …")?;
    let folder = TempDir::new()?;
    let deployment = SmallDeployment::start(demo_spec(&folder));
    let addresses = deployment.entry_addresses();
    writeln!(output, "entries: {addresses:?}")?;
    let batch = BatchClient::new(addresses[0], "members");
    let audit = BatchAudit::completions("demo", "assist-llm", BATCH_ITEMS, 32);
    let job = submit(&batch, &audit).map_err(std::io::Error::other)?;
    writeln!(output, "batch job {job} with {BATCH_ITEMS} items was accepted")?;
    writeln!(output, "online traffic for {} s …", options.seconds)?;
    let questions = spawn_questions(&deployment, options);
    let orders = spawn_orders(&deployment, options);
    for second in 1..=options.seconds {
        std::thread::sleep(Duration::from_secs(1));
        let counts = &batch.fetch(&job)["request_counts"];
        writeln!(output, "  {second} s: {} of {} items", counts["completed"], counts["total"])?;
    }
    let (questions, orders) = (questions(), orders());
    summarise(output, "questions to the assistant", &questions)?;
    summarise(output, "orders", &orders)?;
    let repeated_orders =
        deployment.executions.snapshot().values().filter(|count| **count > 1).count();
    writeln!(output, "orders that ran twice: {repeated_orders}")?;
    let job_state = batch.wait(&job, BATCH_TIMEOUT);
    let lines = (batch.results(&job, "output"), batch.results(&job, "errors"));
    let items = audit.check(&lines.0.unwrap_or_default(), &lines.1.unwrap_or_default());
    let (lost, duplicates) = (items.lost, items.duplicated);
    writeln!(
        output,
        "batch job: {}, {lost} items lost, {duplicates} duplicated",
        job_state["status"]
    )?;
    let counts = [questions.guarantees, orders.guarantees, items];
    let violations: Vec<&str> = counts.iter().flat_map(GuaranteeCounts::violations).collect();
    if options.keep {
        keep_serving(&deployment, output)?;
    }
    Ok(violations.is_empty() && repeated_orders == 0)
}

/// Returns the specification of the demo's deployment.
fn demo_spec(folder: &TempDir) -> DeploymentSpec {
    let engine = EngineSettings::builder().model("assist-llm".to_owned()).build();
    let assistants = ModelSpec::builder().engine(engine).name("assist-llm").replicas(4).build();
    let desks = PlainSpec::builder().name("orders-app").replicas(2).build();
    DeploymentSpec::builder()
        .data(folder.path().to_owned())
        .entries(3)
        .models(vec![assistants])
        .plains(vec![desks])
        .build()
}

/// Submits the batch job and returns its id; the error is the response body as text.
fn submit(batch: &BatchClient, audit: &BatchAudit) -> Result<String, String> {
    let file = batch.upload(audit.input()).map_err(|response| response.to_string())?;
    let due = Duration::from_hours(1);
    batch.create(&file, Some("demo"), due).map_err(|response| response.to_string())
}

/// Starts the load on the model service; the returned function waits for its report.
fn spawn_questions(
    deployment: &SmallDeployment,
    options: DemoOptions,
) -> impl FnOnce() -> LoadReport + use<> {
    let plan = plan_for(deployment, options, QUESTION_RATE);
    let mut prompts = PromptSource::new(options.seed, 4, 64, 16);
    spawn_load(move || {
        block_on_with_tarpc(run_open_load(&plan, |_, pool: Rc<_>, address| {
            let call = CompletionCall {
                deadline: DEADLINE,
                model: "assist-llm".to_owned(),
                organisation: "members".to_owned(),
                prompt: prompts.next_prompt(),
                tokens: 24,
            };
            async move { call.run(&pool, address).await }
        }))
    })
}

/// Starts the load on the plain service; the returned function waits for its report.
fn spawn_orders(
    deployment: &SmallDeployment,
    options: DemoOptions,
) -> impl FnOnce() -> LoadReport + use<> {
    let plan = plan_for(deployment, options, ORDER_RATE);
    spawn_load(move || {
        block_on_with_tarpc(run_open_load(&plan, |count, pool: Rc<_>, address| {
            let call = ServiceCall {
                body: format!("{{\"netting\":{count}}}"),
                deadline: DEADLINE,
                key: format!("order-{count}"),
                path: "/services/orders-app/orders".to_owned(),
            };
            async move { call.run(&pool, address).await }
        }))
    })
}

/// Runs a load on its own thread; the returned function waits for its report.
fn spawn_load<L>(load: L) -> impl FnOnce() -> LoadReport
where
    L: FnOnce() -> Result<LoadReport, cv_runtime::RuntimeFault> + Send + 'static,
{
    let thread = std::thread::spawn(load);
    move || {
        thread.join().expect("the load thread does not panic").expect("the load's runtime starts")
    }
}

/// Returns the plan of one load.
fn plan_for(deployment: &SmallDeployment, options: DemoOptions, rate: f64) -> LoadPlan {
    LoadPlan {
        addresses: AddressBook::new(&deployment.entry_addresses()),
        deadline: DEADLINE,
        duration: Duration::from_secs(options.seconds),
        rate,
        seed: options.seed,
        warm_up: Duration::ZERO,
    }
}

/// Writes the counts and latencies of one load.
fn summarise(output: &mut impl Write, name: &str, report: &LoadReport) -> std::io::Result<()> {
    writeln!(
        output,
        "{name}: {} sent, {} answered in time, {} refused, {} unknown; first response p50 {:.1} ms, \
         p99 {:.1} ms",
        report.sent,
        report.in_time,
        report.guarantees.refused,
        report.unknown,
        report.first_response_ms(0.5),
        report.first_response_ms(0.99),
    )
}

/// Keeps serving until the process receives a termination signal.
fn keep_serving(deployment: &SmallDeployment, output: &mut impl Write) -> std::io::Result<()> {
    let address = deployment.entry_addresses()[0];
    writeln!(output, "serving; try:")?;
    writeln!(
        output,
        "  curl -N http://{address}/v1/completions -d '{{\"model\":\"assist-llm\",\"prompt\":\"which \
         shade for blueberries\",\"max_tokens\":8,\"stream\":true}}'"
    )?;
    writeln!(output, "  curl http://{address}/services/orders-app/orders -d '{{\"netting\":7}}'")?;
    writeln!(output, "press Ctrl-C to stop")?;
    let waiting = ServingThread::spawn("signals", |shutdown| async move {
        let _ = cv_runtime::watch_termination(shutdown.clone());
        shutdown.triggered().await;
    });
    waiting.wait();
    Ok(())
}
