//! Names of the HTTP headers that the system reads or writes.

use http::HeaderName;

/// Call context between daemons: base64url of CBOR, see [`crate::context::WireContext`].
pub const CONTEXT: HeaderName = HeaderName::from_static("wharfquay-context");
/// Opaque scope of the call that a back end is executing. The back end copies it to each call that
/// it makes on behalf of this one; only the back end's own daemon can read it.
pub const SCOPE: HeaderName = HeaderName::from_static("wharfquay-scope");
/// Identity of the originating request, in hexadecimal; for logs and records.
pub const ORIGIN: HeaderName = HeaderName::from_static("wharfquay-origin");
/// Number of the result code in every answer.
pub const RESULT: HeaderName = HeaderName::from_static("wharfquay-result");
/// Outcome class in every answer: `not-run`, `unknown` or `run`.
pub const OUTCOME: HeaderName = HeaderName::from_static("wharfquay-outcome");
/// Answer metadata between daemons: base64url of CBOR, see [`crate::answer::WireAnswer`].
pub const ANSWER: HeaderName = HeaderName::from_static("wharfquay-answer");
/// Idempotency key of a caller: a version 7 UUID.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Deadline that a caller sets, in milliseconds from now; bounded by the request kind's.
pub const DEADLINE: HeaderName = HeaderName::from_static("wharfquay-deadline-ms");
/// Name of the service that a call is for; where absent, the host of the request names it.
pub const SERVICE: HeaderName = HeaderName::from_static("wharfquay-service");
/// Concurrency that a back end reports, in requests in execution; may lag or mislead.
pub const REPORTED_LOAD: HeaderName = HeaderName::from_static("wharfquay-load");
