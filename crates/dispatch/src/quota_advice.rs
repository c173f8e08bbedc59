//! Advice to callers that are over their quota.
//!
//! Answers the load of a customer far above its quota, whose rejected callers all retry: they come
//! back spread over a time, when there is credit again.

use std::time::Duration;

/// Share of the time until the deadline that the delay may take; callers ignore a longer one.
const MAX_DELAY_SHARE: f64 = 0.33;

/// Shortest time over which retries are spread.
const MIN_SPREAD: Duration = Duration::from_millis(400);

/// Multiple of the wait over which retries are spread, since other requests take the first credit.
const SPREAD_FACTOR: u32 = 3;

/// Returns the delay after which a caller without credit should retry.
///
/// `wait` is the time until there is credit again, `left` that until the caller's deadline; `jitter`
/// in 0..1 spreads the retries.
#[must_use]
pub fn quota_retry_delay(wait: Duration, left: Duration, jitter: f64) -> Duration {
    let longest = left.mul_f64(MAX_DELAY_SHARE);
    let shortest = wait.min(longest);
    let spread = (wait * SPREAD_FACTOR).max(MIN_SPREAD).min(longest.saturating_sub(shortest));
    shortest + spread.mul_f64(jitter)
}
