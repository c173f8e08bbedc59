//! Headers and datagrams that the system's own processes exchange.

use std::net::SocketAddr;
use std::time::Duration;

use cv_dispatch::CustomerId;
use cv_dispatch::EngineCondition;
use cv_dispatch::LoadReport;
use cv_dispatch::RequestCaller;
use cv_dispatch::RequestDigest;
use cv_dispatch::RequestRank;
use cv_dispatch::ReservationId;
use cv_dispatch::ShareKey;
use cv_policy::WorkClass;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;

/// Version of the configuration by which an entry has routed a job's submission.
const CONFIG_VERSION: HeaderName = HeaderName::from_static("cv-config-version");

/// Marks a submission that a keeper only confirms if it has accepted the job before.
const CONFIRMATION: HeaderName = HeaderName::from_static("cv-confirmation");

/// Name of the customer whose key a call about a job carried, as the entry has identified it.
const CUSTOMER: HeaderName = HeaderName::from_static("cv-customer");

/// Marks a call about a job whose caller needs no key and has none.
const ANONYMOUS: HeaderName = HeaderName::from_static("cv-anonymous");

/// Address from which the keeper that sends an item sends its datagrams.
const KEEPER: HeaderName = HeaderName::from_static("cv-keeper");

/// Prefix of all headers that only the system's own processes exchange.
const INTERNAL_PREFIX: &str = "cv-";

/// Work class: `online` or `batch`.
const CLASS: HeaderName = HeaderName::from_static("cv-class");

/// Online: longest expected wait at which the request enters the queue. Batch: time until the item
/// is due. Both in milliseconds.
const WAIT_BUDGET: HeaderName = HeaderName::from_static("cv-patience-ms");

/// Expected run time of a batch item, in milliseconds.
const EXPECTED_RUN: HeaderName = HeaderName::from_static("cv-run-ms");

/// Longest time for which an online request stays in the queue, in milliseconds.
const QUEUE_TIMEOUT: HeaderName = HeaderName::from_static("cv-stay-ms");

/// Time in which an online request has to start to meet its latency objective, in milliseconds.
const OBJECTIVE_LEFT: HeaderName = HeaderName::from_static("cv-objective-ms");

/// Requests that the target runs at once, according to its registration.
const SLOTS: HeaderName = HeaderName::from_static("cv-slots");

/// Id of the reservation by which the request's slot is kept free.
const RESERVATION: HeaderName = HeaderName::from_static("cv-reservation");

/// Rank of the request: the customer's priority and the route's, separated by a dot.
const RANK: HeaderName = HeaderName::from_static("cv-rank");

/// Id of the request's customer.
const CUSTOMER_ID: HeaderName = HeaderName::from_static("cv-customer-id");

/// A sidecar's verdict on a request that gets no response from the target.
const VERDICT: HeaderName = HeaderName::from_static("cv-verdict");

/// Verdict on a request that has not been handed over to the target.
const NOT_RUN: &str = "not_run";

/// Verdict on a request that has not been handed over because a subject of it is in quarantine.
const QUARANTINED: &str = "quarantined";

/// Marks a request that is the trial of a quarantine.
const TRIAL: HeaderName = HeaderName::from_static("cv-trial");

/// Digest of an online request.
const DIGEST: HeaderName = HeaderName::from_static("cv-request-digest");

/// Verdict on a request that may have run.
const UNKNOWN: &str = "unknown";

/// Comment in a stream of events by which a sidecar shows that an item still waits at it.
pub(crate) const WAITING_COMMENT: &[u8] = b": waiting\n\n";

/// Datagram to a sidecar whose target is ready for new requests, in the sender's view.
pub(crate) const TARGET_READY: &[u8] = &[0];

/// Datagram to a sidecar whose target is draining or gone, in the sender's view.
pub(crate) const TARGET_DRAINING: &[u8] = &[1];

/// Unit of an engine's slowness in a load report, in percent of the usual time.
const SLOWNESS_UNIT: u32 = 4;

/// Largest slowness in a load report, in units.
const MAX_SLOWNESS: u8 = 127;

/// First byte of a load report with the condition of the engine.
const CONDITION_TAG: u8 = 0x4c;

/// A sidecar's verdict on a request that gets no response from the target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SidecarVerdict {
    /// The request has not been handed over to the target and will not be.
    NotRun,
    /// The request has not been handed over and will not be, because a subject of it ends
    /// engines. Other targets would refuse it, too.
    Quarantined,
    /// The request may have run.
    Unknown,
}

