//! When the store has responded to a process, and whether a failure concerned this process alone.

use std::time::Duration;

use cv_policy::MonotonicTime;

/// Time without a failure after which the next one begins anew; longer than instances take to register
/// again.
const FAILURE_MEMORY: Duration = Duration::from_secs(4);

/// Time without a successful call that ends the contact. Each watch makes a call at least every 0.9 s, so
/// a process that makes none was stopped or had no connection, and cannot know what happened meanwhile.
const MAX_CALL_GAP: Duration = Duration::from_secs(2);

/// The successes and failures of a process's calls to the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct ContactHistory {
    /// Since when each call has succeeded, without a gap between calls.
    contact_since: Option<MonotonicTime>,
    /// When the first of the recent failures happened.
    failing_since: Option<MonotonicTime>,
    /// When the last call ended, with or without a response.
    last_call: Option<MonotonicTime>,
    last_failure: Option<MonotonicTime>,
    last_success: Option<MonotonicTime>,
}

impl ContactHistory {
    /// Records a call that the store has responded to.
    pub fn record_success(&mut self, now: MonotonicTime) {
        self.record_call(now);
        let has_gap = self.last_success.is_none_or(|time| now.since(time) > MAX_CALL_GAP);
        if has_gap || self.contact_since.is_none() {
            self.contact_since = Some(now);
        }
        self.last_success = Some(now);
    }

    /// Records a call that the store has not responded to.
    pub fn record_failure(&mut self, now: MonotonicTime) {
        self.record_call(now);
        if self.last_failure.is_none_or(|time| now.since(time) >= FAILURE_MEMORY) {
            self.failing_since = Some(now);
        }
        self.last_failure = Some(now);
        self.contact_since = None;
    }

    /// Records that a call has ended. A time without any counts as a failure: the store may have failed
    /// for all meanwhile.
    fn record_call(&mut self, now: MonotonicTime) {
        let Some(last_call) = self.last_call.replace(now) else {
            return;
        };
        if now.since(last_call) <= MAX_CALL_GAP {
            return;
        }
        if self.last_failure.is_none_or(|time| last_call.since(time) >= FAILURE_MEMORY) {
            self.failing_since = Some(last_call);
        }
        self.last_failure = Some(now);
    }

    /// Returns for how long the store has responded to each call, or `None` if it does not.
    #[must_use]
    pub fn contact_time(&self, now: MonotonicTime) -> Option<Duration> {
        let is_current = self.last_success.is_some_and(|time| now.since(time) <= MAX_CALL_GAP);
        self.contact_since.filter(|_| is_current).map(|since| now.since(since))
    }

    /// Returns the time of the last failure, or `None` if there was none or it has been forgotten.
    #[must_use]
    pub fn last_failure(&self) -> Option<MonotonicTime> {
        self.last_failure
    }

    /// Returns the time since the recent failures began, or `None` if there were none of late.
    #[must_use]
    pub fn failing_time(&self, now: MonotonicTime) -> Option<Duration> {
        let is_recent = self.last_failure.is_some_and(|time| now.since(time) < FAILURE_MEMORY);
        self.failing_since.filter(|_| is_recent).map(|since| now.since(since))
    }

    /// Forgets the recent failures if a peer that has had contact for `peer_contact` shows that they
    /// concerned this process alone; returns the time of the last one then.
    pub fn forget_own_failures(
        &mut self,
        now: MonotonicTime,
        peer_contact: Duration,
    ) -> Option<MonotonicTime> {
        self.failing_time(now).filter(|failing_time| peer_contact > *failing_time)?;
        self.failing_since = None;
        self.last_failure.take()
    }
}
