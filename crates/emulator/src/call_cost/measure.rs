//! The phases of a measurement, each with every program in turn.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use displaydoc::Display;
use tokio::task::JoinSet;

use super::backend::{AMPLE_SLOTS, Load, SCARCE_SLOTS};
use super::deployment::{Deployment, DeploymentSettings};
use super::dialect::Dialect;
use super::http_client::Connection;
use super::process::Usage;
use super::report::{CallCostReport, Row};

/// Time after which the memory of a started sidecar has settled.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Concurrent callers of the loads by call.
const CALLERS: usize = 16;
/// Calls before each measured load, as a share of those that are measured.
const WARM_UP_SHARE: usize = 10;
/// Calls under a trace: the number of system calls for a call varies little.
const TRACED_CALLS: usize = 500;
/// Time for which the new number of slots is awaited: several heartbeats.
const SLOTS_TIME: Duration = Duration::from_secs(1);
/// Interval between the requests of busy connections. Sent at once, most would fail in the first
/// sidecar, which waits 25 ms for a connection to the second.
const REQUEST_INTERVAL: Duration = Duration::from_millis(5);
/// Time at which the requests of all busy connections are in execution.
const BUSY_TIME: Duration = Duration::from_millis(1_500);
/// Number of busy connections: a sidecar sends at most 256 calls at a time to another one.
const BUSY_CONNECTIONS: usize = 200;
/// Number of connections of which the memory is measured.
const CONNECTIONS: usize = 1_000;
/// Times after a burst at which memory is read, in seconds.
const TIMES_AFTER_BURST: [u64; 3] = [2, 5, 10];
const MIB: f64 = 1_024.0 * 1_024.0;
const KIB: f64 = 1_024.0;

/// A program of a sidecar to be measured.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Program {
    /// Name in the table.
    pub name: String,
    /// Path of the executable file.
    pub path: PathBuf,
}

/// Settings of a measurement.
#[derive(Clone, Debug)]
pub struct CallCostSettings {
    /// Names of the platform.
    pub dialect: Arc<Dialect>,
    /// The programs, compared in this order.
    pub programs: Vec<Program>,
    /// Rounds; each measures every program once.
    pub rounds: usize,
    /// Calls of each kind of load.
    pub calls: usize,
    /// Concurrent requests of the burst.
    pub burst: usize,
    /// First of the consecutive loopback ports.
    pub base_port: u16,
    /// Folder of settings and logs.
    pub folder: PathBuf,
    /// True if system calls are counted, in an additional round under `strace`.
    pub system_calls: bool,
}

/// An error that ends a measurement.
#[derive(Debug, Display)]
pub enum CallCostError {
    /// program {name}: {problem}
    Program {
        /// Name of the program.
        name: String,
        /// What went wrong.
        problem: String,
    },
}

impl std::error::Error for CallCostError {}

/// Measures every program in alternating rounds.
///
/// # Errors
/// [`CallCostError`] if a deployment does not start.
pub async fn measure(settings: &CallCostSettings) -> Result<CallCostReport, CallCostError> {
    let mut report = CallCostReport::new(settings.programs.iter().map(|each| each.name.clone()));
    for _ in 0..settings.rounds {
        for (number, program) in settings.programs.iter().enumerate() {
            let deployment = start(settings, program, false).await?;
            report.add(number, measure_once(&deployment, settings).await);
            stop(deployment).await;
        }
    }
    if settings.system_calls {
        for (number, program) in settings.programs.iter().enumerate() {
            let deployment = start(settings, program, true).await?;
            report.add(number, count_system_calls(&deployment).await);
            stop(deployment).await;
        }
    }
    Ok(report)
}

async fn start(
    settings: &CallCostSettings,
    program: &Program,
    traced: bool,
) -> Result<Arc<Deployment>, CallCostError> {
    let deployment_settings = DeploymentSettings {
        dialect: &settings.dialect,
        program: &program.path,
        base_port: settings.base_port,
        folder: &settings.folder,
        traced,
    };
    let deployment = Deployment::start(&deployment_settings).await.map(Arc::new);
    deployment.map_err(|problem| CallCostError::Program {
        name: program.name.clone(),
        problem,
    })
}

async fn stop(deployment: Arc<Deployment>) {
    // The callers have ended, so there is no other reference.
    if let Some(deployment) = Arc::into_inner(deployment) {
        deployment.stop().await;
    }
}

async fn measure_once(deployment: &Arc<Deployment>, settings: &CallCostSettings) -> Vec<Row> {
    let mut rows = Vec::new();
    tokio::time::sleep(SETTLE_TIME).await;
    let at_rest = deployment.resident();
    rows.push(Row::new("at rest", "MiB", at_rest / MIB));
    measure_connections(deployment, at_rest, &mut rows).await;
    for load in [Load::Small, Load::Large, Load::Refused] {
        let slots = match load {
            Load::Refused => SCARCE_SLOTS,
            _ => AMPLE_SLOTS,
        };
        let cost = measure_load(deployment, load, slots, settings.calls).await;
        let name = |what| format!("{}, {what}", load.name());
        let per_call = |count: u64| count as f64 / settings.calls as f64;
        rows.push(Row::new(
            name("processor time"),
            "us/call",
            per_call(cost.usage.cpu_ns) / 1e3,
        ));
        rows.push(Row::new(
            name("voluntary switches"),
            "/call",
            per_call(cost.usage.voluntary_switches),
        ));
        rows.push(Row::new(name("served"), "share", per_call(cost.served)));
    }
    set_slots(deployment, AMPLE_SLOTS).await;
    rows.push(Row::new(
        "before the burst",
        "MiB",
        deployment.resident() / MIB,
    ));
    let connections = open_connections(deployment, settings.burst).await;
    let served = exchange_on_each(deployment, connections, Load::Burst, Duration::ZERO).await;
    rows.push(Row::new(
        "peak of the burst",
        "MiB",
        deployment.peak() / MIB,
    ));
    let mut elapsed = 0;
    for time in TIMES_AFTER_BURST {
        tokio::time::sleep(Duration::from_secs(time - elapsed)).await;
        elapsed = time;
        let name = format!("{time} s after the burst");
        rows.push(Row::new(name, "MiB", deployment.resident() / MIB));
    }
    let served = served as f64 / settings.burst as f64;
    rows.push(Row::new("burst, served", "share", served));
    rows
}

