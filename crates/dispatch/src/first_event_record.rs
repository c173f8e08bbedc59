//! How much of their objective the requests of a service need until their first event, by which an
//! entry decides how much the pace of targets matters.
//!
//! Answers the load of a service whose first events come long before the objective at any target.
//! Online requests that prefer the fast targets there gain nothing, and leave the slow ones to batch
//! items, which are due at a fixed time.

use std::time::Duration;

/// Change of the learned share by one request.
const STEP: f64 = 0.02;

/// Part of the requests whose share lies below the learned one. Few of them have waited for a slot,
/// and waiting says nothing about how fast a target is.
const QUANTILE: f64 = 0.2;

/// Share of the objective up to which the pace does not matter, and that from which on it matters
/// fully: the slowest targets, at 2.4 times the usual time, then need all of the objective.
const SHARES: (f64, f64) = (0.2, 0.4);

/// Share of the objective until the first event of requests that find a slot at once.
#[derive(Clone, Copy, Debug, Default)]
pub struct FirstEventRecord {
    /// A low quantile of the shares; `None` before the first request.
    share: Option<f64>,
}

impl FirstEventRecord {
    /// Records the time from a request's arrival until its first event.
    pub fn record(&mut self, time: Duration, objective: Duration) {
        let share = time.as_secs_f64() / objective.as_secs_f64().max(0.001);
        let learned = self.share.get_or_insert(share);
        if share > *learned {
            *learned += STEP * QUANTILE;
        } else if share < *learned {
            *learned -= STEP * (1.0 - QUANTILE);
        }
    }

    /// Returns how much the pace of targets matters, from 0 to 1.
    #[must_use]
    pub fn pace_weight(&self) -> f64 {
        let weight = |share: f64| ((share - SHARES.0) / (SHARES.1 - SHARES.0)).clamp(0.0, 1.0);
        self.share.map_or(1.0, weight)
    }
}
