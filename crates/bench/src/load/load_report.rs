//! The figures of one load.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::CallOutcome;
use super::CallRecord;

/// Longest time that the histograms hold, in microseconds.
const LONGEST_US: u64 = 600_000_000;

/// Counts of what the system promises not to do, and of what it may do.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct PromiseCounts {
    /// Accepted work without an outcome.
    pub lost: u64,
    /// Work that ran more often than allowed, or has more than one result.
    pub duplicated: u64,
    /// Work that ran although the caller was told that it had not.
    pub false_not_run: u64,
    /// Answers to somebody else's request.
    pub crossed: u64,
    /// Short answers that looked whole.
    pub truncated: u64,
    /// Requests that were refused as not run, which is allowed.
    pub refused: u64,
    /// Whole answers after the deadline, which is allowed but not wanted.
    pub late: u64,
}

impl PromiseCounts {
    /// Lists the promises that were broken.
    #[must_use]
    pub fn broken(&self) -> Vec<&'static str> {
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
    /// Calls that were cut off.
    pub cut_off: u64,
    /// Calls that were said to have failed.
    pub failed: u64,
    /// Times to the first response of completed calls, in microseconds.
    pub first: Histogram<u64>,
    /// Whole answers within the deadline that ended while the load ran.
    pub goodput_calls: u64,
    /// Whole answers within the deadline.
    pub in_time: u64,
    /// Promises.
    pub promises: PromiseCounts,
    /// Calls in all.
    pub sent: u64,
    /// Times to the end of completed calls, in microseconds.
    pub total: Histogram<u64>,
    /// Calls of which nothing is known.
    pub unknown: u64,
    /// Time that the load took.
    pub wall: Duration,
}

impl LoadReport {
    /// Creates an empty report.
    ///
    /// # Panics
    /// Never: the histograms' bounds are sound.
    #[must_use]
    pub fn new() -> Self {
        let histogram = || Histogram::new_with_max(LONGEST_US, 3).expect("the bounds are sound");
        Self {
            cut_off: 0,
            failed: 0,
            first: histogram(),
            goodput_calls: 0,
            in_time: 0,
            promises: PromiseCounts::default(),
            sent: 0,
            total: histogram(),
            unknown: 0,
            wall: Duration::ZERO,
        }
    }

    /// Takes one call.
    pub fn record(&mut self, record: &CallRecord, deadline: Duration) {
        self.sent += 1;
        match record.outcome {
            CallOutcome::Completed => {
                self.first.saturating_record(record.first.as_micros() as u64);
                self.total.saturating_record(record.total.as_micros() as u64);
                if record.is_in_time(deadline) {
                    self.in_time += 1;
                } else {
                    self.promises.late += 1;
                }
            }
            CallOutcome::Crossed => self.promises.crossed += 1,
            CallOutcome::Truncated => self.promises.truncated += 1,
            CallOutcome::CutOff => self.cut_off += 1,
            CallOutcome::NotRun => self.promises.refused += 1,
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
        self.promises.add(&other.promises);
        self.wall = self.wall.max(other.wall);
        // Both histograms have the same bounds, so adding cannot fail.
        let _ = self.first.add(&other.first);
        let _ = self.total.add(&other.total);
    }

    /// Returns a quantile of the time to the first response, in milliseconds.
    #[must_use]
    pub fn first_ms(&self, quantile: f64) -> f64 {
        self.first.value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// Returns a quantile of the time to the end, in milliseconds.
    #[must_use]
    pub fn total_ms(&self, quantile: f64) -> f64 {
        self.total.value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// Returns the whole answers within the deadline that ended while the load ran, per second.
    #[must_use]
    pub fn goodput(&self) -> f64 {
        self.goodput_calls as f64 / self.wall.as_secs_f64().max(1e-9)
    }
}

impl Default for LoadReport {
    fn default() -> Self {
        Self::new()
    }
}
