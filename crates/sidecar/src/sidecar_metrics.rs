//! Metrics of a sidecar.

use cv_policy::TargetLoad;
use prometheus::Encoder;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

/// Upper bounds of the queue-time buckets, in seconds.
const WAIT_BUCKETS: [f64; 8] = [0.001, 0.005, 0.02, 0.05, 0.1, 0.5, 2.0, 10.0];

/// The metrics of one sidecar, in their own registry.
#[derive(Debug)]
pub(crate) struct SidecarMetrics {
    /// Limit of concurrent online requests.
    limit: IntGauge,
    /// Requests, by class and outcome.
    pub outcomes: IntCounterVec,
    /// Preempted batch requests.
    pub preemptions: IntCounter,
    registry: Registry,
    /// Online requests at the target.
    running: IntGauge,
    /// Batch requests at the target.
    running_batch: IntGauge,
    /// 1 while the target answers health probes, otherwise 0.
    pub target_up: IntGauge,
    /// Time that requests spent in the queue, in seconds.
    pub wait: Histogram,
    /// Online requests in the queue.
    waiting: IntGauge,
}

impl SidecarMetrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    /// Fails if two metrics have the same name.
    pub fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let outcome_opts = Opts::new("cv_sidecar_requests_total", "Requests by class and outcome.");
        let wait_opts = HistogramOpts::new("cv_sidecar_wait_seconds", "Time in the queue.");
        let metrics = Self {
            limit: IntGauge::new("cv_sidecar_online_limit", "Online requests that may run.")?,
            outcomes: IntCounterVec::new(outcome_opts, &["class", "outcome"])?,
            preemptions: IntCounter::new(
                "cv_sidecar_preemptions_total",
                "Batch requests that gave their slot back.",
            )?,
            registry,
            running: IntGauge::new("cv_sidecar_running", "Online requests at the target.")?,
            running_batch: IntGauge::new(
                "cv_sidecar_running_batch",
                "Batch requests at the target.",
            )?,
            target_up: IntGauge::new("cv_sidecar_target_up", "1 while the target answers.")?,
            wait: Histogram::with_opts(wait_opts.buckets(WAIT_BUCKETS.to_vec()))?,
            waiting: IntGauge::new("cv_sidecar_waiting", "Online requests in the queue.")?,
        };
        metrics.register()?;
        Ok(metrics)
    }

    /// Updates the gauges from the queue's load and returns all metrics in the text format.
    pub fn render(&self, load: &TargetLoad) -> Vec<u8> {
        self.limit.set(load.limit.into());
        self.running.set(load.running.into());
        self.running_batch.set(load.batch_running.into());
        self.waiting.set(load.waiting.into());
        let mut text = Vec::new();
        // Encoding valid metrics into a vector cannot fail.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }

    /// Registers all metrics with the registry.
    fn register(&self) -> prometheus::Result<()> {
        self.registry.register(Box::new(self.limit.clone()))?;
        self.registry.register(Box::new(self.outcomes.clone()))?;
        self.registry.register(Box::new(self.preemptions.clone()))?;
        self.registry.register(Box::new(self.running.clone()))?;
        self.registry.register(Box::new(self.running_batch.clone()))?;
        self.registry.register(Box::new(self.target_up.clone()))?;
        self.registry.register(Box::new(self.wait.clone()))?;
        self.registry.register(Box::new(self.waiting.clone()))
    }
}
