//! Tells a listener how far an experiment is.

use std::time::Duration;
use std::time::Instant;

/// A phase that begins.
#[derive(Clone, Copy, Debug)]
pub struct PhaseStart<'a> {
    /// Time since the experiment began.
    pub elapsed: Duration,
    /// What is measured.
    pub name: &'a str,
}

/// Tells a listener of each phase.
#[derive(Clone, Copy, Debug)]
pub struct PhaseProgress {
    begin: Instant,
    listener: fn(&PhaseStart<'_>),
}

impl PhaseProgress {
    /// Begins an experiment.
    #[must_use]
    pub fn new(listener: fn(&PhaseStart<'_>)) -> Self {
        Self { begin: Instant::now(), listener }
    }

    /// Tells that a phase begins.
    pub fn begin_phase(&self, name: &str) {
        (self.listener)(&PhaseStart { elapsed: self.begin.elapsed(), name });
    }
}
