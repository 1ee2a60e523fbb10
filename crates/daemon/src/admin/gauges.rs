//! The gauges of the `/metrics` page, whose values are read when the page is requested.

use crate::metrics::{Metric, Presence, Sample, render};
use crate::status::{AdmissionStatus, ClaimStatus, DaemonStatus, EndpointStatus};

/// Renders the `/metrics` page: `samples` plus the gauges of `status`. Metrics that only a daemon
/// beside a backend has are left out at an edge.
pub(super) fn render_metrics(status: &DaemonStatus, mut samples: Vec<Sample>) -> String {
    samples.extend(gauges(status));
    let has_backend = status.admission.is_some();
    let metrics = Metric::ALL.iter().copied();
    let present =
        metrics.filter(|metric| has_backend || metric.presence() != Presence::BesideBackend);
    render(present, &samples)
}

fn gauges(status: &DaemonStatus) -> Vec<Sample> {
    let flag = |metric, value: bool| Sample::plain(metric, u64::from(value));
    let mut samples = vec![
        flag(Metric::Ready, status.ready),
        flag(Metric::Leaving, status.leaving),
        flag(Metric::PlatformAvailable, status.platform_available),
        Sample::plain(Metric::ConfigurationRevision, status.revision),
        Sample::plain(Metric::CallsInFlight, status.calls_in_flight as u64),
        Sample::plain(Metric::PeersConnected, status.peers_connected as u64),
        Sample::plain(Metric::MembersLive, status.members_live as u64),
    ];
    samples.extend(endpoint_gauges(&status.endpoints));
    samples.extend(claim_gauges(&status.claims));
    if let Some(admission) = &status.admission {
        samples.extend(admission_gauges(admission));
    }
    samples
}

fn endpoint_gauges(endpoints: &[EndpointStatus]) -> [Sample; 2] {
    let leaving = endpoints.iter().filter(|endpoint| endpoint.leaving).count();
    let live = endpoints.len() - leaving;
    [("live", live), ("leaving", leaving)].map(|(state, number)| {
        let labels = format!("state=\"{state}\"");
        Sample::labelled(Metric::Endpoints, labels, number as u64)
    })
}

fn claim_gauges(claims: &ClaimStatus) -> [Sample; 4] {
    [
        Sample::plain(Metric::ClaimEpoch, claims.epoch),
        Sample::plain(Metric::ClaimVoting, u64::from(claims.voting)),
        Sample::plain(Metric::ClaimRecords, claims.records as u64),
        Sample::plain(Metric::ClaimContentBytes, claims.content_bytes as u64),
    ]
}

fn admission_gauges(admission: &AdmissionStatus) -> [Sample; 5] {
    [
        Sample::plain(Metric::AdmissionLevel, u64::from(admission.level)),
        Sample::plain(Metric::AdmissionInFlight, u64::from(admission.in_flight)),
        Sample::plain(Metric::AdmissionLimit, u64::from(admission.limit)),
        Sample::plain(Metric::AdmissionQueued, u64::from(admission.queued)),
        Sample::plain(
            Metric::BackendConnections,
            admission.open_connections as u64,
        ),
    ]
}
