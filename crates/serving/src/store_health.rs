//! What this process believes of its link to the coordination store.

use std::cell::Cell;
use std::time::Duration;

use cv_policy::MonotonicTime;
use cv_timeline::EventKind;
use cv_timeline::LineLog;
use cv_timeline::LineWeight;
use cv_timer::ProcessClock;
use tokio::sync::Notify;

use crate::StoreFault;

/// Failures in a row after which the link counts as lost.
const FAILURES_TO_LOSE: u32 = 2;

/// Notes the success and failure of calls to the store.
#[derive(Debug)]
pub struct StoreHealth {
    clock: ProcessClock,
    failures: Cell<u32>,
    last_failure: Cell<Option<MonotonicTime>>,
    last_success: Cell<Option<MonotonicTime>>,
    log: LineLog,
    /// Told when the store answers again.
    regained: Notify,
}

impl StoreHealth {
    /// Creates a link that no call has been made over.
    #[must_use]
    pub fn new(clock: ProcessClock, log: LineLog) -> Self {
        let (last_failure, last_success) = (Cell::default(), Cell::default());
        let (failures, regained) = (Cell::new(0), Notify::new());
        Self { clock, failures, last_failure, last_success, log, regained }
    }

    /// Takes the result of a call and passes it on.
    ///
    /// # Errors
    /// Those of the call.
    pub fn observe<T>(&self, result: Result<T, StoreFault>) -> Result<T, StoreFault> {
        match &result {
            Ok(_) | Err(StoreFault::Compacted) => self.record_success(),
            Err(StoreFault::Invalid(detail)) => log::error!("the store refuses a call: {detail}"),
            Err(fault) => self.record_failure(fault),
        }
        result
    }

    /// Tells whether the store answers this process.
    #[must_use]
    pub fn is_up(&self) -> bool {
        self.failures.get() < FAILURES_TO_LOSE
    }

    /// Tells whether the store answers this process and has done so within a time.
    #[must_use]
    pub fn has_answered_within(&self, time: Duration) -> bool {
        self.is_up() && self.time_since_success().is_some_and(|silence| silence < time)
    }

    /// Resolves when the store answers this process, which others of its calls find out.
    pub async fn wait_until_up(&self) {
        loop {
            let regained = self.regained.notified();
            if self.is_up() {
                return;
            }
            regained.await;
        }
    }

    /// Returns the time since the last successful call, if there was one.
    #[must_use]
    pub fn time_since_success(&self) -> Option<Duration> {
        self.last_success.get().map(|time| self.clock.now().since(time))
    }

    /// Returns when a call last failed.
    #[must_use]
    pub fn last_failure(&self) -> Option<MonotonicTime> {
        self.last_failure.get()
    }

    /// Notes an answer.
    fn record_success(&self) {
        if !self.is_up() {
            self.log.record(LineWeight::Essential, EventKind::DependencyRegained, "store", || {
                format!("failures={}", self.failures.get())
            });
        }
        self.failures.set(0);
        self.last_success.set(Some(self.clock.now()));
        self.regained.notify_waiters();
    }

    /// Notes a call without a useful answer.
    fn record_failure(&self, fault: &StoreFault) {
        self.failures.set(self.failures.get().saturating_add(1));
        self.last_failure.set(Some(self.clock.now()));
        if self.failures.get() == FAILURES_TO_LOSE {
            self.log.record(LineWeight::Essential, EventKind::DependencyLost, "store", || {
                fault.to_string()
            });
        }
    }
}
