//! Admission of a call, its execution at the local back end, and the answer with its metadata.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use http::header::HeaderMap;
use http::{HeaderValue, Request, Response};
use hyper::body::Incoming;
use tokio::time::Instant;
use wharfquay_core::admission::{Completion, Load, Standing};
use wharfquay_core::call::{CallContext, RetryAllowance};
use wharfquay_core::outcome::ResultCode;
use wharfquay_core::priority::AdmissionLevel;
use wharfquay_core::retry::Backoff;
use wharfquay_daemon::answer::Failure;
use wharfquay_daemon::backend_pool::{BackendError, Lease, SendError};
use wharfquay_daemon::body::{AnswerBody, BodyEnd, BodyObserver, RequestBody};
use wharfquay_daemon::clock::Clock;
use wharfquay_daemon::headers::{remove_hop_by_hop, remove_internal_answer};
use wharfquay_daemon::inbound::gate::{Entry, Permit};
use wharfquay_protocol::answer::WireAnswer;

use super::answer::{Verdict, judge};
use super::backend::{LocalBackend, OpenInstance};
use super::end_detector::{Probed, RunningGuard, RunningRequest};
use super::report::CallReport;
use crate::body::{Collected, collect, remove_length};
use crate::dialect::Dialect;
use crate::events::Event;
use crate::instance::InstanceId;
use crate::log_event;
use crate::message::RequestHead;
use crate::metrics::Metrics;
use crate::outbound::routing::Routing;
use crate::quarantine::Quarantine;
use crate::scopes::{OpenScope, ScopeTable};

/// Depth of a request at the back end that its caller sent it to.
const DEPTH_OF_CALLERS: u8 = 1;
/// Longest wait at the gate. A longer one for calls of requests in execution was worth nothing
/// (docs/design/decisions.md).
const LONGEST_WAIT: Duration = Duration::from_millis(100);
/// Connections that may prove closed before a byte was written, for one call.
const CONNECTION_TRIES: usize = 3;
/// Times that a call which the back end refused unexecuted is sent to it again at most.
const MOST_REPEATED_SENDS: u32 = 8;
/// Pauses before these: short, since the call holds its slot meanwhile.
const SEND_BACKOFF: Backoff = Backoff {
    base: Duration::from_millis(1),
    maximum: Duration::from_millis(20),
};
/// Retry-After of a refusal because no instance can take work.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Retry-After of a call that the back end itself refused.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Fingerprints that the line about an end of the back end shows at most.
const MOST_LOGGED_REQUESTS: usize = 16;

/// Learns that another instance than the one that was meant has the back end's address.
pub(crate) type MisdirectedObserver = Arc<dyn Fn(&InstanceId) + Send + Sync>;

/// What became of a call, and what its sender should know along with it.
pub(crate) struct Executed {
    pub(crate) result: Result<Response<AnswerBody>, Failure>,
    pub(crate) metadata: WireAnswer,
}

/// Executes calls at the local back end.
pub(crate) struct LocalExecutor {
    pub(crate) backend: Arc<LocalBackend>,
    pub(crate) scopes: Arc<ScopeTable>,
    pub(crate) routing: Arc<Routing>,
    pub(crate) quarantine: Arc<Quarantine>,
    pub(crate) dialect: Dialect,
    pub(crate) clock: Clock,
    pub(crate) stopping: Arc<AtomicBool>,
    pub(crate) in_flight: Arc<AtomicUsize>,
    pub(crate) misdirected: MisdirectedObserver,
    pub(crate) metrics: Arc<Metrics>,
}

impl fmt::Debug for LocalExecutor {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("LocalExecutor")
            .field("backend", &self.backend)
            .finish_non_exhaustive()
    }
}

impl LocalExecutor {
    /// Admits a call, executes it and gives the answer.
    pub(crate) async fn execute(
        &self,
        context: CallContext,
        head: &RequestHead,
        body: RequestBody,
    ) -> Executed {
        let mut report = CallReport::new(self.clock, &context, self.request_id(head));
        let allowance = context.allowance;
        let (instance, result, returned) = match self.open_instance() {
            Ok(instance) => {
                let (result, returned) =
                    self.run(&instance, context, head, body, &mut report).await;
                (Some(instance), result, returned)
            }
            Err(failure) => (None, Err(failure), allowance),
        };
        let metadata = self.metadata(instance.as_ref(), report.request_kind(), returned);
        let id = instance.as_ref().map(|open| &open.id);
        report.write(id, &result, &metadata, &self.metrics);
        Executed { result, metadata }
    }

