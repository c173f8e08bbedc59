//! The time that a request is expected to take at a target, by which placement compares targets.
//!
//! Answers the load of a service whose targets differ in speed by a factor of 2.4 and are slowed
//! down for short intervals. Their numbers of requests alone say too little: the same number takes
//! longer at a slow target, and a target that slows down is full before its next load report.

use std::time::Duration;

use cv_policy::MonotonicTime;

use crate::TargetRow;

/// Number of runs after which a run counts 1/e as much in the learned run time.
const LEARNED_RUNS: f64 = 60.0;

/// Runs before which the learned run time is not used.
const MIN_RUNS: f64 = 12.0;

/// Time for which a target's statement of its slowness counts; it changes many times a second.
const SLOWNESS_AGE: Duration = Duration::from_millis(300);

/// Slowness of a target that works as usual, in percent.
const USUAL_SLOWNESS: u32 = 100;

/// Differences of the pace below which targets count as equally fast. The run times of requests
/// vary, so the learned ones of equal targets differ by a few percent.
const MIN_PACE_DIFFERENCE: f64 = 0.15;

/// Bounds of the pace, so that a wrong statement neither attracts nor repels all requests.
const PACE_BOUNDS: (f64, f64) = (0.4, 4.0);

/// Work that a request itself adds to a target, in requests on a target of eight slots.
const OWN_COST: f64 = 4.0;

/// What a target's responses tell about how fast it is.
#[derive(Clone, Copy, Debug, Default)]
pub struct PaceRecord {
    mean_run_ms: f64,
    runs: f64,
    slowness: Option<(u32, MonotonicTime)>,
}

impl PaceRecord {
    /// Records the duration of an online request's run.
    pub fn record_run(&mut self, duration: Duration) {
        self.runs = (self.runs + 1.0).min(LEARNED_RUNS);
        self.mean_run_ms += (duration.as_secs_f64() * 1_000.0 - self.mean_run_ms) / self.runs;
    }

    /// Records how long work takes at the moment according to the target, in percent of the usual
    /// time.
    pub fn record_slowness(&mut self, now: MonotonicTime, percent: u32) {
        self.slowness = Some((percent, now));
    }

    /// Returns the mean run time in milliseconds; `None` until enough runs are known, and for a target
    /// that never states its slowness: its service is placed by load, as services of equal machines.
    #[must_use]
    pub fn mean_run_ms(&self) -> Option<f64> {
        (self.runs >= MIN_RUNS && self.slowness.is_some()).then_some(self.mean_run_ms)
    }

    /// Returns how long work takes at the moment, in percent of the usual time; 100 if the target
    /// has not said so of late.
    #[must_use]
    pub fn slowness_percent(&self, now: MonotonicTime) -> u32 {
        let current = self.slowness.filter(|(_, time)| now.since(*time) <= SLOWNESS_AGE);
        current.map_or(USUAL_SLOWNESS, |(percent, _)| percent)
    }
}

/// Compares the targets of one service.
#[derive(Clone, Copy, Debug)]
pub struct TargetValue {
    /// Mean of the learned run times of all targets, in milliseconds; 0 if none is known.
    mean_run_ms: f64,
    /// How much the pace matters, from 0 to 1.
    weight: f64,
}

impl TargetValue {
    /// Computes what the targets of a service are compared with.
    #[must_use]
    pub fn new(rows: &[&TargetRow], now: MonotonicTime) -> Self {
        let known = rows.iter().filter_map(|row| row.mean_run_ms(now));
        let (count, total) = known.fold((0, 0.0), |(count, total), run| (count + 1, total + run));
        Self { mean_run_ms: total / f64::from(count.max(1)), weight: 1.0 }
    }

    /// Sets how much the pace of the targets matters to the requests of the service, from 0 to 1.
    #[must_use]
    pub fn with_weight(self, weight: f64) -> Self {
        Self { weight, ..self }
    }

    /// Returns the mean of the learned run times of all targets in milliseconds, 0 if none is known.
    #[must_use]
    pub fn mean_run_ms(&self) -> f64 {
        self.mean_run_ms
    }

    /// Returns how long work takes at a target, as a multiple of the mean of all targets; exactly 1
    /// for targets that are about as fast as the others.
    #[must_use]
    pub fn pace(&self, row: &TargetRow, now: MonotonicTime) -> f64 {
        let learned = row.mean_run_ms(now).filter(|_| self.mean_run_ms > 0.0);
        let learned = learned.map_or(1.0, |run| run / self.mean_run_ms);
        let pace = learned * f64::from(row.slowness_percent(now)) / 100.0;
        let pace = pace.clamp(PACE_BOUNDS.0, PACE_BOUNDS.1);
        if (pace - 1.0).abs() < MIN_PACE_DIFFERENCE { 1.0 } else { pace }
    }

    /// Returns the time that a request is expected to take at a target with a load, both in requests
    /// on a target of eight slots and of the mean speed. It is the load itself where all targets
    /// are about equally fast.
    #[must_use]
    pub fn expected_time(&self, row: &TargetRow, now: MonotonicTime, load: f64) -> f64 {
        let pace = 1.0 + (self.pace(row, now) - 1.0) * self.weight;
        load * pace + OWN_COST * (pace - 1.0)
    }
}
