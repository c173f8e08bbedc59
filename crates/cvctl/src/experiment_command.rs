//! `cvctl experiment`

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use cv_bench::experiment::ExperimentName;
use cv_bench::experiment::ExperimentOptions;
use cv_bench::experiment::ExperimentReport;
use cv_bench::experiment::PhaseStart;
use cv_bench::experiment::render_report;
use cv_bench::experiment::run_experiment;

/// Runs a named experiment and prints what it has measured.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "experiment")]
pub struct ExperimentCommand {
    /// the experiment
    #[argh(positional)]
    name: Option<String>,
    /// print one JSON object
    #[argh(switch)]
    json: bool,
    /// list the experiments
    #[argh(switch)]
    list: bool,
    /// write a page with plots to this file
    #[argh(option)]
    report: Option<PathBuf>,
    /// length of all measured phases together, in seconds; no phase is shorter than one
    #[argh(option, default = "30")]
    seconds: u64,
    /// seed of the load
    #[argh(option, default = "1")]
    seed: u64,
}

impl ExperimentCommand {
    /// Runs the experiment; fails if a promise was broken or a fault could not be played.
    pub fn run(&self) -> Result<ExitCode, String> {
        if self.list {
            for name in ExperimentName::ALL {
                println!("{:<14} {}", name.as_str(), name.description());
            }
            return Ok(ExitCode::SUCCESS);
        }
        let name = self.name.as_deref().and_then(ExperimentName::from_text);
        let name = name.ok_or("name an experiment; `cvctl experiment --list` describes them")?;
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

/// Shows on standard error what is being measured.
fn print_phase(phase: &PhaseStart<'_>) {
    eprintln!("[{:5.1} s] {}", phase.elapsed.as_secs_f64(), phase.name);
}

/// Prints an experiment's figures for people.
fn print_report(report: &ExperimentReport) {
    for (name, value) in &report.figures {
        println!("{name:<40} {value}");
    }
    for target in &report.targets {
        let word = if target.met { "met" } else { "MISSED" };
        println!("target {:<33} {} (bound {})", target.figure, word, target.bound);
    }
    println!("counts {:?}", report.counts);
    println!("broken promises: {:?}", report.broken);
    if !report.not_played.is_empty() {
        println!("faults not played: {}", report.not_played.join(", "));
    }
}
