//! `cvctl fleet`

use std::net::SocketAddr;
use std::process::ExitCode;

use argh::FromArgs;

use crate::config_command::print_call;

/// Shows an entry's view of the targets.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "fleet")]
pub struct FleetCommand {
    /// address of an entry
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 8080))")]
    entry: SocketAddr,
    /// an operator's token
    #[argh(option)]
    token: Option<String>,
}

impl FleetCommand {
    /// Prints the targets.
    pub fn run(&self) -> Result<ExitCode, String> {
        print_call(self.entry, self.token.clone(), "/admin/targets")
    }
}
