//! What the headers of a request say about it.

use std::time::Duration;

use cv_http::ServerExchange;
use cv_policy::HybridTimestamp;
use cv_policy::RequestKey;
use cv_policy::WorkClass;
use cv_policy::headers;

/// Time for an answer where the headers name none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// The labels that an entry puts on a request.
#[derive(Clone, Debug)]
pub(crate) struct MessageLabels {
    pub attempt: u32,
    pub class: WorkClass,
    pub clock: Option<HybridTimestamp>,
    /// Time left for the whole answer.
    pub deadline: Duration,
    pub key: RequestKey,
    /// Wall-clock time after which the request must not start, in milliseconds.
    pub not_after_ms: Option<u64>,
    pub organisation: String,
    pub repeatable: bool,
    pub request_id: String,
    pub weight: u32,
}

impl MessageLabels {
    /// Reads the labels; what is missing gets the careful value.
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
