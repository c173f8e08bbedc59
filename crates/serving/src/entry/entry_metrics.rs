//! Metrics of an entry.

use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::IntCounter;
use prometheus::Registry;

/// Upper bounds of the latency buckets, in seconds; latency objectives are between 0.1 and 1.
const LATENCY_BUCKETS: [f64; 9] = [0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.5, 5.0];

/// Metrics of one entry, in a registry of their own.
#[derive(Debug)]
pub(crate) struct EntryMetrics {
    pub abandoned: IntCounter,
    pub answered: IntCounter,
    pub attempts: IntCounter,
    /// Requests for credit of a customer's quota that were sent to keepers.
    pub credit_requests: IntCounter,
    /// Attempts sent to targets of other zones.
    pub cross_zone: IntCounter,
    pub failed: IntCounter,
    /// Time to the first part of a response, in seconds.
    pub first_response: Histogram,
    /// Requests that were over their customer's limit.
    pub over_quota: IntCounter,
    /// Requests refused because of a part of their prompts.
    pub quarantined: IntCounter,
    /// Requests of customers with a quota, none of whose keepers replied.
    pub quota_unknown: IntCounter,
    pub refused: IntCounter,
    /// Requests whose caller has no known key.
    pub rejected: IntCounter,
    /// Errors of targets that were the responses to their callers.
    pub relayed_errors: IntCounter,
    /// Rounds of reservations that all sidecars denied.
    pub reservations_denied: IntCounter,
    /// Rounds of reservations in which a sidecar granted a slot.
    pub reservations_granted: IntCounter,
    pub registry: Registry,
}

impl EntryMetrics {
    /// Creates and registers the metrics.
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
        let cross_zone =
            counter("cv_front_cross_zone_total", "Attempts sent to targets of other zones.")?;
        let failed = counter("cv_front_failed_total", "Requests that failed after an attempt.")?;
        let credit_requests = counter(
            "cv_front_credit_requests_total",
            "Requests for credit of a customer's quota, sent to keepers.",
        )?;
        let over_quota =
            counter("cv_front_over_quota_total", "Requests over their customer's limit.")?;
        let quota_unknown = counter(
            "cv_front_quota_unknown_total",
            "Requests of customers with a quota, none of whose keepers replied.",
        )?;
        let quarantined = counter(
            "cv_front_quarantined_total",
            "Requests refused because a part of their prompts ends engines.",
        )?;
        let refused = counter("cv_front_refused_total", "Requests told to come back later.")?;
        let rejected = counter("cv_front_rejected_total", "Requests without a key that is known.")?;
        let relayed_errors = counter(
            "cv_front_relayed_errors_total",
            "Requests whose caller got a target's error as the response.",
        )?;
        let reservations_denied = counter(
            "cv_front_reservations_denied_total",
            "Times that no sidecar had a slot in time for a waiting request.",
        )?;
        let reservations_granted = counter(
            "cv_front_reservations_granted_total",
            "Times that a sidecar granted a slot to a waiting request.",
        )?;
        let options = HistogramOpts::new(
            "cv_front_first_answer_seconds",
            "Time from a request's arrival to the first part of its answer.",
        );
        let first_response = Histogram::with_opts(options.buckets(LATENCY_BUCKETS.to_vec()))?;
        registry.register(Box::new(first_response.clone()))?;
        Ok(Self {
            abandoned,
            answered,
            attempts,
            credit_requests,
            cross_zone,
            failed,
            first_response,
            over_quota,
            quarantined,
            quota_unknown,
            refused,
            rejected,
            relayed_errors,
            reservations_denied,
            reservations_granted,
            registry,
        })
    }
}
