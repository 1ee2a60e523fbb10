//! A deployment in this process: an emulated platform, backends with their daemons, and an edge.

use std::net::SocketAddr;

use serde_json::json;
use wharfquay_daemon::settings::{self, Settings};
use wharfquay_daemon::{Daemon, RunningDaemon};
use wharfquay_resources::kinds::{RequestKind, Resource, RetryBudget, Service};

use super::backend::BackendStub;
use super::client::{self, Call, ClientResponse};
use super::eventually;
use super::platform::PlatformStub;

/// An emulated backend and the daemon beside it.
pub struct Member {
    pub id: String,
    pub service: String,
    pub backend: BackendStub,
    pub daemon: RunningDaemon,
}

/// An emulated platform, backends with their daemons, and an edge.
pub struct Deployment {
    pub platform: PlatformStub,
    pub members: Vec<Member>,
    pub edge: RunningDaemon,
}

impl Deployment {
    /// Starts one backend for each entry of `services` and waits until the daemons are ready.
    pub async fn start(services: &[&str]) -> Self {
        Self::start_with(services, &standard_resources(services)).await
    }

    pub async fn start_with(services: &[&str], resources: &[Resource]) -> Self {
        let platform = PlatformStub::start().await;
        for resource in resources {
            platform.put(resource);
        }
        let mut members = Vec::new();
        for (number, service) in services.iter().enumerate() {
            let id = format!("{service}-{number}");
            members.push(start_member(&platform, &id, service).await);
        }
        let edge = Daemon::start(edge_settings(&platform, "")).await.unwrap();
        let deployment = Self {
            platform,
            members,
            edge,
        };
        deployment.wait_until_ready(services).await;
        deployment
    }

    /// Waits until every daemon is ready and has every endpoint.
    async fn wait_until_ready(&self, services: &[&str]) {
        for address in self.admin_addresses() {
            wait_for_endpoints(address, services.len()).await;
        }
    }

    pub fn admin_addresses(&self) -> Vec<SocketAddr> {
        let daemons = self.members.iter().map(|member| &member.daemon);
        daemons
            .chain([&self.edge])
            .filter_map(|daemon| daemon.addresses().admin)
            .collect()
    }

    pub fn edge_address(&self) -> SocketAddr {
        self.edge.addresses().edge.unwrap()
    }

    /// Sends a request to the edge.
    pub async fn send(&self, call: Call) -> ClientResponse {
        client::send(self.edge_address(), call).await.unwrap()
    }
}

/// Waits until a daemon is ready and routes calls to this many endpoints.
pub async fn wait_for_endpoints(admin: SocketAddr, count: usize) {
    eventually("every endpoint is known", async || {
        let status = client::send(admin, Call::get("admin", "/status")).await;
        let text = status.map(|status| status.text()).unwrap_or_default();
        let status: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
        let endpoints = status["endpoints"]
            .as_array()
            .map_or(&[][..], Vec::as_slice);
        let is_routed = |endpoint: &serde_json::Value| endpoint["incarnation"].is_u64();
        status["ready"] == true && endpoints.len() == count && endpoints.iter().all(is_routed)
    })
    .await;
}

/// Starts a backend with its daemon and adds it to the machine list.
pub async fn start_member(platform: &PlatformStub, id: &str, service: &str) -> Member {
    let backend = BackendStub::start().await;
    let settings = member_settings(platform, id, service, backend.address);
    let daemon = Daemon::start(settings).await.unwrap();
    let addresses = daemon.addresses();
    backend.set_outbound(addresses.outbound.unwrap());
    platform.put_machine(machine(id, service, addresses.inbound.unwrap(), "live"));
    Member {
        id: id.to_owned(),
        service: service.to_owned(),
        backend,
        daemon,
    }
}

/// Returns an entry of the machine list.
pub fn machine(id: &str, service: &str, address: SocketAddr, state: &str) -> serde_json::Value {
    json!({
        "id": id,
        "zone": "north",
        "service": service,
        "state": state,
        "call_address": address.to_string(),
        "control_address": address.to_string(),
    })
}

fn member_settings(
    platform: &PlatformStub,
    id: &str,
    service: &str,
    backend: SocketAddr,
) -> Settings {
    let text = member_text(platform.address, id, service, backend, "127.0.0.1:0");
    settings::parse("member.toml", &text, &[]).unwrap()
}

/// Returns the settings file of a daemon beside a backend.
pub fn member_text(
    platform: SocketAddr,
    id: &str,
    service: &str,
    backend: SocketAddr,
    listen: &str,
) -> String {
    format!(
        "id = \"{id}\"\nzone = \"north\"\n\
         [backend]\nservice = \"{service}\"\naddress = \"{backend}\"\n\
         health_path = \"/health\"\nhealth_interval_ms = 50\n\
         [inbound]\nlisten = \"{listen}\"\n\
         [outbound]\nlisten = \"127.0.0.1:0\"\n\
         [admin]\nlisten = \"127.0.0.1:0\"\n\
         [platform]\naddresses = [\"{platform}\"]\npoll_interval_ms = 50\n"
    )
}

/// Returns the settings of an edge; `more` is appended to the file.
pub fn edge_settings(platform: &PlatformStub, more: &str) -> Settings {
    let text = edge_text(platform.address, more);
    settings::parse("edge.toml", &text, &[]).unwrap()
}

/// Returns the settings file of an edge; `more` is appended to it.
pub fn edge_text(platform: SocketAddr, more: &str) -> String {
    format!(
        "id = \"edge\"\nzone = \"north\"\n\
         [edge]\nlisten = \"127.0.0.1:0\"\n\
         [admin]\nlisten = \"127.0.0.1:0\"\n\
         [platform]\naddresses = [\"{platform}\"]\npoll_interval_ms = 50\n{more}"
    )
}

/// Returns services that declare to call each other, for each a repeatable (GET) and an
/// unrepeatable (POST) request kind, and a retry budget.
pub fn standard_resources(services: &[&str]) -> Vec<Resource> {
    let mut names = services.to_vec();
    names.sort_unstable();
    names.dedup();
    let mut resources: Vec<Resource> = names.iter().map(|name| service(name, &names)).collect();
    for name in &names {
        resources.push(request_kind(name, "GET", true));
        resources.push(request_kind(name, "POST", false));
    }
    resources.push(Resource::RetryBudget(RetryBudget {
        name: "default".to_owned(),
        retries_per_request: 3,
        ratio: 0.5,
        backoff_base_ms: 1,
        backoff_max_ms: 4,
    }));
    resources
}

pub fn service(name: &str, calls: &[&str]) -> Resource {
    Resource::Service(Service {
        name: name.to_owned(),
        slots: 8,
        connections: 16,
        queue_wait_ms: 200,
        warm_up_ms: 0,
        calls: calls.iter().map(|name| (*name).to_owned()).collect(),
    })
}

pub fn request_kind(service: &str, method: &str, repeatable: bool) -> Resource {
    Resource::RequestKind(RequestKind {
        name: format!("{service}_{}", method.to_lowercase()),
        service: service.to_owned(),
        method: Some(method.to_owned()),
        path_prefix: "/".to_owned(),
        priority: 2,
        deadline_ms: 2_000,
        repeatable,
        idempotency_key_required: false,
        retry_budget: None,
    })
}
