//! Operators' commands, experiments and the demo.

use std::process::ExitCode;

use argh::FromArgs;
use cv_bench::DemoOptions;
use cv_bench::experiment::ExperimentName;
use cv_bench::experiment::ExperimentOptions;
use cv_bench::experiment::ExperimentReport;
use cv_bench::experiment::run_experiment;
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
    Experiment(ExperimentCommand),
}

/// Runs a named experiment and prints what it has measured.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "experiment")]
struct ExperimentCommand {
    /// the experiment
    #[argh(positional)]
    name: Option<String>,
    /// print one JSON object
    #[argh(switch)]
    json: bool,
    /// list the experiments
    #[argh(switch)]
    list: bool,
    /// length of each measured phase, in seconds
    #[argh(option, default = "5")]
    seconds: u64,
    /// seed of the load
    #[argh(option, default = "1")]
    seed: u64,
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
        ControlCommand::Experiment(command) => experiment(&command),
    }
}

/// Runs the demo.
fn demo(command: &DemoCommand) -> ExitCode {
    let options = DemoOptions { keep: command.keep, seconds: command.seconds, seed: command.seed };
    match run_demo(options, &mut std::io::stdout()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs an experiment.
fn experiment(command: &ExperimentCommand) -> ExitCode {
    if command.list {
        for name in ExperimentName::ALL {
            println!("{:<14} {}", name.as_str(), name.description());
        }
        return ExitCode::SUCCESS;
    }
    let Some(name) = command.name.as_deref().and_then(ExperimentName::from_text) else {
        eprintln!("name an experiment; `cvctl experiment --list` describes them");
        return ExitCode::from(2);
    };
    let options = ExperimentOptions { seconds: command.seconds, seed: command.seed };
    let report = run_experiment(name, options);
    if command.json {
        println!("{}", serde_json::to_string(&report).unwrap_or_default());
    } else {
        print_report(&report);
    }
    if report.broken.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Prints an experiment's figures for people.
fn print_report(report: &ExperimentReport) {
    for (name, value) in &report.figures {
        println!("{name:<32} {value}");
    }
    for target in &report.targets {
        let word = if target.met { "met" } else { "MISSED" };
        println!("target {:<32} {} (bound {})", target.figure, word, target.bound);
    }
    println!("counts {:?}", report.counts);
    println!("broken promises: {:?}", report.broken);
}
