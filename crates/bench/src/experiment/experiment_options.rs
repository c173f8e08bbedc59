//! How long an experiment measures, and from which seed.

use std::time::Duration;

/// Shortest phase; a shorter one has too few requests for a 99th percentile.
const SHORTEST_PHASE: Duration = Duration::from_secs(1);

/// How an experiment is run.
#[derive(Clone, Copy, Debug)]
pub struct ExperimentOptions {
    /// Length of all measured phases together, in seconds.
    pub seconds: u64,
    /// Seed of the load.
    pub seed: u64,
}

impl ExperimentOptions {
    /// Splits the time evenly over a number of phases.
    #[must_use]
    pub fn split(&self, phases: u32) -> PhaseOptions {
        let length = Duration::from_secs(self.seconds) / phases.max(1);
        PhaseOptions { length: length.max(SHORTEST_PHASE), seed: self.seed }
    }
}

/// How each phase of an experiment is run.
#[derive(Clone, Copy, Debug)]
pub struct PhaseOptions {
    /// Length of the phase.
    pub length: Duration,
    /// Seed of the load.
    pub seed: u64,
}
