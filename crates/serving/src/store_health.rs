//! Tracks whether the coordination store responds to this process.

use std::cell::Cell;
use std::time::Duration;

use cv_dispatch::ContactHistory;
use cv_policy::MonotonicTime;
use cv_timeline::EventKind;
use cv_timeline::LineLog;
use cv_timeline::LinePriority;
use cv_timer::ProcessClock;
use tokio::sync::Notify;

use crate::StoreFault;

/// Consecutive failures after which the store counts as down.
const FAILURES_UNTIL_DOWN: u32 = 2;

/// Time after a failure in which others count as part of it: a store that loses its history resets
/// all watches at the same moment and goes on responding.
const BURST_TIME: Duration = Duration::from_millis(25);

/// Time without a response after which a store that was down may have lost what watches that survived
/// should have told.
const MIN_OUTAGE: Duration = Duration::from_secs(1);

/// Longest time between two responses in which the store counts as responding.
const MAX_RESPONSE_GAP: Duration = Duration::from_secs(1);

/// Records the successes and failures of calls to the store.
#[derive(Debug)]
pub struct StoreHealth {
    clock: ProcessClock,
    failures: Cell<u32>,
    /// Whether changes may have been missed since the last response.
    has_missed_changes: Cell<bool>,
    history: Cell<ContactHistory>,
    /// When the last call failed, also if that concerned this process alone.
    burst_failure: Cell<Option<MonotonicTime>>,
    last_success: Cell<Option<MonotonicTime>>,
    log: LineLog,
    /// Time between all responses that followed each other without a failure.
    responding_time: Cell<Duration>,
    /// Notified when a call succeeds.
    recovered: Notify,
    /// Number of times that the store came back after changes may have been missed.
    returns: Cell<u64>,
}

impl StoreHealth {
    /// Creates a tracker that has seen no call; the store counts as up.
    #[must_use]
    pub fn new(clock: ProcessClock, log: LineLog) -> Self {
        Self {
            clock,
            failures: Cell::new(0),
            has_missed_changes: Cell::new(false),
            history: Cell::default(),
            burst_failure: Cell::default(),
            last_success: Cell::default(),
            log,
            responding_time: Cell::default(),
            recovered: Notify::new(),
            returns: Cell::new(0),
        }
    }

    /// Records the result of a call and returns it unchanged.
    ///
    /// # Errors
    /// The fault of the call itself.
    pub fn observe<T>(&self, result: Result<T, StoreFault>) -> Result<T, StoreFault> {
        match &result {
            Ok(_) | Err(StoreFault::Compacted) => self.record_success(),
            Err(StoreFault::Invalid(detail)) => log::error!("the store rejected a call: {detail}"),
            Err(fault) => self.record_failure(fault),
        }
        result
    }

    /// Returns whether the store responds to this process.
    #[must_use]
    pub fn is_up(&self) -> bool {
        self.failures.get() < FAILURES_UNTIL_DOWN
    }

    /// Returns whether the store is up and the last successful call ended less than `time` ago.
    #[must_use]
    pub fn has_answered_within(&self, time: Duration) -> bool {
        self.is_up() && self.time_since_success().is_some_and(|elapsed| elapsed < time)
    }

    /// Resolves when the store is up. It makes no call of its own, so another call has to succeed
    /// first.
    pub async fn wait_until_up(&self) {
        loop {
            let recovered = self.recovered.notified();
            if self.is_up() {
                return;
            }
            recovered.await;
        }
    }

    /// Returns how often the store came back after changes may have been missed.
    #[must_use]
    pub fn returns(&self) -> u64 {
        self.returns.get()
    }

    /// Resolves when the store has come back more than `returns` times.
    pub async fn wait_for_return(&self, returns: u64) {
        loop {
            let recovered = self.recovered.notified();
            if self.returns.get() > returns {
                return;
            }
            recovered.await;
        }
    }

    /// Records that watches may not have told of all changes, or that what they told was replaced, so that
    /// the next response counts as a return of the store.
    pub fn record_missed_changes(&self) {
        self.has_missed_changes.set(true);
    }

    /// Returns the time since the last successful call, or `None` if there was none.
    #[must_use]
    pub fn time_since_success(&self) -> Option<Duration> {
        self.last_success.get().map(|time| self.clock.now().since(time))
    }

    /// Returns the time for which the store has responded so far, without that around failures.
    #[must_use]
    pub fn responding_time(&self) -> Duration {
        self.responding_time.get()
    }

    /// Returns the time of the last failed call, or `None` if there was none, or all of late concerned
    /// this process alone.
    #[must_use]
    pub fn last_failure(&self) -> Option<MonotonicTime> {
        self.history.get().last_failure()
    }

    /// Returns whether calls have failed of late.
    #[must_use]
    pub fn has_failed_recently(&self) -> bool {
        self.history.get().failing_time(self.clock.now()).is_some()
    }

    /// Returns the time for which the store has responded to each call, or `None` if it does not.
    #[must_use]
    pub fn contact_time(&self) -> Option<Duration> {
        self.history.get().contact_time(self.clock.now())
    }

    /// Forgets the recent failures if a peer that has had contact for `peer_contact` shows that they
    /// concerned this process alone; returns the time of the last one then.
    pub fn forget_own_failures(&self, peer_contact: Duration) -> Option<MonotonicTime> {
        let now = self.clock.now();
        self.update_history(|history| history.forget_own_failures(now, peer_contact))
    }

    /// Updates the history of the calls.
    fn update_history<T>(&self, update: impl FnOnce(&mut ContactHistory) -> T) -> T {
        let mut history = self.history.get();
        let result = update(&mut history);
        self.history.set(history);
        result
    }

    /// Records a call that the store has responded to.
    fn record_success(&self) {
        if !self.is_up() {
            if self.time_since_success().is_some_and(|time| time >= MIN_OUTAGE) {
                self.record_missed_changes();
            }
            self.log.record(
                LinePriority::Essential,
                EventKind::DependencyRegained,
                "store",
                || format!("failures={}", self.failures.get()),
            );
        }
        if self.has_missed_changes.replace(false) {
            self.returns.set(self.returns.get() + 1);
        }
        self.failures.set(0);
        let now = self.clock.now();
        if let Some(previous) = self.last_success.replace(Some(now))
            && self.burst_failure.get().is_none_or(|failure| failure <= previous)
        {
            let added = now.since(previous).min(MAX_RESPONSE_GAP);
            self.responding_time.set(self.responding_time.get() + added);
        }
        self.update_history(|history| history.record_success(now));
        self.recovered.notify_waiters();
    }

    /// Records a call that the store has not responded to, or whose outcome is unknown.
    fn record_failure(&self, fault: &StoreFault) {
        let now = self.clock.now();
        let last_failure = self.burst_failure.replace(Some(now));
        self.update_history(|history| history.record_failure(now));
        let is_same_burst = last_failure.is_some_and(|time| now.since(time) < BURST_TIME);
        if is_same_burst && self.failures.get() > 0 {
            return;
        }
        self.failures.set(self.failures.get().saturating_add(1));
        if self.failures.get() == FAILURES_UNTIL_DOWN {
            self.log.record(LinePriority::Essential, EventKind::DependencyLost, "store", || {
                fault.to_string()
            });
        }
    }
}
