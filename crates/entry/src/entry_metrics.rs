//! Metrics of an entry.

use prometheus::Encoder;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 11] =
    [0.001, 0.005, 0.02, 0.05, 0.1, 0.25, 0.52, 1.0, 2.5, 10.0, 60.0];

/// The metrics of one entry, in their own registry.
#[derive(Debug)]
pub(crate) struct EntryMetrics {
    /// Attempts sent to sidecars.
    pub attempts: IntCounter,
    /// Batch items that are at sidecars.
    pub batch_in_flight: IntGauge,
    /// Revision of the active configuration.
    pub config_revision: IntGauge,
    /// Time from a request's arrival to the first part of its response, in seconds.
    pub first_response: Histogram,
    /// Runs of batch items, by outcome.
    pub items: IntCounterVec,
    /// Batch jobs that this entry owns.
    pub jobs_owned: IntGauge,
    /// Owned jobs that are predicted to miss their due time.
    pub jobs_at_risk: IntGauge,
    /// 1 while this entry holds its lease, otherwise 0.
    pub lease_held: IntGauge,
    /// Online requests, by outcome and reason.
    pub outcomes: IntCounterVec,
    registry: Registry,
    /// Streams that were continued on another target.
    pub resumes: IntCounter,
    /// Targets that are eligible for requests.
    pub targets_ready: IntGauge,
}

impl EntryMetrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    /// Fails if two metrics have the same name.
    pub fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let outcome_opts =
            Opts::new("cv_entry_requests_total", "Online requests by outcome and reason.");
        let item_opts = Opts::new("cv_entry_batch_items_total", "Batch item runs by outcome.");
        let latency_opts =
            HistogramOpts::new("cv_entry_first_response_seconds", "Time to the first response.");
        let metrics = Self {
            attempts: IntCounter::new("cv_entry_attempts_total", "Attempts sent to sidecars.")?,
            batch_in_flight: IntGauge::new(
                "cv_entry_batch_in_flight",
                "Batch items handed to sidecars.",
            )?,
            config_revision: IntGauge::new("cv_entry_config_revision", "Revision in force.")?,
            first_response: Histogram::with_opts(latency_opts.buckets(LATENCY_BUCKETS.to_vec()))?,
            items: IntCounterVec::new(item_opts, &["outcome"])?,
            jobs_owned: IntGauge::new("cv_entry_jobs_owned", "Jobs that this entry runs.")?,
            jobs_at_risk: IntGauge::new(
                "cv_entry_jobs_at_risk",
                "Owned jobs that will miss their due time at the present rate.",
            )?,
            lease_held: IntGauge::new("cv_entry_lease_held", "1 while the lease holds.")?,
            outcomes: IntCounterVec::new(outcome_opts, &["outcome", "reason"])?,
            registry,
            resumes: IntCounter::new(
                "cv_entry_resumes_total",
                "Streams continued on another target.",
            )?,
            targets_ready: IntGauge::new("cv_entry_targets_ready", "Targets that take requests.")?,
        };
        metrics.register()?;
        Ok(metrics)
    }

    /// Returns all metrics in the text format.
    pub fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Encoding valid metrics into a vector cannot fail.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }

    /// Registers all metrics with the registry.
    fn register(&self) -> prometheus::Result<()> {
        self.registry.register(Box::new(self.attempts.clone()))?;
        self.registry.register(Box::new(self.batch_in_flight.clone()))?;
        self.registry.register(Box::new(self.config_revision.clone()))?;
        self.registry.register(Box::new(self.first_response.clone()))?;
        self.registry.register(Box::new(self.items.clone()))?;
        self.registry.register(Box::new(self.jobs_owned.clone()))?;
        self.registry.register(Box::new(self.jobs_at_risk.clone()))?;
        self.registry.register(Box::new(self.lease_held.clone()))?;
        self.registry.register(Box::new(self.outcomes.clone()))?;
        self.registry.register(Box::new(self.resumes.clone()))?;
        self.registry.register(Box::new(self.targets_ready.clone()))
    }
}
