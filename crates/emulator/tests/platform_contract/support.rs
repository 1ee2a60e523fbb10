//! Emulated platform and clients of it for the contract tests.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::net::TcpSocket;
use wharfquay_emulator::platform::keyspace::{Keyspace, Put};
use wharfquay_emulator::platform::{self, PlatformSettings, RunningPlatform};
use wharfquay_platform::backoff::Backoff;
use wharfquay_platform::wire::{ObjectKey, OperationId};
use wharfquay_platform::{Client, ClientSettings};
use wharfquay_resources::snapshot::Revision;

/// Loopback address with a free port.
pub(crate) const LOOPBACK: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Returns the settings of an emulated platform whose event log holds `event_log_capacity` changes.
pub(crate) fn platform_settings(event_log_capacity: usize) -> PlatformSettings {
    PlatformSettings {
        event_log_capacity,
        bookmark_interval: Duration::from_millis(50),
        ..PlatformSettings::new(LOOPBACK)
    }
}

/// Starts an emulated platform whose event log holds `event_log_capacity` changes.
pub(crate) async fn start_platform(event_log_capacity: usize) -> RunningPlatform {
    let settings = platform_settings(event_log_capacity);
    platform::start(settings)
        .await
        .expect("the emulated platform starts")
}

/// Returns client settings with short timeouts, which detect lost responses quickly.
pub(crate) fn short_timeout_settings() -> ClientSettings {
    ClientSettings {
        call_timeout: Duration::from_millis(200),
        connect_timeout: Duration::from_millis(200),
        watch_idle_timeout: Duration::from_secs(1),
        write_timeout: Duration::from_secs(3),
        backoff: Backoff {
            base: Duration::from_millis(5),
            maximum: Duration::from_millis(50),
        },
        ..ClientSettings::default()
    }
}

/// Returns client settings with timeouts that don't expire even on a busy machine, for tests in
/// which no call may time out.
pub(crate) fn long_timeout_settings() -> ClientSettings {
    ClientSettings {
        call_timeout: Duration::from_secs(5),
        connect_timeout: Duration::from_secs(5),
        watch_idle_timeout: Duration::from_secs(10),
        ..short_timeout_settings()
    }
}

/// Returns a loopback address on which nothing listens. The operating system assigns it to no other
/// process while the returned socket exists; an emulated platform can listen on it.
pub(crate) fn reserve_address() -> (TcpSocket, SocketAddr) {
    let socket = TcpSocket::new_v4().expect("socket");
    socket.set_reuseaddr(true).expect("option");
    socket.bind(LOOPBACK).expect("bind");
    let address = socket.local_addr().expect("address");
    (socket, address)
}

/// Returns a client with long timeouts.
pub(crate) fn client_of(platform: &RunningPlatform) -> Client {
    Client::new(vec![platform.address()], long_timeout_settings())
}

/// Returns a client with short timeouts.
pub(crate) fn client_with_short_timeouts(platform: &RunningPlatform) -> Client {
    Client::new(vec![platform.address()], short_timeout_settings())
}

/// Returns the object key of a service.
pub(crate) fn service_key(name: &str) -> ObjectKey {
    ObjectKey::new("service", name)
}

/// Returns the spec of a service.
pub(crate) fn service_spec(name: &str, slots: u32) -> Value {
    json!({"name": name, "slots": slots})
}

/// Writes a service regardless of faults and of its current version; returns the new version.
pub(crate) fn overwrite(
    platform: &RunningPlatform,
    name: &str,
    slots: u32,
    author: &str,
) -> Revision {
    platform.with_store(|store| overwrite_in(&mut store.objects, name, slots, author))
}

/// Writes a service regardless of its current version; returns the new version.
pub(crate) fn overwrite_in(
    keyspace: &mut Keyspace,
    name: &str,
    slots: u32,
    author: &str,
) -> Revision {
    let key = service_key(name);
    let current = keyspace.get(&key);
    let put = Put {
        expected_version: current.map_or(Revision::ZERO, |object| object.version),
        operation: OperationId::unique(),
        author: author.to_owned(),
        spec: service_spec(name, slots),
        key,
    };
    keyspace.put(put).expect("version is current").version
}

/// Polls until a condition holds; panics after five seconds.
pub(crate) async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    const POLL_INTERVAL: Duration = Duration::from_millis(2);
    const POLLS: u32 = 2_500;
    for _ in 0..POLLS {
        if condition() {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("{what}: not within {:?}", POLL_INTERVAL * POLLS);
}
