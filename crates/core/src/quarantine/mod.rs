//! Requests under which back ends end, and how they are kept from ending more.
//!
//! Some request ends each back end that begins to execute it, and comes again, under other ids and at other machines.
//! When a back end ends, all that it executed is under suspicion, and nearly all of that is innocent. So:
//!
//! - [`EndLedger`] counts, for each request, the instances that ended under it. The second end makes it a suspect; the
//!   third a quarantined one, which no back end gets, if it was isolated at one of its ends.
//! - A suspect is isolated: a back end executes one at a time. If it ends then, the suspect is to blame and not one that
//!   only ran beside it.
//! - An answer to a suspect clears it: what ends each back end answers nobody.
//! - [`QuarantineTable`] is what each sidecar knows of all this, merged from reports that come in any order.

mod fingerprint;
mod ledger;
mod table;

pub use fingerprint::RequestFingerprint;
pub use ledger::{EndLedger, EndedInstance, RequestEnd};
pub use table::{QuarantineReport, QuarantineTable, ReportedStanding};

use std::time::Duration;

/// What is held against a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Standing {
    /// Nothing.
    Unsuspected,
    /// Back ends ended under it, perhaps by chance: a back end executes one such request at a time.
    Suspect,
    /// It ends back ends: none gets it.
    Quarantined,
}

/// Instances that ended under a request until it is a suspect everywhere.
pub const ENDS_OF_A_SUSPECT: usize = 2;
/// Instances that ended under a request until no back end gets it. Three is what the users allow; fewer would not
/// tell it from a request that ran beside it twice.
pub const ENDS_OF_A_QUARANTINED: usize = 3;
/// Time after the last end for which a suspect stays one, unless it is answered before.
pub const SUSPECT_TIME: Duration = Duration::from_secs(600);
/// Time after the last end for which a request stays quarantined. Then it is a suspect for as long again, so that
/// trying it costs one back end an hour at the most.
pub const QUARANTINE_TIME: Duration = Duration::from_secs(3_600);
