//! Headers between the system's own processes.

use std::time::Duration;

use cv_dispatch::LoadReport;
use cv_policy::WorkClass;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;

/// Beginning of all headers that stay between the system's own processes.
const OWN_PREFIX: &str = "cv-";

/// Class of work: `online` or `batch`.
const CLASS: HeaderName = HeaderName::from_static("cv-class");

/// Online: longest expected wait with which the queue is entered. Batch: time until the item is due. Both in milliseconds.
const PATIENCE: HeaderName = HeaderName::from_static("cv-patience-ms");

/// Time that a batch item is expected to run, in milliseconds.
const RUN: HeaderName = HeaderName::from_static("cv-run-ms");

/// Time that an online request stays in the queue, in milliseconds.
const STAY: HeaderName = HeaderName::from_static("cv-stay-ms");

/// Requests that the target runs at once, by its entry in the directory.
const SLOTS: HeaderName = HeaderName::from_static("cv-slots");

/// What a sidecar says of a request that gets no answer of the target.
const VERDICT: HeaderName = HeaderName::from_static("cv-verdict");

/// The word of a sidecar for a request that has not been handed over.
const NOT_RUN: &str = "not_run";

/// The word of a sidecar for a request that may have run.
const UNKNOWN: &str = "unknown";

/// Datagram to a sidecar whose target takes new requests, by the sender's directory.
pub(crate) const TARGET_READY: &[u8] = &[0];

/// Datagram to a sidecar whose target is leaving or gone, by the sender's directory.
pub(crate) const TARGET_LEAVES: &[u8] = &[1];

/// The sidecar's word on a request without an answer of the target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SidecarVerdict {
    /// It has not been handed to the target and will not be.
    NotRun,
    /// It may have run.
    Unknown,
}

/// How a request is to be queued at a sidecar.
#[derive(Clone, Copy, Debug)]
pub struct QueueOptions {
    /// The class of work.
    pub class: WorkClass,
    /// Online: longest expected wait with which the queue is entered. Batch: time until the item is due.
    pub wait_budget: Duration,
    /// Time that a batch item is expected to run.
    pub expected_run: Duration,
    /// Requests that the target runs at once, or 0 if that is not known.
    pub slots: u32,
    /// Time that an online request stays in the queue.
    pub queue_timeout: Duration,
}

impl QueueOptions {
    /// Adds the terms to the headers of an attempt.
    pub fn write(self, headers: &mut HeaderMap) {
        let class = match self.class {
            WorkClass::Online => "online",
            WorkClass::Batch => "batch",
        };
        headers.insert(CLASS, HeaderValue::from_static(class));
        headers.insert(PATIENCE, HeaderValue::from(self.wait_budget.as_millis() as u64));
        headers.insert(RUN, HeaderValue::from(self.expected_run.as_millis() as u64));
        headers.insert(SLOTS, HeaderValue::from(self.slots));
        headers.insert(STAY, HeaderValue::from(self.queue_timeout.as_millis() as u64));
    }

    /// Reads the terms of an attempt; one without them is an online request that will not wait.
    #[must_use]
    pub fn read(headers: &HeaderMap) -> Self {
        let is_batch = headers.get(CLASS).is_some_and(|value| value == "batch");
        let class = if is_batch { WorkClass::Batch } else { WorkClass::Online };
        let number = |name| headers.get(name).and_then(|value| value.to_str().ok()?.parse().ok());
        let patience = Duration::from_millis(number(PATIENCE).unwrap_or(0));
        let stay = Duration::from_millis(number(STAY).unwrap_or(0));
        let run = Duration::from_millis(number(RUN).unwrap_or(0));
        Self {
            class,
            wait_budget: patience,
            expected_run: run,
            slots: number(SLOTS).unwrap_or(0) as u32,
            queue_timeout: stay,
        }
    }
}

impl SidecarVerdict {
    /// Adds the verdict to an answer.
    pub fn write(self, headers: &mut HeaderMap) {
        let word = match self {
            Self::NotRun => NOT_RUN,
            Self::Unknown => UNKNOWN,
        };
        headers.insert(VERDICT, HeaderValue::from_static(word));
    }

    /// Reads the verdict of an answer, if the sidecar gave it itself.
    #[must_use]
    pub fn read(headers: &HeaderMap) -> Option<Self> {
        let word = headers.get(VERDICT)?;
        Some(if word == NOT_RUN { Self::NotRun } else { Self::Unknown })
    }
}

/// Removes the headers that stay between the system's own processes.
pub fn strip_internal_headers(headers: &mut HeaderMap) {
    let own = headers.keys().filter(|name| name.as_str().starts_with(OWN_PREFIX));
    let own: Vec<HeaderName> = own.cloned().collect();
    for name in own {
        headers.remove(name);
    }
}

/// Writes a queue's reading as one datagram.
#[must_use]
pub fn encode_load_report(reading: &LoadReport) -> [u8; 5] {
    let byte = |count: u32| u8::try_from(count).unwrap_or(u8::MAX);
    [
        byte(reading.batch_running),
        byte(reading.batch_waiting),
        byte(reading.online_running),
        byte(reading.online_waiting),
        byte(reading.slots),
    ]
}

/// Reads a queue's reading from a datagram.
#[must_use]
pub fn decode_load_report(datagram: &[u8]) -> Option<LoadReport> {
    let [batch_running, batch_waiting, online_running, online_waiting, slots] = datagram else {
        return None;
    };
    Some(LoadReport {
        batch_running: (*batch_running).into(),
        batch_waiting: (*batch_waiting).into(),
        online_running: (*online_running).into(),
        online_waiting: (*online_waiting).into(),
        slots: (*slots).into(),
    })
}

/// Removes the headers that concern one connection only.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    for name in [
        "connection",
        "expect",
        "keep-alive",
        "transfer-encoding",
        "content-length",
        "te",
        "trailer",
    ] {
        headers.remove(name);
    }
}
