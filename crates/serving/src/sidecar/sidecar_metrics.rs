//! Metrics of a sidecar.

use cv_dispatch::EngineCondition;
use cv_dispatch::LoadReport;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;

use crate::sidecar::reservation_desk::DeniedReservations;

/// Metrics of one sidecar, in a registry of their own.
#[derive(Debug)]
pub(crate) struct SidecarMetrics {
    batch: IntGaugeVec,
    /// Responses of the engine that failed.
    pub engine_failures: IntCounter,
    /// Times that the engine ended with its runs.
    pub engine_losses: IntCounter,
    failure_percent: IntGauge,
    online: IntGaugeVec,
    /// Requests that were refused.
    pub refused: IntCounter,
    /// Requests that were refused, by the reason in the log line.
    pub refused_by_reason: IntCounterVec,
    pub registry: Registry,
    reservations_denied: IntCounterVec,
    run_ms: IntGauge,
    slowness_percent: IntGauge,
}

impl SidecarMetrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    /// Fails if two metrics have the same name.
    pub fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let gauge = |name: &str, help: &str| -> prometheus::Result<IntGaugeVec> {
            let gauge = IntGaugeVec::new(Opts::new(name, help), &["state"])?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        let batch = gauge("cv_side_batch", "Batch requests at the engine or in the queue.")?;
        let online = gauge("cv_side_online", "Online requests at the engine or in the queue.")?;
        let refused = IntCounter::new("cv_side_refused_total", "Requests that were turned away.")?;
        registry.register(Box::new(refused.clone()))?;
        let by_reason = |name: &str, help: &str| -> prometheus::Result<IntCounterVec> {
            let counter = IntCounterVec::new(Opts::new(name, help), &["reason"])?;
            registry.register(Box::new(counter.clone()))?;
            Ok(counter)
        };
        let refused_by_reason = by_reason(
            "cv_side_refused_by_reason_total",
            "Requests that were turned away, by reason.",
        )?;
        let reservations_denied = by_reason(
            "cv_side_reservations_denied_total",
            "Reservations that were denied, by reason.",
        )?;
        let engine_losses =
            IntCounter::new("cv_side_engine_losses_total", "Times that the engine ended.")?;
        registry.register(Box::new(engine_losses.clone()))?;
        let engine_failures = IntCounter::new(
            "cv_side_engine_failures_total",
            "Responses of the engine that were errors or broke off.",
        )?;
        registry.register(Box::new(engine_failures.clone()))?;
        let failure_percent = IntGauge::new(
            "cv_side_failure_percent",
            "Share of failed responses of late, as it is reported to other processes.",
        )?;
        registry.register(Box::new(failure_percent.clone()))?;
        let run_ms = IntGauge::new(
            "cv_side_run_ms",
            "Mean run time of online requests, 0 until it is known.",
        )?;
        registry.register(Box::new(run_ms.clone()))?;
        let slowness_percent = IntGauge::new(
            "cv_side_slowness_percent",
            "How long work takes at the moment, in percent of the usual time.",
        )?;
        registry.register(Box::new(slowness_percent.clone()))?;
        Ok(Self {
            batch,
            engine_failures,
            engine_losses,
            failure_percent,
            online,
            refused,
            refused_by_reason,
            registry,
            reservations_denied,
            run_ms,
            slowness_percent,
        })
    }

    /// Raises the counters of denied reservations to the given numbers.
    pub fn set_denied(&self, denied: DeniedReservations) {
        let set = |reason: &str, total: u64| {
            let counter = self.reservations_denied.with_label_values(&[reason]);
            counter.inc_by(total.saturating_sub(counter.get()));
        };
        set("over_share", denied.over_share);
        set("queue_full", denied.queue_full);
    }

    /// Sets the gauges to the queue's counts and the engine's condition.
    pub fn set_load(&self, report: &LoadReport, condition: EngineCondition) {
        self.failure_percent.set(condition.failure_percent.into());
        self.run_ms.set(condition.run_ms.into());
        self.slowness_percent.set(condition.slowness_percent.into());
        let set = |gauge: &IntGaugeVec, running: u32, waiting: u32| {
            gauge.with_label_values(&["running"]).set(running.into());
            gauge.with_label_values(&["waiting"]).set(waiting.into());
        };
        set(&self.batch, report.batch_running, report.batch_waiting);
        set(&self.online, report.online_running, report.online_waiting);
    }
}
