//! The `cvctl job` command.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use cv_bench::load::BatchClient;
use http::Method;
use serde_json::Value;

/// Interval between two progress lines.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Submits, shows and cancels batch jobs.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "job")]
pub struct JobCommand {
    /// address of an entry
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 8080))")]
    entry: SocketAddr,
    /// organisation; used if the configuration requires no tokens
    #[argh(option, default = "\"default\".to_owned()")]
    organisation: String,
    /// token of the organisation
    #[argh(option)]
    token: Option<String>,
    #[argh(subcommand)]
    action: JobAction,
}

/// Actions on batch jobs.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum JobAction {
    Cancel(CancelAction),
    List(ListAction),
    Results(ResultsAction),
    Status(StatusAction),
    Submit(SubmitAction),
}

/// Cancels a job.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "cancel")]
struct CancelAction {
    /// ID of the job
    #[argh(positional)]
    job: String,
}

/// Lists the organisation's jobs.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
struct ListAction {}

/// Writes the results of a job to standard output.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "results")]
struct ResultsAction {
    /// write the items that did not complete instead of the responses
    #[argh(switch)]
    errors: bool,
    /// ID of the job
    #[argh(positional)]
    job: String,
}

/// Shows the state of a job.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
struct StatusAction {
    /// ID of the job
    #[argh(positional)]
    job: String,
}

/// Submits a file of items as a job and, by default, waits until the job ends.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "submit")]
struct SubmitAction {
    /// time until the job is due, in seconds
    #[argh(option, default = "86400")]
    due: u64,
    /// file with the items, one JSON object per line
    #[argh(positional)]
    file: PathBuf,
    /// idempotency key; a second submission with the same key creates no new job
    #[argh(option)]
    key: Option<String>,
    /// return as soon as the job is accepted
    #[argh(switch)]
    no_wait: bool,
}

impl JobCommand {
    /// Runs the action.
    pub fn run(&self) -> Result<ExitCode, String> {
        let client =
            BatchClient::new(self.entry, &self.organisation).with_token(self.token.clone());
        match &self.action {
            JobAction::Cancel(action) => print_job(&client.cancel(&action.job)),
            JobAction::List(_) => print_jobs(&client),
            JobAction::Results(action) => action.run(&client),
            JobAction::Status(action) => print_job(&client.fetch(&action.job)),
            JobAction::Submit(action) => action.run(&client),
        }
    }
}

impl ResultsAction {
    /// Prints the results, or the errors if requested.
    fn run(&self, client: &BatchClient) -> Result<ExitCode, String> {
        let kind = if self.errors { "errors" } else { "output" };
        let lines = client.results(&self.job, kind).map_err(|fault| fault.to_string())?;
        for line in lines {
            println!("{line}");
        }
        Ok(ExitCode::SUCCESS)
    }
}

impl SubmitAction {
    /// Uploads the file, creates the job and waits for it unless `no_wait` is set.
    fn run(&self, client: &BatchClient) -> Result<ExitCode, String> {
        let path = self.file.display();
        let lines = std::fs::read(&self.file).map_err(|error| format!("{path}: {error}"))?;
        let file =
            client.upload(lines).map_err(|error| format!("uploading {path} failed: {error:#}"))?;
        let due = Duration::from_secs(self.due);
        let job = client
            .create(&file, self.key.as_deref(), due)
            .map_err(|error| format!("creating the job failed: {error:#}"))?;
        println!("accepted: {job}");
        if self.no_wait {
            return Ok(ExitCode::SUCCESS);
        }
        loop {
            let response = client.fetch(&job);
            let counts = &response["request_counts"];
            println!(
                "{}: {} completed, {} failed, {} unknown of {}",
                response["status"].as_str().unwrap_or("status unavailable"),
                counts["completed"],
                counts["failed"],
                counts["unknown"],
                counts["total"],
            );
            match response["status"].as_str() {
                Some("completed") => return Ok(ExitCode::SUCCESS),
                Some("cancelled") => return Ok(ExitCode::FAILURE),
                _ => std::thread::sleep(PROGRESS_INTERVAL),
            }
        }
    }
}

/// Prints a job; a response without an `id` is returned as an error.
fn print_job(job: &Value) -> Result<ExitCode, String> {
    if job["id"].is_null() {
        return Err(format!("{job:#}"));
    }
    println!("{job:#}");
    Ok(ExitCode::SUCCESS)
}

/// Prints the organisation's jobs.
fn print_jobs(client: &BatchClient) -> Result<ExitCode, String> {
    let result = client.call(Method::GET, "/v1/batches", Vec::new(), None);
    let response = result.map_err(|fault| fault.to_string())?;
    let jobs: Value = serde_json::from_slice(&response.body).unwrap_or_default();
    for job in jobs["data"].as_array().into_iter().flatten() {
        println!("{} {} {} items", job["id"], job["status"], job["request_counts"]["total"]);
    }
    Ok(ExitCode::SUCCESS)
}
