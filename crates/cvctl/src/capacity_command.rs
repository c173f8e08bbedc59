//! `cvctl capacity`

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use cv_bench::capacity::CapacitySlopes;
use cv_bench::capacity::capacity_table;
use cv_bench::capacity::measure_slopes;

/// Works the table of docs/CAPACITY.md out from measured slopes.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "capacity")]
pub struct CapacityCommand {
    /// measure the slopes anew and write them to the file
    #[argh(switch)]
    measure: bool,
    /// the file of slopes
    #[argh(option, default = "PathBuf::from(\"docs/capacity-slopes.json\")")]
    slopes: PathBuf,
}

impl CapacityCommand {
    /// Prints the table.
    pub fn run(&self) -> Result<ExitCode, String> {
        let path = self.slopes.display();
        if self.measure {
            let text = serde_json::to_string_pretty(&measure_slopes()).unwrap_or_default();
            std::fs::write(&self.slopes, text + "\n")
                .map_err(|error| format!("{path}: {error}"))?;
        }
        let text =
            std::fs::read_to_string(&self.slopes).map_err(|error| format!("{path}: {error}"))?;
        let slopes: CapacitySlopes =
            serde_json::from_str(&text).map_err(|error| format!("{path}: {error}"))?;
        print!("{}", capacity_table(&slopes));
        Ok(ExitCode::SUCCESS)
    }
}
