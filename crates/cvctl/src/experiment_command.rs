//! The `cvctl experiment` command.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use cv_bench::experiment::ExperimentName;
use cv_bench::experiment::ExperimentOptions;
use cv_bench::experiment::ExperimentReport;
use cv_bench::experiment::PhaseStart;
use cv_bench::experiment::render_report;
use cv_bench::experiment::run_experiment;

/// Runs an experiment and prints its measurements.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "experiment")]
pub struct ExperimentCommand {
    /// name of the experiment
    #[argh(positional)]
    name: Option<String>,
    /// print the report as one JSON object
    #[argh(switch)]
    json: bool,
    /// list the experiments with their descriptions
    #[argh(switch)]
    list: bool,
    /// write an HTML page with plots to this file
    #[argh(option)]
    report: Option<PathBuf>,
    /// total duration of the measured phases, in seconds; each phase lasts at least one second
    #[argh(option, default = "30")]
    seconds: u64,
    /// seed of the generated load
    #[argh(option, default = "1")]
    seed: u64,
}

impl ExperimentCommand {
    /// Runs the experiment; fails if a guarantee was violated or a fault could not be injected.
    pub fn run(&self) -> Result<ExitCode, String> {
        if self.list {
            for name in ExperimentName::ALL {
                println!("{:<14} {}", name.as_str(), name.description());
            }
            return Ok(ExitCode::SUCCESS);
        }
        let name = self.name.as_deref().and_then(ExperimentName::from_text);
        let name = name.ok_or("missing or unknown experiment; see `cvctl experiment --list`")?;
        let options = ExperimentOptions { seconds: self.seconds, seed: self.seed };
        let report = run_experiment(name, options, print_phase);
        if self.json {
            println!("{}", serde_json::to_string(&report).unwrap_or_default());
        } else {
            print_report(&report);
        }
        if let Some(path) = &self.report {
            let page = render_report(&report)?;
            std::fs::write(path, page).map_err(|error| format!("{}: {error}", path.display()))?;
        }
        Ok(if report.has_passed() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
    }
}

/// Prints the start of a phase to standard error.
fn print_phase(phase: &PhaseStart<'_>) {
    eprintln!("[{:5.1} s] {}", phase.elapsed.as_secs_f64(), phase.name);
}

/// Prints a report as text.
fn print_report(report: &ExperimentReport) {
    for (name, value) in &report.figures {
        println!("{name:<40} {value}");
    }
    for target in &report.targets {
        let verdict = if target.met { "met" } else { "MISSED" };
        println!("target {:<33} {} (bound {})", target.figure, verdict, target.bound);
    }
    println!("counts {:?}", report.counts);
    println!("violations: {:?}", report.broken);
    if !report.not_played.is_empty() {
        println!("faults not injected: {}", report.not_played.join(", "));
    }
}
