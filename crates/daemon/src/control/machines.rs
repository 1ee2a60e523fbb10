//! Polls the platform's machine list and keeps the table of endpoints, together with what gossip
//! knows of the members.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use tokio::sync::watch;
use wharfquay_core::drain::LeavingSet;
use wharfquay_core::routing::EndpointId;
use wharfquay_membership::member::{MemberId, ZoneName};
use wharfquay_membership::table::MemberTable;
use wharfquay_platform::Client;
use wharfquay_platform::wire::{Machine, MachineList};
use wharfquay_resources::snapshot::Snapshot;

use crate::control::ControlAddresses;
use crate::control::endpoints::{self, EndpointTable, Placement};
use crate::events::{Event, PlatformHealth, log_event};

/// Polls are spread by up to this share of the interval, so that daemons don't poll together.
const JITTER: f64 = 0.2;

/// Polls the machine list and publishes what follows from it, from the drains and from the health of
/// the local back end.
pub(super) struct Poller {
    pub(super) client: Arc<Client>,
    pub(super) interval: Duration,
    pub(super) own: OwnPlace,
    pub(super) sources: Sources,
    pub(super) outputs: Outputs,
    pub(super) platform: Arc<PlatformHealth>,
}

/// Where this daemon stands.
pub(super) struct OwnPlace {
    pub(super) id: EndpointId,
    pub(super) zone: String,
    pub(super) service: Option<String>,
}

/// What else tells of endpoints.
pub(super) struct Sources {
    pub(super) snapshot: watch::Receiver<Arc<Snapshot>>,
    /// The members; none where the daemon takes no part in gossip.
    pub(super) members: watch::Receiver<MemberTable>,
    /// Whether the back end's health endpoint says that it is leaving.
    pub(super) health: watch::Receiver<bool>,
    /// Whether this daemon was told to stop.
    pub(super) stopping: watch::Receiver<bool>,
}

/// Where the results go.
pub(super) struct Outputs {
    pub(super) endpoints: watch::Sender<Arc<EndpointTable>>,
    pub(super) leaving: watch::Sender<bool>,
    pub(super) addresses: watch::Sender<Arc<ControlAddresses>>,
}

impl Poller {
    /// Polls until the daemon ends. The last list that was read stays in use while the platform is
    /// down; a new configuration, a change of health and a stop are applied to it at once.
    pub(super) async fn run(mut self) {
        let mut leaving = LeavingSet::new();
        let mut list = MachineList::default();
        let mut reading = Box::pin(self.read_after(Duration::ZERO, list.version));
        loop {
            tokio::select! {
                found = &mut reading => {
                    if let Some(found) = found {
                        take_over(&mut list, found);
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

    /// Reads the list after a wait; `None` when its version is still `known` or that fails.
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
        let health = *self.sources.health.borrow();
        endpoints::mark_health(leaving, &self.own.id, health, incarnation);
        let sources = endpoints::Sources {
            snapshot: &snapshot,
            machines,
            members: &members,
        };
        if *self.sources.stopping.borrow() {
            endpoints::mark_shutdown(leaving, &self.own.id, incarnation);
        }
        let table = endpoints::build(leaving, sources);
        let own = self.is_leaving(leaving, &snapshot, incarnation);
        replace_if_changed(&self.outputs.endpoints, Arc::new(table));
        replace_if_changed(&self.outputs.leaving, own);
        let addresses = control_addresses(machines, &members);
        replace_if_changed(&self.outputs.addresses, Arc::new(addresses));
    }

    /// The incarnation of this daemon.
    fn incarnation(&self, members: &MemberTable) -> u64 {
        let zone = ZoneName::from(self.own.zone.as_str());
        let id = MemberId::from(self.own.id.as_str());
        endpoints::incarnation_of(members.get(&zone, &id))
    }

    /// Whether this daemon's own back end is leaving, be it on the list or not.
    fn is_leaving(&self, leaving: &mut LeavingSet, snapshot: &Snapshot, incarnation: u64) -> bool {
        let placement = Placement {
            id: &self.own.id,
            zone: &self.own.zone,
            service: self.own.service.as_deref(),
        };
        endpoints::mark_drains(leaving, snapshot, placement, incarnation);
        leaving.is_leaving(&self.own.id, incarnation)
    }
}

impl Sources {
    /// Waits for a change of any source.
    async fn changed(&mut self) -> Result<(), watch::error::RecvError> {
        tokio::select! {
            changed = self.snapshot.changed() => changed,
            () = may_change(&mut self.members) => Ok(()),
            () = may_change(&mut self.health) => Ok(()),
            () = may_change(&mut self.stopping) => Ok(()),
        }
    }
}

/// The control addresses of the machine list; the members' own word goes first.
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

/// Waits for a change, for ever where nothing publishes one.
async fn may_change<T>(source: &mut watch::Receiver<T>) {
    if source.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Takes over a list unless it is older than the one in force.
fn take_over(list: &mut MachineList, found: MachineList) {
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

/// Reads the list after `wait`; `None` when its version is still `known` or it can't be read.
async fn read(
    client: Arc<Client>,
    platform: Arc<PlatformHealth>,
    wait: Duration,
    known: u64,
) -> Option<MachineList> {
    tokio::time::sleep(wait).await;
    match client.machines_unless(known).await {
        Ok(list) => {
            platform.answered();
            list
        }
        Err(error) => {
            platform.failed(&error);
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