/// The options with which a sidecar queues a request.
#[derive(Clone, Copy, Debug)]
pub struct QueueOptions {
    /// Whether a caller waits for the response or the request is a batch item.
    pub class: WorkClass,
    /// Digest of an online request; items have none.
    pub digest: Option<RequestDigest>,
    /// Online: longest expected wait at which the request enters the queue; a longer one refuses
    /// it. Batch: time until the item is due.
    pub wait_budget: Duration,
    /// Expected run time of a batch item.
    pub expected_run: Duration,
    /// Address from which the keeper of a batch item sends its datagrams.
    pub keeper: Option<SocketAddr>,
    /// Time in which an online request has to start to meet its latency objective.
    pub objective_left: Duration,
    /// Requests that the target runs at once, or 0 if that is unknown.
    pub slots: u32,
    /// Longest time for which an online request stays in the queue.
    pub queue_timeout: Duration,
    /// The reservation by which the request has been granted a slot.
    pub reservation: Option<ReservationId>,
    /// Rank and customer of the request.
    pub share: ShareKey,
    /// Whether the request may run although a subject of it is in quarantine, if no other has
    /// been tried recently.
    pub is_trial: bool,
}

impl QueueOptions {
    /// Adds the options to the headers of an attempt.
    pub fn write(self, headers: &mut HeaderMap) {
        let class = match self.class {
            WorkClass::Online => "online",
            WorkClass::Batch => "batch",
        };
        headers.insert(CLASS, HeaderValue::from_static(class));
        headers.insert(WAIT_BUDGET, HeaderValue::from(self.wait_budget.as_millis() as u64));
        headers.insert(EXPECTED_RUN, HeaderValue::from(self.expected_run.as_millis() as u64));
        let objective_left = self.objective_left.as_millis() as u64;
        headers.insert(OBJECTIVE_LEFT, HeaderValue::from(objective_left));
        headers.insert(SLOTS, HeaderValue::from(self.slots));
        headers.insert(QUEUE_TIMEOUT, HeaderValue::from(self.queue_timeout.as_millis() as u64));
        let keeper = self.keeper.map(|address| HeaderValue::from_str(&address.to_string()));
        if let Some(Ok(keeper)) = keeper {
            headers.insert(KEEPER, keeper);
        }
        if let Some(ReservationId(id)) = self.reservation {
            headers.insert(RESERVATION, HeaderValue::from(id));
        }
        if let Some(digest) = self.digest
            && let Ok(value) = HeaderValue::from_str(&digest.to_string())
        {
            headers.insert(DIGEST, value);
        }
        self.write_share(headers);
        if self.is_trial {
            headers.insert(TRIAL, HeaderValue::from_static("1"));
        }
    }

    /// Adds the rank and the customer, unless callers are not identified.
    fn write_share(self, headers: &mut HeaderMap) {
        let ShareKey { rank, customer } = self.share;
        if self.share == ShareKey::default() {
            return;
        }
        if let Ok(rank) = HeaderValue::from_str(&format!("{}.{}", rank.customer, rank.route)) {
            headers.insert(RANK, rank);
        }
        if let Some(CustomerId(id)) = customer {
            headers.insert(CUSTOMER_ID, HeaderValue::from(id));
        }
    }

    /// Reads the options of an attempt; without them it is an online request that does not wait.
    #[must_use]
    pub fn read(headers: &HeaderMap) -> Self {
        let is_batch = headers.get(CLASS).is_some_and(|value| value == "batch");
        let class = if is_batch { WorkClass::Batch } else { WorkClass::Online };
        let number = |name| headers.get(name).and_then(|value| value.to_str().ok()?.parse().ok());
        let wait_budget = Duration::from_millis(number(WAIT_BUDGET).unwrap_or(0));
        let queue_timeout = Duration::from_millis(number(QUEUE_TIMEOUT).unwrap_or(0));
        let expected_run = Duration::from_millis(number(EXPECTED_RUN).unwrap_or(0));
        let digest = headers.get(DIGEST).and_then(|value| value.to_str().ok());
        Self {
            class,
            digest: digest.and_then(RequestDigest::parse),
            wait_budget,
            expected_run,
            keeper: headers.get(KEEPER).and_then(|value| value.to_str().ok()?.parse().ok()),
            objective_left: Duration::from_millis(number(OBJECTIVE_LEFT).unwrap_or(0)),
            slots: number(SLOTS).unwrap_or(0) as u32,
            queue_timeout,
            reservation: number(RESERVATION).map(ReservationId),
            share: ShareKey {
                rank: headers.get(RANK).and_then(read_rank).unwrap_or_default(),
                customer: number(CUSTOMER_ID).map(CustomerId),
            },
            is_trial: headers.contains_key(TRIAL),
        }
    }
}

impl SidecarVerdict {
    /// Adds the verdict to a response.
    pub fn write(self, headers: &mut HeaderMap) {
        let value = match self {
            Self::NotRun => NOT_RUN,
            Self::Quarantined => QUARANTINED,
            Self::Unknown => UNKNOWN,
        };
        headers.insert(VERDICT, HeaderValue::from_static(value));
    }

    /// Reads the verdict of a response; `None` if the response is the target's and not the
    /// sidecar's own.
    #[must_use]
    pub fn read(headers: &HeaderMap) -> Option<Self> {
        let value = headers.get(VERDICT)?;
        Some(match value.as_bytes() {
            value if value == NOT_RUN.as_bytes() => Self::NotRun,
            value if value == QUARANTINED.as_bytes() => Self::Quarantined,
            _ => Self::Unknown,
        })
    }
}

