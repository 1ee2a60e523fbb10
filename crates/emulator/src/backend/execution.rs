//! One execution: queue, slot, work, deeper calls, answer.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use http::header::RETRY_AFTER;
use http::{Response, StatusCode};
use tokio::task::JoinSet;
use wharfquay_protocol::headers;

use super::body::{ConnectionAborted, ResponseBody, cut, whole};
use super::calls::CallFailure;
use super::record::{ExecutionNumber, ExecutionRecord, ExecutionState, Unexecuted};
use super::request::BackendRequest;
use super::speed::work_time;
use super::state::BackendState;
use super::{BEFORE_EXECUTION, REFUSED_HEADER};
use crate::answer_body;
use crate::scenario::StepModel;

/// Numbers the calls of this process, so that each deeper call has a name of its own.
static NEXT_CALL: AtomicU64 = AtomicU64::new(1);

/// Time from the begin of a request that ends the back end to that end.
const TIME_TO_END: Duration = Duration::from_millis(30);

pub(super) type Answer = Result<Response<ResponseBody>, ConnectionAborted>;

/// Serves one request of the scenario.
pub(super) async fn serve(state: Arc<BackendState>, request: BackendRequest) -> Answer {
    let Some((kind, step)) = find_step(&state, &request) else {
        return Ok(refusal(StatusCode::NOT_FOUND, "no step for this request"));
    };
    if !body_is_whole(&request) {
        return Ok(refusal(
            StatusCode::BAD_REQUEST,
            "the body is not the token's",
        ));
    }
    let faults = state.faults();
    if state.hits(faults.close_before) {
        not_executed(&state, &request, |counts| counts.closed += 1);
        return Err(ConnectionAborted);
    }
    if refuses(&state, faults.refuse) {
        not_executed(&state, &request, |counts| counts.refused += 1);
        return Ok(refusal(StatusCode::SERVICE_UNAVAILABLE, "refused"));
    }
    execute_in_slot(&state, request, &kind, &step).await
}

fn not_executed(
    state: &BackendState,
    request: &BackendRequest,
    count: impl FnOnce(&mut Unexecuted),
) {
    state.log.not_executed(&request.call, count);
}

fn find_step(state: &BackendState, request: &BackendRequest) -> Option<(String, StepModel)> {
    let model = request.model(&state.settings.scenario)?;
    let step = model.step(&state.settings.service)?;
    Some((model.kind.clone(), step.clone()))
}

/// Callers give each request with a body the body of its token.
fn body_is_whole(request: &BackendRequest) -> bool {
    request.body.is_empty() || answer_body::verify(&request.body, "caller", &request.token).is_ok()
}

