//! Bounds retries to a share of the requests that succeed.

/// Retry credit earned by one success.
const CREDIT_PER_SUCCESS: f64 = 0.1;

/// Credit that can be saved up.
const MAX_CREDIT: f64 = 100.0;

/// Credit at the start, so that a quiet entry can retry too.
const INITIAL_CREDIT: f64 = 10.0;

/// Credit for retries, earned by successes.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    credit: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { credit: INITIAL_CREDIT }
    }
}

impl RetryBudget {
    /// Earns credit for a request that succeeded.
    pub fn record_success(&mut self) {
        self.credit = (self.credit + CREDIT_PER_SUCCESS).min(MAX_CREDIT);
    }

    /// Spends credit for one retry; tells whether there was enough.
    #[must_use]
    pub fn try_spend(&mut self) -> bool {
        if self.credit < 1.0 {
            return false;
        }
        self.credit -= 1.0;
        true
    }
}
