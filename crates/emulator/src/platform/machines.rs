//! The machine list, whose changes become visible to readers after a lag.

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

/// The machine list that readers see and the changes that are not visible yet.
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

    /// Publishes the changes that are at least `lag` old and returns the visible list. A published
    /// change stays visible if the lag is increased later.
    pub fn list(&mut self, now: Timestamp, lag: Duration) -> MachineList {
        while self
            .pending
            .front()
            .is_some_and(|pending| pending.made_at + lag <= now)
        {
            self.publish_next();
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

    fn publish_next(&mut self) {
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
