//! A keeper's limiter for one customer.
//!
//! Answers the load of many entries that ask for credit of the same customer, also where the keeper
//! has just restarted, was suspended, or entries know the customer's quota by different versions of
//! the configuration. A quota is what a sliding window may hold, so a customer whose load jumps may
//! spend most of a window's requests within seconds: a token bucket limits how fast, and the record
//! of the window how many.

use std::time::Duration;

use cv_policy::MonotonicTime;

use crate::CreditTerms;
use crate::grant_window::GrantWindow;

/// Time for which the smallest rate that entries name under one version applies.
///
/// Entries that know different keepers name different parts of the quota. As long as both are heard
/// the smaller one applies, so that the parts never add up to more than the quota.
const SMALLEST_RATE_TIME: Duration = Duration::from_secs(2);

/// Share of the credit beyond one request that one entry may get at once, so that the next entry
/// finds some too.
const MAX_BATCH_SHARE: f64 = 0.5;

/// Smallest rate, in requests a second, by which a wait is computed.
const MIN_RATE: f64 = 0.01;

/// Seconds of its rate that a bucket holds beside its burst. The window limits the requests of 5 s
/// anyway; less would reject a jump of the load that the window allows.
const EXTRA_SECONDS: f64 = 1.5;

/// Seconds of the rate in a window, and the factor by which it may exceed the quota: shards reject some
/// requests that a central limit would let pass, and the bound allows 10%.
const WINDOW_SECONDS: f64 = 5.0;
const WINDOW_FACTOR: f64 = 1.03;

/// Share of its rate at which a bucket fills as long as this process does not know all grants of the
/// window: the process before it may have granted a full bucket.
const FIRST_WINDOW_SHARE: f64 = 0.7;

/// What a keeper grants.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CreditGrant {
    /// Requests that may be sent.
    pub granted: u32,
    /// Without a grant, the time until there is credit again.
    pub wait: Duration,
}

/// A token bucket that starts empty at the start of the process, and the window of its grants.
#[derive(Clone, Debug)]
pub struct CreditBucket {
    /// What has been granted in the last window.
    grants: GrantWindow,
    /// Since when this process knows all grants of the shard.
    known_since: MonotonicTime,
    /// When the current terms were last named.
    named_at: MonotonicTime,
    terms: CreditTerms,
    /// Requests that may be granted at `updated_at`.
    tokens: f64,
    updated_at: MonotonicTime,
}

impl CreditBucket {
    /// Creates the bucket of a customer that asks for the first time since the process started.
    ///
    /// It holds what has come since then or, if the shard has just moved here, since the sender's
    /// keepers changed: another keeper may have granted the burst before.
    #[must_use]
    pub fn new(now: MonotonicTime, started_at: MonotonicTime, terms: CreditTerms) -> Self {
        let known_for = now.since(started_at).min(Duration::from_secs_f64(terms.steady_s));
        let filled = known_for.as_secs_f64() * terms.rate_per_s;
        Self {
            grants: GrantWindow::default(),
            known_since: MonotonicTime::from_micros(
                now.as_micros().saturating_sub(known_for.as_micros() as u64),
            ),
            named_at: now,
            terms,
            tokens: filled.min(terms.burst),
            updated_at: now,
        }
    }

    /// Grants credit for up to `wanted` requests to an entry that returns `returned` unused ones and
    /// knows the given terms. Without a wanted one it only takes back what is returned.
    pub fn grant(
        &mut self,
        now: MonotonicTime,
        terms: CreditTerms,
        wanted: u32,
        returned: u32,
    ) -> CreditGrant {
        self.refill(now);
        self.apply_terms(now, terms);
        self.tokens = (self.tokens + f64::from(returned)).min(self.depth(now));
        self.grants.take_back(returned);
        if wanted == 0 {
            return CreditGrant { granted: 0, wait: Duration::ZERO };
        }
        if self.tokens < 1.0 {
            let missing = 1.0 - self.tokens;
            let seconds = missing / self.terms.rate_per_s.max(MIN_RATE);
            return CreditGrant { granted: 0, wait: Duration::from_secs_f64(seconds) };
        }
        let left = window_size(self.terms) - f64::from(self.grants.granted(now));
        if left < 1.0 {
            return CreditGrant { granted: 0, wait: self.grants.next_release(now) };
        }
        let granted = 1 + wanted.saturating_sub(1).min(self.largest_batch(now, left));
        self.tokens -= f64::from(granted);
        self.grants.record(now, granted);
        CreditGrant { granted, wait: Duration::ZERO }
    }

    /// Returns whether the bucket holds no less than one that is created now.
    #[must_use]
    pub fn is_full(&self, now: MonotonicTime) -> bool {
        self.filled(now) >= self.depth(now) && self.grants.granted(now) == 0
    }

    /// Returns the credit beyond one request that an entry may get at once, if the window has room for
    /// `left` requests.
    ///
    /// An entry may not need all of it in time, so there is none once the window is half full: what
    /// expires is then missing for other requests.
    fn largest_batch(&self, now: MonotonicTime, left: f64) -> u32 {
        let is_scarce = left < window_size(self.terms) / 2.0 || self.tokens < self.depth(now) / 2.0;
        if is_scarce { 0 } else { ((self.tokens - 1.0) * MAX_BATCH_SHARE) as u32 }
    }

    /// Returns whether grants of the window that ends now may be unknown to this process.
    fn is_first_window(&self, now: MonotonicTime) -> bool {
        now.since(self.known_since) < GrantWindow::LENGTH
    }

    /// Returns the requests that the bucket holds at most.
    fn depth(&self, now: MonotonicTime) -> f64 {
        let extra_seconds = if self.is_first_window(now) { 0.0 } else { EXTRA_SECONDS };
        // A small burst says that requests are to come evenly.
        self.terms.burst + self.terms.rate_per_s.min(self.terms.burst) * extra_seconds
    }

    /// Applies the terms that an entry knows unless newer ones are known.
    fn apply_terms(&mut self, now: MonotonicTime, terms: CreditTerms) {
        let is_newer = terms.version > self.terms.version;
        let is_same_version = terms.version == self.terms.version;
        let is_smaller = terms.rate_per_s <= self.terms.rate_per_s;
        let has_lapsed = now.since(self.named_at) >= SMALLEST_RATE_TIME;
        if is_newer || (is_same_version && (is_smaller || has_lapsed)) {
            (self.terms, self.named_at) = (terms, now);
            self.tokens = self.tokens.min(self.depth(now));
        }
    }

    /// Adds the credit that time has brought.
    fn refill(&mut self, now: MonotonicTime) {
        self.tokens = self.filled(now);
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns the requests that may be granted now.
    fn filled(&self, now: MonotonicTime) -> f64 {
        let seconds = now.since(self.updated_at).as_secs_f64();
        let share = if self.is_first_window(now) { FIRST_WINDOW_SHARE } else { 1.0 };
        (self.tokens + seconds * self.terms.rate_per_s * share).min(self.depth(now))
    }
}

/// Returns the requests that may be granted in a window.
fn window_size(terms: CreditTerms) -> f64 {
    (terms.burst + terms.rate_per_s * WINDOW_SECONDS) * WINDOW_FACTOR
}
