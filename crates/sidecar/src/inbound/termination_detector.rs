//! Detects whether an instance of the backend has terminated, and which requests it was executing.
//!
//! A lost connection alone does not prove it: networks reset connections, and backends close them.
//! A terminated process also refuses new connections, so a call that lost its response tries to
//! open one.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use wharfquay_core::quarantine::RequestFingerprint;
use wharfquay_core::time::Timestamp;
use wharfquay_daemon::clock::Clock;
use wharfquay_daemon::connect::connect;
use wharfquay_daemon::sync::lock;

/// Timeout of the probe connection. The sidecar and the instance share a machine.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// Time for which the result of a probe is reused. When many connections break together, one probe
/// serves them all.
const PROBE_RESULT_LIFETIME: Duration = Duration::from_millis(20);

/// Detects the termination of one instance.
#[derive(Debug)]
pub(crate) struct TerminationDetector {
    address: SocketAddr,
    clock: Clock,
    has_terminated: AtomicBool,
    /// True if the termination is known from another source and no probe has reported it yet.
    has_unreported_termination: AtomicBool,
    /// Time at which the instance last accepted a connection.
    last_accepted_at: tokio::sync::Mutex<Option<Timestamp>>,
    running: Mutex<Running>,
}

#[derive(Debug, Default)]
struct Running {
    next: u64,
    requests: HashMap<u64, ExecutingRequest>,
}

/// A request in execution at the instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ExecutingRequest {
    /// Fingerprint of the request.
    pub(crate) fingerprint: RequestFingerprint,
    /// True if the request is a suspect. The instance then executes no other suspect.
    pub(crate) is_isolated: bool,
}

/// Result of a probe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ProbeResult {
    /// The instance has not been found terminated.
    Alive,
    /// The instance was already known to have terminated.
    Terminated,
    /// The instance has terminated, and this probe is the first to report it; these requests were
    /// in execution.
    NewlyTerminated(Vec<ExecutingRequest>),
}

impl TerminationDetector {
    /// Creates a detector for an instance that listens at `address`.
    pub(crate) fn new(address: SocketAddr, clock: Clock) -> Arc<Self> {
        Arc::new(Self {
            address,
            clock,
            has_terminated: AtomicBool::new(false),
            has_unreported_termination: AtomicBool::new(false),
            last_accepted_at: tokio::sync::Mutex::default(),
            running: Mutex::default(),
        })
    }

    /// Records that a request is sent to the instance. It counts as in execution until the guard is
    /// dropped.
    pub(crate) fn begin(self: &Arc<Self>, request: ExecutingRequest) -> InExecutionGuard {
        let mut running = lock(&self.running);
        let number = running.next;
        running.next += 1;
        running.requests.insert(number, request);
        InExecutionGuard {
            detector: Arc::clone(self),
            number,
        }
    }

    /// Checks whether the instance has terminated after a response was lost.
    pub(crate) async fn probe(&self) -> ProbeResult {
        let mut last_accepted_at = self.last_accepted_at.lock().await;
        if self
            .has_unreported_termination
            .swap(false, Ordering::Relaxed)
        {
            return self.report_termination();
        }
        if self.has_terminated.load(Ordering::Relaxed) {
            return ProbeResult::Terminated;
        }
        let now = self.clock.now();
        if last_accepted_at
            .is_some_and(|last_accepted_at| now < last_accepted_at + PROBE_RESULT_LIFETIME)
        {
            return ProbeResult::Alive;
        }
        let opened = connect(self.address, PROBE_TIMEOUT).await;
        let is_refused = |error: &io::Error| error.kind() == io::ErrorKind::ConnectionRefused;
        if !opened.is_err_and(|error| is_refused(&error)) {
            // A timeout proves nothing: the instance may be slow or unreachable.
            *last_accepted_at = Some(self.clock.now());
            return ProbeResult::Alive;
        }
        self.report_termination()
    }

    /// Records a termination that is known without a probe. The backend has started again, so a
    /// probe would reach the new instance.
    pub(crate) fn record_termination(&self) {
        if !self.has_terminated.load(Ordering::Relaxed) {
            self.has_unreported_termination
                .store(true, Ordering::Relaxed);
        }
    }

    fn report_termination(&self) -> ProbeResult {
        self.has_terminated.store(true, Ordering::Relaxed);
        let running = lock(&self.running);
        ProbeResult::NewlyTerminated(running.requests.values().copied().collect())
    }
}

/// Keeps a request among those in execution until it is dropped.
#[derive(Debug)]
pub(crate) struct InExecutionGuard {
    detector: Arc<TerminationDetector>,
    number: u64,
}

impl Drop for InExecutionGuard {
    fn drop(&mut self) {
        lock(&self.detector.running).requests.remove(&self.number);
    }
}
