//! Shared test support: emulated backends, peers and a platform, and a deployment of daemons in
//! this process.

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

/// Maximum time that a test waits for a condition.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Polls until `condition` holds; panics with `what` if it takes too long.
pub async fn eventually(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let poll = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    let reached = tokio::time::timeout(MAX_WAIT, poll).await;
    assert!(reached.is_ok(), "not reached: {what}");
}

/// An address that refuses connections. The port stays bound, which keeps other tests from getting
/// it.
pub struct UnusedPort(TcpSocket);

impl UnusedPort {
    pub fn bind() -> Self {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
        Self(socket)
    }

    pub fn address(&self) -> SocketAddr {
        self.0.local_addr().unwrap()
    }
}
