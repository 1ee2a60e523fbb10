//! Status of the daemons, from their status pages.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use tokio::task::JoinSet;

use crate::connection::with_progress;
use crate::daemon_status::{DaemonStatus, describe_level, fetch_status};
use crate::table::TextTable;

/// Maximum number of status pages that are read concurrently.
const CONCURRENT_READS: usize = 64;

/// A daemon's status, or the error of the read.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct DaemonView {
    /// Admin address of the daemon.
    pub(crate) address: SocketAddr,
    /// The status page; absent when it can't be read.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) status: Option<DaemonStatus>,
    /// Why the status page can't be read; absent when it was read.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) error: Option<String>,
}

/// Reads the status of every daemon; the result has the order of the addresses.
pub(crate) async fn read_daemons(addresses: &[SocketAddr], timeout: Duration) -> Vec<DaemonView> {
    if addresses.is_empty() {
        return Vec::new();
    }
    let read = read_concurrently(addresses, timeout);
    let mut views = with_progress("reading the daemons' status", read).await;
    views.sort_by_key(|view| {
        addresses
            .iter()
            .position(|address| *address == view.address)
    });
    views
}

async fn read_concurrently(addresses: &[SocketAddr], timeout: Duration) -> Vec<DaemonView> {
    let mut reads = JoinSet::new();
    let mut views = Vec::with_capacity(addresses.len());
    for address in addresses {
        if reads.len() >= CONCURRENT_READS
            && let Some(Ok(view)) = reads.join_next().await
        {
            views.push(view);
        }
        reads.spawn(read_daemon(*address, timeout));
    }
    while let Some(read) = reads.join_next().await {
        views.extend(read.ok());
    }
    views
}

async fn read_daemon(address: SocketAddr, timeout: Duration) -> DaemonView {
    match fetch_status(address, timeout).await {
        Ok(status) => DaemonView {
            address,
            status: Some(status),
            error: None,
        },
        Err(error) => DaemonView {
            address,
            status: None,
            error: Some(error.to_string()),
        },
    }
}

pub(super) fn render_daemons(daemons: &[DaemonView]) -> String {
    format!("{}\n{}", daemon_table(daemons), service_table(daemons))
}

fn daemon_table(daemons: &[DaemonView]) -> String {
    let mut table = TextTable::new(&[
        "DAEMON",
        "ZONE",
        "SERVICE",
        "STATE",
        "REVISION",
        "IN FLIGHT",
        "LIMIT",
        "QUEUED",
        "LEVEL",
    ]);
    for daemon in daemons {
        match &daemon.status {
            Some(status) => table.add_row(daemon_row(status)),
            None => {
                let error = daemon.error.clone().unwrap_or_default();
                table.add_row([
                    daemon.address.to_string(),
                    String::new(),
                    String::new(),
                    error,
                ]);
            }
        }
    }
    table.render()
}

fn daemon_row(status: &DaemonStatus) -> [String; 9] {
    let admission = status.admission;
    let number = |value: Option<u32>| value.map_or_else(String::new, |value| value.to_string());
    [
        status.id.clone(),
        status.zone.clone(),
        status
            .service
            .clone()
            .unwrap_or_else(|| "(edge)".to_owned()),
        describe_state(status).to_owned(),
        status.revision.to_string(),
        status.pending_calls().to_string(),
        number(admission.map(|admission| admission.limit)),
        number(admission.map(|admission| admission.queued)),
        admission.map_or_else(String::new, |admission| admission.describe()),
    ]
}

const fn describe_state(status: &DaemonStatus) -> &'static str {
    match (status.leaving, status.ready) {
        (true, _) => "leaving",
        (false, true) => "ready",
        (false, false) => "not ready",
    }
}

/// Aggregated status of the daemons of one service.
#[derive(Default)]
struct ServiceSummary {
    daemons: u32,
    leaving: u32,
    in_flight: u64,
    limit: u64,
    queued: u64,
    /// Lowest admission level of the daemons.
    strictest_level: Option<u16>,
    /// Lowest revision in force at the daemons.
    lowest_revision: Option<u64>,
}

fn service_table(daemons: &[DaemonView]) -> String {
    let mut services: BTreeMap<&str, ServiceSummary> = BTreeMap::new();
    for status in daemons.iter().filter_map(|daemon| daemon.status.as_ref()) {
        if let Some(service) = &status.service {
            accumulate(services.entry(service).or_default(), status);
        }
    }
    let mut table = TextTable::new(&[
        "SERVICE",
        "DAEMONS",
        "LEAVING",
        "REVISION",
        "IN FLIGHT",
        "LIMIT",
        "QUEUED",
        "LEVEL",
    ]);
    for (service, summary) in services {
        table.add_row([
            service.to_owned(),
            summary.daemons.to_string(),
            summary.leaving.to_string(),
            summary.lowest_revision.unwrap_or_default().to_string(),
            summary.in_flight.to_string(),
            summary.limit.to_string(),
            summary.queued.to_string(),
            summary
                .strictest_level
                .map_or_else(String::new, describe_level),
        ]);
    }
    table.render()
}

fn accumulate(summary: &mut ServiceSummary, status: &DaemonStatus) {
    let admission = status.admission.unwrap_or_default();
    summary.daemons += 1;
    summary.leaving += u32::from(status.leaving);
    summary.in_flight += u64::from(admission.in_flight);
    summary.limit += u64::from(admission.limit);
    summary.queued += u64::from(admission.queued);
    let strictest = summary.strictest_level.unwrap_or(u16::MAX);
    summary.strictest_level = Some(strictest.min(admission.level));
    let lowest = summary.lowest_revision.unwrap_or(u64::MAX);
    summary.lowest_revision = Some(lowest.min(status.revision));
}
