//! `cvctl demo`

use std::process::ExitCode;

use argh::FromArgs;
use cv_bench::DemoOptions;
use cv_bench::run_demo;

/// Runs a small co-op deployment in this process, with traffic.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct DemoCommand {
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

impl DemoCommand {
    /// Runs the demo.
    pub fn run(&self) -> Result<ExitCode, String> {
        let options = DemoOptions { keep: self.keep, seconds: self.seconds, seed: self.seed };
        match run_demo(options, &mut std::io::stdout()) {
            Ok(true) => Ok(ExitCode::SUCCESS),
            Ok(false) => Ok(ExitCode::FAILURE),
            Err(error) => Err(error.to_string()),
        }
    }
}
