//! Polls the platform's machine list and maintains the endpoint table from it and from gossip
//! membership.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use tokio::sync::watch;
use wharfquay_core::drain::{LeavingSet, LeavingSource};
use wharfquay_core::routing::EndpointId;
use wharfquay_membership::member::{MemberId, ZoneName};
use wharfquay_membership::table::MemberTable;
use wharfquay_platform::Client;
use wharfquay_platform::wire::{Machine, MachineList};
use wharfquay_resources::snapshot::Snapshot;

use crate::control::ControlAddresses;
use crate::control::endpoints::{self, EndpointTable, Placement};
use crate::events::{Event, PlatformHealth, log_event};

/// Width of the random range of poll intervals, as a share of the interval. The jitter keeps
/// daemons from polling simultaneously.
const JITTER: f64 = 0.2;

/// Polls the machine list and publishes the endpoint table, the control addresses and whether the
/// local backend is leaving.
pub(super) struct MachineListPoller {
    pub(super) client: Arc<Client>,
    pub(super) interval: Duration,
    pub(super) local: LocalDaemon,
    pub(super) sources: Sources,
    pub(super) outputs: Outputs,
    pub(super) platform: Arc<PlatformHealth>,
}

/// The id, zone and service of this daemon.
pub(super) struct LocalDaemon {
    pub(super) id: EndpointId,
    pub(super) zone: String,
    pub(super) service: Option<String>,
}

/// The inputs besides the machine list.
pub(super) struct Sources {
    pub(super) snapshot: watch::Receiver<Arc<Snapshot>>,
    /// The members known from gossip; empty without a control listener.
    pub(super) members: watch::Receiver<MemberTable>,
    /// True if the backend's health endpoint reports that the backend is leaving.
    pub(super) backend_leaving: watch::Receiver<bool>,
    /// True if the backend's responses announce that the backend is leaving.
    pub(super) announced_leaving: watch::Receiver<bool>,
    /// True once a stop of this daemon was requested.
    pub(super) stopping: watch::Receiver<bool>,
}

/// The channels for the results.
pub(super) struct Outputs {
    pub(super) endpoints: watch::Sender<Arc<EndpointTable>>,
    pub(super) leaving: watch::Sender<bool>,
    pub(super) addresses: watch::Sender<Arc<ControlAddresses>>,
}

impl MachineListPoller {
    /// Polls until the sender of the configuration is dropped. The last list that was read stays in
    /// use while the platform is unavailable; changes of configuration, members, health and a stop
    /// are applied to it immediately.
    pub(super) async fn run(mut self) {
        let mut leaving = LeavingSet::new();
        let mut list = MachineList::default();
        let mut reading = Box::pin(self.read_after(Duration::ZERO, list.version));
        loop {
            tokio::select! {
                found = &mut reading => {
                    if let Some(found) = found {
                        replace_unless_older(&mut list, found);
                    }
                    reading = Box::pin(self.read_after(self.next_wait(), list.version));
                }
                changed = self.sources.changed() => {
                    if changed.is_err() {
                        return;
                    }
                }
            }
            self.publish(&mut leaving, &list.machines);
        }
    }

    /// Reads the list after a wait; `None` if its version is still `known` or the read fails.
    fn read_after(
        &self,
        wait: Duration,
        known: u64,
    ) -> impl Future<Output = Option<MachineList>> + use<> {
        read(
            Arc::clone(&self.client),
            Arc::clone(&self.platform),
            wait,
            known,
        )
    }

    fn next_wait(&self) -> Duration {
        let spread = 1.0 + JITTER * (rand::rng().random::<f64>() - 0.5);
        self.interval.mul_f64(spread)
    }

