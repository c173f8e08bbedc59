//! Detects and ejects targets that perform much worse than their peers.

use std::time::Duration;

use super::TargetRow;
use super::TargetTable;
use crate::MonotonicTime;

/// Consecutive failures after which a target is ejected.
const FAILURE_THRESHOLD: u32 = 3;

/// Duration of a target's first ejection; doubles with each consecutive one.
const BASE_EJECTION: Duration = Duration::from_secs(2);

/// Maximum duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(30);

/// Maximum share of a service's targets that may be ejected at the same time.
const MAX_EJECTED_SHARE: f64 = 0.34;

/// Ratio of a target's latency to the median of its service above which it counts as slow.
const SLOW_RATIO: f64 = 2.5;

/// Minimum difference from the median at which a target counts as slow, in seconds.
const SLOW_MARGIN: f64 = 0.005;

/// Samples that a comparison of latencies requires.
const MIN_SAMPLES: u32 = 4;

/// Weight of a new sample in the moving average of the latency.
const SAMPLE_WEIGHT: f64 = 0.3;

/// Ejects targets that fail repeatedly or respond slowly.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutlierDetector;

impl OutlierDetector {
    /// Records a success with the time to the first byte of the response.
    pub fn record_success(&self, row: &mut TargetRow, latency: Duration) {
        let sample = latency.as_secs_f64();
        row.failures = 0;
        row.samples = row.samples.saturating_add(1);
        if row.latency == 0.0 {
            row.latency = sample;
        } else {
            row.latency += SAMPLE_WEIGHT * (sample - row.latency);
        }
    }

    /// Records the failure of one request.
    pub fn record_failure(&self, row: &mut TargetRow) {
        row.failures = row.failures.saturating_add(1);
    }

    /// Readmits targets whose ejection is over and ejects outliers.
    pub fn tick(&self, now: MonotonicTime, table: &mut TargetTable) {
        readmit_due(now, table);
        let mut services: Vec<u64> = table.rows().iter().map(|row| row.service).collect();
        services.sort_unstable();
        services.dedup();
        for service in services {
            eject_outliers(now, table, service);
        }
    }
}

/// Readmits targets whose ejection is over, on probation and with a slow start.
fn readmit_due(now: MonotonicTime, table: &mut TargetTable) {
    for row in table.rows_mut() {
        if row.ejected_until.is_some_and(|until| until <= now) {
            row.ejected_until = None;
            row.failures = 0;
            row.latency = 0.0;
            row.probation = true;
            row.samples = 0;
            row.started = now;
        }
    }
}

/// Ejects the outliers of one service, up to the share that its other targets can replace.
fn eject_outliers(now: MonotonicTime, table: &mut TargetTable, service: u64) {
    let median = median_latency(table, service);
    let total = table.rows().iter().filter(|row| row.service == service).count();
    let max_ejected = (total as f64 * MAX_EJECTED_SHARE) as usize;
    let is_ejected = |row: &TargetRow| row.service == service && row.is_ejected(now);
    let mut ejected = table.rows().iter().filter(|row| is_ejected(row)).count();
    for row in table.rows_mut().iter_mut().filter(|row| row.service == service) {
        let in_use = row.is_eligible() && !row.is_ejected(now);
        if ejected < max_ejected && in_use && is_outlier(row, median) {
            eject(now, row);
            ejected += 1;
        } else if in_use && row.probation && row.samples > 0 {
            row.probation = false;
            row.started = now;
        } else if in_use && row.samples >= 4 * MIN_SAMPLES {
            // Ejections get shorter again only after a target has performed well for a while.
            row.ejections = row.ejections.saturating_sub(1);
            row.samples = MIN_SAMPLES;
        }
    }
}

/// Returns whether a target performs much worse than its peers.
///
/// On probation the first sample decides, so that a target that is still bad costs one request.
fn is_outlier(row: &TargetRow, median: f64) -> bool {
    let min_samples = if row.probation { 1 } else { MIN_SAMPLES };
    let is_slow = row.samples >= min_samples
        && row.latency > median * SLOW_RATIO
        && row.latency > median + SLOW_MARGIN;
    is_slow || row.failures >= if row.probation { 1 } else { FAILURE_THRESHOLD }
}

/// Ejects a target for a time that doubles with each consecutive ejection.
fn eject(now: MonotonicTime, row: &mut TargetRow) {
    let duration = BASE_EJECTION * 2_u32.saturating_pow(row.ejections.min(8));
    row.ejected_until = Some(now + duration.min(MAX_EJECTION));
    row.ejections += 1;
}

/// Returns the median latency of a service's targets, in seconds.
///
/// With fewer than 3 measured targets it is infinite, so that none counts as slow.
fn median_latency(table: &TargetTable, service: u64) -> f64 {
    let of_service = table.rows().iter().filter(|row| row.service == service);
    let mut latencies: Vec<f64> =
        of_service.filter(|row| row.samples >= MIN_SAMPLES).map(|row| row.latency).collect();
    if latencies.len() < 3 {
        return f64::INFINITY;
    }
    latencies.sort_by(f64::total_cmp);
    latencies[latencies.len() / 2]
}
