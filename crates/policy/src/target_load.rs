//! The load of a target as reported by its sidecar.

use serde::Deserialize;
use serde::Serialize;

/// Request counts of one target, as seen by its sidecar.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetLoad {
    /// Maximum number of online requests that the target may run at the same time.
    pub limit: u32,
    /// Online requests running at the target.
    pub running: u32,
    /// Online requests waiting for the target.
    pub waiting: u32,
    /// Batch requests running at the target.
    pub batch_running: u32,
    /// Further batch requests that the target may run now.
    pub batch_slack: u32,
}

impl TargetLoad {
    /// Encodes the counts for a message header, separated by commas in the order of the fields.
    #[must_use]
    pub fn encode(&self) -> String {
        let Self { limit, running, waiting, batch_running, batch_slack } = self;
        format!("{limit},{running},{waiting},{batch_running},{batch_slack}")
    }

    /// Decodes a message header; `None` unless it holds exactly five numbers.
    #[must_use]
    pub fn decode(text: &str) -> Option<Self> {
        let mut numbers = text.split(',').map(|part| part.trim().parse::<u32>().ok());
        let load = Self {
            limit: numbers.next()??,
            running: numbers.next()??,
            waiting: numbers.next()??,
            batch_running: numbers.next()??,
            batch_slack: numbers.next()??,
        };
        numbers.next().is_none().then_some(load)
    }
}
