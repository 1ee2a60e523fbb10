//! One caller: its originating request and the attempts that it makes for it.

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

use super::attempt::{Attempt, AttemptEnd};
use super::audit::AttemptNote;
use super::run::LoadState;
use super::tally::RequestEnd;
use crate::response_body;
use crate::scenario::RequestModel;

/// How long a caller waits past the deadline for an answer that says what became of its request.
const GRACE: Duration = Duration::from_millis(150);
/// What the hops of a path keep back of the deadline altogether, at most.
const HOP_MARGINS: Duration = Duration::from_millis(10);

/// An originating request and who sends it.
pub(super) struct Caller {
    state: Arc<LoadState>,
    kind: usize,
    arrived: Duration,
    scheduled: Instant,
    token: String,
    idempotency_key: Option<String>,
    impatient: bool,
}

impl Caller {
    /// A caller whose request arrives at `arrived` after the start of the load.
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

    /// Sends the request, repeats it as this caller does, and counts what became of it.
    pub(super) async fn run(self) {
        self.state
            .tally(self.kind, |tally| tally.sent(self.arrived));
        let attempts = self.state.settings.scenario.callers.attempts;
        let mut number = 1;
        let last = loop {
            let attempt = self.attempt(number).await;
            if attempt.end == AttemptEnd::Whole || number >= attempts {
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

    /// Impatient callers come back on their own terms, even after the deadline; the others when
    /// the answer says so, as long as the answer could still come in time.
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
        let attempt = tokio::time::timeout(self.deadline() + GRACE, exchange)
            .await
            .unwrap_or(Attempt::without_answer(AttemptEnd::TimedOut));
        let note = AttemptNote {
            call,
            attempt,
            in_time: self.scheduled.elapsed() <= self.deadline(),
        };
        self.state.note_attempt(&self.token, note);
        self.state
            .tally(self.kind, |tally| tally.attempted(&attempt));
        attempt
    }

    async fn exchange(&self, edge: SocketAddr, call: &str) -> Attempt {
        let started = Instant::now();
        let Ok(request) = self.request(edge, call) else {
            return Attempt::without_answer(AttemptEnd::ConnectFailed);
        };
        let response = match self.state.client.request(request).await {
            Ok(response) => response,
            Err(error) if error.is_connect() => {
                return Attempt::without_answer(AttemptEnd::ConnectFailed);
            }
            Err(_) => return Attempt::without_answer(AttemptEnd::ConnectionLost),
        };
        let (head, body) = response.into_parts();
        let Ok(body) = body.collect().await else {
            return Attempt::without_answer(self.end_of_cut(started.elapsed()));
        };
        Attempt::from_answer(&head, &body.to_bytes(), &self.model().entry, &self.token)
    }

    /// A body may be broken off once the deadline has come, and never before.
    fn end_of_cut(&self, elapsed: Duration) -> AttemptEnd {
        if elapsed + HOP_MARGINS >= self.deadline() {
            AttemptEnd::CutAtDeadline
        } else {
            AttemptEnd::ConnectionLost
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
        let end = RequestEnd::of(last, in_time);
        self.state
            .tally(self.kind, |tally| tally.ended(self.arrived, end, latency));
        self.state.ended.fetch_add(1, Ordering::Relaxed);
    }
}
