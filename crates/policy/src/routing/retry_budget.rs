//! Limits retries to a share of the successful requests.

/// Retry credit earned by one success.
const CREDIT_PER_SUCCESS: f64 = 0.1;

/// Maximum credit that can accumulate.
const MAX_CREDIT: f64 = 100.0;

/// Initial credit, so that an entry with little traffic can retry too.
const INITIAL_CREDIT: f64 = 10.0;

/// Credit for retries, earned by successful requests.
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
    /// Adds the credit of one successful request.
    pub fn record_success(&mut self) {
        self.credit = (self.credit + CREDIT_PER_SUCCESS).min(MAX_CREDIT);
    }

    /// Spends the credit of one retry. Returns `false` if there is not enough.
    #[must_use]
    pub fn try_spend(&mut self) -> bool {
        if self.credit < 1.0 {
            return false;
        }
        self.credit -= 1.0;
        true
    }
}
