//! Metrics of an entry.

use prometheus::IntCounter;
use prometheus::Registry;

/// Counters of one entry, in a registry of their own.
#[derive(Debug)]
pub(crate) struct FrontMetrics {
    pub abandoned: IntCounter,
    pub answered: IntCounter,
    pub attempts: IntCounter,
    pub failed: IntCounter,
    pub refused: IntCounter,
    pub registry: Registry,
}

impl FrontMetrics {
    /// Creates and registers the counters.
    ///
    /// # Errors
    /// Fails if two metrics have the same name.
    pub fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let counter = |name: &str, help: &str| -> prometheus::Result<IntCounter> {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok(counter)
        };
        let abandoned = counter("cv_front_abandoned_total", "Requests whose caller went away.")?;
        let answered = counter("cv_front_answered_total", "Requests answered by a target.")?;
        let attempts = counter("cv_front_attempts_total", "Attempts sent to targets.")?;
        let failed = counter("cv_front_failed_total", "Requests that failed after an attempt.")?;
        let refused = counter("cv_front_refused_total", "Requests told to come back later.")?;
        Ok(Self { abandoned, answered, attempts, failed, refused, registry })
    }
}