fn refuses(state: &BackendState, share: f64) -> bool {
    let Some(leaving_for) = state.leaving_for() else {
        return state.hits(share);
    };
    let millis = u64::try_from(leaving_for.as_millis()).unwrap_or(u64::MAX);
    state.log.note(|counts| {
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
) -> Answer {
    let deadline = request.deadline.map(|remaining| Instant::now() + remaining);
    let in_queue = LeavesQueue::new(state, &request.call);
    let taken = match deadline {
        Some(deadline) => tokio::time::timeout_at(deadline.into(), state.slots.take()).await,
        None => Ok(state.slots.take().await),
    };
    let Ok(taken) = taken else {
        return Ok(refusal(StatusCode::GATEWAY_TIMEOUT, "deadline in queue"));
    };
    in_queue.done();
    let Ok(_slot) = taken else {
        not_executed(state, &request, |counts| counts.refused += 1);
        return Ok(refusal(StatusCode::SERVICE_UNAVAILABLE, "queue full"));
    };
    let running = RunningExecution::start(state, &request, kind);
    if state.ends_under(&request.token) {
        tokio::time::sleep(TIME_TO_END).await;
        state.end.notify_one();
        // The end takes this task along.
        std::future::pending::<()>().await;
    }
    let execution = execute(state, &request, step, deadline);
    let result = match deadline {
        Some(deadline) => tokio::time::timeout_at(deadline.into(), execution).await,
        None => Ok(execution.await),
    };
    match result {
        Ok(Ok(())) => {
            running.end(ExecutionState::Completed);
            completed_answer(state, &request).await
        }
        Ok(Err(failure)) => {
            running.end(failure_state(&failure));
            Ok(failure_answer(state, &failure))
        }
        Err(_) => {
            running.end(ExecutionState::DeadlineExceeded);
            Ok(plain(
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
    let work = work_time(mean, &mut *state.rng()).mul_f64(state.work_factor());
    if !work.is_zero() {
        tokio::time::sleep(work).await;
    }
    if step.concurrent {
        return call_concurrently(state, request, step, deadline).await;
    }
    for service in &step.calls {
        call(state, request, service, deadline).await?;
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
        calls.spawn(async move { call(&state, &request, &service, deadline).await });
    }
    while let Some(result) = calls.join_next().await {
        result.unwrap_or(Err(CallFailure::Lost))?;
    }
    Ok(())
}

async fn call(
    state: &BackendState,
    request: &BackendRequest,
    service: &str,
    deadline: Option<Instant>,
) -> Result<(), CallFailure> {
    let number = NEXT_CALL.fetch_add(1, Ordering::Relaxed);
    let name = format!("{}.{}-{number}", request.call, state.settings.id);
    let remaining = deadline.map(|deadline| deadline.saturating_duration_since(Instant::now()));
    state.calls.call(service, request, &name, remaining).await
}

const fn failure_state(failure: &CallFailure) -> ExecutionState {
    match failure {
        CallFailure::Wrong(_) => ExecutionState::WrongDeeperAnswer,
        CallFailure::Answered { .. } | CallFailure::Lost => ExecutionState::DependencyFailed,
    }
}

async fn completed_answer(state: &BackendState, request: &BackendRequest) -> Answer {
    let faults = state.faults();
    if state.hits(faults.hang) {
        std::future::pending::<()>().await;
    }
    if state.hits(faults.close_after) {
        return Err(ConnectionAborted);
    }
    let bytes = answer_body::render(&state.settings.service, &request.token);
    let body = if state.hits(faults.cut_answer) {
        cut(&bytes)
    } else {
        whole(bytes)
    };
    Ok(with_load(state, Response::new(body)))
}

/// Passes the status of a failed deeper call on, with its advice on when to come back.
fn failure_answer(state: &BackendState, failure: &CallFailure) -> Response<ResponseBody> {
    let CallFailure::Answered {
        status,
        retry_after,
    } = failure
    else {
        return plain(state, StatusCode::BAD_GATEWAY, "deeper call lost");
    };
    let mut response = plain(state, *status, "deeper call failed");
    if let Some(value) = retry_after {
        response.headers_mut().insert(RETRY_AFTER, value.clone());
    }
    response
}

fn plain(state: &BackendState, status: StatusCode, text: &'static str) -> Response<ResponseBody> {
    let mut response = Response::new(whole(text.into()));
    *response.status_mut() = status;
    with_load(state, response)
}

/// An answer that says that nothing was executed.
fn refusal(status: StatusCode, text: &'static str) -> Response<ResponseBody> {
    let mut response = Response::new(whole(text.into()));
    *response.status_mut() = status;
    let value = http::HeaderValue::from_static(BEFORE_EXECUTION);
    response.headers_mut().insert(REFUSED_HEADER, value);
    response
}

fn with_load(state: &BackendState, mut response: Response<ResponseBody>) -> Response<ResponseBody> {
    let load = state.reported_in_flight();
    response
        .headers_mut()
        .insert(headers::REPORTED_LOAD, load.into());
    response
}

/// Records an execution; one that is dropped before its end was cancelled.
struct RunningExecution<'a> {
    state: &'a BackendState,
    number: ExecutionNumber,
    ended: bool,
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
            ended: false,
        }
    }

    fn end(mut self, execution_state: ExecutionState) {
        self.state.log.end(self.number, execution_state);
        self.ended = true;
    }
}

impl Drop for RunningExecution<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.state.log.end(self.number, ExecutionState::Cancelled);
        }
    }
}

/// Counts a request that leaves the queue without a slot.
struct LeavesQueue<'a> {
    state: &'a BackendState,
    call: &'a str,
    done: bool,
}

impl<'a> LeavesQueue<'a> {
    const fn new(state: &'a BackendState, call: &'a str) -> Self {
        let done = false;
        Self { state, call, done }
    }

    fn done(mut self) {
        self.done = true;
    }
}

impl Drop for LeavesQueue<'_> {
    fn drop(&mut self) {
        if !self.done {
            let count = |counts: &mut Unexecuted| counts.left_queue += 1;
            self.state.log.not_executed(self.call, count);
        }
    }
}
