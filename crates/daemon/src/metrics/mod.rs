//! Counters of one daemon, exported on its `/metrics` page.

mod catalogue;
mod render;

use std::sync::atomic::{AtomicU64, Ordering};

use wharfquay_core::outcome::ResultCode;
use wharfquay_core::priority::Priority;

pub use catalogue::{Kind, Metric, Presence};
pub use render::{Sample, render};

/// The side of the daemon at which a call completed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// Requests of callers.
    Edge,
    /// Calls of other daemons to the local backend.
    Inbound,
    /// Calls of the local backend.
    Outbound,
}

impl Side {
    const ALL: [Self; 3] = [Self::Edge, Self::Inbound, Self::Outbound];

    /// Returns the name in metrics and log events.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Edge => "edge",
            Self::Inbound => "inbound",
            Self::Outbound => "outbound",
        }
    }
}

/// The admission decision about a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The call was admitted.
    Admitted,
    /// The call was refused.
    Refused,
}

impl Admission {
    const ALL: [Self; 2] = [Self::Admitted, Self::Refused];

    const fn name(self) -> &'static str {
        match self {
            Self::Admitted => "admitted",
            Self::Refused => "refused",
        }
    }
}

/// The result of a claim on an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// The call may be dispatched.
    Dispatch,
    /// The response to an earlier request with the same key is recorded.
    Replay,
    /// The call is refused.
    Refuse,
}

impl ClaimResult {
    const ALL: [Self; 3] = [Self::Dispatch, Self::Replay, Self::Refuse];

    const fn name(self) -> &'static str {
        match self {
            Self::Dispatch => "dispatch",
            Self::Replay => "replay",
            Self::Refuse => "refuse",
        }
    }
}

/// The transport of a control message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transport {
    /// A UDP datagram.
    Datagram,
    /// The body of an HTTP/2 request or response.
    Stream,
}

impl Transport {
    const ALL: [Self; 2] = [Self::Datagram, Self::Stream];

    const fn name(self) -> &'static str {
        match self {
            Self::Datagram => "datagram",
            Self::Stream => "stream",
        }
    }
}

/// The direction of a control message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// Received by this daemon.
    Received,
    /// Sent by this daemon.
    Sent,
}

impl Direction {
    const ALL: [Self; 2] = [Self::Received, Self::Sent];

    const fn name(self) -> &'static str {
        match self {
            Self::Received => "received",
            Self::Sent => "sent",
        }
    }
}

/// Number and total size of control messages.
#[derive(Debug, Default)]
struct Traffic {
    messages: AtomicU64,
    bytes: AtomicU64,
}

const CODES: usize = ResultCode::ALL.len();
const SIDES: usize = Side::ALL.len();
const ADMISSIONS: usize = Admission::ALL.len();

/// The counters of one daemon.
#[derive(Debug)]
pub struct Metrics {
    results: [[AtomicU64; CODES]; SIDES],
    admissions: [[[AtomicU64; ADMISSIONS]; Priority::COUNT]; SIDES],
    claims: [AtomicU64; ClaimResult::ALL.len()],
    cancelled: [AtomicU64; SIDES],
    retries: AtomicU64,
    truncated_bodies: AtomicU64,
    accept_errors: AtomicU64,
    control: [[Traffic; Direction::ALL.len()]; Transport::ALL.len()],
}

impl Default for Metrics {
    fn default() -> Self {
        let codes = || std::array::from_fn(|_| AtomicU64::new(0));
        let admissions = || std::array::from_fn(|_| std::array::from_fn(|_| AtomicU64::new(0)));
        Self {
            results: std::array::from_fn(|_| codes()),
            admissions: std::array::from_fn(|_| admissions()),
            claims: std::array::from_fn(|_| AtomicU64::new(0)),
            cancelled: std::array::from_fn(|_| AtomicU64::new(0)),
            retries: AtomicU64::new(0),
            truncated_bodies: AtomicU64::new(0),
            accept_errors: AtomicU64::new(0),
            control: Default::default(),
        }
    }
}

fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

fn read(counter: &AtomicU64) -> u64 {
    counter.load(Ordering::Relaxed)
}

impl Metrics {
    /// Counts a completed call.
    pub fn record_completion(&self, side: Side, code: ResultCode) {
        let position = ResultCode::ALL.iter().position(|known| *known == code);
        if let Some(position) = position {
            count(&self.results[side as usize][position]);
        }
    }

    /// Counts an admission decision about a call of this priority.
    pub fn record_admission(&self, side: Side, priority: Priority, admission: Admission) {
        count(&self.admissions[side as usize][priority.index()][admission as usize]);
    }

