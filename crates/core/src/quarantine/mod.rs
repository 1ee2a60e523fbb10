//! Detection of requests that terminate backends, and their quarantine.
//!
//! Such a request crashes each backend that starts to execute it, and arrives again under other
//! ids and at other machines. When a backend terminates, every request that it executed is a
//! candidate, and almost all of them are harmless. Therefore:
//!
//! - [`TerminationLedger`] counts, for each request, the instances that terminated while executing
//!   it. The
//!   second termination makes the request a suspect. The third quarantines it, provided that it was
//!   isolated at one of its terminations; no backend gets a quarantined request.
//! - A suspect is isolated: a backend executes one at a time. If the backend then terminates, the
//!   suspect is responsible rather than a request that only ran concurrently with it.
//! - A response to a suspect clears it, because a request that crashes every backend never gets
//!   one.
//! - [`QuarantineTable`] holds what a sidecar knows about suspect and quarantined requests, merged
//!   from reports that arrive in any order.

mod fingerprint;
mod ledger;
mod table;

pub use fingerprint::RequestFingerprint;
pub use ledger::{RequestTermination, TerminatedInstance, TerminationLedger};
pub use table::{QuarantineReport, QuarantineTable, ReportedQuarantineState};

use std::time::Duration;

/// Quarantine status of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum QuarantineState {
    /// Not suspected of crashing backends; executed without restriction.
    Unsuspected,
    /// Backends terminated while executing it, possibly for another reason. A backend executes one
    /// suspect at a time.
    Suspect,
    /// Considered to crash backends: it is sent to none.
    Quarantined,
}

/// Number of instances that must terminate while executing a request before every sidecar treats
/// the request as a suspect.
pub const SUSPECT_TERMINATIONS: usize = 2;
/// Number of instances that must terminate while executing a request before it is quarantined, i.e.
/// sent to no backend. At least one of them must have executed no other suspect at the time. Three
/// is the largest number that the platform's rules allow. With two, a harmless request that ran
/// concurrently with a harmful one twice would be quarantined as well.
pub const QUARANTINE_TERMINATIONS: usize = 3;
/// Time after the last termination for which a request stays a suspect, unless it gets a response
/// before.
pub const SUSPECT_TIME: Duration = Duration::from_secs(600);
/// Time after the last termination for which a request stays quarantined. Afterwards it is a
/// suspect for the same time, so executing it again costs at most one backend an hour.
pub const QUARANTINE_TIME: Duration = Duration::from_secs(3_600);
