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

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpSocket;

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

/// An address that refuses connections. It stays bound, so that no other test gets its port.
pub struct NobodyListens(TcpSocket);

impl NobodyListens {
    pub fn bind() -> Self {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
        Self(socket)
    }

    pub fn address(&self) -> SocketAddr {
        self.0.local_addr().unwrap()
    }
}
