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
use wharfquay_platform::wire::Machine;
use wharfquay_resources::snapshot::Snapshot;

use crate::control::ControlAddresses;
use crate::control::endpoints::{self, EndpointTable, Placement, Sources};

/// Polls are spread by up to this share of the interval, so that daemons don't poll together.
const JITTER: f64 = 0.2;

/// Polls the machine list and publishes what follows from it and from the drains.
pub(super) struct Poller {
    pub(super) client: Arc<Client>,
    pub(super) interval: Duration,
    pub(super) own_id: EndpointId,
    pub(super) own_zone: String,
    pub(super) own_service: Option<String>,
    pub(super) snapshot: watch::Receiver<Arc<Snapshot>>,
    pub(super) members: watch::Receiver<MemberTable>,
    pub(super) endpoints: watch::Sender<Arc<EndpointTable>>,
    pub(super) leaving: watch::Sender<bool>,
    pub(super) addresses: watch::Sender<Arc<ControlAddresses>>,
}

impl Poller {
    /// Polls for ever; the last list that was read stays in use while the platform is down.
    pub(super) async fn run(mut self) {
        let mut leaving = LeavingSet::new();
        let mut machines: Vec<Machine> = Vec::new();
        loop {
            match self.client.machines().await {
                Ok(list) => machines = list.machines,
                Err(error) => log::warn!("event=machine_list_read_failed error=\"{error}\""),
            }
            self.publish(&mut leaving, &machines);
            self.wait(&mut leaving, &machines).await;
        }
    }

    /// Waits for the next poll; a new configuration is applied to the list at once.
    async fn wait(&mut self, leaving: &mut LeavingSet, machines: &[Machine]) {
        let spread = 1.0 + JITTER * (rand::rng().random::<f64>() - 0.5);
        let poll = tokio::time::sleep(self.interval.mul_f64(spread));
        tokio::pin!(poll);
        loop {
            tokio::select! {
                () = &mut poll => return,
                Ok(()) = self.snapshot.changed() => self.publish(leaving, machines),
                Ok(()) = self.members.changed() => self.publish(leaving, machines),
            }
        }
    }

    fn publish(&self, leaving: &mut LeavingSet, machines: &[Machine]) {
        let snapshot = self.snapshot.borrow().clone();
        let members = self.members.borrow().clone();
        let sources = Sources {
            snapshot: &snapshot,
            machines,
            members: &members,
        };
        let table = endpoints::build(leaving, sources);
        self.endpoints.send_if_modified(|current| {
            let changed = **current != table;
            if changed {
                *current = Arc::new(table);
            }
            changed
        });
        let addresses = machines.iter();
        let addresses = addresses.map(|machine| (machine.id.clone(), machine.control_address));
        self.addresses.send_replace(Arc::new(addresses.collect()));
        let placement = Placement {
            id: &self.own_id,
            zone: &self.own_zone,
            service: self.own_service.as_deref(),
        };
        let zone = ZoneName::from(self.own_zone.as_str());
        let own_member = members.get(&zone, &MemberId::from(self.own_id.as_str()));
        let incarnation = endpoints::incarnation_of(own_member);
        endpoints::mark_drains(leaving, &snapshot, placement, incarnation);
        let own = leaving.is_leaving(&self.own_id, incarnation);
        self.leaving.send_if_modified(|current| {
            let changed = *current != own;
            *current = own;
            changed
        });
    }
}
