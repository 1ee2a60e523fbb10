//! Execution of one request: queue, slot, service time, outbound calls, response.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use http::header::RETRY_AFTER;
use http::{Response, StatusCode};
use tokio::task::JoinSet;
use wharfquay_protocol::headers;

use super::body::{ConnectionAborted, ResponseBody, complete, endless, truncated};
use super::calls::CallFailure;
use super::record::{ExecutionNumber, ExecutionRecord, ExecutionState, Unexecuted};
use super::request::BackendRequest;
use super::speed::work_time;
use super::state::BackendState;
use super::{BEFORE_EXECUTION, REFUSED_HEADER};
use crate::response_body;
use crate::scenario::StepModel;

/// Number of the next outbound call of this process, which makes call ids unique.
static NEXT_CALL: AtomicU64 = AtomicU64::new(1);

/// Time from the start of an execution that terminates the backend until the termination.
const TERMINATION_DELAY: Duration = Duration::from_millis(30);

/// Response to a request; an error closes the connection without a complete response.
pub(super) type ResponseResult = Result<Response<ResponseBody>, ConnectionAborted>;

/// Serves one request of a scenario's request kind.
pub(super) async fn serve(state: Arc<BackendState>, request: BackendRequest) -> ResponseResult {
    let Some((kind, step)) = find_step(&state, &request) else {
        return Ok(refusal(
            &request,
            StatusCode::NOT_FOUND,
            "no step for this request",
        ));
    };
    if !has_valid_body(&request) {
        return Ok(refusal(
            &request,
            StatusCode::BAD_REQUEST,
            "the body is not the token's",
        ));
    }
    let faults = state.faults();
    if state.should_inject(faults.close_before) {
        record_unexecuted(&state, &request, |counts| counts.closed += 1);
        return Err(ConnectionAborted);
    }
    if should_refuse(&state, faults.refuse) {
        record_unexecuted(&state, &request, |counts| counts.refused += 1);
        return Ok(refusal(
            &request,
            StatusCode::SERVICE_UNAVAILABLE,
            "refused",
        ));
    }
    execute_in_slot(&state, request, &kind, &step).await
}

fn record_unexecuted(
    state: &BackendState,
    request: &BackendRequest,
    count: impl FnOnce(&mut Unexecuted),
) {
    state.log.record_unexecuted(&request.call, count);
}

fn find_step(state: &BackendState, request: &BackendRequest) -> Option<(String, StepModel)> {
    let model = request.model(&state.settings.scenario)?;
    let step = model.step(&state.settings.service)?;
    Some((model.kind.clone(), step.clone()))
}

/// Returns true if the body is empty or is the one that callers derive from the request's token.
fn has_valid_body(request: &BackendRequest) -> bool {
    request.body.is_empty()
        || response_body::verify(&request.body, "caller", &request.token).is_ok()
}

fn should_refuse(state: &BackendState, share: f64) -> bool {
    let Some(time_since_drain_started) = state.time_since_drain_started() else {
        return state.should_inject(share);
    };
    let millis = u64::try_from(time_since_drain_started.as_millis()).unwrap_or(u64::MAX);
    state.log.update_counts(|counts| {
        counts.after_drain += 1;
        counts.last_after_drain_ms = millis;
    });
    true
}

async fn execute_in_slot(
    state: &Arc<BackendState>,
    request: BackendRequest,
    kind: &str,
    step: &StepModel,
) -> ResponseResult {
    let deadline = request.deadline.map(|remaining| Instant::now() + remaining);
    let queued = QueuedRequest::new(state, &request.call);
    let acquired = match deadline {
        Some(deadline) => tokio::time::timeout_at(deadline.into(), state.slots.acquire()).await,
        None => Ok(state.slots.acquire().await),
    };
    let Ok(acquired) = acquired else {
        return Ok(refusal(
            &request,
            StatusCode::GATEWAY_TIMEOUT,
            "deadline in queue",
        ));
    };
    queued.dequeue();
    let Ok(_slot) = acquired else {
        record_unexecuted(state, &request, |counts| counts.refused += 1);
        return Ok(refusal(
            &request,
            StatusCode::SERVICE_UNAVAILABLE,
            "queue full",
        ));
    };
    let running = RunningExecution::start(state, &request, kind);
    if state.terminates_on(&request.token) {
        tokio::time::sleep(TERMINATION_DELAY).await;
        state.terminate.notify_one();
        // The termination drops this task.
        std::future::pending::<()>().await;
    }
    let execution = execute(state, &request, step, deadline);
    let result = match deadline {
        Some(deadline) => tokio::time::timeout_at(deadline.into(), execution).await,
        None => Ok(execution.await),
    };
    match result {
        Ok(Ok(())) => {
            running.finish(ExecutionState::Completed);
            completed_response(state, &request).await
        }
        Ok(Err(failure)) => {
            running.finish(failure_state(&failure));
            Ok(failure_response(state, &failure))
        }
        Err(_) => {
            running.finish(ExecutionState::DeadlineExceeded);
            Ok(plain_response(
                state,
                StatusCode::GATEWAY_TIMEOUT,
                "deadline exceeded",
            ))
        }
    }
}

async fn execute(
    state: &Arc<BackendState>,
    request: &BackendRequest,
    step: &StepModel,
    deadline: Option<Instant>,
) -> Result<(), CallFailure> {
    let mean = Duration::from_micros(step.work_us);
    let work = work_time(mean, &mut *state.rng()).mul_f64(state.service_time_factor());
    if !work.is_zero() {
        tokio::time::sleep(work).await;
    }
    if step.concurrent {
        return call_concurrently(state, request, step, deadline).await;
    }
    for service in &step.calls {
        call_service(state, request, service, deadline).await?;
    }
    Ok(())
}

