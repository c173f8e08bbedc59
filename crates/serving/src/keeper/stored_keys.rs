//! Where jobs and results lie in the store.

use cv_dispatch::ItemResult;

/// Beginning of all keys that tell what there is to do.
pub(crate) const WORK_PREFIX: &str = "cv/work/";

/// Beginning of the keys of jobs.
const JOB_PREFIX: &str = "cv/work/job/";

/// Beginning of the keys that end jobs.
const END_PREFIX: &str = "cv/work/end/";

/// Beginning of the keys of what jobs' own keys have no room for.
const OVERFLOW_PREFIX: &str = "cv/rest/";

/// Beginning of the keys of results.
const RESULT_PREFIX: &str = "cv/result/";

/// What a key under the work prefix is about.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum WorkKey<'a> {
    /// The record of a job.
    Job(&'a str),
    /// The end of a job.
    End(&'a str),
}

impl<'a> WorkKey<'a> {
    /// Reads a key.
    pub fn parse(key: &'a str) -> Option<Self> {
        let job = key.strip_prefix(JOB_PREFIX).map(Self::Job);
        job.or_else(|| key.strip_prefix(END_PREFIX).map(Self::End))
    }
}

/// Returns the key of a job's record.
pub(crate) fn job_key(job: &str) -> String {
    format!("{JOB_PREFIX}{job}")
}

/// Returns the key of a job's end.
pub(crate) fn end_key(job: &str) -> String {
    format!("{END_PREFIX}{job}")
}

/// Returns the beginning of the keys of what a job's own key has no room for.
pub(crate) fn overflow_prefix(job: &str) -> String {
    format!("{OVERFLOW_PREFIX}{job}/")
}

/// Returns the key of one such part.
pub(crate) fn overflow_key(job: &str, part: usize) -> String {
    format!("{OVERFLOW_PREFIX}{job}/{part:03}")
}

/// Returns the beginning of the keys of a job's results.
pub(crate) fn result_prefix(job: &str) -> String {
    format!("{RESULT_PREFIX}{job}/")
}

/// Returns the key of the results that begin at a position.
pub(crate) fn result_key(job: &str, position: usize) -> String {
    format!("{RESULT_PREFIX}{job}/{position:06}")
}

/// Encodes results.
pub(crate) fn encode_results(results: &[ItemResult]) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_stdvec(results)
}

/// Decodes results.
pub(crate) fn decode_results(value: &[u8]) -> Result<Vec<ItemResult>, postcard::Error> {
    postcard::from_bytes(value)
}
