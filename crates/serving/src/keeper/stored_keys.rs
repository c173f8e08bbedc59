//! Keys and values of jobs and results in the coordination store.

use cv_dispatch::ItemResult;
use cv_dispatch::QuarantineSubject;

use crate::StoreCommit;
use crate::StorePut;

/// Prefix of the keys that keepers watch: those of job records and of closed jobs.
pub(crate) const WORK_PREFIX: &str = "cv/work/";

/// Key without a value that is written with each key under [`WORK_PREFIX`] that keepers have to learn
/// of; its revision is the newest of theirs.
pub(crate) const WORK_MARKER_KEY: &str = "cv/work/newest";

/// Prefix of the keys of job records.
const JOB_PREFIX: &str = "cv/work/job/";

/// Prefix of the keys that mark jobs as closed.
pub(crate) const CLOSED_PREFIX: &str = "cv/work/end/";

/// Prefix of the keys of subjects in quarantine.
pub(crate) const QUARANTINE_PREFIX: &str = "cv/work/quarantine/";

/// Prefix of the keys of overflow parts: the bytes of a job that do not fit under its own key.
const OVERFLOW_PREFIX: &str = "cv/rest/";

/// Prefix of the keys of result segments.
const RESULT_PREFIX: &str = "cv/result/";

/// A parsed key under [`WORK_PREFIX`], with the id of its job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum WorkKey<'a> {
    /// Key of a job's record.
    Job(&'a str),
    /// Key that marks a job as closed.
    Closed(&'a str),
    /// Key of a subject in quarantine.
    Quarantine(QuarantineSubject),
}

impl<'a> WorkKey<'a> {
    /// Parses a key; `None` if it is of no known kind.
    pub fn parse(key: &'a str) -> Option<Self> {
        let job = key.strip_prefix(JOB_PREFIX).map(Self::Job);
        let closed = || key.strip_prefix(CLOSED_PREFIX).map(Self::Closed);
        let part = || key.strip_prefix(QUARANTINE_PREFIX).map(QuarantineSubject::parse);
        job.or_else(closed).or_else(|| part().map(Self::Quarantine))
    }
}

/// Returns the key of a job's record.
pub(crate) fn job_key(job_id: &str) -> String {
    format!("{JOB_PREFIX}{job_id}")
}

/// Returns the key of a subject in quarantine.
pub(crate) fn quarantine_key(subject: QuarantineSubject) -> String {
    format!("{QUARANTINE_PREFIX}{subject}")
}

/// Returns the key that marks a job as closed.
pub(crate) fn closed_key(job_id: &str) -> String {
    format!("{CLOSED_PREFIX}{job_id}")
}

/// Returns the prefix of the keys of a job's overflow parts.
pub(crate) fn overflow_prefix(job_id: &str) -> String {
    format!("{OVERFLOW_PREFIX}{job_id}/")
}

/// Returns the key of an overflow part, numbered from 0.
pub(crate) fn overflow_key(job_id: &str, part: usize) -> String {
    format!("{OVERFLOW_PREFIX}{job_id}/{part:03}")
}

/// Returns the prefix of the keys of a job's result segments.
pub(crate) fn result_prefix(job_id: &str) -> String {
    format!("{RESULT_PREFIX}{job_id}/")
}

/// Returns the key of the result segment that begins at a position.
pub(crate) fn result_key(job_id: &str, position: usize) -> String {
    format!("{RESULT_PREFIX}{job_id}/{position:06}")
}

/// Adds the write of [`WORK_MARKER_KEY`] to a commit that changes keys under [`WORK_PREFIX`].
pub(crate) fn with_work_marker(mut commit: StoreCommit) -> StoreCommit {
    let key = WORK_MARKER_KEY.to_owned();
    commit.puts.push(StorePut { key, lease: 0, value: Vec::new() });
    commit
}

/// Encodes a result segment as postcard.
pub(crate) fn encode_results(results: &[ItemResult]) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_stdvec(results)
}

/// Decodes a result segment.
///
/// # Errors
/// The value is not a result segment.
pub(crate) fn decode_results(value: &[u8]) -> Result<Vec<ItemResult>, postcard::Error> {
    postcard::from_bytes(value)
}
