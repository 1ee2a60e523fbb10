//! A sidecar that no longer hears of the others sends callers away, and takes them again afterwards.

mod support;

use std::sync::Arc;

use support::platform::StandInPlatform;
use support::{Machine, configuration, eventually, route};
use tokio::runtime::Runtime;

fn platform() -> Arc<StandInPlatform> {
    let routes = vec![route("/reads/", "shelf", true)];
    Arc::new(StandInPlatform::new(Some(configuration(1, routes))))
}

/// A machine in a runtime of its own: it falls silent at once when the runtime is dropped.
fn start_elsewhere(platform: &Arc<StandInPlatform>, name: &'static str) -> Runtime {
    let runtime = Runtime::new().unwrap();
    let platform = Arc::clone(platform);
    let started = runtime.spawn(async move {
        let machine = Machine::start(&platform, name, "shelf").await;
        machine.ready().await;
        // The machine stays until the runtime ends.
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
async fn a_sidecar_that_hears_of_no_other_is_not_ready_until_it_does_again() {
    let platform = platform();
    let machine = Machine::start(&platform, "machine-a", "shelf").await;
    let other = start_elsewhere(&platform, "machine-b");
    eventually("they know each other", || knows(&machine, 2)).await;
    machine.ready().await;
    other.shutdown_background();
    eventually("it is not ready", || !machine.sidecar.is_ready()).await;
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
