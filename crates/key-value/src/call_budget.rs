//! Shares one process's calls to the key-value service between purposes.

use std::cell::RefCell;
use std::time::Instant;

/// What a call is for, the most urgent first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum CallPurpose {
    /// Keeping the instance's lease.
    Lease,
    /// Committing results and job states.
    Commit,
    /// Accepting and reading jobs.
    Job,
    /// Reading and changing the configuration.
    Config,
}

impl CallPurpose {
    /// Share of the credit that calls for less urgent purposes have to leave.
    fn reserved(self) -> f64 {
        match self {
            Self::Lease => 0.0,
            Self::Commit => 0.1,
            Self::Job => 0.3,
            Self::Config => 0.4,
        }
    }
}

/// A token bucket from which urgent purposes may take more.
#[derive(Debug)]
pub struct CallBudget {
    rate: f64,
    state: RefCell<(f64, Instant)>,
}

impl CallBudget {
    /// Creates a budget of so many calls a second, a second's worth saved up.
    #[must_use]
    pub fn new(calls_per_second: u32) -> Self {
        let rate = f64::from(calls_per_second);
        Self { rate, state: RefCell::new((rate, Instant::now())) }
    }

    /// Takes one call's credit; tells whether there was enough for the purpose.
    #[must_use]
    pub fn try_take(&self, purpose: CallPurpose) -> bool {
        let mut state = self.state.borrow_mut();
        let earned = state.1.elapsed().as_secs_f64() * self.rate;
        state.1 = Instant::now();
        state.0 = (state.0 + earned).min(self.rate);
        if state.0 - 1.0 < self.rate * purpose.reserved() {
            return false;
        }
        state.0 -= 1.0;
        true
    }
}
