//! The `cvctl token` command.

use std::process::ExitCode;

use argh::FromArgs;
use cv_policy::hash_token;

/// Prints the hash of a token, as it is listed in the configuration.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "token")]
pub struct TokenCommand {
    /// the token
    #[argh(positional)]
    token: String,
}

impl TokenCommand {
    /// Prints the hash.
    pub fn run(&self) -> Result<ExitCode, String> {
        if self.token.len() < 16 {
            return Err("the token is too short: expected at least 16 bytes".to_owned());
        }
        println!("{}", hash_token(&self.token));
        Ok(ExitCode::SUCCESS)
    }
}
