//! Names of the HTTP headers that the system reads or writes.

use http::HeaderName;

/// Call context between daemons: base64url of CBOR, see [`crate::context::WireContext`].
pub const CONTEXT: HeaderName = HeaderName::from_static("wharfquay-context");
/// Opaque scope of the call that a backend is executing. The backend copies it to each call that it
/// makes on behalf of this one. Only the backend's own daemon can interpret it.
pub const SCOPE: HeaderName = HeaderName::from_static("wharfquay-scope");
/// Id of the originating request in hexadecimal, for logs and records.
pub const ORIGIN: HeaderName = HeaderName::from_static("wharfquay-origin");
/// Number of the result code, in every response.
pub const RESULT: HeaderName = HeaderName::from_static("wharfquay-result");
/// Outcome class, in every response: `not-run`, `unknown` or `run`.
pub const OUTCOME: HeaderName = HeaderName::from_static("wharfquay-outcome");
/// Response metadata between daemons: base64url of CBOR, see [`crate::response::ResponseMetadata`].
pub const RESPONSE_METADATA: HeaderName = HeaderName::from_static("wharfquay-answer");
/// Idempotency key set by a caller: a version 7 UUID.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Deadline set by a caller, in milliseconds from now; limited by the deadline of the request kind.
pub const DEADLINE: HeaderName = HeaderName::from_static("wharfquay-deadline-ms");
/// Name of the service that a call is for. If absent, the request's host determines the service.
pub const SERVICE: HeaderName = HeaderName::from_static("wharfquay-service");
/// Requests per second that a backend accepts from all daemons together, for as long as its responses
/// contain the header.
pub const RATE_LIMIT: HeaderName = HeaderName::from_static("wharfquay-rate-limit");
/// Present with the value 1 in all responses of a backend that is leaving, also in those of its
/// health endpoint.
pub const LEAVING: HeaderName = HeaderName::from_static("wharfquay-leaving");
/// Concurrency reported by a backend, in requests in execution. The value may be outdated or wrong.
pub const REPORTED_LOAD: HeaderName = HeaderName::from_static("wharfquay-load");
