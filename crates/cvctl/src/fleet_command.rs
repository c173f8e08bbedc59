//! The `cvctl fleet` command.

use std::net::SocketAddr;
use std::process::ExitCode;

use argh::FromArgs;

use crate::config_command::print_json;

/// Shows the targets and their state as an entry sees them.
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
    /// Prints the targets as JSON.
    pub fn run(&self) -> Result<ExitCode, String> {
        print_json(self.entry, self.token.clone(), "/admin/targets")
    }
}
