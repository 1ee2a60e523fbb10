//! Metrics and readiness are read while the configuration and the members change.

mod support;

use std::sync::Arc;
use std::sync::mpsc;
use std::time::Duration;

use support::platform::EmulatedPlatform;
use support::{Machine, configuration, eventually, route};

const CHANGES: u64 = 400;
/// Number of concurrent readers. Each may encounter a change between the parts of one read.
const READERS: usize = 3;
/// Number of sidecars that join while metrics are read.
const JOINING: usize = 12;
const LIMIT: Duration = Duration::from_secs(20);

#[test]
fn reading_metrics_while_the_configuration_changes_does_not_deadlock() {
    completes_in_time(change_and_read());
}

#[test]
fn reading_metrics_while_the_members_change_does_not_deadlock() {
    completes_in_time(join_and_read());
}

fn completes_in_time(scenario: impl Future<Output = ()> + Send + 'static) {
    let (ended, end) = mpsc::channel();
    // Runs in a separate thread: in a deadlock the runtime could not be shut down either.
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(READERS + 2)
            .enable_all()
            .build()
            .unwrap();
        runtime.block_on(scenario);
        ended.send(()).unwrap();
    });
    assert_eq!(end.recv_timeout(LIMIT), Ok(()));
}

async fn change_and_read() {
    let version = |number| configuration(number, vec![route("/reads/", "shelf", true)]);
    let platform = Arc::new(EmulatedPlatform::new(Some(version(1))));
    let machine = Machine::start(&platform, "machine-a", "shelf").await;
    machine.ready().await;
    let readers = read_metrics(&machine);
    for number in 2..CHANGES {
        platform.publish(version(number));
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    let newest = format!("wharfquay_configuration_version {}", CHANGES - 1);
    eventually("the newest version is in force", || {
        machine.sidecar.metrics_text().contains(&newest)
    })
    .await;
    for reader in readers {
        reader.abort();
    }
}

/// Sidecars that join one after the other change the member table of the sidecar whose metrics are
/// read.
async fn join_and_read() {
    let version = configuration(1, vec![route("/reads/", "shelf", true)]);
    let platform = Arc::new(EmulatedPlatform::new(Some(version)));
    let machine = Machine::start(&platform, "machine-a", "shelf").await;
    machine.ready().await;
    let readers = read_metrics(&machine);
    let mut joined = Vec::new();
    for number in 0..JOINING {
        joined.push(Machine::start(&platform, &format!("machine-b{number}"), "shelf").await);
    }
    let all = format!("wharfquay_members{{state=\"alive\"}} {}", JOINING + 1);
    eventually("all are members", || {
        machine.sidecar.metrics_text().contains(&all)
    })
    .await;
    for reader in readers {
        reader.abort();
    }
}

fn read_metrics(machine: &Machine) -> Vec<tokio::task::JoinHandle<()>> {
    let readers = (0..READERS).map(|_| {
        let sidecar = Arc::clone(&machine.sidecar);
        tokio::spawn(async move {
            loop {
                assert!(!sidecar.metrics_text().is_empty());
                tokio::task::yield_now().await;
            }
        })
    });
    readers.collect()
}
