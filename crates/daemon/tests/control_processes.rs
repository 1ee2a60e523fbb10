//! Tests of gossip and configuration relay between daemons in separate processes.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use support::backend::BackendStub;
use support::client::{self, Call};
use support::deployment::{member_text, standard_resources};
use support::eventually;
use support::platform::PlatformStub;
use support::process::Process;
use wharfquay_resources::kinds::{Drain, DrainTarget, Resource};

const ZONES: [&str; 2] = ["north", "south"];
const PER_ZONE: usize = 3;
const ANY_PORT: &str = "127.0.0.1:0";

/// Daemons in two zones; the machine list stays empty.
struct Mesh {
    name: &'static str,
    platform: PlatformStub,
    backend: BackendStub,
    daemons: Vec<Process>,
}

impl Mesh {
    async fn start(name: &'static str) -> Self {
        let platform = PlatformStub::start().await;
        for resource in standard_resources(&["booking"]) {
            platform.put(&resource);
        }
        let mut mesh = Self {
            name,
            platform,
            backend: BackendStub::start().await,
            daemons: Vec::new(),
        };
        for number in 0..ZONES.len() * PER_ZONE {
            let daemon = mesh.start_daemon(number);
            mesh.daemons.push(daemon);
        }
        mesh.wait_until_in_force(mesh.platform.version()).await;
        mesh.wait_until_known(ZONES.len() * PER_ZONE).await;
        mesh
    }

    /// Starts a daemon with the running daemons as its seeds.
    fn start_daemon(&self, number: usize) -> Process {
        let id = format!("booking-{number}");
        let platform = self.platform.address;
        let text = member_text(platform, &id, "booking", self.backend.address, ANY_PORT);
        let zone = format!("zone = \"{}\"", ZONES[number % ZONES.len()]);
        let text = text.replace("zone = \"north\"", &zone);
        let seeds: Vec<String> = self
            .daemons
            .iter()
            .map(|daemon| format!("\"{}\"", daemon.address("control")))
            .collect();
        let seeds = seeds.join(", ");
        let text = format!("{text}[control]\nlisten = \"{ANY_PORT}\"\nseeds = [{seeds}]\n");
        Process::start(&format!("{}-{id}", self.name), &text)
    }

    async fn wait_until_in_force(&self, revision: u64) {
        for daemon in &self.daemons {
            eventually(&format!("revision {revision} is in force"), async || {
                let status = status(daemon.address("admin")).await;
                status["ready"] == true && status["revision"] == revision
            })
            .await;
        }
    }

    /// Waits until every daemon has this many endpoints.
    async fn wait_until_known(&self, endpoints: usize) {
        for daemon in &self.daemons {
            eventually(&format!("{endpoints} endpoints are known"), async || {
                let status = status(daemon.address("admin")).await;
                status["endpoints"].as_array().map_or(0, Vec::len) == endpoints
            })
            .await;
        }
    }
}

async fn status(admin: SocketAddr) -> Value {
    let response = client::send(admin, Call::get("admin", "/status")).await;
    let text = response.map(|response| response.text()).unwrap_or_default();
    serde_json::from_str(&text).unwrap_or_default()
}

fn drain_of(id: &str) -> Resource {
    Resource::Drain(Drain {
        name: id.to_owned(),
        target: DrainTarget::Backend(id.to_owned()),
        limit_ms: 1_000,
    })
}

#[tokio::test(flavor = "multi_thread")]
async fn daemons_restarted_without_the_platform_get_the_newest_revision_from_peers() {
    let mut mesh = Mesh::start("restart").await;
    mesh.platform.put(&drain_of("booking-0"));
    let newest = mesh.platform.version();
    mesh.wait_until_in_force(newest).await;
    mesh.platform.set_down(true);
    // Restart all daemons of one zone, then those of the other; afterwards no daemon has kept its
    // state.
    for zone in 0..ZONES.len() {
        let members: Vec<usize> = (zone..mesh.daemons.len()).step_by(ZONES.len()).collect();
        for &number in &members {
            mesh.daemons[number].kill();
        }
        for &number in &members {
            mesh.daemons[number] = mesh.start_daemon(number);
        }
        mesh.wait_until_in_force(newest).await;
    }
    mesh.platform.set_down(false);
    mesh.platform.put(&drain_of("booking-1"));
    mesh.wait_until_in_force(mesh.platform.version()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_and_a_stop_reach_every_daemon_within_two_seconds() {
    let mut mesh = Mesh::start("change").await;
    mesh.platform.put(&drain_of("booking-4"));
    let wait = mesh.wait_until_in_force(mesh.platform.version());
    let in_time = tokio::time::timeout(Duration::from_secs(2), wait).await;
    assert!(in_time.is_ok(), "the change took longer");
    let stopped = mesh.daemons.pop().expect("six daemons");
    stopped.terminate();
    let others_know = async {
        for daemon in &mesh.daemons {
            eventually("the stop is known", async || {
                let status = status(daemon.address("admin")).await;
                let endpoints = status["endpoints"].as_array().cloned().unwrap_or_default();
                let named = |endpoint: &&Value| endpoint["id"] == "booking-5";
                let stopped = endpoints.iter().find(named);
                stopped.is_none_or(|endpoint| endpoint["leaving"] == true)
            })
            .await;
        }
    };
    let in_time = tokio::time::timeout(Duration::from_secs(2), others_know).await;
    assert!(in_time.is_ok(), "the stop took longer to be known");
    let readers = mesh.platform.max_watches();
    assert!(readers <= 6, "{readers} readers of the platform");
}
