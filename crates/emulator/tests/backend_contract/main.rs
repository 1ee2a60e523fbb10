//! Contract tests of the emulated backend: responses, execution log and behaviour under faults.

mod faults;
mod limits;
mod support;
