//! Command line for operators: administration, batch jobs, event logs, experiments and the demo.

mod capacity_command;
mod config_command;
mod demo_command;
mod experiment_command;
mod explain_command;
mod fleet_command;
mod job_command;
mod timeline_command;
mod token_command;

use std::process::ExitCode;

use argh::FromArgs;

use crate::capacity_command::CapacityCommand;
use crate::config_command::ConfigCommand;
use crate::demo_command::DemoCommand;
use crate::experiment_command::ExperimentCommand;
use crate::explain_command::ExplainCommand;
use crate::fleet_command::FleetCommand;
use crate::job_command::JobCommand;
use crate::timeline_command::TimelineCommand;
use crate::token_command::TokenCommand;

/// Operates and examines a clementinevale deployment.
#[derive(Debug, FromArgs)]
struct ControlArguments {
    #[argh(subcommand)]
    command: ControlCommand,
}

/// Commands of `cvctl`.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum ControlCommand {
    Capacity(CapacityCommand),
    Config(ConfigCommand),
    Demo(DemoCommand),
    Experiment(ExperimentCommand),
    Explain(ExplainCommand),
    Fleet(FleetCommand),
    Job(JobCommand),
    Timeline(TimelineCommand),
    Token(TokenCommand),
}

/// Runs the given command; an error is printed and gives exit code 2.
fn main() -> ExitCode {
    let arguments: ControlArguments = argh::from_env();
    let result = match arguments.command {
        ControlCommand::Capacity(command) => command.run(),
        ControlCommand::Config(command) => command.run(),
        ControlCommand::Demo(command) => command.run(),
        ControlCommand::Experiment(command) => command.run(),
        ControlCommand::Explain(command) => command.run(),
        ControlCommand::Fleet(command) => command.run(),
        ControlCommand::Job(command) => command.run(),
        ControlCommand::Timeline(command) => command.run(),
        ControlCommand::Token(command) => command.run(),
    };
    result.unwrap_or_else(|message| {
        eprintln!("{message}");
        ExitCode::from(2)
    })
}
