//! A sidecar without contact to the others is not ready, and becomes ready again once contact is
//! restored.

mod support;

use std::sync::Arc;

use support::platform::EmulatedPlatform;
use support::{Machine, configuration, eventually, route};
use tokio::runtime::Runtime;

fn platform() -> Arc<EmulatedPlatform> {
    let routes = vec![route("/reads/", "shelf", true)];
    Arc::new(EmulatedPlatform::new(Some(configuration(1, routes))))
}

/// Starts a machine in a separate runtime. It stops responding as soon as the runtime is dropped.
fn start_elsewhere(platform: &Arc<EmulatedPlatform>, name: &'static str) -> Runtime {
    let runtime = Runtime::new().unwrap();
    let platform = Arc::clone(platform);
    let started = runtime.spawn(async move {
        let machine = Machine::start(&platform, name, "shelf").await;
        machine.ready().await;
        // Keeps the machine until the runtime is shut down.
        std::future::pending::<()>().await;
        drop(machine);
    });
    drop(started);
    runtime
}

fn knows(machine: &Machine, alive: usize) -> bool {
    let line = format!("wharfquay_members{{state=\"alive\"}} {alive}");
    machine.sidecar.metrics_text().contains(&line)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_isolated_sidecar_is_not_ready_until_contact_is_restored() {
    let platform = platform();
    let machine = Machine::start(&platform, "machine-a", "shelf").await;
    let other = start_elsewhere(&platform, "machine-b");
    eventually("the sidecars have discovered each other", || {
        knows(&machine, 2)
    })
    .await;
    machine.ready().await;
    other.shutdown_background();
    eventually("the sidecar is not ready", || !machine.sidecar.is_ready()).await;
    let other = start_elsewhere(&platform, "machine-b");
    machine.ready().await;
    other.shutdown_background();
}

#[tokio::test]
async fn a_lone_sidecar_is_ready() {
    let machine = Machine::start(&platform(), "machine-a", "shelf").await;
    machine.ready().await;
    let longer_than_the_limit = std::time::Duration::from_millis(3_500);
    tokio::time::sleep(longer_than_the_limit).await;
    assert!(machine.sidecar.is_ready());
}