    fn request_id<'head>(&self, head: &'head RequestHead) -> &'head str {
        self.dialect.request_id(&head.headers).unwrap_or_default()
    }

    fn open_instance(&self) -> Result<Arc<OpenInstance>, Failure> {
        let refuse = |code| Failure::with_retry_after(code, UNAVAILABLE_RETRY_AFTER);
        if self.stopping.load(Ordering::Relaxed) {
            return Err(refuse(ResultCode::Draining));
        }
        let instance = self.backend.instance();
        let instance = instance.ok_or_else(|| refuse(ResultCode::NoBackend))?;
        if instance.is_leaving() {
            return Err(refuse(ResultCode::Draining));
        }
        if instance.is_unreachable(self.clock.now()) {
            return Err(refuse(ResultCode::NoBackend));
        }
        Ok(instance)
    }

    /// Waits for admission and runs the call; also gives the retries that were not spent.
    async fn run(
        &self,
        instance: &Arc<OpenInstance>,
        context: CallContext,
        head: &RequestHead,
        body: RequestBody,
        report: &mut CallReport,
    ) -> (Result<Response<AnswerBody>, Failure>, RetryAllowance) {
        let allowance = context.allowance;
        let turn = match self.quarantine.wait_for_turn(&context).await {
            Ok(turn) => turn,
            Err(failure) => return (Err(failure), allowance),
        };
        let entering = instance.gate.enter_as(entry(&context));
        let permit = match entering.await {
            Ok(permit) => permit,
            Err(failure) => return (Err(failure), allowance),
        };
        report.admitted();
        if instance.is_leaving() {
            let failure = Failure::with_retry_after(ResultCode::Draining, UNAVAILABLE_RETRY_AFTER);
            return (Err(failure), allowance);
        }
        let _in_flight = InFlight::begin(&self.in_flight);
        let deadline = self.clock.instant(context.deadline);
        let request_id = self.request_id(head);
        let gate = Arc::clone(&instance.gate);
        let ticket = permit.ticket();
        let scope = self.scopes.open(request_id, context.clone(), ticket, gate);
        let call = AdmittedCall {
            context: &context,
            request_id,
            head,
            is_isolated: turn.is_some(),
        };
        let running = self.dispatch(instance, &call, body);
        let within = self.clock.timeout_at(context.deadline, running);
        let result = match within.await {
            Ok(result) => result,
            Err(_) => Err(Failure::new(ResultCode::DeadlineAfterDispatch)),
        };
        let returned = scope.close_ledger();
        (settle(result, scope, permit, deadline), returned)
    }

    /// Hands the call to the back end and reads its answer; hands it over again where the back end refused it
    /// unexecuted and the bound on repeats leaves room.
    async fn dispatch(
        &self,
        instance: &OpenInstance,
        call: &AdmittedCall<'_>,
        body: RequestBody,
    ) -> Result<Answered, Failure> {
        self.quarantine.check(call.context)?;
        self.count_arrival(call.context)?;
        let can_repeat = matches!(body, RequestBody::Held(None));
        let mut result = self.send(instance, call, body).await;
        for repeat in 0..MOST_REPEATED_SENDS {
            if !can_repeat || !is_refused(&result) || instance.is_leaving() {
                break;
            }
            let wait = SEND_BACKOFF.delay(repeat, &mut rand::rng());
            let is_too_late = call.context.remaining(self.clock.now()) <= wait;
            if is_too_late || !self.backend.admit_repeat(call.context.priority) {
                break;
            }
            tokio::time::sleep(wait).await;
            self.quarantine.check(call.context)?;
            result = self.send(instance, call, RequestBody::Held(None)).await;
        }
        result
    }

    /// Counts a call that is about to be sent to the back end.
    ///
    /// # Errors
    /// The refusal of a repeat for which the bound on repeats leaves no room.
    fn count_arrival(&self, context: &CallContext) -> Result<(), Failure> {
        if !context.is_repeat {
            self.backend.first_arrival();
            return Ok(());
        }
        if self.backend.admit_repeat(context.priority) {
            return Ok(());
        }
        let code = ResultCode::RepeatRefused;
        Err(Failure::with_retry_after(code, REFUSED_RETRY_AFTER))
    }

    /// Sends the call to the back end once and reads its answer; tells an end of the back end from the mere loss of
    /// a connection, and an answer to a suspect from its next end.
    async fn send(
        &self,
        instance: &OpenInstance,
        call: &AdmittedCall<'_>,
        body: RequestBody,
    ) -> Result<Answered, Failure> {
        let mut running = None;
        let sent = self.send_once(instance, call, body, &mut running).await;
        match &sent {
            // A failure of the back end's own may have come before the end that it was about to have.
            Ok(answered) if !answered.parts.status.is_server_error() => {
                self.quarantine.answered(call.context);
            }
            Err(failure)
                if failure.code == ResultCode::ConnectionLost
                    && !instance.is_leaving()
                    && self.has_ended(instance).await =>
            {
                return Err(Failure::new(ResultCode::BackendEnded));
            }
            _ => {}
        }
        sent
    }

    /// Whether the instance has ended. Whoever finds it out first tells operators and the quarantine.
    async fn has_ended(&self, instance: &OpenInstance) -> bool {
        match instance.end.probe().await {
            Probed::Alive => false,
            Probed::Ended => true,
            Probed::EndedNow(running) => {
                instance.connect_failed(self.clock.now());
                self.metrics.instance_ended();
                log_end(instance, &running);
                self.quarantine
                    .instance_ended(instance.id.as_str(), &running);
                true
            }
        }
    }

    /// Sends the call once; `running` keeps it among the requests in execution.
    async fn send_once(
        &self,
        instance: &OpenInstance,
        call: &AdmittedCall<'_>,
        body: RequestBody,
        running: &mut Option<RunningGuard>,
    ) -> Result<Answered, Failure> {
        let mut request = call.head.to_request(body);
        self.address_to(instance, request.headers_mut());
        for _ in 0..CONNECTION_TRIES {
            let mut lease = self.checkout(instance).await?;
            let remaining = call.context.remaining(self.clock.now());
            self.dialect.set_deadline(request.headers_mut(), remaining);
            *running = call.running().map(|request| instance.end.begin(request));
            match lease.send(request).await {
                Ok(response) => return self.read(instance, call, response, lease).await,
                Err(SendError::Failed(error)) => return Err(Failure::new(code_of(error))),
                Err(SendError::NotSent(unsent)) => {
                    *running = None;
                    request = unsent;
                }
            }
        }
        instance.connect_failed(self.clock.now());
        Err(Failure::new(ResultCode::ConnectFailed))
    }

    async fn checkout(&self, instance: &OpenInstance) -> Result<Lease, Failure> {
        instance.pool.checkout().await.map_err(|error| {
            if error == BackendError::ConnectFailed {
                instance.connect_failed(self.clock.now());
            }
            Failure::with_retry_after(code_of(error), UNAVAILABLE_RETRY_AFTER)
        })
    }

    fn address_to(&self, instance: &OpenInstance, headers: &mut HeaderMap) {
        if let Ok(id) = HeaderValue::from_str(instance.id.as_str()) {
            headers.insert(self.dialect.target_instance.clone(), id);
        }
    }

    async fn read(
        &self,
        instance: &OpenInstance,
        call: &AdmittedCall<'_>,
        response: Response<Incoming>,
        lease: Lease,
    ) -> Result<Answered, Failure> {
        match judge(&self.dialect, call.request_id, &response) {
            Verdict::Answer => {}
            Verdict::Refused => {
                drain_refusal(response, lease);
                let code = ResultCode::RefusedByBackend;
                return Err(Failure::with_retry_after(code, REFUSED_RETRY_AFTER));
            }
            Verdict::Misdirected(found) => {
                if found.as_ref() != Some(&instance.id) {
                    (self.misdirected)(&instance.id);
                }
                let code = ResultCode::RefusedByBackend;
                return Err(Failure::with_retry_after(code, UNAVAILABLE_RETRY_AFTER));
            }
            Verdict::Unusable(code) => return Err(Failure::new(code)),
        }
        let (mut parts, incoming) = response.into_parts();
        remove_hop_by_hop(&mut parts.headers);
        remove_internal_answer(&mut parts.headers);
        remove_length(&call.head.method, &mut parts.headers);
        let collected = collect(incoming).await;
        let collected = collected.map_err(|_| Failure::new(ResultCode::ConnectionLost))?;
        Ok(Answered {
            parts,
            collected,
            lease,
        })
    }

    fn metadata(
        &self,
        instance: Option<&Arc<OpenInstance>>,
        request_kind: &str,
        returned: RetryAllowance,
    ) -> WireAnswer {
        let below = self.routing.level_below(request_kind);
        let (level, load) = match instance {
            Some(instance) => {
                let report = instance.gate.report();
                (report.level, report.load)
            }
            None => (AdmissionLevel::OPEN, Load::default()),
        };
        WireAnswer {
            returned,
            level,
            folded_level: level.fold(below),
            incarnation: self.clock.started_at().as_millis(),
            in_flight: load.in_flight,
            limit: load.limit,
            queued: load.queued,
        }
    }
}

