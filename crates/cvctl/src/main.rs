//! Operators' commands, experiments and the demo.

use std::process::ExitCode;

use argh::FromArgs;
use cv_bench::DemoOptions;
use cv_bench::run_demo;

/// Commands for operators of clementinevale.
#[derive(Debug, FromArgs)]
struct ControlArguments {
    #[argh(subcommand)]
    command: ControlCommand,
}

/// What to do.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum ControlCommand {
    Demo(DemoCommand),
}

/// Runs a small co-op deployment in this process, with traffic.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
struct DemoCommand {
    /// go on serving at the end
    #[argh(switch)]
    keep: bool,
    /// time of the traffic, in seconds
    #[argh(option, default = "8")]
    seconds: u64,
    /// seed of the traffic
    #[argh(option, default = "1")]
    seed: u64,
}

/// Runs the command line.
fn main() -> ExitCode {
    let arguments: ControlArguments = argh::from_env();
    match arguments.command {
        ControlCommand::Demo(command) => demo(&command),
    }
}

/// Runs the demo.
fn demo(command: &DemoCommand) -> ExitCode {
    let options = DemoOptions {
        keep: command.keep,
        seconds: command.seconds,
        seed: command.seed,
    };
    match run_demo(options, &mut std::io::stdout()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
