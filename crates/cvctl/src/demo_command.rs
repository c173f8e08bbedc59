//! The `cvctl demo` command.

use std::process::ExitCode;

use argh::FromArgs;
use cv_bench::DemoOptions;
use cv_bench::run_demo;

/// Runs a small sample deployment in this process and generates traffic.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct DemoCommand {
    /// keep serving after the traffic ends
    #[argh(switch)]
    keep: bool,
    /// duration of the traffic, in seconds
    #[argh(option, default = "8")]
    seconds: u64,
    /// seed of the traffic
    #[argh(option, default = "1")]
    seed: u64,
}

impl DemoCommand {
    /// Runs the demo; fails if a guarantee was violated.
    pub fn run(&self) -> Result<ExitCode, String> {
        let options = DemoOptions { keep: self.keep, seconds: self.seconds, seed: self.seed };
        match run_demo(options, &mut std::io::stdout()) {
            Ok(true) => Ok(ExitCode::SUCCESS),
            Ok(false) => Ok(ExitCode::FAILURE),
            Err(error) => Err(error.to_string()),
        }
    }
}
