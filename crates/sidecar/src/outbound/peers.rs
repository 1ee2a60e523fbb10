//! Connections to other sidecars. They use HTTP/1.1 because one lost packet then delays one call
//! only.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use wharfquay_clock::since_boot;
use wharfquay_daemon::backend_pool::BackendPool;
use wharfquay_daemon::sync::lock;

/// Timeout for opening a connection to another sidecar.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum number of connections to one other sidecar.
const CONNECTIONS: usize = 256;
/// Maximum idle time after which a connection is not reused.
const MAX_IDLE_TIME: Duration = Duration::from_secs(5);

/// Connection pools of all sidecars that were called.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    pools: Mutex<HashMap<SocketAddr, Arc<BackendPool>>>,
}

impl Peers {
    /// Returns the connection pool of one sidecar.
    pub(crate) fn pool(&self, address: SocketAddr) -> Arc<BackendPool> {
        let mut pools = lock(&self.pools);
        let pool = pools.entry(address).or_insert_with(|| {
            BackendPool::with_max_idle_time(
                address,
                CONNECTIONS,
                CONNECT_TIMEOUT,
                MAX_IDLE_TIME,
                since_boot,
            )
        });
        Arc::clone(pool)
    }

    /// Closes connections that exceeded the maximum idle time.
    pub(crate) fn close_idle(&self) {
        let pools: Vec<Arc<BackendPool>> = lock(&self.pools).values().cloned().collect();
        for pool in pools {
            pool.close_idle();
        }
    }

    /// Drops the pools of sidecars that `listed` does not contain.
    pub(crate) fn retain(&self, listed: &HashSet<SocketAddr>) {
        lock(&self.pools).retain(|address, _| listed.contains(address));
    }
}
