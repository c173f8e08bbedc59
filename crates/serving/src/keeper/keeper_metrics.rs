//! Prometheus metrics of a keeper.

use prometheus::IntCounter;
use prometheus::IntGauge;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;

/// Metrics of one keeper, with their own registry.
#[derive(Debug)]
pub(crate) struct KeeperMetrics {
    /// Requests for credit of a customer's quota that were denied.
    pub credit_denied: IntCounter,
    /// Credit of customers' quotas that was granted, in requests.
    pub credit_granted: IntCounter,
    /// Items whose results are not listed, by what they wait for.
    pub items_by_cause: IntGaugeVec,
    /// Items of owned jobs that wait for a run.
    pub items_waiting: IntGauge,
    /// Jobs that this keeper accepted.
    pub jobs_accepted: IntCounter,
    /// Owned jobs that this keeper can run.
    pub jobs_owned: IntGauge,
    /// Longest time without progress of a job that this keeper owns or should own, in milliseconds.
    pub longest_stall: IntGauge,
    /// Registry that holds the metrics.
    pub registry: Registry,
    /// Results that this keeper committed and listed.
    pub results_listed: IntCounter,
}

impl KeeperMetrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    /// Fails if two metrics have the same name.
    pub fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let options = Opts::new("cv_keeper_items_unlisted", "Items without a listed result.");
        let items_by_cause = IntGaugeVec::new(options, &["cause"])?;
        let longest_stall =
            IntGauge::new("cv_keeper_longest_stall_ms", "Longest time of a job without progress.")?;
        let items_waiting =
            IntGauge::new("cv_keeper_items_waiting", "Items of owned jobs that wait for a run.")?;
        let jobs_owned = IntGauge::new("cv_keeper_jobs_owned", "Jobs that this keeper runs.")?;
        let jobs_accepted =
            IntCounter::new("cv_keeper_jobs_accepted_total", "Jobs that were accepted here.")?;
        let results_listed =
            IntCounter::new("cv_keeper_results_listed_total", "Results that became readable.")?;
        let credit_granted =
            IntCounter::new("cv_keeper_credit_granted_total", "Requests granted to customers.")?;
        let credit_denied =
            IntCounter::new("cv_keeper_credit_denied_total", "Requests for credit denied.")?;
        registry.register(Box::new(credit_denied.clone()))?;
        registry.register(Box::new(credit_granted.clone()))?;
        registry.register(Box::new(items_by_cause.clone()))?;
        registry.register(Box::new(items_waiting.clone()))?;
        registry.register(Box::new(jobs_owned.clone()))?;
        registry.register(Box::new(jobs_accepted.clone()))?;
        registry.register(Box::new(longest_stall.clone()))?;
        registry.register(Box::new(results_listed.clone()))?;
        Ok(Self {
            credit_denied,
            credit_granted,
            items_by_cause,
            items_waiting,
            jobs_accepted,
            jobs_owned,
            longest_stall,
            registry,
            results_listed,
        })
    }
}
