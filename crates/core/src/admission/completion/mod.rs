//! Limit on the requests of a kind that are started, while started requests fail.
//!
//! A request that makes calls wastes the work done for it if one of its calls is refused. Under
//! sustained overload a service may then be busy with requests of which none completes.
//! [`CompletionMeter`] tracks, beside a backend, which share of the executions of a kind completes.
//! [`CompletionLimit`] admits, at the edge, only as large a share of the kind as completes.

mod limit;
mod meter;

pub use limit::{CompletionLimit, LimitedKind, RequestResult};
pub use meter::{CompletionMeter, ExecutionResult, FULL_SHARE};
