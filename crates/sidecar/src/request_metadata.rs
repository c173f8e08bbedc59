//! Request metadata in the internal headers.

use std::time::Duration;

use cv_http::ServerExchange;
use cv_policy::HybridTimestamp;
use cv_policy::RequestKey;
use cv_policy::WorkClass;
use cv_policy::headers;

/// Deadline of a request whose headers give none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// Metadata that an entry sends in a request's headers.
#[derive(Clone, Debug)]
pub(crate) struct RequestMetadata {
    /// Number of the attempt, counted from 1.
    pub attempt: u32,
    /// Whether the request is online or batch work.
    pub class: WorkClass,
    /// Timestamp of the entry's hybrid logical clock.
    pub clock: Option<HybridTimestamp>,
    /// Time left for the complete response.
    pub deadline: Duration,
    /// Key derived from the organisation and the request id.
    pub key: RequestKey,
    /// Wall-clock time after which the request must not start, in milliseconds since the Unix
    /// epoch.
    pub not_after_ms: Option<u64>,
    /// Organisation that the request is accounted to.
    pub organisation: String,
    /// Whether the request may safely run more than once.
    pub repeatable: bool,
    /// The request's id.
    pub request_id: String,
    /// The organisation's fair-queueing weight.
    pub weight: u32,
}

impl RequestMetadata {
    /// Reads the headers; missing values get conservative defaults.
    pub fn read(exchange: &ServerExchange<'_>) -> Self {
        let text = |name| exchange.header(name).unwrap_or_default().to_owned();
        let number = |name| exchange.header(name).and_then(|value| value.parse::<u64>().ok());
        let organisation = text(headers::ORGANISATION);
        let request_id = text(headers::REQUEST_ID);
        let class = match exchange.header(headers::CLASS) {
            Some("batch") => WorkClass::Batch,
            _ => WorkClass::Online,
        };
        Self {
            attempt: number(headers::ATTEMPT).unwrap_or(1) as u32,
            class,
            clock: exchange.header(headers::CLOCK).and_then(HybridTimestamp::decode),
            deadline: number(headers::DEADLINE_MS).map_or(DEFAULT_DEADLINE, Duration::from_millis),
            key: RequestKey::derive(&organisation, &request_id),
            not_after_ms: number(headers::NOT_AFTER_MS),
            organisation,
            repeatable: exchange.header(headers::REPEATABLE) == Some("true"),
            request_id,
            weight: number(headers::WEIGHT).unwrap_or(1).clamp(1, 1_000) as u32,
        }
    }
}
