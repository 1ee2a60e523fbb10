//! Status page on a daemon's admin listener.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::{Deserialize, Serialize};
use wharfquay_core::priority::{AdmissionLevel, Priority, Rank};

use crate::arguments::Arguments;
use crate::commands::Flag;
use crate::connection::parse_addresses;
use crate::error::CliError;

/// Maximum size of a status page, in bytes.
const MAX_PAGE_BYTES: usize = 16 * 1024 * 1024;

pub(crate) const DAEMON: Flag = Flag::with_value(
    "daemon",
    "IP:PORT",
    "Comma-separated admin addresses of daemons; may be repeated",
);

/// Returns the admin addresses of the daemons that the flags specify.
pub(crate) fn daemon_addresses(arguments: &Arguments) -> Result<Vec<SocketAddr>, CliError> {
    let texts = arguments.texts(DAEMON.name);
    let lists: Vec<Vec<SocketAddr>> = texts
        .iter()
        .map(|text| parse_addresses("--daemon", text))
        .collect::<Result<_, _>>()?;
    Ok(lists.concat())
}

/// Status that a daemon reports.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct DaemonStatus {
    /// Id of the daemon.
    pub(crate) id: String,
    /// Zone of the daemon.
    pub(crate) zone: String,
    /// Service of the daemon's backend; absent at an edge.
    #[serde(default)]
    pub(crate) service: Option<String>,
    /// True if the daemon can serve calls.
    #[serde(default)]
    pub(crate) ready: bool,
    /// True if the daemon's backend is leaving.
    #[serde(default)]
    pub(crate) leaving: bool,
    /// Revision of the configuration in force; 0 before the first one.
    #[serde(default)]
    pub(crate) revision: u64,
    /// Number of calls that have not completed.
    #[serde(default)]
    pub(crate) calls_in_flight: u64,
    /// Admission at the daemon's backend; absent at an edge.
    #[serde(default)]
    pub(crate) admission: Option<AdmissionStatus>,
}

/// Admission status of one backend.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub(crate) struct AdmissionStatus {
    /// Admission level, 0 (closed) to 32768 (open).
    pub(crate) level: u16,
    /// Number of calls in execution at the backend.
    pub(crate) in_flight: u32,
    /// Concurrency limit in force: the maximum number of calls in execution at the backend.
    pub(crate) limit: u32,
    /// Rate limit that the backend announces, in requests per second; `None` if it announces none.
    pub(crate) rate_limit: Option<f64>,
    /// Number of calls that wait for admission to the backend.
    pub(crate) queued: u32,
}

impl DaemonStatus {
    /// Returns the number of calls in flight or queued.
    pub(crate) fn pending_calls(&self) -> u64 {
        let admission = self.admission.unwrap_or_default();
        let at_backend = u64::from(admission.in_flight) + u64::from(admission.queued);
        self.calls_in_flight.max(at_backend)
    }
}

impl AdmissionStatus {
    /// Describes the admission level and the announced rate limit.
    pub(crate) fn describe(&self) -> String {
        let level = describe_level(self.level);
        match self.rate_limit {
            Some(rate) => format!("{level}, {rate}/s"),
            None => level,
        }
    }
}

/// An error that prevents a read of a status page.
#[derive(Debug, Display)]
pub(crate) enum StatusError {
    /// no response within {0:?}
    Timeout(Duration),
    /// no connection: {0}
    Connection(String),
    /// the daemon responded with {0}
    UnexpectedStatus(StatusCode),
    /// malformed page: {0}
    Malformed(String),
}

/// Reads the status page of the daemon with this admin address.
pub(crate) async fn fetch_status(
    address: SocketAddr,
    timeout: Duration,
) -> Result<DaemonStatus, StatusError> {
    tokio::time::timeout(timeout, fetch(address))
        .await
        .map_err(|_| StatusError::Timeout(timeout))?
}

async fn fetch(address: SocketAddr) -> Result<DaemonStatus, StatusError> {
    let client: Client<HttpConnector, Empty<Bytes>> =
        Client::builder(TokioExecutor::new()).build_http();
    let request = Request::get(format!("http://{address}/status"))
        .body(Empty::new())
        .map_err(|error| StatusError::Malformed(error.to_string()))?;
    let response = client
        .request(request)
        .await
        .map_err(|error| StatusError::Connection(describe_chain(&error)))?;
    if response.status() != StatusCode::OK {
        return Err(StatusError::UnexpectedStatus(response.status()));
    }
    let body = Limited::new(response.into_body(), MAX_PAGE_BYTES);
    let page = body
        .collect()
        .await
        .map_err(|error| StatusError::Connection(error.to_string()))?;
    read_page(&page.to_bytes()).map_err(|error| StatusError::Malformed(error.to_string()))
}

/// Parses a page as a JSON object first, since the derived deserializer would also accept an array.
fn read_page(page: &[u8]) -> Result<DaemonStatus, serde_json::Error> {
    let object: serde_json::Map<String, serde_json::Value> = serde_json::from_slice(page)?;
    serde_json::from_value(object.into())
}

/// Returns the text of an error and its causes.
fn describe_chain(error: &dyn std::error::Error) -> String {
    let causes = std::iter::successors(Some(error), |error| error.source());
    let texts: Vec<String> = causes.map(ToString::to_string).collect();
    texts.join(": ")
}

/// Describes an admission level: the priorities that are admitted, and the share of the last one.
pub(crate) fn describe_level(level: u16) -> String {
    let level = AdmissionLevel::new(level);
    if level == AdmissionLevel::OPEN {
        return "open".to_owned();
    }
    if level == AdmissionLevel::CLOSED {
        return "closed".to_owned();
    }
    let admitted_priorities = level.number() / Rank::COUNT;
    let part = level.number() % Rank::COUNT;
    let percent = f64::from(part) * 100.0 / f64::from(Rank::COUNT);
    let last = u16::from(Priority::LOWEST.number()).min(admitted_priorities);
    match (admitted_priorities, part) {
        (0, _) => format!("0 at {percent:.0}%"),
        (1, 0) => "0".to_owned(),
        (_, 0) => format!("0-{}", admitted_priorities - 1),
        (1, _) => format!("0, 1 at {percent:.0}%"),
        _ => format!("0-{}, {last} at {percent:.0}%", admitted_priorities - 1),
    }
}
