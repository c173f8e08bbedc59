//! The server: an entry or a sidecar, as its settings say.

use std::error::Error;
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use cv_adapter::GrowersPlatform;
use cv_entry::EntryServer;
use cv_policy::stable_hash;
use cv_runtime::ShutdownSignal;
use cv_runtime::block_on;
use cv_runtime::block_on_with_tarpc;
use cv_runtime::watch_signals;
use cv_runtime::watch_termination;
use cv_serving::EntryNode;
use cv_serving::EntrySettings;
use cv_serving::KeeperNode;
use cv_serving::KeeperSettings;
use cv_serving::NodeIdentity;
use cv_serving::SidecarNode;
use cv_serving::SidecarSettings;
use cv_settings::NodeRole;
use cv_settings::NodeSettings;
use cv_settings::RoleSection;
use cv_settings::ServerSettings;
use cv_sidecar::SidecarServer;
use cv_timeline::LineLog;
use error_stack::Report;
use error_stack::ResultExt;
use logforth::append::Stderr;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::JsonLayout;

/// The environment variable that names the settings file of a node.
const SETTINGS_VARIABLE: &str = "CLEMENTINEVALE_SETTINGS";

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
    Node(NodeCommand),
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

/// Serves on a platform that fills in the settings file.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "node")]
struct NodeCommand {
    /// the settings file; the environment names it where it is left out
    #[argh(positional)]
    settings: Option<PathBuf>,
    /// only check the settings and report all findings
    #[argh(switch)]
    check: bool,
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
        ServerCommand::Node(command) => match command.settings.or_else(settings_of_environment) {
            Some(path) => serve_node(&path, command.check),
            None => report_settings(&format!(
                "no settings file is named, and {SETTINGS_VARIABLE} is not set"
            )),
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
    let served = block_on_with_tarpc(serve_role(settings, shutdown)).change_context(ServeError);
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

/// Returns the settings file that the environment names.
fn settings_of_environment() -> Option<PathBuf> {
    std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from)
}

/// Reads a node's settings file; the error is a report for people.
fn read_node(path: &Path) -> Result<NodeSettings, String> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| format!("{file}: {error}"))?;
    NodeSettings::parse(&file, &text).map_err(|findings| findings.to_string())
}

/// Serves as a node until asked to terminate.
fn serve_node(path: &Path, is_check: bool) -> ExitCode {
    start_logs();
    // First of all: until the handlers are there, a word of changed settings ends the process.
    let shutdown = ShutdownSignal::new();
    let reloaded = path.to_owned();
    let reload = move || match read_node(&reloaded) {
        Ok(settings) => log::info!("settings of {} read again: sound", settings.name),
        Err(report) => log::error!("settings changed and are not sound: {report}"),
    };
    if let Err(error) = watch_signals(shutdown.clone(), Some(reload)) {
        log::error!("signals cannot be watched: {error}");
        return ExitCode::FAILURE;
    }
    let settings = match read_node(path) {
        Ok(settings) => settings,
        Err(report) => return report_settings(&report),
    };
    if is_check {
        println!("{}: sound; instance {}", path.display(), settings.name);
        return ExitCode::SUCCESS;
    }
    let served = block_on(serve_node_role(settings, shutdown)).change_context(ServeError);
    match served.and_then(|result| result.change_context(ServeError)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            log::error!("{report:?}");
            ExitCode::FAILURE
        }
    }
}

/// Serves in the role that a node's settings name.
async fn serve_node_role(settings: NodeSettings, shutdown: ShutdownSignal) -> std::io::Result<()> {
    let NodeSettings { grace, internal_address, name, role, seeds, store, zone } = settings;
    let log = LineLog::to_stdout(&name)?;
    // Processes that start together must not draw the same numbers, nor one that starts again.
    let started = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let seed = stable_hash(&[&name, &started.unwrap_or_default().as_nanos().to_string()]);
    let (ip, internal_port) = (internal_address.ip(), internal_address.port());
    let seeds = seeds.iter().map(|seed| SocketAddr::new(seed.ip(), internal_port)).collect();
    let identity = NodeIdentity { ip, internal_port, name, seeds, zone };
    match role {
        NodeRole::Entry { listen, ready } => {
            let settings = EntrySettings { grace, identity, listen, ready, seed, store };
            EntryNode::<GrowersPlatform>::new(settings, log).run(shutdown).await
        }
        NodeRole::Keeper => {
            let settings = KeeperSettings { grace, identity, seed, store };
            KeeperNode::<GrowersPlatform>::new(settings, log).run(shutdown).await
        }
        NodeRole::Sidecar { engine } => {
            let settings = SidecarSettings { engine, grace, identity };
            SidecarNode::<GrowersPlatform>::new(settings, log).run(shutdown).await
        }
    }
}

/// Writes logs as JSON lines to standard error.
fn start_logs() {
    let filter = RustLogFilterBuilder::from_default_env_or("info").build();
    let append = Stderr::default().with_layout(JsonLayout::default());
    let builder = logforth::starter_log::builder();
    builder.dispatch(|dispatch| dispatch.filter(filter).append(append)).apply();
}
