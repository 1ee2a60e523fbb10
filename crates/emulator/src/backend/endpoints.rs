//! Control endpoints of a backend: health, load, execution log, faults and drain.

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Method, Response, StatusCode};
use serde::Serialize;

use super::body::{ResponseBody, complete};
use super::faults::Faults;
use super::state::BackendState;

const PREFIX: &str = "/wharfquay/";
const JSON: HeaderValue = HeaderValue::from_static("application/json");

/// Body of the health endpoint's response.
#[derive(Clone, Debug, Serialize)]
struct Health<'a> {
    id: &'a str,
    service: &'a str,
    state: &'static str,
}

/// Body of an error response.
#[derive(Clone, Debug, Serialize)]
struct ErrorBody {
    error: String,
}

/// Returns true if the path belongs to a control endpoint.
pub(super) fn handles(path: &str) -> bool {
    path.starts_with(PREFIX)
}

/// Serves a control endpoint; an unknown one gets 404.
pub(super) fn serve(
    state: &BackendState,
    method: &Method,
    path: &str,
    body: &Bytes,
) -> Response<ResponseBody> {
    match (method.as_str(), &path[PREFIX.len()..]) {
        ("GET", "health") => health(state),
        ("GET", "load") => json(StatusCode::OK, &state.report().load),
        ("GET", "executions") => json(
            StatusCode::OK,
            &state
                .log
                .report(&state.settings.id, &state.settings.service),
        ),
        ("GET", "faults") => json(StatusCode::OK, &state.faults()),
        ("PUT", "faults") => put_faults(state, body),
        ("POST", "drain") => set_leaving(state, true),
        ("DELETE", "drain") => set_leaving(state, false),
        _ => error_response(StatusCode::NOT_FOUND, "no such endpoint"),
    }
}

fn health(state: &BackendState) -> Response<ResponseBody> {
    let health = Health {
        id: &state.settings.id,
        service: &state.settings.service,
        state: if state.report().leaving {
            "leaving"
        } else {
            "live"
        },
    };
    json(StatusCode::OK, &health)
}

fn put_faults(state: &BackendState, body: &Bytes) -> Response<ResponseBody> {
    match Faults::from_json(body) {
        Ok(faults) => {
            state.set_faults(faults);
            json(StatusCode::OK, &faults)
        }
        Err(error) => error_response(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}

fn set_leaving(state: &BackendState, leaving: bool) -> Response<ResponseBody> {
    state.set_leaving(leaving);
    health(state)
}

fn error_response(status: StatusCode, error: &str) -> Response<ResponseBody> {
    let body = ErrorBody {
        error: error.to_owned(),
    };
    json(status, &body)
}

fn json<T: Serialize>(status: StatusCode, message: &T) -> Response<ResponseBody> {
    let text = serde_json::to_vec(message).unwrap_or_default();
    let mut response = Response::new(complete(text.into()));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, JSON);
    response
}
