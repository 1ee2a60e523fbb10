//! Configurations with tenants, and requests of these tenants.

use std::sync::Arc;
use std::time::Instant;

use wharfquay_sidecar::configuration::Configuration;
use wharfquay_sidecar::settings::Settings;
use wharfquay_sidecar::tenant::{KeyDigest, Quota, Tenant};

use super::backend::ReceivedRequest;
use super::client::{Response, call, request};
use super::platform::EmulatedPlatform;
use super::{MAX_WAIT, Machine, configuration, route};

pub const KEYED: &str = "/keyed/";
pub const PUBLIC: &str = "/open/";

pub fn tenant(name: &str, keys: &[&str]) -> Tenant {
    let keys = keys.iter().map(|key| KeyDigest::of(key.as_bytes()));
    Tenant {
        name: name.to_owned(),
        keys: keys.collect(),
        priority: None,
        quota: None,
    }
}

pub fn limited(name: &str, keys: &[&str], rate_per_s: f64, burst: f64) -> Tenant {
    Tenant {
        quota: Some(Quota { rate_per_s, burst }),
        ..tenant(name, keys)
    }
}

/// Returns a configuration with a route that requires a key and a public one, both to the service
/// `shelf`.
pub fn tenants(version: u64, tenants: Vec<Tenant>) -> Configuration {
    let mut open = route(PUBLIC, "shelf", true);
    open.is_public = true;
    let mut configuration = configuration(version, vec![route(KEYED, "shelf", true), open]);
    configuration.tenants = tenants;
    configuration
}

/// Starts a machine of the service `shelf` and waits until it serves.
pub async fn serving_machine(
    platform: &Arc<EmulatedPlatform>,
    name: &str,
    adjust: impl Fn(&mut Settings),
) -> Machine {
    let mut machine = Machine::start_with_settings(platform, name, "shelf", adjust).await;
    machine
        .send_heartbeat(wharfquay_sidecar::instance::ReportedState::Ready)
        .await;
    machine.ready().await;
    let end = Instant::now() + MAX_WAIT;
    while get(&machine, "/open/x", "up", "").await.status != 200 {
        assert!(Instant::now() < end, "never served");
    }
    machine
}

pub async fn get(machine: &Machine, path: &str, id: &str, headers: &str) -> Response {
    call(machine.outbound, &request("GET", path, id, headers)).await
}

/// Sends a request on the route that requires a key.
pub async fn get_with_key(machine: &Machine, id: &str, key: &str) -> Response {
    let headers = format!("Authorization: Bearer {key}\r\n");
    get(machine, "/keyed/x", id, &headers).await
}

/// Returns the requests that the backend executed on the route that requires a key.
pub fn keyed_requests(machine: &Machine) -> Vec<ReceivedRequest> {
    let mut executed = machine.backend.executed();
    executed.retain(|executed| executed.request_line().contains(KEYED));
    executed
}

/// Returns the result number of a response.
pub fn result(response: &Response) -> Option<u16> {
    response.header("wharfquay-result")?.parse().ok()
}
