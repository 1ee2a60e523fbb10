//! Metrics and readiness are read while the configuration changes.

mod support;

use std::sync::Arc;
use std::sync::mpsc;
use std::time::Duration;

use support::platform::StandInPlatform;
use support::{Machine, configuration, eventually, route};

const CHANGES: u64 = 400;
/// Readings at a time; each may meet a change between its own parts.
const READERS: usize = 3;
/// Sidecars that join while metrics are read.
const JOINING: usize = 12;
const LIMIT: Duration = Duration::from_secs(20);

#[test]
fn reading_metrics_and_changing_the_configuration_block_each_other_for_a_moment_only() {
    ends_in_time(change_and_read());
}

#[test]
fn reading_metrics_and_changing_the_members_block_each_other_for_a_moment_only() {
    ends_in_time(join_and_read());
}

fn ends_in_time(scenario: impl Future<Output = ()> + Send + 'static) {
    let (ended, end) = mpsc::channel();
    // A thread of its own: where both block for good, so does the runtime's end.
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
    let platform = Arc::new(StandInPlatform::new(Some(version(1))));
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

/// Sidecars that join one after the other change the member table of the one that is read.
async fn join_and_read() {
    let version = configuration(1, vec![route("/reads/", "shelf", true)]);
    let platform = Arc::new(StandInPlatform::new(Some(version)));
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