    fn publish(&self, leaving: &mut LeavingSet, machines: &[Machine]) {
        let snapshot = self.sources.snapshot.borrow().clone();
        let members = self.sources.members.borrow().clone();
        let incarnation = self.incarnation(&members);
        let reports = [
            (LeavingSource::HealthEndpoint, &self.sources.backend_leaving),
            (LeavingSource::Announcement, &self.sources.announced_leaving),
        ];
        for (source, report) in reports {
            let is_leaving = *report.borrow();
            endpoints::mark_backend(leaving, &self.local.id, source, is_leaving, incarnation);
        }
        let sources = endpoints::Sources {
            snapshot: &snapshot,
            machines,
            members: &members,
        };
        if *self.sources.stopping.borrow() {
            endpoints::mark_shutdown(leaving, &self.local.id, incarnation);
        }
        let table = endpoints::build(leaving, sources);
        let local = self.is_leaving(leaving, &snapshot, incarnation);
        replace_if_changed(&self.outputs.endpoints, Arc::new(table));
        replace_if_changed(&self.outputs.leaving, local);
        let addresses = control_addresses(machines, &members);
        replace_if_changed(&self.outputs.addresses, Arc::new(addresses));
    }

    /// Returns the incarnation of this daemon.
    fn incarnation(&self, members: &MemberTable) -> u64 {
        let zone = ZoneName::from(self.local.zone.as_str());
        let id = MemberId::from(self.local.id.as_str());
        endpoints::incarnation_of(members.get(&zone, &id))
    }

    /// Returns true if the local backend is leaving, whether it is on the machine list or not.
    fn is_leaving(&self, leaving: &mut LeavingSet, snapshot: &Snapshot, incarnation: u64) -> bool {
        let placement = Placement {
            id: &self.local.id,
            zone: &self.local.zone,
            service: self.local.service.as_deref(),
        };
        endpoints::mark_drains(leaving, snapshot, placement, incarnation);
        leaving.is_leaving(&self.local.id, incarnation)
    }
}

impl Sources {
    /// Waits for a change of any source.
    async fn changed(&mut self) -> Result<(), watch::error::RecvError> {
        tokio::select! {
            changed = self.snapshot.changed() => changed,
            () = changed_or_pending(&mut self.members) => Ok(()),
            () = changed_or_pending(&mut self.backend_leaving) => Ok(()),
            () = changed_or_pending(&mut self.announced_leaving) => Ok(()),
            () = changed_or_pending(&mut self.stopping) => Ok(()),
        }
    }
}

/// Returns the control addresses of the machine list, overridden by those that members announce
/// themselves.
fn control_addresses(machines: &[Machine], members: &MemberTable) -> ControlAddresses {
    let listed = machines.iter();
    let listed = listed.map(|machine| (machine.id.clone(), machine.control_address));
    let mut addresses: ControlAddresses = listed.collect();
    for member in members.members().filter(|member| member.is_live()) {
        let id = member.profile.id.as_str().to_owned();
        addresses.insert(id, member.profile.control_address);
    }
    addresses
}

/// Waits for a change; never completes once the sender is dropped.
async fn changed_or_pending<T>(source: &mut watch::Receiver<T>) {
    if source.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Replaces the list unless the new one is older.
fn replace_unless_older(list: &mut MachineList, found: MachineList) {
    if found.version < list.version {
        let (found, in_force) = (found.version, list.version);
        log_event!(
            Event::MachineListOlderIgnored,
            "found={found} in_force={in_force}"
        );
        return;
    }
    *list = found;
}

/// Reads the list after `wait`; `None` if its version is still `known` or the read fails.
async fn read(
    client: Arc<Client>,
    platform: Arc<PlatformHealth>,
    wait: Duration,
    known: u64,
) -> Option<MachineList> {
    tokio::time::sleep(wait).await;
    match client.machines_if_changed(known).await {
        Ok(list) => {
            platform.record_success();
            list
        }
        Err(error) => {
            platform.record_failure(&error);
            None
        }
    }
}

fn replace_if_changed<T: PartialEq>(output: &watch::Sender<T>, value: T) {
    output.send_if_modified(|current| {
        let changed = *current != value;
        *current = value;
        changed
    });
}
