//! What the platform's manner of speaking is translated from and to.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cv_dispatch::ItemResult;
use cv_dispatch::ItemSpec;
use cv_dispatch::RouteTable;
use cv_dispatch::TargetRecord;
use http::HeaderMap;
use http::request::Parts as RequestHead;

use crate::CoordinationStore;

/// A message of the platform that cannot be read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DecodeFault(pub String);

impl fmt::Display for DecodeFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl std::error::Error for DecodeFault {}

/// What a caller asks of an entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallerRequest {
    /// Run a request now, or take a job, as the route says.
    Routed,
    /// A call about a job that was submitted before.
    Job(JobRequest),
}

/// A call about a job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum JobRequest {
    /// Read results.
    ReadResults {
        /// The job's id.
        job: String,
        /// Position of the first result that is wanted.
        position: usize,
        /// Time for which the call may be held until there is a result.
        max_wait: Duration,
    },
    /// Read the body of an item.
    ReadItem {
        /// The job's id.
        job: String,
        /// The item's id.
        item: String,
    },
    /// End the job.
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

/// The terms of a caller's request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RequestOptions {
    /// Time that the caller will wait from now on.
    pub deadline: Option<Duration>,
    /// Identity of the caller's attempt.
    pub request_id: Option<String>,
    /// Number of the last event that the caller has of the stream.
    pub resume_after: Option<u64>,
}

/// What a target is told about one attempt.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptOptions<'a> {
    /// Time after which the target stops work; none for batch items.
    pub deadline: Option<Duration>,
    /// The target that the attempt is for; any other turns it away.
    pub expected_target: Option<&'a str>,
    /// Number of the last event that is there already.
    pub resume_after: Option<u64>,
}

/// What the headers of a target's answer tell.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ResponseMetadata {
    /// Whether the answer bears the target's signature.
    pub is_signed: bool,
    /// Whether the target states that it has not run the request.
    pub not_run: bool,
    /// The request that the answer belongs to, if it says so.
    pub request_id: Option<String>,
}

/// Translates between the platform's messages and the product's types; decides nothing.
pub trait PlatformAdapter: 'static {
    /// The platform's store.
    type Store: CoordinationStore;

    /// The key that holds the operator's configuration.
    const CONFIG_KEY: &'static str;
    /// The beginning of the keys under which targets register.
    const TARGETS_PREFIX: &'static str;
    /// The beginning of the keys by which the operator asks to empty an instance.
    const RETIRE_PREFIX: &'static str;

    /// Creates a client of the store.
    fn store(address: SocketAddr) -> Self::Store;

    /// Decodes a configuration.
    ///
    /// # Errors
    /// Fails if the value is not a whole configuration.
    fn decode_routes(value: &[u8]) -> Result<RouteTable, DecodeFault>;

    /// Decodes a target's entry in the directory.
    ///
    /// # Errors
    /// Fails if the entry names no target that could be used.
    fn decode_target(id: &str, value: &[u8]) -> Result<TargetRecord, DecodeFault>;

    /// Tells what a caller asks.
    fn classify(head: &RequestHead) -> CallerRequest;

    /// Reads the terms of a caller's request.
    fn request_options(headers: &HeaderMap) -> RequestOptions;

    /// Makes the headers of an attempt from those of the caller.
    fn attempt_headers(headers: &HeaderMap, terms: &AttemptOptions<'_>) -> HeaderMap;

    /// Reads what the headers of a target's answer tell.
    fn response_metadata(headers: &HeaderMap) -> ResponseMetadata;

    /// Makes the headers of the caller's answer from those of the target.
    fn response_headers(headers: &HeaderMap) -> HeaderMap;

    /// Makes the headers of an item's run, before those of an attempt.
    fn item_headers(host: &str, item: &ItemSpec) -> HeaderMap;

    /// Reads the items of a submitted job.
    ///
    /// # Errors
    /// Fails if the body is no job.
    fn decode_items(body: &[u8]) -> Result<Vec<ItemSpec>, DecodeFault>;

    /// Writes the answer to a read of results.
    fn encode_results(total: usize, position: usize, results: &[ItemResult]) -> Bytes;

    /// Returns the key and value that tell the operator how far an instance is emptied.
    fn retire_status(instance: &str, is_done: bool) -> (String, Vec<u8>);
}