    /// Counts a claim on an idempotency key.
    pub fn record_claim(&self, result: ClaimResult) {
        count(&self.claims[result as usize]);
    }

    /// Counts a call whose caller disconnected before the response.
    pub fn record_cancellation(&self, side: Side) {
        count(&self.cancelled[side as usize]);
    }

    /// Returns the number of calls at this side whose caller disconnected before the response.
    #[must_use]
    pub fn cancelled(&self, side: Side) -> u64 {
        read(&self.cancelled[side as usize])
    }

    /// Counts a retry.
    pub fn record_retry(&self) {
        count(&self.retries);
    }

    /// Counts a response whose body was truncated.
    pub fn record_truncated_body(&self) {
        count(&self.truncated_bodies);
    }

    /// Counts a connection that could not be accepted.
    pub fn record_accept_error(&self) {
        count(&self.accept_errors);
    }

    /// Counts a control message of this length in bytes.
    pub fn record_control_message(&self, transport: Transport, direction: Direction, bytes: u64) {
        let traffic = &self.control[transport as usize][direction as usize];
        count(&traffic.messages);
        traffic.bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Returns the number of calls that completed with this result code at this side.
    #[must_use]
    pub fn results(&self, side: Side, code: ResultCode) -> u64 {
        let position = ResultCode::ALL.iter().position(|known| *known == code);
        position.map_or(0, |position| read(&self.results[side as usize][position]))
    }

    /// Returns the number of retries sent so far.
    #[must_use]
    pub fn retries(&self) -> u64 {
        read(&self.retries)
    }

    /// Returns samples of all counters. Counters with labels have no sample while they are zero.
    #[must_use]
    pub fn samples(&self) -> Vec<Sample> {
        let mut samples = vec![
            Sample::plain(Metric::Retries, read(&self.retries)),
            Sample::plain(Metric::TruncatedBodies, read(&self.truncated_bodies)),
            Sample::plain(Metric::AcceptErrors, read(&self.accept_errors)),
        ];
        let mut labelled = self.result_samples();
        labelled.extend(self.cancellation_samples());
        labelled.extend(self.admission_samples());
        labelled.extend(self.claim_samples());
        labelled.extend(self.control_samples());
        samples.extend(labelled.into_iter().filter(|sample| sample.value > 0));
        samples
    }

    fn result_samples(&self) -> Vec<Sample> {
        let mut samples = Vec::new();
        for side in Side::ALL {
            for (code, counter) in ResultCode::ALL.iter().zip(&self.results[side as usize]) {
                let labels = format!(
                    "side=\"{}\",result=\"{}\",name=\"{}\",outcome=\"{}\"",
                    side.name(),
                    code.number(),
                    code.name(),
                    code.outcome().as_str(),
                );
                samples.push(Sample::labelled(Metric::Calls, labels, read(counter)));
            }
        }
        samples
    }

    fn cancellation_samples(&self) -> [Sample; SIDES] {
        Side::ALL.map(|side| {
            let labels = format!("side=\"{}\"", side.name());
            Sample::labelled(Metric::CallsCancelled, labels, self.cancelled(side))
        })
    }

    fn admission_samples(&self) -> Vec<Sample> {
        let mut samples = Vec::new();
        for side in Side::ALL {
            for (priority, counters) in self.admissions[side as usize].iter().enumerate() {
                for admission in Admission::ALL {
                    let (side, decision) = (side.name(), admission.name());
                    let labels =
                        format!("side=\"{side}\",priority=\"{priority}\",decision=\"{decision}\"");
                    let value = read(&counters[admission as usize]);
                    samples.push(Sample::labelled(Metric::Admissions, labels, value));
                }
            }
        }
        samples
    }

    fn claim_samples(&self) -> [Sample; ClaimResult::ALL.len()] {
        ClaimResult::ALL.map(|result| {
            let labels = format!("verdict=\"{}\"", result.name());
            Sample::labelled(Metric::Claims, labels, read(&self.claims[result as usize]))
        })
    }

    fn control_samples(&self) -> Vec<Sample> {
        let mut samples = Vec::new();
        for transport in Transport::ALL {
            for direction in Direction::ALL {
                let traffic = &self.control[transport as usize][direction as usize];
                let (transport, direction) = (transport.name(), direction.name());
                let labels = format!("transport=\"{transport}\",direction=\"{direction}\"");
                let messages = read(&traffic.messages);
                let bytes = read(&traffic.bytes);
                samples.push(Sample::labelled(
                    Metric::ControlMessages,
                    labels.clone(),
                    messages,
                ));
                samples.push(Sample::labelled(Metric::ControlBytes, labels, bytes));
            }
        }
        samples
    }
}
