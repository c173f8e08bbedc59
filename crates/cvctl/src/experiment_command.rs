//! `cvctl experiment`

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use cv_bench::experiment::ExperimentName;
use cv_bench::experiment::ExperimentOptions;
use cv_bench::experiment::ExperimentReport;
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
    /// length of each measured phase, in seconds
    #[argh(option, default = "5")]
    seconds: u64,
    /// seed of the load
    #[argh(option, default = "1")]
    seed: u64,
}

impl ExperimentCommand {
    /// Runs the experiment; fails if a promise was broken.
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
        let report = run_experiment(name, options);
        if self.json {
            println!("{}", serde_json::to_string(&report).unwrap_or_default());
        } else {
            print_report(&report);
        }
        if let Some(path) = &self.report {
            let page = render_report(&report)?;
            std::fs::write(path, page).map_err(|error| format!("{}: {error}", path.display()))?;
        }
        let kept = report.broken.is_empty();
        Ok(if kept { ExitCode::SUCCESS } else { ExitCode::FAILURE })
    }
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
}
