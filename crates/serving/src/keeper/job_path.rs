//! Job ids in the paths of calls between keepers.

use std::borrow::Cow;

use percent_encoding::AsciiSet;
use percent_encoding::CONTROLS;
use percent_encoding::percent_decode_str;
use percent_encoding::utf8_percent_encode;

/// The ASCII characters that RFC 3986 does not allow in a path; `%` begins an encoded one.
const ENCODED_CHARACTERS: &AsciiSet = &CONTROLS
    .add(b' ')
    .add(b'"')
    .add(b'#')
    .add(b'%')
    .add(b'<')
    .add(b'>')
    .add(b'?')
    .add(b'[')
    .add(b'\\')
    .add(b']')
    .add(b'^')
    .add(b'`')
    .add(b'{')
    .add(b'|')
    .add(b'}');

/// Returns the path of a call about a job.
pub(crate) fn job_path(prefix: &str, job_id: &str) -> String {
    format!("{prefix}{}", utf8_percent_encode(job_id, ENCODED_CHARACTERS))
}

/// Returns the job that a path of [`job_path`] names; `None` if the path has another prefix or does
/// not encode text.
pub(crate) fn job_of_path(prefix: &str, path: &str) -> Option<String> {
    let encoded = path.strip_prefix(prefix)?;
    percent_decode_str(encoded).decode_utf8().ok().map(Cow::into_owned)
}
