//! Connections to other sidecars: HTTP/1.1, so that one lost packet holds up one call only.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use wharfquay_clock::since_boot;
use wharfquay_daemon::backend_pool::BackendPool;
use wharfquay_daemon::sync::lock;

/// Longest time to open a connection to another sidecar.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Most connections to one other sidecar.
const CONNECTIONS: usize = 256;
/// Longest rest of a connection that is used again.
const MAX_IDLE_TIME: Duration = Duration::from_secs(5);

/// Connections to every sidecar that was called.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    pools: Mutex<HashMap<SocketAddr, Arc<BackendPool>>>,
}

impl Peers {
    /// The connections to one sidecar.
    pub(crate) fn pool(&self, address: SocketAddr) -> Arc<BackendPool> {
        let mut pools = lock(&self.pools);
        let pool = pools.entry(address).or_insert_with(|| {
            BackendPool::with_longest_rest(
                address,
                CONNECTIONS,
                CONNECT_TIMEOUT,
                MAX_IDLE_TIME,
                since_boot,
            )
        });
        Arc::clone(pool)
    }

    /// Closes connections that have rested longer than they may.
    pub(crate) fn close_rested(&self) {
        let pools: Vec<Arc<BackendPool>> = lock(&self.pools).values().cloned().collect();
        for pool in pools {
            pool.close_rested();
        }
    }

    /// Forgets the sidecars that `listed` does not name.
    pub(crate) fn retain(&self, listed: &HashSet<SocketAddr>) {
        lock(&self.pools).retain(|address, _| listed.contains(address));
    }
}