async fn call_concurrently(
    state: &Arc<BackendState>,
    request: &BackendRequest,
    step: &StepModel,
    deadline: Option<Instant>,
) -> Result<(), CallFailure> {
    let mut calls = JoinSet::new();
    for service in step.calls.clone() {
        let state = Arc::clone(state);
        let request = request.clone();
        calls.spawn(async move { call_service(&state, &request, &service, deadline).await });
    }
    while let Some(result) = calls.join_next().await {
        result.unwrap_or(Err(CallFailure::NoResponse))?;
    }
    Ok(())
}

async fn call_service(
    state: &BackendState,
    request: &BackendRequest,
    service: &str,
    deadline: Option<Instant>,
) -> Result<(), CallFailure> {
    let number = NEXT_CALL.fetch_add(1, Ordering::Relaxed);
    let call_id = format!("{}.{}-{number}", request.call, state.settings.id);
    let remaining = deadline.map(|deadline| deadline.saturating_duration_since(Instant::now()));
    state
        .calls
        .call(service, request, &call_id, remaining)
        .await
}

const fn failure_state(failure: &CallFailure) -> ExecutionState {
    match failure {
        CallFailure::InvalidBody(_) => ExecutionState::WrongDeeperAnswer,
        CallFailure::ErrorStatus { .. } | CallFailure::NoResponse => {
            ExecutionState::DependencyFailed
        }
    }
}

async fn completed_response(state: &BackendState, request: &BackendRequest) -> ResponseResult {
    let faults = state.faults();
    if state.should_inject(faults.hang) {
        std::future::pending::<()>().await;
    }
    if state.should_inject(faults.close_after) {
        return Err(ConnectionAborted);
    }
    let bytes = response_body::render(&state.settings.service, &request.token);
    let body = if state.should_inject(faults.cut_answer) {
        truncated(&bytes)
    } else if state.should_inject(faults.endless) {
        endless(bytes)
    } else {
        complete(bytes)
    };
    Ok(with_load_header(state, Response::new(body)))
}

/// Returns the status and the Retry-After header of a failed outbound call, or 502 if that call got
/// no valid response.
fn failure_response(state: &BackendState, failure: &CallFailure) -> Response<ResponseBody> {
    let CallFailure::ErrorStatus {
        status,
        retry_after,
    } = failure
    else {
        return plain_response(state, StatusCode::BAD_GATEWAY, "deeper call lost");
    };
    let mut response = plain_response(state, *status, "deeper call failed");
    if let Some(value) = retry_after {
        response.headers_mut().insert(RETRY_AFTER, value.clone());
    }
    response
}

fn plain_response(
    state: &BackendState,
    status: StatusCode,
    text: &'static str,
) -> Response<ResponseBody> {
    let mut response = Response::new(complete(text.into()));
    *response.status_mut() = status;
    with_load_header(state, response)
}

/// Returns a response which states that the request was not executed.
fn refusal(
    request: &BackendRequest,
    status: StatusCode,
    text: &'static str,
) -> Response<ResponseBody> {
    let mut response = Response::new(complete(text.into()));
    *response.status_mut() = status;
    let value = http::HeaderValue::from_static(BEFORE_EXECUTION);
    response.headers_mut().insert(REFUSED_HEADER, value);
    if let Some(scope) = &request.scope {
        response.headers_mut().insert(headers::SCOPE, scope.clone());
    }
    response
}

fn with_load_header(
    state: &BackendState,
    mut response: Response<ResponseBody>,
) -> Response<ResponseBody> {
    let load = state.reported_in_flight();
    response
        .headers_mut()
        .insert(headers::REPORTED_LOAD, load.into());
    response
}

/// Guard of an execution; dropping it before [`Self::finish`] records the execution as cancelled.
struct RunningExecution<'a> {
    state: &'a BackendState,
    number: ExecutionNumber,
    finished: bool,
}

impl<'a> RunningExecution<'a> {
    fn start(state: &'a BackendState, request: &BackendRequest, kind: &str) -> Self {
        let number = state.log.start(ExecutionRecord {
            origin: request.origin_text(),
            token: request.token.clone(),
            call: request.call.clone(),
            request_kind: kind.to_owned(),
            idempotency_key: request.idempotency_key.clone(),
            started_us: 0,
            ended_us: 0,
            state: ExecutionState::Running,
        });
        Self {
            state,
            number,
            finished: false,
        }
    }

    fn finish(mut self, execution_state: ExecutionState) {
        self.state.log.finish(self.number, execution_state);
        self.finished = true;
    }
}

impl Drop for RunningExecution<'_> {
    fn drop(&mut self) {
        if !self.finished {
            self.state
                .log
                .finish(self.number, ExecutionState::Cancelled);
        }
    }
}

/// Guard of a queued request; dropping it before [`Self::dequeue`] counts the request as one whose
/// caller disconnected or whose deadline passed in the queue.
struct QueuedRequest<'a> {
    state: &'a BackendState,
    call: &'a str,
    dequeued: bool,
}

impl<'a> QueuedRequest<'a> {
    const fn new(state: &'a BackendState, call: &'a str) -> Self {
        let dequeued = false;
        Self {
            state,
            call,
            dequeued,
        }
    }

    fn dequeue(mut self) {
        self.dequeued = true;
    }
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        if !self.dequeued {
            let count = |counts: &mut Unexecuted| counts.left_queue += 1;
            self.state.log.record_unexecuted(self.call, count);
        }
    }
}
