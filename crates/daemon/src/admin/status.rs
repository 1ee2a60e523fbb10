//! Collects the status of the daemon for the `/status` page.

use wharfquay_core::routing::{EndpointId, EndpointState};
use wharfquay_resources::kinds::Drain;
use wharfquay_resources::snapshot::Snapshot;

use crate::admin::AdminState;
use crate::control::{EndpointRecord, EndpointTable};
use crate::status::{AdmissionStatus, ClaimStatus, DaemonStatus, DrainStatus, EndpointStatus};

impl AdminState {
    pub(super) fn status(&self) -> DaemonStatus {
        let settings = &self.node.settings;
        let control = &self.node.control;
        let unready_reason = self.unready_reason();
        let backend = self.backend.as_ref();
        let leaving = *control.leaving.borrow();
        let snapshot = control.snapshot.borrow().clone();
        let applied = self.node.applied();
        DaemonStatus {
            id: settings.id.clone(),
            zone: settings.zone.clone(),
            service: backend.map(|backend| backend.service.clone()),
            ready: unready_reason.is_none(),
            unready_reason: unready_reason.map(str::to_owned),
            stopping: self.node.is_stopping(),
            leaving,
            drain: leaving.then(|| self.drain(&snapshot)),
            revision: applied.revision.number(),
            platform_available: control.platform.is_available(),
            calls_in_flight: self.node.calls_in_flight(),
            peers_connected: self.node.forwarder.peers().connected(),
            members_live: control.members.borrow().live_count(),
            endpoints: self.endpoints(&snapshot, &applied.endpoints),
            admission: self.admission(),
            claims: self.claims(),
        }
    }

    fn drain(&self, snapshot: &Snapshot) -> DrainStatus {
        let settings = &self.node.settings;
        let backend = self.backend.as_ref();
        let service = backend.map(|backend| backend.service.as_str());
        let placement = Placement {
            id: &settings.id,
            zone: &settings.zone,
            service,
        };
        let drains = placement.drains(snapshot);
        let limits = drains.iter().map(|drain| u64::from(drain.limit_ms));
        DrainStatus {
            limit_ms: limits.min(),
            drains: names(&drains),
            calls_left: self.node.calls_in_flight(),
        }
    }

    fn endpoints(&self, snapshot: &Snapshot, table: &EndpointTable) -> Vec<EndpointStatus> {
        let endpoints = table.iter();
        endpoints
            .map(|(service, record)| EndpointStatus {
                incarnation: self.incarnation(service, &record.id),
                ..endpoint(snapshot, service, record)
            })
            .collect()
    }

    /// Returns the latest incarnation of the endpoint that is known from gossip and its responses, or
    /// `None` if this daemon routes no calls to the endpoint.
    fn incarnation(&self, service: &str, endpoint: &EndpointId) -> Option<u64> {
        let route = self.node.forwarder.routes().get(service)?;
        route.incarnation(endpoint)
    }

    fn admission(&self) -> Option<AdmissionStatus> {
        let backend = self.backend.as_ref()?;
        let report = backend.gate.report();
        Some(AdmissionStatus {
            level: report.level.number(),
            in_flight: report.load.in_flight,
            limit: report.load.limit,
            rate_limit: backend.announcements.rate(),
            queued: report.load.queued,
            open_connections: backend.pool.open_connections(),
            open_scopes: self.node.scopes.len(),
        })
    }

    fn claims(&self) -> ClaimStatus {
        let replica = self.node.control.claims.status();
        ClaimStatus {
            epoch: replica.epoch.number(),
            voting: replica.voting,
            records: replica.records,
            content_bytes: replica.content_bytes,
        }
    }
}

fn endpoint(snapshot: &Snapshot, service: &str, record: &EndpointRecord) -> EndpointStatus {
    let placement = Placement {
        id: record.id.as_str(),
        zone: record.zone.as_str(),
        service: Some(service),
    };
    EndpointStatus {
        service: service.to_owned(),
        id: record.id.to_string(),
        zone: record.zone.to_string(),
        address: record.call_address.to_string(),
        incarnation: None,
        leaving: record.state == EndpointState::Leaving,
        drains: names(&placement.drains(snapshot)),
    }
}

fn names(drains: &[&Drain]) -> Vec<String> {
    drains.iter().map(|drain| drain.name.clone()).collect()
}

/// The properties of a backend that decide which drains cover it.
#[derive(Clone, Copy, Debug)]
struct Placement<'a> {
    id: &'a str,
    zone: &'a str,
    service: Option<&'a str>,
}

impl Placement<'_> {
    fn drains<'a>(&self, snapshot: &'a Snapshot) -> Vec<&'a Drain> {
        let drains = snapshot.drains.values();
        drains
            .filter(|drain| drain.target.covers(self.id, self.zone, self.service))
            .collect()
    }
}
