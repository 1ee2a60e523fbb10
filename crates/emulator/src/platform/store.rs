//! State of the emulated platform, without I/O.

use std::borrow::Cow;
use std::time::Duration;

use wharfquay_core::time::Timestamp;
use wharfquay_platform::wire::MachineList;
use wharfquay_platform::write::Keyspace as KeyspaceName;
use wharfquay_resources::snapshot::Revision;

use super::faults::FaultSwitches;
use super::keyspace::Keyspace;
use super::leases::Leases;
use super::machines::Machines;

/// Default maximum number of changes in the event log.
pub const DEFAULT_EVENT_LOG_CAPACITY: usize = 10_000;

/// Complete state of the emulated platform.
#[derive(Clone, Debug)]
pub struct Store {
    /// Configuration objects.
    pub objects: Keyspace,
    /// Status objects; their versions are independent of those of the configuration objects.
    pub status: Keyspace,
    /// Leases.
    pub leases: Leases,
    /// Machine list.
    pub machines: Machines,
    /// Injected faults.
    pub faults: FaultSwitches,
}

impl Store {
    /// Creates an empty store whose event logs hold `event_log_capacity` changes each.
    #[must_use]
    pub fn new(event_log_capacity: usize) -> Self {
        Self {
            objects: Keyspace::new(event_log_capacity),
            status: Keyspace::new(event_log_capacity),
            leases: Leases::default(),
            machines: Machines::default(),
            faults: FaultSwitches::default(),
        }
    }

    /// Returns the keyspace to which writes are applied.
    pub const fn keyspace_mut(&mut self, name: KeyspaceName) -> &mut Keyspace {
        match name {
            KeyspaceName::Objects => &mut self.objects,
            KeyspaceName::Status => &mut self.status,
        }
    }

    /// Returns the keyspace as reads see it. With the fault `serve_older_version`, the configuration
    /// objects have their state at that older version.
    #[must_use]
    pub fn keyspace_for_reads(&self, name: KeyspaceName) -> Cow<'_, Keyspace> {
        match (name, self.faults.serve_older_version) {
            (KeyspaceName::Status, _) => Cow::Borrowed(&self.status),
            (KeyspaceName::Objects, None) => Cow::Borrowed(&self.objects),
            (KeyspaceName::Objects, Some(version)) => {
                Cow::Owned(self.objects.as_of(Revision::new(version)))
            }
        }
    }

    /// Returns the machine list that readers see.
    pub fn visible_machines(&mut self, now: Timestamp) -> MachineList {
        let lag = Duration::from_millis(self.faults.machine_list_lag_ms);
        self.machines.list(now, lag)
    }
}

impl Default for Store {
    fn default() -> Self {
        Self::new(DEFAULT_EVENT_LOG_CAPACITY)
    }
}
