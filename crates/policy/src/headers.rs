//! Names of the HTTP header fields used by callers and between the system's processes.

/// Attempt number, counted from 1.
pub const ATTEMPT: &str = "x-cv-attempt";

/// Work class, `online` or `batch`.
pub const CLASS: &str = "x-cv-class";

/// Timestamp of the sender's hybrid logical clock, in hexadecimal.
pub const CLOCK: &str = "x-cv-clock";

/// Time left for the whole response, in milliseconds.
pub const DEADLINE_MS: &str = "x-deadline-ms";

/// Caller's key of a request that it may retry.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Random number that a sidecar generates when it starts.
pub const INCARNATION: &str = "x-cv-incarnation";

/// A sidecar's load report, see [`TargetLoad`](crate::TargetLoad).
pub const LOAD: &str = "x-cv-load";

/// Wall-clock time after which a batch request must not start because its owner's lease may have
/// expired, in milliseconds since the Unix epoch.
pub const NOT_AFTER_MS: &str = "x-cv-not-after-ms";

/// Organisation to which the request is charged.
pub const ORGANISATION: &str = "x-organisation";

/// Reason of a refusal, see [`RefusalReason`](crate::RefusalReason).
pub const REASON: &str = "x-cv-reason";

/// Whether the request may run more than once, `true` or `false`.
pub const REPEATABLE: &str = "x-cv-repeatable";

/// Caller's id of the request.
pub const REQUEST_ID: &str = "x-request-id";

/// Time after which a retry may succeed, in milliseconds.
pub const RETRY_AFTER_MS: &str = "x-cv-retry-after-ms";

/// Outcome of a request: `completed`, `not_run`, `failed` or `unknown`.
pub const RUN: &str = "x-cv-run";

/// Secret shared by the system's processes.
pub const SECRET: &str = "x-cv-secret";

/// Weight of the organisation in fair sharing.
pub const WEIGHT: &str = "x-cv-weight";

/// Prefix of the fields that are internal to the system.
pub const INTERNAL_PREFIX: &str = "x-cv-";