/// A call that the gate let through.
struct AdmittedCall<'call> {
    context: &'call CallContext,
    request_id: &'call str,
    head: &'call RequestHead,
    /// Whether it is a suspect that has its turn.
    is_isolated: bool,
}

impl AdmittedCall<'_> {
    /// The call as one of those in execution; none where its first hop does not tell what it asks for.
    fn running(&self) -> Option<RunningRequest> {
        let fingerprint = self.context.fingerprint?;
        Some(RunningRequest {
            fingerprint,
            is_isolated: self.is_isolated,
        })
    }
}

/// Tells operators that an instance ended.
fn log_end(instance: &OpenInstance, running: &[RunningRequest]) {
    let logged = running.iter().take(MOST_LOGGED_REQUESTS);
    let logged: Vec<String> = logged
        .map(|request| request.fingerprint.to_string())
        .collect();
    log_event!(
        Event::InstanceEnded,
        "instance={} in_execution={} requests={}",
        instance.id,
        running.len(),
        logged.join(","),
    );
}

/// Whether the back end proved that it did not execute the call.
fn is_refused(result: &Result<Answered, Failure>) -> bool {
    matches!(result, Err(failure) if failure.code == ResultCode::RefusedByBackend)
}

/// How a call asks for admission.
fn entry(context: &CallContext) -> Entry {
    let standing = if context.depth > DEPTH_OF_CALLERS {
        Standing::InProgress
    } else {
        Standing::New
    };
    Entry {
        key: context.admission_key(),
        deadline: context.deadline,
        patience: Some(LONGEST_WAIT),
        standing,
        admitted_below: context.admitted_below,
    }
}

