//! A stand-in and clients of it, for contract tests.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use serde_json::{Value, json};
use wharfquay_emulator::platform::{self, PlatformSettings, RunningPlatform};
use wharfquay_platform::backoff::Backoff;
use wharfquay_platform::wire::ObjectKey;
use wharfquay_platform::{Client, ClientSettings};

/// Loopback address with a free port.
pub(crate) const LOOPBACK: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Starts a stand-in whose event log holds `event_log_capacity` changes.
pub(crate) async fn start_platform(event_log_capacity: usize) -> RunningPlatform {
    let settings = PlatformSettings {
        event_log_capacity,
        bookmark_interval: Duration::from_millis(50),
        ..PlatformSettings::new(LOOPBACK)
    };
    platform::start(settings).await.expect("stand-in starts")
}

/// Short bounds, so that lost answers are noticed soon.
pub(crate) fn client_settings() -> ClientSettings {
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

/// A client of the stand-in.
pub(crate) fn client_of(platform: &RunningPlatform) -> Client {
    Client::new(vec![platform.address()], client_settings())
}

/// Key of a service.
pub(crate) fn service_key(name: &str) -> ObjectKey {
    ObjectKey::new("service", name)
}

/// Spec of a service.
pub(crate) fn service_spec(name: &str, slots: u32) -> Value {
    json!({"name": name, "slots": slots})
}
