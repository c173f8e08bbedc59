//! How many of a zone's requests go to targets of other zones.
//!
//! Answers the load of a zone that has too few targets for its entries while others have spare
//! slots, and the load of all other times, in which traffic between zones only costs. All entries of
//! a zone see the same loads, so each sends a share of its requests away and moves the share in
//! steps that are small enough for the load to follow. If each request went to the best zone, all
//! entries would turn to the same spare zone and away from it together.

use std::time::Duration;

use cv_policy::MonotonicTime;

/// Time between two steps of the share.
const STEP_INTERVAL: Duration = Duration::from_millis(100);

/// Largest change of the share in one step.
const MAX_STEP: f64 = 0.06;

/// Part of the way to the wanted share that one step goes. The load of a zone follows its share
/// within a run time, which is about six steps.
const STEP_PART: f64 = 0.2;

/// Largest share; the rest shows that the zone's own targets are still too few.
const MAX_SHARE: f64 = 0.95;

/// Slots that requests choose from together: an entry compares three targets of eight.
const POOLED_SLOTS: f64 = 24.0;

/// Largest utilization for which the formula of the wait holds.
const MAX_UTILIZATION: f64 = 0.95;

/// Run time of a request if none is known, in milliseconds.
const DEFAULT_RUN_MS: f64 = 600.0;

/// What a request to another zone costs.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ZoneTerms {
    /// Latency between two zones in one direction.
    pub latency: Duration,
    /// Wait that a request accepts rather than to have its bytes sent between zones.
    pub transfer_cost: Duration,
}

/// The online load of the usable targets of one zone, or of several.
#[derive(Clone, Copy, Debug, Default)]
pub struct ZoneLoad {
    /// Requests that run or wait.
    pub load: f64,
    /// Mean run time in milliseconds, 0 if it is not known.
    pub run_ms: f64,
    /// Slots, of targets of mean speed.
    pub slots: f64,
}

/// The share of one service's requests that an entry sends to other zones.
#[derive(Clone, Copy, Debug)]
pub struct ZoneChoice {
    share: f64,
    stepped_at: MonotonicTime,
    terms: ZoneTerms,
}

impl ZoneTerms {
    /// Returns the wait in the own zone that is worth as much as going to another one.
    #[must_use]
    pub fn cost(&self) -> Duration {
        self.latency * 2 + self.transfer_cost
    }
}

impl ZoneLoad {
    /// Estimates the wait for a slot in milliseconds if `change` more requests were at the targets.
    ///
    /// This is the approximation of the wait in a queue with several servers by Sakasegawa, and
    /// beyond its range the time in which the requests that are too many end.
    fn expected_wait_ms(&self, change: f64) -> f64 {
        let run_ms = if self.run_ms > 0.0 { self.run_ms } else { DEFAULT_RUN_MS };
        let slots = self.slots.max(1.0);
        let utilization = (self.load + change).max(0.0) / slots;
        let in_range = utilization.min(MAX_UTILIZATION);
        let exponent = (2.0 * (POOLED_SLOTS + 1.0)).sqrt() - 1.0;
        let wait = in_range.powf(exponent) / (1.0 - in_range) * run_ms / POOLED_SLOTS;
        wait + (utilization - in_range) * run_ms
    }
}

impl ZoneChoice {
    /// Creates the choice of an entry that sends nothing to other zones.
    #[must_use]
    pub fn new(terms: ZoneTerms) -> Self {
        Self { share: 0.0, stepped_at: MonotonicTime::ZERO, terms }
    }

    /// Returns the share of requests that goes to other zones, from 0 to 1.
    #[must_use]
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Returns whether the share may move again.
    #[must_use]
    pub fn is_due(&self, now: MonotonicTime) -> bool {
        now.since(self.stepped_at) >= STEP_INTERVAL
    }

    /// Moves the share towards the one at which the wait at home is as long as the wait away plus the
    /// cost of going there.
    pub fn step(&mut self, now: MonotonicTime, home: &ZoneLoad, away: &ZoneLoad) {
        if !self.is_due(now) {
            return;
        }
        self.stepped_at = now;
        let demand = (home.load / (1.0 - self.share)).max(1.0);
        let wanted = self.share + self.surplus(home, away, demand) / demand;
        let step = ((wanted - self.share) * STEP_PART).clamp(-MAX_STEP, MAX_STEP);
        self.share = (self.share + step).clamp(0.0, MAX_SHARE);
    }

    /// Returns how many more requests should be away than now, negative if fewer.
    fn surplus(&self, home: &ZoneLoad, away: &ZoneLoad, demand: f64) -> f64 {
        let cost = self.terms.cost().as_secs_f64() * 1_000.0;
        let gain = |moved: f64| home.expected_wait_ms(-moved) - away.expected_wait_ms(moved) - cost;
        let (mut low, mut high) = (-self.share * demand, home.load);
        if gain(low) <= 0.0 {
            return low;
        }
        // The gain falls with the number of requests that move, so it is zero in one place at most.
        for _ in 0..20 {
            let middle = f64::midpoint(low, high);
            if gain(middle) > 0.0 {
                low = middle;
            } else {
                high = middle;
            }
        }
        low
    }
}
