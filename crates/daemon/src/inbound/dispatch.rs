//! Sends a call to the local backend and checks the head of its response.

use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http::{Method, Request, Response, StatusCode, Uri, Version};
use http_body::Body;
use hyper::body::Incoming;
use tokio::time::Instant;
use wharfquay_core::outcome::ResultCode;
use wharfquay_core::rate_limit::ResponseSource;
use wharfquay_protocol::headers as names;

use crate::backend_pool::{BackendError, Lease, SendError};
use crate::body::{BodyEnd, BodyObserver, RequestBody};
use crate::headers::remove_hop_by_hop;
use crate::inbound::LocalBackend;
use crate::response::Failure;
use crate::scopes::{OpenScope, ScopeId};

/// Header with which a backend asserts, on a 503 response, that it refused the request before it
/// executed any of it. The refusal is certain only if it names the scope of the request
/// ([`names::SCOPE`]) or is the first response on its connection.
const REFUSED: HeaderName = HeaderName::from_static("wharfquay-refused");
const REFUSED_BEFORE_EXECUTION: &str = "before-execution";

/// Number of connections to use for one call, if each closes before a byte is written to it.
const MAX_CONNECTIONS_PER_CALL: usize = 3;

/// The head of the backend's response and the connection that delivers its body.
#[derive(Debug)]
pub(crate) struct BackendResponse {
    pub(crate) response: Response<Incoming>,
    pub(crate) lease: Lease,
}

/// Sends the call to the backend and waits for the head of its response until `deadline`.
///
/// # Errors
/// The failure to report instead of a response; "not run" only if the backend received nothing of
/// the request or refused it before execution.
pub(crate) async fn execute(
    backend: &LocalBackend,
    scope: &OpenScope,
    request: Request<Incoming>,
    deadline: Instant,
) -> Result<BackendResponse, Failure> {
    let method = request.method().clone();
    let mut request = build(backend, scope, request)?;
    let mut sent_at = None;
    for _ in 0..MAX_CONNECTIONS_PER_CALL {
        let checkout = backend.pool.checkout();
        let lease = tokio::time::timeout_at(deadline, checkout)
            .await
            .map_err(|_| Failure::new(ResultCode::DeadlineUnreachable))?;
        let mut lease = lease.map_err(|error| Failure::new(code_of(error)))?;
        let admitted = match sent_at {
            Some(sent_at) => Ok(sent_at),
            None => backend.announcements.admit(&scope.scope().context),
        };
        let admitted_at = match admitted {
            Ok(admitted_at) => *sent_at.insert(admitted_at),
            Err(refusal) => {
                // The connection was not used.
                Box::new(lease).ended(BodyEnd::Complete);
                return Err(refusal);
            }
        };
        let sent = tokio::time::timeout_at(deadline, lease.send(request))
            .await
            .map_err(|_| Failure::new(ResultCode::DeadlineAfterDispatch))?;
        match sent {
            Ok(response) => {
                let (source, headers) = (ResponseSource::Call, response.headers());
                backend.announcements.read(source, admitted_at, headers);
                return check_response(&method, scope.id(), response, lease);
            }
            Err(SendError::Failed(error)) => return Err(Failure::new(code_of(error))),
            Err(SendError::NotSent(unsent)) => request = unsent,
        }
    }
    Err(Failure::new(ResultCode::ConnectFailed))
}

const fn code_of(error: BackendError) -> ResultCode {
    match error {
        BackendError::ConnectionLimit => ResultCode::ConnectionLimit,
        BackendError::ConnectFailed => ResultCode::ConnectFailed,
        BackendError::Lost => ResultCode::ConnectionLost,
        BackendError::MalformedResponse => ResultCode::MalformedAnswer,
    }
}

fn build(
    backend: &LocalBackend,
    scope: &OpenScope,
    request: Request<Incoming>,
) -> Result<Request<RequestBody>, Failure> {
    let malformed = || Failure::new(ResultCode::MalformedRequest);
    let (parts, body) = request.into_parts();
    let mut headers = parts.headers;
    remove_hop_by_hop(&mut headers);
    headers.remove(names::CONTEXT);
    let host = HeaderValue::from_str(&backend.service).map_err(|_| malformed())?;
    headers.insert(header::HOST, host);
    insert_scope(&mut headers, scope).ok_or_else(malformed)?;
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let body = if body.is_end_stream() {
        RequestBody::Held(None)
    } else {
        RequestBody::Streamed {
            prefix: None,
            rest: body,
        }
    };
    let mut outgoing = Request::new(body);
    *outgoing.method_mut() = parts.method;
    *outgoing.uri_mut() = path.parse::<Uri>().map_err(|_| malformed())?;
    *outgoing.version_mut() = Version::HTTP_11;
    *outgoing.headers_mut() = headers;
    Ok(outgoing)
}

fn insert_scope(headers: &mut HeaderMap, scope: &OpenScope) -> Option<()> {
    let id = HeaderValue::from_str(&scope.id().to_string()).ok()?;
    let origin = scope.scope().context.origin.as_u128();
    let origin = HeaderValue::from_str(&format!("{origin:032x}")).ok()?;
    headers.insert(names::SCOPE, id);
    headers.insert(names::ORIGIN, origin);
    Some(())
}

fn check_response(
    method: &Method,
    scope: ScopeId,
    response: Response<Incoming>,
    lease: Lease,
) -> Result<BackendResponse, Failure> {
    let echoed = echoed_scope(response.headers());
    if echoed.is_some_and(|echoed| echoed != scope.to_string()) {
        return Err(Failure::new(ResultCode::MalformedAnswer));
    }
    if refused_before_execution(&response) {
        let is_first = lease.usage().is_some_and(|usage| usage.exchanges == 1);
        let code = match echoed.is_some() || is_first {
            true => ResultCode::RefusedByBackend,
            // An earlier request on the connection may have been refused twice.
            false => ResultCode::MalformedAnswer,
        };
        return Err(Failure::new(code));
    }
    if !has_delimited_body(method, &response) {
        return Err(Failure::new(ResultCode::MalformedAnswer));
    }
    Ok(BackendResponse { response, lease })
}

/// Returns the scope that a response names; `None` if it names none.
fn echoed_scope(headers: &HeaderMap) -> Option<&str> {
    headers.get(names::SCOPE)?.to_str().ok()
}

fn refused_before_execution<B>(response: &Response<B>) -> bool {
    let header = response.headers().get(REFUSED);
    let proof = header.is_some_and(|value| value.as_bytes() == REFUSED_BEFORE_EXECUTION.as_bytes());
    proof && response.status() == StatusCode::SERVICE_UNAVAILABLE
}

/// Returns true if a complete body can be distinguished from one that a broken connection
/// truncated: the response has a content length or a transfer encoding, or has no body.
fn has_delimited_body<B: Body>(method: &Method, response: &Response<B>) -> bool {
    let bodiless = *method == Method::HEAD
        || response.status() == StatusCode::NO_CONTENT
        || response.status() == StatusCode::NOT_MODIFIED;
    let headers = response.headers();
    bodiless
        || headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING)
}
