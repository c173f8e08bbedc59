//! Names of the header fields that callers and the system's processes use.

/// Number of the attempt, counted from 1.
pub const ATTEMPT: &str = "x-cv-attempt";

/// `online` or `batch`.
pub const CLASS: &str = "x-cv-class";

/// The sender's hybrid logical clock.
pub const CLOCK: &str = "x-cv-clock";

/// Time that is left for the whole answer, in milliseconds.
pub const DEADLINE_MS: &str = "x-deadline-ms";

/// Key by which a caller names a request that it may send again.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Number drawn at a sidecar's start.
pub const INCARNATION: &str = "x-cv-incarnation";

/// A sidecar's load reading.
pub const LOAD: &str = "x-cv-load";

/// Wall-clock time after which a batch request must not start, since its owner's lease may be over;
/// in milliseconds since the Unix epoch.
pub const NOT_AFTER_MS: &str = "x-cv-not-after-ms";

/// The organisation that pays.
pub const ORGANISATION: &str = "x-organisation";

/// Why a request was refused.
pub const REASON: &str = "x-cv-reason";

/// Whether the request may run more than once, `true` or `false`.
pub const REPEATABLE: &str = "x-cv-repeatable";

/// The caller's name for a request.
pub const REQUEST_ID: &str = "x-request-id";

/// Time after which a retry may help, in milliseconds.
pub const RETRY_AFTER_MS: &str = "x-cv-retry-after-ms";

/// What became of a request: `completed`, `not_run`, `failed` or `unknown`.
pub const RUN: &str = "x-cv-run";

/// The secret that the system's own processes share.
pub const SECRET: &str = "x-cv-secret";

/// The organisation's weight in the shares.
pub const WEIGHT: &str = "x-cv-weight";

/// Prefix of the fields that stay inside the system.
pub const INTERNAL_PREFIX: &str = "x-cv-";
