//! The `cvctl capacity` command.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use cv_bench::capacity::CapacitySlopes;
use cv_bench::capacity::capacity_table;
use cv_bench::capacity::measure_slopes;

/// Computes the table of docs/CAPACITY.md from measured costs per unit.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "capacity")]
pub struct CapacityCommand {
    /// measure the costs again and write them to the file
    #[argh(switch)]
    measure: bool,
    /// JSON file with the measured costs
    #[argh(option, default = "PathBuf::from(\"docs/capacity-slopes.json\")")]
    slopes: PathBuf,
}

impl CapacityCommand {
    /// Measures the costs if requested and prints the table.
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
