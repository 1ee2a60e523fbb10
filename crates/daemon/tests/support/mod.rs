//! What the tests of the daemon share: stand-ins and a deployment of daemons in this process.

#![allow(dead_code, unreachable_pub, missing_docs)]

pub mod backend;
pub mod body;
pub mod client;
pub mod deployment;
pub mod peer;
pub mod platform;
pub mod process;
pub mod raw;

use std::time::Duration;

/// Longest time that a test waits for something to become true.
const PATIENCE: Duration = Duration::from_secs(10);

/// Polls until `condition` holds.
pub async fn eventually(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let poll = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    let reached = tokio::time::timeout(PATIENCE, poll).await;
    assert!(reached.is_ok(), "not reached: {what}");
}
