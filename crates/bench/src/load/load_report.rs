//! Latencies and outcomes of one load.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::CallOutcome;
use super::CallRecord;

/// Largest latency that the histograms can record, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Counts of guarantee violations, and of refused and late calls, which are allowed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct GuaranteeCounts {
    /// Accepted requests or items without a result.
    pub lost: u64,
    /// Requests or items that ran more often than allowed, or have more than one result.
    pub duplicated: u64,
    /// Requests that ran although the caller was told that they had not.
    pub false_not_run: u64,
    /// Responses that belong to another request.
    pub crossed: u64,
    /// Short responses that ended like complete ones.
    pub truncated: u64,
    /// Requests that were refused without having run; allowed.
    pub refused: u64,
    /// Complete responses after the deadline; allowed, but undesirable.
    pub late: u64,
}

impl GuaranteeCounts {
    /// Returns the names of the violated guarantees.
    #[must_use]
    pub fn violations(&self) -> Vec<&'static str> {
        let counts = [
            (self.lost, "lost"),
            (self.duplicated, "duplicated"),
            (self.false_not_run, "false_not_run"),
            (self.crossed, "crossed"),
            (self.truncated, "truncated"),
        ];
        counts.into_iter().filter(|(count, _)| *count > 0).map(|(_, name)| name).collect()
    }

    /// Adds the counts of another load.
    pub fn add(&mut self, other: &Self) {
        self.lost += other.lost;
        self.duplicated += other.duplicated;
        self.false_not_run += other.false_not_run;
        self.crossed += other.crossed;
        self.truncated += other.truncated;
        self.refused += other.refused;
        self.late += other.late;
    }
}

/// Latencies and outcomes of one load.
#[derive(Clone, Debug)]
pub struct LoadReport {
    /// Calls whose response was cut off.
    pub cut_off: u64,
    /// Calls that the system reported as failed.
    pub failed: u64,
    /// Times to the first byte of the response of completed calls, in microseconds.
    pub first: Histogram<u64>,
    /// Complete responses within the deadline that ended while the load ran.
    pub goodput_calls: u64,
    /// Complete responses within the deadline.
    pub in_time: u64,
    /// Guarantee violations, refused and late calls.
    pub guarantees: GuaranteeCounts,
    /// Number of calls sent.
    pub sent: u64,
    /// Times to the end of completed calls, in microseconds.
    pub total: Histogram<u64>,
    /// Calls with an unknown outcome.
    pub unknown: u64,
    /// Measured duration of the load.
    pub duration: Duration,
}

impl LoadReport {
    /// Creates an empty report.
    ///
    /// # Panics
    /// Never panics: the histograms' bounds are valid.
    #[must_use]
    pub fn new() -> Self {
        let histogram =
            || Histogram::new_with_max(MAX_LATENCY_US, 3).expect("the bounds are valid");
        Self {
            cut_off: 0,
            failed: 0,
            first: histogram(),
            goodput_calls: 0,
            in_time: 0,
            guarantees: GuaranteeCounts::default(),
            sent: 0,
            total: histogram(),
            unknown: 0,
            duration: Duration::ZERO,
        }
    }

    /// Records one call.
    pub fn record(&mut self, record: &CallRecord, deadline: Duration) {
        self.sent += 1;
        match record.outcome {
            CallOutcome::Completed => {
                self.first.saturating_record(record.first_response.as_micros() as u64);
                self.total.saturating_record(record.total.as_micros() as u64);
                if record.is_in_time(deadline) {
                    self.in_time += 1;
                } else {
                    self.guarantees.late += 1;
                }
            }
            CallOutcome::Crossed => self.guarantees.crossed += 1,
            CallOutcome::Truncated => self.guarantees.truncated += 1,
            CallOutcome::CutOff => self.cut_off += 1,
            CallOutcome::NotRun => self.guarantees.refused += 1,
            CallOutcome::Failed => self.failed += 1,
            CallOutcome::Unknown => self.unknown += 1,
        }
    }

    /// Adds another load that ran at the same time.
    pub fn merge(&mut self, other: &Self) {
        self.cut_off += other.cut_off;
        self.failed += other.failed;
        self.goodput_calls += other.goodput_calls;
        self.in_time += other.in_time;
        self.sent += other.sent;
        self.unknown += other.unknown;
        self.guarantees.add(&other.guarantees);
        self.duration = self.duration.max(other.duration);
        // Both histograms have the same bounds, so adding one to the other cannot fail.
        let _ = self.first.add(&other.first);
        let _ = self.total.add(&other.total);
    }

    /// Returns a quantile of the time to the first byte of the response, in milliseconds.
    #[must_use]
    pub fn first_response_ms(&self, quantile: f64) -> f64 {
        self.first.value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// Returns a quantile of the time to the end, in milliseconds.
    #[must_use]
    pub fn total_ms(&self, quantile: f64) -> f64 {
        self.total.value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// Returns the complete responses per second that ended in time while the load ran.
    #[must_use]
    pub fn goodput(&self) -> f64 {
        self.goodput_calls as f64 / self.duration.as_secs_f64().max(1e-9)
    }
}

impl Default for LoadReport {
    fn default() -> Self {
        Self::new()
    }
}
