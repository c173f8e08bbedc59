//! The server process: an entry, a keeper or a sidecar, according to its settings.

use std::error::Error;
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use cv_adapter::GrowersPlatform;
use cv_entry::EntryServer;
use cv_http::BudgetLimits;
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
use cv_serving::ZoneTerms;
use cv_settings::NodeRole;
use cv_settings::NodeSettings;
use cv_settings::RoleSection;
use cv_settings::ServerSettings;
use cv_settings::ZoneSettings;
use cv_sidecar::SidecarServer;
use cv_timeline::LineLog;
use error_stack::Report;
use error_stack::ResultExt;
use logforth::append::Stderr;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::JsonLayout;

/// Environment variable with the path of a node's settings file.
const SETTINGS_VARIABLE: &str = "CLEMENTINEVALE_SETTINGS";

/// Exit code for missing or invalid settings.
const INVALID_SETTINGS_EXIT_CODE: u8 = 2;

/// Error of a process that could not start or keep serving.
#[derive(Debug)]
struct ServeError;

impl fmt::Display for ServeError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the server process failed")
    }
}

impl Error for ServeError {}

/// Serves online requests and batch jobs on one fleet of targets.
#[derive(Debug, FromArgs)]
struct ServerArguments {
    #[argh(subcommand)]
    command: ServerCommand,
}

/// Commands of the server.
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
    /// path of the settings file
    #[argh(positional)]
    settings: PathBuf,
}

/// Serves with the given settings until terminated by a signal.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "run")]
struct RunCommand {
    /// path of the settings file
    #[argh(positional)]
    settings: PathBuf,
}

/// Serves as a node of a platform that writes the settings file, until terminated by a signal.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "node")]
struct NodeCommand {
    /// path of the settings file; by default the value of `CLEMENTINEVALE_SETTINGS`
    #[argh(positional)]
    settings: Option<PathBuf>,
    /// check the settings, report all findings and exit
    #[argh(switch)]
    check: bool,
}

/// Runs the given command.
fn main() -> ExitCode {
    let arguments: ServerArguments = argh::from_env();
    match arguments.command {
        ServerCommand::Check(command) => match read_server_settings(&command.settings) {
            Ok(settings) => {
                println!("{}: valid; instance {}", command.settings.display(), settings.name);
                ExitCode::SUCCESS
            }
            Err(report) => report_invalid_settings(&report),
        },
        ServerCommand::Node(command) => match command.settings.or_else(path_from_environment) {
            Some(path) => serve_node(&path, command.check),
            None => report_invalid_settings(&format!(
                "no settings file: pass a path or set {SETTINGS_VARIABLE}"
            )),
        },
        ServerCommand::Run(command) => match read_server_settings(&command.settings) {
            Ok(settings) => serve(settings),
            Err(report) => report_invalid_settings(&report),
        },
    }
}

/// Reads and checks a server's settings file; the error is printable text.
fn read_server_settings(path: &PathBuf) -> Result<ServerSettings, String> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| format!("{file}: {error}"))?;
    ServerSettings::parse(&file, &text).map_err(|findings| findings.to_string())
}

/// Prints why the settings are invalid and returns the exit code for this.
fn report_invalid_settings(report: &str) -> ExitCode {
    eprintln!("{report}");
    ExitCode::from(INVALID_SETTINGS_EXIT_CODE)
}

/// Serves with valid settings until terminated by a signal.
fn serve(settings: ServerSettings) -> ExitCode {
    init_logging();
    let shutdown = ShutdownSignal::new();
    if let Err(error) = watch_termination(shutdown.clone()) {
        log::error!("cannot install signal handlers, exiting: {error}");
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

/// Runs the server of the role in the settings.
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

/// Returns the path of the settings file from the environment, if set.
fn path_from_environment() -> Option<PathBuf> {
    std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from)
}

/// Reads and checks a node's settings file; the error is printable text.
fn read_node_settings(path: &Path) -> Result<NodeSettings, String> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| format!("{file}: {error}"))?;
    NodeSettings::parse(&file, &text).map_err(|findings| findings.to_string())
}

/// Serves as a node until terminated by a signal, or only checks the settings.
fn serve_node(path: &Path, check_only: bool) -> ExitCode {
    init_logging();
    // The handlers are installed first: without them, a `SIGHUP` for changed settings would kill
    // the process.
    let shutdown = ShutdownSignal::new();
    let reload_path = path.to_owned();
    let reload = move || match read_node_settings(&reload_path) {
        Ok(settings) => log::info!(
            "changed settings of {} are valid; they apply after a restart",
            settings.name
        ),
        Err(report) => log::error!(
            "changed settings are invalid; the running process is not affected: {report}"
        ),
    };
    if let Err(error) = watch_signals(shutdown.clone(), Some(reload)) {
        log::error!("cannot install signal handlers, exiting: {error}");
        return ExitCode::FAILURE;
    }
    let settings = match read_node_settings(path) {
        Ok(settings) => settings,
        Err(report) => return report_invalid_settings(&report),
    };
    if check_only {
        println!("{}: valid; instance {}", path.display(), settings.name);
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

/// Runs the node of the role in the settings.
async fn serve_node_role(settings: NodeSettings, shutdown: ShutdownSignal) -> std::io::Result<()> {
    let NodeSettings {
        grace,
        internal_address,
        internal_listen,
        limits,
        name,
        role,
        seeds,
        store,
        zone,
    } = settings;
    let limits = BudgetLimits::of_process(limits.memory_mb, limits.max_fds);
    let log = LineLog::to_stdout(&name)?;
    // Instances that start together, and an instance that restarts, must not use the same random
    // numbers.
    let started = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let seed = stable_hash(&[&name, &started.unwrap_or_default().as_nanos().to_string()]);
    let (ip, internal_port) = (internal_address.ip(), internal_address.port());
    let seeds = seeds.iter().map(|seed| SocketAddr::new(seed.ip(), internal_port)).collect();
    let identity = NodeIdentity { ip, internal_listen, internal_port, name, seeds, zone };
    match role {
        NodeRole::Entry { listen, ready, zones } => {
            let zone_terms = zones.map(|ZoneSettings { latency, transfer_cost }| ZoneTerms {
                latency,
                transfer_cost,
            });
            let settings =
                EntrySettings { grace, identity, limits, listen, ready, seed, store, zone_terms };
            EntryNode::<GrowersPlatform>::new(settings, log).run(shutdown).await
        }
        NodeRole::Keeper => {
            let settings = KeeperSettings { grace, identity, limits, seed, store };
            KeeperNode::<GrowersPlatform>::new(settings, log).run(shutdown).await
        }
        NodeRole::Sidecar { engine } => {
            let settings = SidecarSettings { engine, grace, identity, limits };
            SidecarNode::<GrowersPlatform>::new(settings, log).run(shutdown).await
        }
    }
}

/// Writes logs as JSON lines to standard error; `RUST_LOG` sets the filter, by default `info`.
fn init_logging() {
    let filter = RustLogFilterBuilder::from_default_env_or("info").build();
    let append = Stderr::default().with_layout(JsonLayout::default());
    let builder = logforth::starter_log::builder();
    builder.dispatch(|dispatch| dispatch.filter(filter).append(append)).apply();
}
