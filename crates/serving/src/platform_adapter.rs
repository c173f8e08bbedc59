//! The interface to the platform's protocol, and the types that it is translated to.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cv_dispatch::ItemResult;
use cv_dispatch::ItemSpec;
use cv_dispatch::PromptPart;
use cv_dispatch::QuarantineSubject;
use cv_dispatch::RequestCaller;
use cv_dispatch::RouteTable;
use cv_dispatch::TargetRecord;
use http::HeaderMap;
use http::request::Parts as RequestHead;

use crate::CoordinationStore;

/// A platform message that cannot be decoded, with the reason.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DecodeFault(pub String);

impl fmt::Display for DecodeFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl std::error::Error for DecodeFault {}

/// A caller's request to an entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallerRequest {
    /// An online request or the submission of a job, as its route says.
    Routed,
    /// A request about a job that has been submitted.
    Job(JobRequest),
}

/// A request about a submitted job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum JobRequest {
    /// Reads results.
    ReadResults {
        /// The job's id.
        job: String,
        /// Position of the first result to return.
        position: usize,
        /// Longest time for which the response may be held back until there is a result.
        max_wait: Duration,
    },
    /// Reads the body of an item.
    ReadItem {
        /// The job's id.
        job: String,
        /// The item's id.
        item: String,
    },
    /// Ends the job.
    Close {
        /// The job's id.
        job: String,
    },
}

impl JobRequest {
    /// Returns the job's id.
    #[must_use]
    pub fn job(&self) -> &str {
        match self {
            Self::ReadResults { job, .. } | Self::ReadItem { job, .. } | Self::Close { job } => job,
        }
    }
}

/// The options that a caller sends in the headers of a request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RequestOptions {
    /// Time that the caller is still willing to wait.
    pub deadline: Option<Duration>,
    /// Most events that a response can have, if the request limits its output.
    pub max_events: Option<u64>,
    /// Id of the caller's request.
    pub request_id: Option<String>,
    /// Number of the last stream event that the caller has received.
    pub resume_after: Option<u64>,
}

/// The options of one attempt that are sent to its target.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptOptions<'a> {
    /// Who sends the request, if this process has identified the caller; the target then gets the
    /// customer's name, and never the caller's key.
    pub caller: Option<&'a RequestCaller>,
    /// Time after which the target stops working on the request; `None` for batch items.
    pub deadline: Option<Duration>,
    /// Id of the target that the attempt is for; any other target refuses it.
    pub expected_target: Option<&'a str>,
    /// Number of the last stream event that has been received already.
    pub resume_after: Option<u64>,
}

/// The metadata in the headers of a target's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseMetadata {
    /// Whether the response carries the target's signature.
    pub is_signed: bool,
    /// Whether the target states that it has not run the request.
    pub not_run: bool,
    /// Id of the request that the response belongs to, if it is given.
    pub request_id: Option<String>,
    /// Requests that the target takes in a second from all processes, if it names a limit.
    pub request_limit: Option<f64>,
    /// How long work takes at the target at the moment, in percent of the usual time, if it says so.
    pub slowness_percent: Option<u32>,
}

impl ResponseMetadata {
    /// Returns the limit that the response names, `Some(None)` if it names none, or `None` if the
    /// response is not known to be the target's.
    #[must_use]
    pub fn named_limit(&self) -> Option<Option<f64>> {
        (self.is_signed || self.not_run).then_some(self.request_limit)
    }
}

/// Translates between the platform's messages and this system's types, without any policy of its
/// own.
pub trait PlatformAdapter: 'static {
    /// The client of the platform's coordination store.
    type Store: CoordinationStore;

    /// The key of the operator's configuration.
    const CONFIG_KEY: &'static str;
    /// The prefix of the keys under which targets register.
    const TARGETS_PREFIX: &'static str;
    /// The prefix of the keys with which the operator asks to retire an instance.
    const RETIRE_PREFIX: &'static str;

    /// Creates a client of the store.
    fn store(address: SocketAddr) -> Self::Store;

    /// Decodes a configuration.
    ///
    /// # Errors
    /// Fails if the value is not a valid configuration.
    fn decode_routes(value: &[u8]) -> Result<RouteTable, DecodeFault>;

    /// Decodes a target's registration.
    ///
    /// # Errors
    /// Fails if the registration does not describe a usable target.
    fn decode_target(id: &str, value: &[u8]) -> Result<TargetRecord, DecodeFault>;

    /// Classifies a caller's request by its method and path.
    fn classify(head: &RequestHead) -> CallerRequest;

    /// Reads the options of a caller's request.
    fn request_options(headers: &HeaderMap) -> RequestOptions;

    /// Reads whom a request claims to be from, for callers that are not identified; `None` if its
    /// headers do not say.
    fn claimed_caller(headers: &HeaderMap) -> Option<&str>;

    /// Reads the key by which the caller of a request is identified.
    fn caller_key(headers: &HeaderMap) -> Option<&str>;

    /// Removes the caller's key, and whatever else claims to say who the caller is.
    fn strip_caller(headers: &mut HeaderMap);

    /// Reads the parts of a request's prompt that other prompts may share, in order.
    fn prompt_parts(headers: &HeaderMap) -> Vec<PromptPart>;

    /// Builds the headers of an attempt from those of the caller's request.
    fn attempt_headers(headers: &HeaderMap, terms: &AttemptOptions<'_>) -> HeaderMap;

    /// Reads the metadata of a target's response.
    fn response_metadata(headers: &HeaderMap) -> ResponseMetadata;

    /// Builds the headers of the response to the caller from those of the target's response.
    fn response_headers(headers: &HeaderMap) -> HeaderMap;

    /// Builds the headers that all attempts of a batch item share.
    fn item_headers(host: &str, item: &ItemSpec) -> HeaderMap;

    /// Decodes the items of a submitted job.
    ///
    /// # Errors
    /// Fails if the body is not a valid job.
    fn decode_items(body: &[u8]) -> Result<Vec<ItemSpec>, DecodeFault>;

    /// Encodes the response to a read of results that starts at `position`; `total` counts the
    /// job's items.
    fn encode_results(total: usize, position: usize, results: &[ItemResult]) -> Bytes;

    /// Returns the key and value that report to the operator whether an instance has been retired.
    fn retire_status(instance: &str, is_done: bool) -> (String, Vec<u8>);
}

/// Returns the parts of an online request's prompt as subjects of a quarantine, in order.
pub(crate) fn part_subjects<P: PlatformAdapter>(headers: &HeaderMap) -> Vec<QuarantineSubject> {
    P::prompt_parts(headers).into_iter().map(QuarantineSubject::Part).collect()
}

/// Returns the parts of an item's prompt as subjects of a quarantine, in order.
pub(crate) fn item_subjects<P: PlatformAdapter>(headers: &HeaderMap) -> Vec<QuarantineSubject> {
    P::prompt_parts(headers).into_iter().map(QuarantineSubject::ItemPart).collect()
}
