//! Metrics of an entry.

use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::IntCounter;
use prometheus::Registry;

/// Upper bounds of the latencies' buckets, in seconds; the users' objectives lie from 0.1 to 1.
const LATENCY_BUCKETS: [f64; 9] = [0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.5, 5.0];

/// Metrics of one entry, in a registry of their own.
#[derive(Debug)]
pub(crate) struct EntryMetrics {
    pub abandoned: IntCounter,
    pub answered: IntCounter,
    pub attempts: IntCounter,
    pub failed: IntCounter,
    /// Time to the first part of an answer.
    pub first_answer: Histogram,
    pub refused: IntCounter,
    pub registry: Registry,
}

impl EntryMetrics {
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
        let options = HistogramOpts::new(
            "cv_front_first_answer_seconds",
            "Time from a request's arrival to the first part of its answer.",
        );
        let first_answer = Histogram::with_opts(options.buckets(LATENCY_BUCKETS.to_vec()))?;
        registry.register(Box::new(first_answer.clone()))?;
        Ok(Self { abandoned, answered, attempts, failed, first_answer, refused, registry })
    }
}
