//! `cvctl job`

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use cv_bench::load::BatchClient;
use http::Method;
use serde_json::Value;

/// Pause between two lines of progress.
const PROGRESS_PAUSE: Duration = Duration::from_secs(1);

/// Submits, watches and cancels batch jobs.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "job")]
pub struct JobCommand {
    /// address of an entry
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 8080))")]
    entry: SocketAddr,
    /// the organisation, where no tokens are demanded
    #[argh(option, default = "\"default\".to_owned()")]
    organisation: String,
    /// a token of the organisation
    #[argh(option)]
    token: Option<String>,
    #[argh(subcommand)]
    action: JobAction,
}

/// What to do.
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
    /// the job
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
    /// the items that did not complete, in place of the answers
    #[argh(switch)]
    errors: bool,
    /// the job
    #[argh(positional)]
    job: String,
}

/// Shows a job.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
struct StatusAction {
    /// the job
    #[argh(positional)]
    job: String,
}

/// Submits a file of items and, unless told otherwise, waits for the job's end.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "submit")]
struct SubmitAction {
    /// time until the job is due, in seconds
    #[argh(option, default = "86400")]
    due: u64,
    /// the items, one JSON object a line
    #[argh(positional)]
    file: PathBuf,
    /// key by which the same submission is recognised
    #[argh(option)]
    key: Option<String>,
    /// return once the job is accepted
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
            JobAction::List(_) => list(&client),
            JobAction::Results(action) => action.run(&client),
            JobAction::Status(action) => print_job(&client.fetch(&action.job)),
            JobAction::Submit(action) => action.run(&client),
        }
    }
}

impl ResultsAction {
    /// Prints the results.
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
    /// Submits the file.
    fn run(&self, client: &BatchClient) -> Result<ExitCode, String> {
        let path = self.file.display();
        let lines = std::fs::read(&self.file).map_err(|error| format!("{path}: {error}"))?;
        let file = client.upload(lines).map_err(|answer| format!("not accepted: {answer:#}"))?;
        let due = Duration::from_secs(self.due);
        let job = client
            .create(&file, self.key.as_deref(), due)
            .map_err(|answer| format!("not accepted: {answer:#}"))?;
        println!("accepted: {job}");
        if self.no_wait {
            return Ok(ExitCode::SUCCESS);
        }
        loop {
            let shown = client.fetch(&job);
            let counts = &shown["request_counts"];
            println!(
                "{}: {} completed, {} failed, {} unknown of {}",
                shown["status"].as_str().unwrap_or("not readable now"),
                counts["completed"],
                counts["failed"],
                counts["unknown"],
                counts["total"],
            );
            match shown["status"].as_str() {
                Some("completed") => return Ok(ExitCode::SUCCESS),
                Some("cancelled") => return Ok(ExitCode::FAILURE),
                _ => std::thread::sleep(PROGRESS_PAUSE),
            }
        }
    }
}

/// Prints a job, or the error in its place.
fn print_job(job: &Value) -> Result<ExitCode, String> {
    if job["id"].is_null() {
        return Err(format!("{job:#}"));
    }
    println!("{job:#}");
    Ok(ExitCode::SUCCESS)
}

/// Prints the organisation's jobs.
fn list(client: &BatchClient) -> Result<ExitCode, String> {
    let answer = client.call(Method::GET, "/v1/batches", Vec::new(), None);
    let response = answer.map_err(|fault| fault.to_string())?;
    let jobs: Value = serde_json::from_slice(&response.body).unwrap_or_default();
    for job in jobs["data"].as_array().into_iter().flatten() {
        println!("{} {} {} items", job["id"], job["status"], job["request_counts"]["total"]);
    }
    Ok(ExitCode::SUCCESS)
}
