//! Finds targets that do much worse than their peers.

use std::time::Duration;

use super::TargetRow;
use super::TargetTable;
use crate::MonotonicTime;

/// Failures in a row after which a target is ejected.
const FAILURES: u32 = 3;

/// First pause of an ejected target; doubles with each further ejection in a row.
const FIRST_PAUSE: Duration = Duration::from_secs(2);

/// Longest pause of an ejected target.
const MAX_PAUSE: Duration = Duration::from_secs(30);

/// Largest share of a service's targets that may be ejected at once.
const MAX_EJECTED: f64 = 0.34;

/// Latency over the median of the peers at which a target counts as slow.
const SLOW_RATIO: f64 = 2.5;

/// Difference from the median below which no target counts as slow, in seconds.
const SLOW_MARGIN: f64 = 0.005;

/// Samples that a judgement on latency needs.
const MIN_SAMPLES: u32 = 4;

/// Weight of a new sample in the running mean of latency.
const SAMPLE_WEIGHT: f64 = 0.3;

/// Ejects targets that fail repeatedly or answer slowly.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutlierDetector;

impl OutlierDetector {
    /// Takes the time to the first response of one request.
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

    /// Takes the failure of one request.
    pub fn record_failure(&self, row: &mut TargetRow) {
        row.failures = row.failures.saturating_add(1);
    }

    /// Ejects outliers and lets ejected targets return.
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

/// Lets targets return whose pause is over, with a slow start.
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

/// Ejects the outliers of one service, as far as its other targets can carry the load.
fn eject_outliers(now: MonotonicTime, table: &mut TargetTable, service: u64) {
    let median = median_latency(table, service);
    let total = table.rows().iter().filter(|row| row.service == service).count();
    let allowed = (total as f64 * MAX_EJECTED) as usize;
    let is_out = |row: &TargetRow| row.service == service && row.is_ejected(now);
    let mut ejected = table.rows().iter().filter(|row| is_out(row)).count();
    for row in table.rows_mut().iter_mut().filter(|row| row.service == service) {
        let judged = row.is_eligible() && !row.is_ejected(now);
        if ejected < allowed && judged && is_outlier(row, median) {
            eject(now, row);
            ejected += 1;
        } else if judged && row.probation && row.samples > 0 {
            row.probation = false;
            row.started = now;
        } else if judged && row.samples >= 4 * MIN_SAMPLES {
            // Only a target that has done well for a while gets its short pauses back.
            row.ejections = row.ejections.saturating_sub(1);
            row.samples = MIN_SAMPLES;
        }
    }
}

/// Tells whether a target does much worse than its peers.
///
/// On probation the first sample decides, so that a target that is still bad costs one request.
fn is_outlier(row: &TargetRow, median: f64) -> bool {
    let enough = if row.probation { 1 } else { MIN_SAMPLES };
    let slow = row.samples >= enough
        && row.latency > median * SLOW_RATIO
        && row.latency > median + SLOW_MARGIN;
    slow || row.failures >= if row.probation { 1 } else { FAILURES }
}

/// Takes a target out for a pause that grows with each ejection.
fn eject(now: MonotonicTime, row: &mut TargetRow) {
    let pause = FIRST_PAUSE * 2_u32.saturating_pow(row.ejections.min(8));
    row.ejected_until = Some(now + pause.min(MAX_PAUSE));
    row.ejections += 1;
}

/// Returns the median latency of a service's targets, in seconds.
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
