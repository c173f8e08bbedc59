//! Reports the progress of an experiment to a listener.

use std::time::Duration;
use std::time::Instant;

/// The start of a phase.
#[derive(Clone, Copy, Debug)]
pub struct PhaseStart<'a> {
    /// Time since the start of the experiment.
    pub elapsed: Duration,
    /// Name of the phase.
    pub name: &'a str,
}

/// Calls a listener at the start of each phase.
#[derive(Clone, Copy, Debug)]
pub struct PhaseProgress {
    started_at: Instant,
    listener: fn(&PhaseStart<'_>),
}

impl PhaseProgress {
    /// Creates the progress of an experiment that starts now.
    #[must_use]
    pub fn new(listener: fn(&PhaseStart<'_>)) -> Self {
        Self { started_at: Instant::now(), listener }
    }

    /// Reports the start of a phase.
    pub fn begin_phase(&self, name: &str) {
        (self.listener)(&PhaseStart { elapsed: self.started_at.elapsed(), name });
    }
}
