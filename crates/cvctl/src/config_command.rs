//! The `cvctl config` command.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use std::time::Instant;

use argh::FromArgs;
use cv_bench::deployment::AdminClient;
use cv_settings::parse_fleet_config;
use serde_json::Value;

/// Maximum time to wait until a change is active on all instances.
const APPLY_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval at which the status is polled while waiting.
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Shows, checks and changes the fleet's configuration.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "config")]
pub struct ConfigCommand {
    #[argh(subcommand)]
    action: ConfigAction,
}

/// Actions on the configuration.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum ConfigAction {
    Apply(ApplyAction),
    Check(CheckAction),
    Show(ShowAction),
    Status(StatusAction),
}

/// Changes the configuration and waits until it is active on all instances.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
struct ApplyAction {
    /// address of an entry
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 8080))")]
    entry: SocketAddr,
    /// an operator's token
    #[argh(option)]
    token: Option<String>,
    /// revision that the change is based on; by default the active one
    #[argh(option)]
    against: Option<u64>,
    /// file with the configuration in YAML
    #[argh(positional)]
    file: PathBuf,
}

/// Checks a configuration locally, without an entry.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
struct CheckAction {
    /// file with the configuration in YAML
    #[argh(positional)]
    file: PathBuf,
}

/// Shows the active configuration of an entry.
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

/// Shows the active revision of each instance.
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
                print_json(action.entry, action.token.clone(), "/admin/config")
            }
            ConfigAction::Status(action) => {
                print_json(action.entry, action.token.clone(), "/admin/config/status")
            }
        }
    }
}

impl ApplyAction {
    /// Sends the configuration to the entry and polls the status until all instances have it.
    fn run(&self) -> Result<ExitCode, String> {
        let text = read_file(&self.file)?;
        let client = AdminClient::new(self.entry).with_token(self.token.clone());
        let against = match self.against {
            Some(against) => against,
            None => revision_of(
                &client.get_json("/admin/config").ok_or("the entry did not return JSON")?,
            ),
        };
        let response = client.put_config(&text, against).map_err(|fault| fault.to_string())?;
        let document: Value = serde_json::from_slice(&response.body).unwrap_or_default();
        if !response.status.is_success() {
            return Err(format!("the entry rejected the configuration: {document:#}"));
        }
        let revision = revision_of(&document);
        println!("accepted at revision {revision}");
        let started = Instant::now();
        while started.elapsed() < APPLY_TIMEOUT {
            let status = client.get_json("/admin/config/status").unwrap_or_default();
            let rows = status["instances"].as_array().cloned().unwrap_or_default();
            if !rows.is_empty() && rows.iter().all(|row| revision_of(row) >= revision) {
                println!("active on {} instance(s)", rows.len());
                return Ok(ExitCode::SUCCESS);
            }
            std::thread::sleep(STATUS_POLL_INTERVAL);
        }
        Err("the configuration is not active on all instances yet; see `cvctl config status`"
            .to_owned())
    }
}

impl CheckAction {
    /// Checks the file and reports all findings.
    fn run(&self) -> Result<ExitCode, String> {
        let text = read_file(&self.file)?;
        parse_fleet_config(&self.file.display().to_string(), &text)
            .map_err(|findings| findings.to_string())?;
        println!("{}: valid", self.file.display());
        Ok(ExitCode::SUCCESS)
    }
}

/// Prints the JSON response of an entry to a `GET` request.
pub fn print_json(
    entry: SocketAddr,
    token: Option<String>,
    path: &str,
) -> Result<ExitCode, String> {
    let document = AdminClient::new(entry).with_token(token).get_json(path);
    println!("{:#}", document.ok_or("the entry did not return JSON")?);
    Ok(ExitCode::SUCCESS)
}

/// Reads a text file.
fn read_file(path: &PathBuf) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))
}

/// Returns the `revision` field of a response, or 0 if it has none.
fn revision_of(document: &Value) -> u64 {
    document["revision"].as_u64().unwrap_or(0)
}
