//! Contract of the back end stand-in: what it answers, records and does under faults.

mod faults;
mod limits;
mod support;
