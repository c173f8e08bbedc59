//! A sidecar's own view of its target's load.

use serde::Deserialize;
use serde::Serialize;

/// Counts of requests at one target, as its sidecar sees them.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetLoad {
    /// Online requests that the target may run at once.
    pub limit: u32,
    /// Online requests handed to the target.
    pub running: u32,
    /// Online requests waiting for the target.
    pub waiting: u32,
    /// Batch requests handed to the target.
    pub batch_running: u32,
    /// Batch requests that could be handed over now.
    pub batch_slack: u32,
}

impl TargetLoad {
    /// Encodes the reading for a message header.
    #[must_use]
    pub fn encode(&self) -> String {
        let Self { limit, running, waiting, batch_running, batch_slack } = self;
        format!("{limit},{running},{waiting},{batch_running},{batch_slack}")
    }

    /// Decodes a reading from a message header.
    #[must_use]
    pub fn decode(text: &str) -> Option<Self> {
        let mut numbers = text.split(',').map(|part| part.trim().parse::<u32>().ok());
        let reading = Self {
            limit: numbers.next()??,
            running: numbers.next()??,
            waiting: numbers.next()??,
            batch_running: numbers.next()??,
            batch_slack: numbers.next()??,
        };
        numbers.next().is_none().then_some(reading)
    }
}
