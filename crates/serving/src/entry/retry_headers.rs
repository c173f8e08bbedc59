//! The header that tells a refused caller when to retry.

use std::time::Duration;

use http::HeaderMap;
use http::HeaderValue;
use http::header::RETRY_AFTER;

/// Returns headers with `Retry-After` in seconds, with three decimals.
pub(crate) fn retry_headers(retry_after: Duration) -> HeaderMap {
    let mut headers = HeaderMap::new();
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        headers.insert(RETRY_AFTER, value);
    }
    headers
}