/// Reads a rank.
fn read_rank(value: &HeaderValue) -> Option<RequestRank> {
    let (customer, route) = value.to_str().ok()?.split_once('.')?;
    Some(RequestRank { customer: customer.parse().ok()?, route: route.parse().ok()? })
}

/// Adds the version of the configuration by which a submission has been routed.
pub(crate) fn write_config_version(headers: &mut HeaderMap, version: u64) {
    headers.insert(CONFIG_VERSION, HeaderValue::from(version));
}

/// Reads the version of the configuration by which a submission has been routed; 0 if it is not
/// given.
pub(crate) fn read_config_version(headers: &HeaderMap) -> u64 {
    let value = headers.get(CONFIG_VERSION);
    value.and_then(|value| value.to_str().ok()?.parse().ok()).unwrap_or(0)
}

/// Marks a submission that a keeper only confirms if it has accepted the job before.
pub(crate) fn write_confirmation(headers: &mut HeaderMap) {
    headers.insert(CONFIRMATION, HeaderValue::from_static("1"));
}

/// Returns whether a submission is only to be confirmed.
pub(crate) fn is_confirmation(headers: &HeaderMap) -> bool {
    headers.contains_key(CONFIRMATION)
}

/// Adds who sends a call about a job, as the entry has identified the caller.
pub(crate) fn write_caller(headers: &mut HeaderMap, caller: &RequestCaller) {
    match caller {
        RequestCaller::Unidentified => {}
        RequestCaller::Anonymous => {
            headers.insert(ANONYMOUS, HeaderValue::from_static("1"));
        }
        RequestCaller::Customer(name) => {
            // A name that no header can carry must not turn its caller into an unidentified one.
            let value = HeaderValue::from_str(name).unwrap_or(HeaderValue::from_static(""));
            headers.insert(CUSTOMER, value);
        }
    }
}

/// Reads who sends a call about a job.
pub(crate) fn read_caller(headers: &HeaderMap) -> RequestCaller {
    if let Some(name) = headers.get(CUSTOMER) {
        return RequestCaller::Customer(name.to_str().unwrap_or_default().to_owned());
    }
    if headers.contains_key(ANONYMOUS) {
        RequestCaller::Anonymous
    } else {
        RequestCaller::Unidentified
    }
}

/// Removes the headers that only the system's own processes exchange.
pub fn strip_internal_headers(headers: &mut HeaderMap) {
    let internal = headers.keys().filter(|name| name.as_str().starts_with(INTERNAL_PREFIX));
    let internal: Vec<HeaderName> = internal.cloned().collect();
    for name in internal {
        headers.remove(name);
    }
}

/// Writes a queue's report as one datagram.
#[must_use]
pub fn encode_load_report(report: &LoadReport) -> [u8; 5] {
    let byte = |count: u32| u8::try_from(count).unwrap_or(u8::MAX);
    [
        byte(report.batch_running),
        byte(report.batch_waiting),
        byte(report.online_running),
        byte(report.online_waiting),
        byte(report.slots),
    ]
}

/// Reads a queue's report from a datagram.
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

/// Writes a queue's report with the condition of its engine as one datagram: a tag, the five bytes
/// of [`encode_load_report`], the share of failed responses in percent, the number of recent
/// responses, the mean run time in milliseconds as two bytes, and the slowness in units of 4%.
#[must_use]
pub fn encode_target_report(report: &LoadReport, condition: EngineCondition) -> Vec<u8> {
    let byte = |count: u32| u8::try_from(count).unwrap_or(u8::MAX);
    let mut datagram = vec![CONDITION_TAG];
    datagram.extend_from_slice(&encode_load_report(report));
    datagram.extend([byte(condition.failure_percent), byte(condition.recent_responses)]);
    let run_ms = u16::try_from(condition.run_ms).unwrap_or(u16::MAX);
    datagram.extend(run_ms.to_le_bytes());
    datagram.push(byte(condition.slowness_percent / SLOWNESS_UNIT).min(MAX_SLOWNESS));
    datagram
}

/// Reads a queue's report from a datagram, with the condition of its engine if the sidecar tells it.
#[must_use]
pub fn decode_target_report(datagram: &[u8]) -> Option<(LoadReport, Option<EngineCondition>)> {
    let [CONDITION_TAG, load @ .., failure_percent, recent_responses, run_low, run_high, slowness] =
        datagram
    else {
        return decode_load_report(datagram).map(|report| (report, None));
    };
    let condition = EngineCondition {
        failure_percent: u32::from(*failure_percent).min(100),
        recent_responses: (*recent_responses).into(),
        run_ms: u16::from_le_bytes([*run_low, *run_high]).into(),
        slowness_percent: u32::from(*slowness) * SLOWNESS_UNIT,
    };
    match decode_load_report(load) {
        Some(report) => Some((report, Some(condition))),
        None => decode_load_report(datagram).map(|report| (report, None)),
    }
}

/// Removes the hop-by-hop headers, and those that frame a message's body.
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
