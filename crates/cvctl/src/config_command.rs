//! `cvctl config`

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use std::time::Instant;

use argh::FromArgs;
use cv_bench::deployment::AdminClient;
use cv_settings::parse_fleet_config;
use serde_json::Value;

/// Longest wait until a change is in force everywhere.
const PATIENCE: Duration = Duration::from_secs(30);

/// Pause between two looks.
const LOOK_PAUSE: Duration = Duration::from_millis(200);

/// Reads, checks and changes the fleet's configuration.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "config")]
pub struct ConfigCommand {
    #[argh(subcommand)]
    action: ConfigAction,
}

/// What to do with the configuration.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum ConfigAction {
    Apply(ApplyAction),
    Check(CheckAction),
    Show(ShowAction),
    Status(StatusAction),
}

/// Changes the configuration and waits until it is in force everywhere.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
struct ApplyAction {
    /// address of an entry
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 8080))")]
    entry: SocketAddr,
    /// an operator's token
    #[argh(option)]
    token: Option<String>,
    /// the revision that the change was made against; the one in force if it is left out
    #[argh(option)]
    against: Option<u64>,
    /// the configuration in YAML
    #[argh(positional)]
    file: PathBuf,
}

/// Checks a configuration without an entry.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
struct CheckAction {
    /// the configuration in YAML
    #[argh(positional)]
    file: PathBuf,
}

/// Shows the configuration in force at an entry.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
struct ShowAction {
    /// address of an entry
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 8080))")]
    entry: SocketAddr,
    /// an operator's token
    #[argh(option)]
    token: Option<String>,
}

/// Shows which revision is in force on each instance.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
struct StatusAction {
    /// address of an entry
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 8080))")]
    entry: SocketAddr,
    /// an operator's token
    #[argh(option)]
    token: Option<String>,
}

impl ConfigCommand {
    /// Runs the action.
    pub fn run(&self) -> Result<ExitCode, String> {
        match &self.action {
            ConfigAction::Apply(action) => action.run(),
            ConfigAction::Check(action) => action.run(),
            ConfigAction::Show(action) => {
                print_call(action.entry, action.token.clone(), "/admin/config")
            }
            ConfigAction::Status(action) => {
                print_call(action.entry, action.token.clone(), "/admin/config/status")
            }
        }
    }
}

impl ApplyAction {
    /// Changes the configuration.
    fn run(&self) -> Result<ExitCode, String> {
        let text = read(&self.file)?;
        let client = AdminClient::new(self.entry).with_token(self.token.clone());
        let against = match self.against {
            Some(against) => against,
            None => revision_of(&client.get_json("/admin/config").ok_or("the entry is silent")?),
        };
        let response = client.put_config(&text, against).map_err(|fault| fault.to_string())?;
        let answer: Value = serde_json::from_slice(&response.body).unwrap_or_default();
        if !response.status.is_success() {
            return Err(format!("not accepted: {answer:#}"));
        }
        let revision = revision_of(&answer);
        println!("accepted at revision {revision}");
        let begin = Instant::now();
        while begin.elapsed() < PATIENCE {
            let status = client.get_json("/admin/config/status").unwrap_or_default();
            let rows = status["instances"].as_array().cloned().unwrap_or_default();
            if !rows.is_empty() && rows.iter().all(|row| revision_of(row) >= revision) {
                println!("in force on {} instance(s)", rows.len());
                return Ok(ExitCode::SUCCESS);
            }
            std::thread::sleep(LOOK_PAUSE);
        }
        Err("not in force everywhere yet; `cvctl config status` shows where".to_owned())
    }
}

impl CheckAction {
    /// Checks the file.
    fn run(&self) -> Result<ExitCode, String> {
        let text = read(&self.file)?;
        parse_fleet_config(&self.file.display().to_string(), &text)
            .map_err(|findings| findings.to_string())?;
        println!("{}: sound", self.file.display());
        Ok(ExitCode::SUCCESS)
    }
}

/// Prints the answer of a call.
pub fn print_call(
    entry: SocketAddr,
    token: Option<String>,
    path: &str,
) -> Result<ExitCode, String> {
    let answer = AdminClient::new(entry).with_token(token).get_json(path);
    println!("{:#}", answer.ok_or("the entry is silent")?);
    Ok(ExitCode::SUCCESS)
}

/// Reads a file.
fn read(path: &PathBuf) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))
}

/// Returns the revision in an answer.
fn revision_of(answer: &Value) -> u64 {
    answer["revision"].as_u64().unwrap_or(0)
}
