//! Estimate of what a drain leaves of each service: live backends from the platform's machine list,
//! and load from the daemons' status pages.

use std::collections::BTreeMap;

use wharfquay_platform::wire::{Machine, MachineState};
use wharfquay_resources::kinds::DrainTarget;
use wharfquay_resources::snapshot::Snapshot;

use crate::daemon_status::DaemonStatus;
use crate::table::TextTable;

/// Live backends of one service before and after the drain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct BackendCount {
    before: u32,
    after: u32,
}

/// Calls of one service, and the concurrency limits of the backends that remain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ServiceLoad {
    calls: u64,
    remaining_limit: u64,
}

impl ServiceLoad {
    /// Share of the remaining limits that the calls would take; `None` when no limit remains.
    fn utilisation_after(self) -> Option<f64> {
        (self.remaining_limit > 0).then(|| self.calls as f64 / self.remaining_limit as f64)
    }
}

/// Effect of a drain on each service that it covers.
#[derive(Clone, Debug, Default)]
pub(super) struct Estimate {
    services: BTreeMap<String, BackendCount>,
    /// Only services that have a queried daemon.
    loads: BTreeMap<String, ServiceLoad>,
}

impl Estimate {
    /// Returns the services that have a backend now and would have none.
    pub(super) fn emptied_services(&self) -> Vec<&str> {
        let emptied = |count: &BackendCount| count.before > 0 && count.after == 0;
        let services = self.services.iter();
        services
            .filter(|(_, count)| emptied(count))
            .map(|(service, _)| service.as_str())
            .collect()
    }

    /// Returns the services whose calls would exceed the remaining limits.
    pub(super) fn overloaded_services(&self) -> Vec<&str> {
        let is_over = |load: &ServiceLoad| load.utilisation_after().is_none_or(|share| share > 1.0);
        let loads = self.loads.iter();
        loads
            .filter(|(_, load)| load.calls > 0 && is_over(load))
            .map(|(service, _)| service.as_str())
            .collect()
    }

    /// Adds the load that daemons report for the services that the drain covers.
    pub(super) fn with_load(mut self, target: &DrainTarget, statuses: &[DaemonStatus]) -> Self {
        for status in statuses {
            let (Some(service), Some(admission)) = (&status.service, status.admission) else {
                continue;
            };
            if !self.services.contains_key(service) {
                continue;
            }
            let load = self.loads.entry(service.clone()).or_default();
            load.calls += u64::from(admission.in_flight) + u64::from(admission.queued);
            let stays = !status.leaving && !target.covers(&status.id, &status.zone, Some(service));
            if stays {
                load.remaining_limit += u64::from(admission.limit);
            }
        }
        self
    }

    /// Renders the estimate as a table of services.
    pub(super) fn render(&self) -> String {
        if self.services.is_empty() {
            return "the machine list has no live backend that the drain covers\n".to_owned();
        }
        let mut table = TextTable::new(&["SERVICE", "LIVE BACKENDS", "LEFT", "LOAD AFTER"]);
        for (service, count) in &self.services {
            let share = f64::from(count.after) * 100.0 / f64::from(count.before.max(1));
            table.add_row([
                service.clone(),
                format!("{} -> {}", count.before, count.after),
                format!("{share:.0}%"),
                self.describe_load(service),
            ]);
        }
        table.render()
    }

    /// Describes the share of the remaining limits in use; "unknown" when no daemon of the service
    /// was queried.
    fn describe_load(&self, service: &str) -> String {
        let Some(load) = self.loads.get(service) else {
            return "unknown".to_owned();
        };
        let share = load.utilisation_after();
        share.map_or_else(
            || "none left".to_owned(),
            |share| format!("{:.0}%", share * 100.0),
        )
    }
}

/// Counts the backends before and after the drain, without those that other drains cover.
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
    Estimate {
        services,
        loads: BTreeMap::new(),
    }
}

fn is_live(snapshot: &Snapshot, target: &DrainTarget, machine: &Machine) -> bool {
    let others = snapshot.drains.values().map(|drain| &drain.target);
    let mut others = others.filter(|other| *other != target);
    machine.state == MachineState::Live && !others.any(|other| covers(other, machine))
}

fn covers(target: &DrainTarget, machine: &Machine) -> bool {
    target.covers(&machine.id, &machine.zone, machine.service.as_deref())
}