/// The answer of the back end, as far as it was read.
struct Answered {
    parts: http::response::Parts,
    collected: Collected,
    lease: Lease,
}

/// Ends the execution, or lets it end with the body that is still being passed on.
fn settle(
    result: Result<Answered, Failure>,
    scope: OpenScope,
    permit: Permit,
    deadline: Instant,
) -> Result<Response<AnswerBody>, Failure> {
    let answered = match result {
        Ok(answered) => answered,
        Err(failure) => {
            permit.complete(completion_of(failure.code));
            return Err(failure);
        }
    };
    let is_whole = matches!(answered.collected, Collected::Whole(_));
    let mut body = answered.collected.into_body(deadline);
    let lease: Box<dyn BodyObserver> = Box::new(answered.lease);
    if is_whole {
        lease.ended(BodyEnd::Complete);
        permit.complete(Completion::Succeeded);
    } else {
        body.observe(lease);
        body.observe(Box::new(Closing {
            _scope: scope,
            permit,
        }));
    }
    Ok(Response::from_parts(answered.parts, body))
}

/// Reads a short refusal to its end, so that its connection can be used again.
fn drain_refusal(response: Response<Incoming>, lease: Lease) {
    tokio::spawn(async move {
        if let Ok(Collected::Whole(_)) = collect(response.into_body()).await {
            BodyObserver::ended(Box::new(lease), BodyEnd::Complete);
        }
    });
}

const fn code_of(error: BackendError) -> ResultCode {
    match error {
        BackendError::ConnectionLimit => ResultCode::ConnectionLimit,
        BackendError::ConnectFailed => ResultCode::ConnectFailed,
        BackendError::Lost => ResultCode::ConnectionLost,
        BackendError::MalformedAnswer => ResultCode::MalformedAnswer,
    }
}

const fn completion_of(code: ResultCode) -> Completion {
    match code {
        ResultCode::DeadlineAfterDispatch => Completion::Cancelled,
        _ => Completion::Failed,
    }
}

/// Ends the execution with the body of its answer.
struct Closing {
    _scope: OpenScope,
    permit: Permit,
}

impl BodyObserver for Closing {
    fn ended(self: Box<Self>, end: BodyEnd) {
        let completion = match end {
            BodyEnd::Complete => Completion::Succeeded,
            BodyEnd::Failed => Completion::Failed,
            BodyEnd::Abandoned => Completion::Cancelled,
        };
        self.permit.complete(completion);
    }
}

/// Counts a call at the back end for as long as it lives.
pub(crate) struct InFlight(Arc<AtomicUsize>);

impl InFlight {
    pub(crate) fn begin(counter: &Arc<AtomicUsize>) -> Self {
        counter.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(counter))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A request without a body, or the stream of one.
pub(crate) fn body_of(request: Request<Incoming>) -> (Request<()>, RequestBody) {
    use http_body::Body;
    let (parts, incoming) = request.into_parts();
    let body = if incoming.is_end_stream() {
        RequestBody::Held(None)
    } else {
        RequestBody::Streamed {
            prefix: None,
            rest: incoming,
        }
    };
    (Request::from_parts(parts, ()), body)
}
