//! The machine list, whose changes become visible after a lag.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use wharfquay_core::time::Timestamp;
use wharfquay_platform::wire::{Machine, MachineList};

#[derive(Clone, Debug)]
enum MachineChange {
    Put(Machine),
    Remove(String),
}

#[derive(Clone, Debug)]
struct PendingChange {
    made_at: Timestamp,
    change: MachineChange,
}

/// The list that readers see and the changes that they don't see yet.
#[derive(Clone, Debug, Default)]
pub struct Machines {
    visible: BTreeMap<String, Machine>,
    version: u64,
    pending: VecDeque<PendingChange>,
}

impl Machines {
    /// Adds a machine or replaces its entry.
    pub fn put(&mut self, now: Timestamp, machine: Machine) {
        self.push(now, MachineChange::Put(machine));
    }

    /// Removes a machine.
    pub fn remove(&mut self, now: Timestamp, id: &str) {
        self.push(now, MachineChange::Remove(id.to_owned()));
    }

    /// The list that readers see. A change once seen stays seen when the lag grows.
    pub fn list(&mut self, now: Timestamp, lag: Duration) -> MachineList {
        while self
            .pending
            .front()
            .is_some_and(|pending| pending.made_at + lag <= now)
        {
            self.show_next();
        }
        MachineList {
            version: self.version,
            machines: self.visible.values().cloned().collect(),
        }
    }

    fn push(&mut self, now: Timestamp, change: MachineChange) {
        self.pending.push_back(PendingChange {
            made_at: now,
            change,
        });
    }

    fn show_next(&mut self) {
        let Some(pending) = self.pending.pop_front() else {
            return;
        };
        self.version += 1;
        match pending.change {
            MachineChange::Put(machine) => {
                self.visible.insert(machine.id.clone(), machine);
            }
            MachineChange::Remove(id) => {
                self.visible.remove(&id);
            }
        }
    }
}
