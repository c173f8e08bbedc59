//! Connections that carry nothing from some time on.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Tells whether a connection has gone silent for good.
#[derive(Clone, Debug)]
pub(crate) struct SilenceCheck {
    silences: Arc<AtomicU64>,
    silences_at_start: u64,
}

impl SilenceCheck {
    /// Creates a check of a connection that opens now.
    pub fn new(silences: Arc<AtomicU64>) -> Self {
        let silences_at_start = silences.load(Ordering::Relaxed);
        Self { silences, silences_at_start }
    }

    /// Returns whether the connection has gone silent.
    pub fn is_silent(&self) -> bool {
        self.silences.load(Ordering::Relaxed) != self.silences_at_start
    }
}
