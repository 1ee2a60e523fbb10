//! What a drain leaves of each service, by the platform's machine list.

use std::collections::BTreeMap;

use wharfquay_platform::wire::{Machine, MachineState};
use wharfquay_resources::kinds::DrainTarget;
use wharfquay_resources::snapshot::Snapshot;

use crate::table::TextTable;

/// Live back ends of one service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct BackendCount {
    before: u32,
    after: u32,
}

/// What a drain leaves of each service that it covers.
#[derive(Clone, Debug, Default)]
pub(super) struct Estimate {
    services: BTreeMap<String, BackendCount>,
}

impl Estimate {
    /// Services that had a back end and would have none.
    pub(super) fn emptied_services(&self) -> Vec<&str> {
        let emptied = |count: &BackendCount| count.before > 0 && count.after == 0;
        let services = self.services.iter();
        services
            .filter(|(_, count)| emptied(count))
            .map(|(service, _)| service.as_str())
            .collect()
    }

    /// The table of services.
    pub(super) fn render(&self) -> String {
        if self.services.is_empty() {
            return "the machine list has no live back end that the drain covers\n".to_owned();
        }
        let mut table = TextTable::new(&["SERVICE", "LIVE BACK ENDS", "LEFT"]);
        for (service, count) in &self.services {
            let share = f64::from(count.after) * 100.0 / f64::from(count.before.max(1));
            table.row([
                service.clone(),
                format!("{} -> {}", count.before, count.after),
                format!("{share:.0}%"),
            ]);
        }
        table.render()
    }
}

/// Counts the back ends before and after the drain, those that other drains cover left out.
pub(super) fn estimate(
    snapshot: &Snapshot,
    target: &DrainTarget,
    machines: &[Machine],
) -> Estimate {
    let mut services: BTreeMap<String, BackendCount> = BTreeMap::new();
    for machine in machines
        .iter()
        .filter(|machine| is_live(snapshot, target, machine))
    {
        let Some(service) = &machine.service else {
            continue;
        };
        let count = services.entry(service.clone()).or_default();
        count.before += 1;
        count.after += u32::from(!covers(target, machine));
    }
    services.retain(|_, count| count.after < count.before);
    Estimate { services }
}

fn is_live(snapshot: &Snapshot, target: &DrainTarget, machine: &Machine) -> bool {
    let others = snapshot.drains.values().map(|drain| &drain.target);
    let mut others = others.filter(|other| *other != target);
    machine.state == MachineState::Live && !others.any(|other| covers(other, machine))
}

fn covers(target: &DrainTarget, machine: &Machine) -> bool {
    target.covers(&machine.id, &machine.zone, machine.service.as_deref())
}
