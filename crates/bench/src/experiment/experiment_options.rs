//! Duration and seed of an experiment.

use std::time::Duration;

/// Minimum length of a phase; a shorter one has too few requests for a 99th percentile.
const MIN_PHASE_LENGTH: Duration = Duration::from_secs(1);

/// Options of an experiment.
#[derive(Clone, Copy, Debug)]
pub struct ExperimentOptions {
    /// Length of all measured phases together, in seconds.
    pub seconds: u64,
    /// Seed of the load.
    pub seed: u64,
}

impl ExperimentOptions {
    /// Divides the time evenly among phases, with at least one second each.
    #[must_use]
    pub fn split(&self, phases: u32) -> PhaseOptions {
        let length = Duration::from_secs(self.seconds) / phases.max(1);
        PhaseOptions { length: length.max(MIN_PHASE_LENGTH), seed: self.seed }
    }
}

/// Options of each phase of an experiment.
#[derive(Clone, Copy, Debug)]
pub struct PhaseOptions {
    /// Length of the phase.
    pub length: Duration,
    /// Seed of the load.
    pub seed: u64,
}
