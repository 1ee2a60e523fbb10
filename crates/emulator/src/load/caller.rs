//! An emulated caller: one originating request and its attempts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use uuid::Uuid;
use wharfquay_protocol::headers;

use super::attempt::{Attempt, AttemptOutcome};
use super::audit::AttemptRecord;
use super::run::LoadState;
use super::tally::RequestOutcome;
use crate::response_body;
use crate::scenario::RequestModel;

/// Time that an attempt may take beyond the deadline, to receive a response that states the outcome.
const RESPONSE_GRACE: Duration = Duration::from_millis(150);
/// Maximum sum of the margins that all hops of a call path subtract from the deadline.
const TOTAL_HOP_MARGIN: Duration = Duration::from_millis(10);

/// A caller with its originating request.
pub(super) struct Caller {
    state: Arc<LoadState>,
    /// Index of the request kind in the scenario.
    kind: usize,
    /// Arrival time, since the start of the load.
    arrived: Duration,
    /// The same as an instant; latencies and the deadline count from it.
    scheduled: Instant,
    /// Unique id of the originating request, from which valid bodies are derived.
    token: String,
    /// Present for requests that aren't repeatable; the same in every attempt.
    idempotency_key: Option<String>,
    /// True if the caller ignores Retry-After.
    impatient: bool,
}

impl Caller {
    /// Creates a caller whose request arrives `arrived` after the start of the load.
    pub(super) fn new(
        state: Arc<LoadState>,
        kind: usize,
        arrived: Duration,
        rng: &mut Pcg64Mcg,
    ) -> Self {
        let impatient = rng.random_bool(state.settings.scenario.callers.impatient_share);
        let repeatable = state.settings.scenario.requests[kind].repeatable;
        Self {
            scheduled: state.started + arrived,
            token: Uuid::now_v7().simple().to_string(),
            idempotency_key: (!repeatable).then(|| Uuid::now_v7().to_string()),
            state,
            kind,
            arrived,
            impatient,
        }
    }

    /// Sends the request, repeats it according to the caller model and counts its outcome.
    pub(super) async fn run(self) {
        self.state
            .update_tally(self.kind, |tally| tally.record_sent(self.arrived));
        let attempts = self.state.settings.scenario.callers.attempts;
        let mut number = 1;
        let last = loop {
            let attempt = self.attempt(number).await;
            if attempt.outcome == AttemptOutcome::Complete || number >= attempts {
                break attempt;
            }
            let Some(wait) = self.wait_before_next(&attempt) else {
                break attempt;
            };
            tokio::time::sleep(wait).await;
            number += 1;
        };
        self.finish(&last);
    }

    fn model(&self) -> &RequestModel {
        &self.state.settings.scenario.requests[self.kind]
    }

    fn deadline(&self) -> Duration {
        Duration::from_millis(self.model().deadline_ms)
    }

    /// Returns the wait before the next attempt, or `None` to give up. Impatient callers use the
    /// scenario's fixed wait and continue even after the deadline; the others use Retry-After and
    /// stop if the wait would pass the deadline.
    fn wait_before_next(&self, attempt: &Attempt) -> Option<Duration> {
        if self.impatient {
            let wait = self.state.settings.scenario.callers.retry_wait_ms;
            return Some(Duration::from_millis(wait));
        }
        let wait = attempt.retry_after?;
        let in_time = self.scheduled.elapsed() + wait < self.deadline();
        in_time.then_some(wait)
    }

    async fn attempt(&self, number: u32) -> Attempt {
        let call = format!("{}-{number}", self.token);
        let edge = self.state.next_edge();
        let exchange = self.exchange(edge, &call);
        let attempt = tokio::time::timeout(self.deadline() + RESPONSE_GRACE, exchange)
            .await
            .unwrap_or(Attempt::without_response(AttemptOutcome::TimedOut));
        let record = AttemptRecord {
            call,
            attempt,
            in_time: self.scheduled.elapsed() <= self.deadline(),
        };
        self.state.record_attempt(&self.token, record);
        self.state
            .update_tally(self.kind, |tally| tally.record_attempt(&attempt));
        attempt
    }

    async fn exchange(&self, edge: SocketAddr, call: &str) -> Attempt {
        let started = Instant::now();
        let Ok(request) = self.request(edge, call) else {
            return Attempt::without_response(AttemptOutcome::ConnectFailed);
        };
        let response = match self.state.client.request(request).await {
            Ok(response) => response,
            Err(error) if error.is_connect() => {
                return Attempt::without_response(AttemptOutcome::ConnectFailed);
            }
            Err(_) => return Attempt::without_response(AttemptOutcome::ConnectionLost),
        };
        let (head, body) = response.into_parts();
        let Ok(body) = body.collect().await else {
            return Attempt::without_response(self.outcome_of_truncation(started.elapsed()));
        };
        Attempt::from_response(&head, &body.to_bytes(), &self.model().entry, &self.token)
    }

    /// Returns the outcome for a truncated body: daemons may truncate a body after the deadline, so
    /// before it the connection was lost.
    fn outcome_of_truncation(&self, elapsed: Duration) -> AttemptOutcome {
        if elapsed + TOTAL_HOP_MARGIN >= self.deadline() {
            AttemptOutcome::TruncatedAtDeadline
        } else {
            AttemptOutcome::ConnectionLost
        }
    }

    fn request(&self, edge: SocketAddr, call: &str) -> Result<Request<Full<Bytes>>, http::Error> {
        let model = self.model();
        let (path, token) = (&model.path, &self.token);
        let mut builder = Request::builder()
            .method(model.method.as_str())
            .uri(format!("http://{edge}{path}?token={token}&call={call}"))
            .header(headers::SERVICE, &model.entry);
        if let Some(key) = &self.idempotency_key {
            builder = builder.header(headers::IDEMPOTENCY_KEY, key);
        }
        let body = if model.method == "GET" {
            Bytes::new()
        } else {
            response_body::render("caller", token)
        };
        builder.body(Full::new(body))
    }

    fn finish(&self, last: &Attempt) {
        let latency = self.scheduled.elapsed();
        let in_time = latency <= self.deadline();
        let outcome = RequestOutcome::of(last, in_time);
        self.state.update_tally(self.kind, |tally| {
            tally.record_outcome(self.arrived, outcome, latency)
        });
        self.state.completed.fetch_add(1, Ordering::Relaxed);
    }
}