/// Counts the system calls of each kind of load under a trace.
async fn count_system_calls(deployment: &Arc<Deployment>) -> Vec<Row> {
    let mut rows = Vec::new();
    for (load, slots) in [
        (Load::Small, AMPLE_SLOTS),
        (Load::Large, AMPLE_SLOTS),
        (Load::Refused, SCARCE_SLOTS),
    ] {
        let cost = measure_load(deployment, load, slots, TRACED_CALLS).await;
        let name = format!("{}, system calls", load.name());
        let per_call = cost.usage.system_calls as f64 / TRACED_CALLS as f64;
        rows.push(Row::new(name, "/call", per_call));
    }
    rows
}

/// Memory for a connection: idle after one request, and with a request in execution, which includes
/// that of its connections between the sidecars and to the backend.
async fn measure_connections(deployment: &Arc<Deployment>, at_rest: f64, rows: &mut Vec<Row>) {
    let mut connections = open_connections(deployment, CONNECTIONS).await;
    // One after the other, so that no memory for concurrent requests is counted.
    for connection in &mut connections {
        connection.exchange(&deployment.request(Load::Small)).await;
    }
    let idle_resident = deployment.resident();
    let idle = (idle_resident - at_rest) / KIB / CONNECTIONS as f64;
    rows.push(Row::new("for an idle connection", "KiB", idle));
    let used = connections.drain(..BUSY_CONNECTIONS.min(connections.len()));
    let used = used.collect();
    let busy = exchange_on_each(deployment, used, Load::Busy, REQUEST_INTERVAL);
    let reading = async {
        tokio::time::sleep(BUSY_TIME).await;
        deployment.resident()
    };
    let (served, busy_resident) = tokio::join!(busy, reading);
    let busy = (busy_resident - idle_resident) / KIB / BUSY_CONNECTIONS as f64 + idle;
    rows.push(Row::new("for a busy connection", "KiB", busy));
    let served = served as f64 / BUSY_CONNECTIONS as f64;
    rows.push(Row::new("busy, served", "share", served));
}

struct LoadCost {
    usage: Usage,
    served: u64,
}

async fn measure_load(
    deployment: &Arc<Deployment>,
    load: Load,
    slots: u64,
    calls: usize,
) -> LoadCost {
    set_slots(deployment, slots).await;
    send(deployment, load, calls / WARM_UP_SHARE).await;
    let before = deployment.usage();
    let served = send(deployment, load, calls).await;
    LoadCost {
        usage: deployment.usage().since(before),
        served,
    }
}

async fn set_slots(deployment: &Arc<Deployment>, slots: u64) {
    deployment.set_slots(slots);
    tokio::time::sleep(SLOTS_TIME).await;
}

/// Sends calls from concurrent callers, each of which waits for its response before the next call.
/// Returns the number of calls that were served.
async fn send(deployment: &Arc<Deployment>, load: Load, calls: usize) -> u64 {
    let started = Arc::new(AtomicUsize::new(0));
    let mut callers = JoinSet::new();
    for _ in 0..CALLERS {
        let (deployment, started) = (Arc::clone(deployment), Arc::clone(&started));
        callers.spawn(async move {
            let mut served = 0;
            let mut connection = None;
            while started.fetch_add(1, Ordering::Relaxed) < calls {
                let open = match connection.take() {
                    Some(open) => Ok(open),
                    None => deployment.connect().await,
                };
                let Ok(mut open) = open else {
                    continue;
                };
                if let Some(response) = open.exchange(&deployment.request(load)).await {
                    served += u64::from(response.status() == Some(200));
                    connection = response.keeps_connection().then_some(open);
                }
            }
            served
        });
    }
    sum(callers).await
}

async fn open_connections(deployment: &Deployment, count: usize) -> Vec<Connection> {
    let mut connections = Vec::with_capacity(count);
    for _ in 0..count {
        // A connection that can't be opened is missing in the share that is served.
        connections.extend(deployment.connect().await.ok());
    }
    connections
}

/// Sends one request on each connection without waiting for the responses to the others. Returns the
/// number that were served.
async fn exchange_on_each(
    deployment: &Arc<Deployment>,
    connections: Vec<Connection>,
    load: Load,
    interval: Duration,
) -> u64 {
    let mut exchanges = JoinSet::new();
    for (number, mut connection) in (0..).zip(connections) {
        let deployment = Arc::clone(deployment);
        exchanges.spawn(async move {
            tokio::time::sleep(interval * number).await;
            let response = connection.exchange(&deployment.request(load)).await;
            u64::from(response.and_then(|response| response.status()) == Some(200))
        });
    }
    sum(exchanges).await
}

async fn sum(mut tasks: JoinSet<u64>) -> u64 {
    let mut sum = 0;
    while let Some(count) = tasks.join_next().await {
        // A caller that panicked has served nothing.
        sum += count.unwrap_or_default();
    }
    sum
}
