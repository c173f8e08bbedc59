//! Rate limit for one process's calls to the key-value service, by purpose.

use std::cell::RefCell;
use std::time::Instant;

/// Purposes of calls, the most urgent first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum CallPurpose {
    /// Acquiring and renewing the instance's lease.
    Lease,
    /// Committing results and job states.
    Commit,
    /// Accepting and reading jobs.
    Job,
    /// Reading and changing the configuration.
    Config,
}

impl CallPurpose {
    /// Returns the share of the bucket that calls for this purpose leave to more urgent ones.
    fn reserved_share(self) -> f64 {
        match self {
            Self::Lease => 0.0,
            Self::Commit => 0.1,
            Self::Job => 0.3,
            Self::Config => 0.4,
        }
    }
}

/// A token bucket that reserves tokens for urgent purposes.
#[derive(Debug)]
pub struct CallBudget {
    /// Tokens added per second, and the capacity of the bucket.
    rate: f64,
    /// Tokens in the bucket, and when they were last counted.
    state: RefCell<(f64, Instant)>,
}

impl CallBudget {
    /// Creates a full bucket that holds the calls of one second.
    #[must_use]
    pub fn new(calls_per_second: u32) -> Self {
        let rate = f64::from(calls_per_second);
        Self { rate, state: RefCell::new((rate, Instant::now())) }
    }

    /// Takes a token for one call; returns whether enough tokens were left for the purpose.
    #[must_use]
    pub fn try_take(&self, purpose: CallPurpose) -> bool {
        let mut state = self.state.borrow_mut();
        let added = state.1.elapsed().as_secs_f64() * self.rate;
        state.1 = Instant::now();
        state.0 = (state.0 + added).min(self.rate);
        if state.0 - 1.0 < self.rate * purpose.reserved_share() {
            return false;
        }
        state.0 -= 1.0;
        true
    }
}
