//! Whether an instance of the back end has ended, and which requests it executed then.
//!
//! A lost connection may be only that: links reset, and back ends close connections. A process that has ended accepts
//! no connection either, so whoever lost an answer tries to open one.

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

/// Longest time to open the connection that shows whether the instance is there; both are on one machine.
const PROBE_LIMIT: Duration = Duration::from_millis(200);
/// Time for which an answer to the probe holds: when many connections break at once, one probe serves them all.
const PROBE_LIFETIME: Duration = Duration::from_millis(20);

/// Watches one instance.
#[derive(Debug)]
pub(crate) struct EndDetector {
    address: SocketAddr,
    clock: Clock,
    has_ended: AtomicBool,
    /// Whether the end is known from elsewhere, and nobody was told of it yet.
    is_end_untold: AtomicBool,
    /// When the instance was last seen to accept a connection.
    seen_at: tokio::sync::Mutex<Option<Timestamp>>,
    running: Mutex<Running>,
}

#[derive(Debug, Default)]
struct Running {
    next: u64,
    requests: HashMap<u64, RunningRequest>,
}

/// A request in execution at the instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RunningRequest {
    /// What it asks for.
    pub(crate) fingerprint: RequestFingerprint,
    /// Whether it is a suspect, and so the only one in execution.
    pub(crate) is_isolated: bool,
}

/// What a probe showed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Probed {
    /// The instance is there.
    Alive,
    /// It had ended, as was known.
    Ended,
    /// It has ended, which nobody had noticed; these requests were in execution.
    EndedNow(Vec<RunningRequest>),
}

impl EndDetector {
    /// A detector for an instance that listens at `address`.
    pub(crate) fn new(address: SocketAddr, clock: Clock) -> Arc<Self> {
        Arc::new(Self {
            address,
            clock,
            has_ended: AtomicBool::new(false),
            is_end_untold: AtomicBool::new(false),
            seen_at: tokio::sync::Mutex::default(),
            running: Mutex::default(),
        })
    }

    /// Notes that a request is handed to the instance, for as long as the guard lives.
    pub(crate) fn begin(self: &Arc<Self>, request: RunningRequest) -> RunningGuard {
        let mut running = lock(&self.running);
        let number = running.next;
        running.next += 1;
        running.requests.insert(number, request);
        RunningGuard {
            detector: Arc::clone(self),
            number,
        }
    }

    /// Finds out whether the instance has ended, after an answer was lost.
    pub(crate) async fn probe(&self) -> Probed {
        let mut seen_at = self.seen_at.lock().await;
        if self.is_end_untold.swap(false, Ordering::Relaxed) {
            return self.end_now();
        }
        if self.has_ended.load(Ordering::Relaxed) {
            return Probed::Ended;
        }
        let now = self.clock.now();
        if seen_at.is_some_and(|seen_at| now < seen_at + PROBE_LIFETIME) {
            return Probed::Alive;
        }
        let opened = connect(self.address, PROBE_LIMIT).await;
        let is_refused = |error: &io::Error| error.kind() == io::ErrorKind::ConnectionRefused;
        if !opened.is_err_and(|error| is_refused(&error)) {
            // Silence shows nothing: the instance may be slow, or cut off.
            *seen_at = Some(self.clock.now());
            return Probed::Alive;
        }
        self.end_now()
    }

    /// Notes an end that is known without a probe: the back end lives again, so a probe would find it there.
    pub(crate) fn note_end(&self) {
        if !self.has_ended.load(Ordering::Relaxed) {
            self.is_end_untold.store(true, Ordering::Relaxed);
        }
    }

    fn end_now(&self) -> Probed {
        self.has_ended.store(true, Ordering::Relaxed);
        let running = lock(&self.running);
        Probed::EndedNow(running.requests.values().copied().collect())
    }
}

/// Keeps a request among those in execution.
#[derive(Debug)]
pub(crate) struct RunningGuard {
    detector: Arc<EndDetector>,
    number: u64,
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        lock(&self.detector.running).requests.remove(&self.number);
    }
}
