//! The server: an entry or a sidecar, as its settings say.

use std::error::Error;
use std::fmt;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use cv_entry::EntryServer;
use cv_runtime::ShutdownSignal;
use cv_runtime::run_to_end;
use cv_runtime::watch_termination;
use cv_settings::RoleSection;
use cv_settings::ServerSettings;
use cv_sidecar::SidecarServer;
use error_stack::Report;
use error_stack::ResultExt;
use logforth::append::Stderr;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::JsonLayout;

/// Exit code for settings that are not sound.
const INVALID_SETTINGS: u8 = 2;

/// The process could not serve.
#[derive(Debug)]
struct ServeError;

impl fmt::Display for ServeError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the process cannot serve")
    }
}

impl Error for ServeError {}

/// Serves online and batch inference on one fleet.
#[derive(Debug, FromArgs)]
struct ServerArguments {
    #[argh(subcommand)]
    command: ServerCommand,
}

/// What to do.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum ServerCommand {
    Check(CheckCommand),
    Run(RunCommand),
}

/// Checks a settings file and reports all findings.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
struct CheckCommand {
    /// the settings file
    #[argh(positional)]
    settings: PathBuf,
}

/// Serves with a settings file until asked to terminate.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "run")]
struct RunCommand {
    /// the settings file
    #[argh(positional)]
    settings: PathBuf,
}

/// Runs the command line.
fn main() -> ExitCode {
    let arguments: ServerArguments = argh::from_env();
    match arguments.command {
        ServerCommand::Check(command) => match read_settings(&command.settings) {
            Ok(settings) => {
                println!("{}: sound; instance {}", command.settings.display(), settings.name);
                ExitCode::SUCCESS
            }
            Err(report) => report_settings(&report),
        },
        ServerCommand::Run(command) => match read_settings(&command.settings) {
            Ok(settings) => serve(settings),
            Err(report) => report_settings(&report),
        },
    }
}

/// Reads a settings file; the error is a report for people.
fn read_settings(path: &PathBuf) -> Result<ServerSettings, String> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| format!("{file}: {error}"))?;
    ServerSettings::parse(&file, &text).map_err(|findings| findings.to_string())
}

/// Prints a report on settings.
fn report_settings(report: &str) -> ExitCode {
    eprintln!("{report}");
    ExitCode::from(INVALID_SETTINGS)
}

/// Serves until asked to terminate.
fn serve(settings: ServerSettings) -> ExitCode {
    start_logs();
    let shutdown = ShutdownSignal::new();
    if let Err(error) = watch_termination(shutdown.clone()) {
        log::error!("signals cannot be watched: {error}");
        return ExitCode::FAILURE;
    }
    let served = run_to_end(serve_role(settings, shutdown)).change_context(ServeError);
    match served.and_then(|result| result) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            log::error!("{report:?}");
            ExitCode::FAILURE
        }
    }
}

/// Serves in the role that the settings name.
async fn serve_role(
    settings: ServerSettings,
    shutdown: ShutdownSignal,
) -> Result<(), Report<ServeError>> {
    match settings.role.clone() {
        RoleSection::Entry(section) => {
            let server = EntryServer::bind(settings, section).change_context(ServeError)?;
            server.run(shutdown).await;
        }
        RoleSection::Sidecar(section) => {
            let server = SidecarServer::bind(settings, *section).change_context(ServeError)?;
            server.run(shutdown).await;
        }
    }
    Ok(())
}

/// Writes logs as JSON lines to standard error.
fn start_logs() {
    let filter = RustLogFilterBuilder::from_default_env_or("info").build();
    let append = Stderr::default().with_layout(JsonLayout::default());
    let builder = logforth::starter_log::builder();
    builder.dispatch(|dispatch| dispatch.filter(filter).append(append)).apply();
}
