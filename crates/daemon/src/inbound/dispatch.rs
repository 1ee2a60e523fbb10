//! Handing a call to the local back end and judging the head of its answer.

use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http::{Method, Request, Response, StatusCode, Uri, Version};
use http_body::Body;
use hyper::body::Incoming;
use tokio::time::Instant;
use wharfquay_core::outcome::ResultCode;
use wharfquay_protocol::headers as names;

use crate::answer::Failure;
use crate::backend_pool::{BackendError, Lease, SendError};
use crate::body::RequestBody;
use crate::headers::remove_hop_by_hop;
use crate::inbound::LocalBackend;
use crate::scopes::OpenScope;

/// Header by which a back end proves, on a 503, that it refused before it executed anything.
const REFUSED: HeaderName = HeaderName::from_static("wharfquay-refused");
const REFUSED_BEFORE_EXECUTION: &str = "before-execution";

/// Connections that may prove closed before a byte was written, for one call.
const CONNECTION_TRIES: usize = 3;

/// The head of the back end's answer and the connection that brings its body.
#[derive(Debug)]
pub(crate) struct Answered {
    pub(crate) response: Response<Incoming>,
    pub(crate) lease: Lease,
}

/// Hands the call to the back end and waits for the head of its answer, at most until `deadline`.
///
/// # Errors
/// The failure in place of the answer; "not run" only if the back end saw nothing of the request or
/// refused it before execution.
pub(crate) async fn execute(
    backend: &LocalBackend,
    scope: &OpenScope,
    request: Request<Incoming>,
    deadline: Instant,
) -> Result<Answered, Failure> {
    let method = request.method().clone();
    let mut request = build(backend, scope, request)?;
    for _ in 0..CONNECTION_TRIES {
        let checkout = backend.pool.checkout();
        let lease = tokio::time::timeout_at(deadline, checkout)
            .await
            .map_err(|_| Failure::new(ResultCode::DeadlineUnreachable))?;
        let mut lease = lease.map_err(|error| Failure::new(code_of(error)))?;
        let sent = tokio::time::timeout_at(deadline, lease.send(request))
            .await
            .map_err(|_| Failure::new(ResultCode::DeadlineAfterDispatch))?;
        match sent {
            Ok(response) => return judge(&method, response, lease),
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
        BackendError::MalformedAnswer => ResultCode::MalformedAnswer,
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

fn judge(method: &Method, response: Response<Incoming>, lease: Lease) -> Result<Answered, Failure> {
    if refused_before_execution(&response) {
        return Err(Failure::new(ResultCode::RefusedByBackend));
    }
    if !end_is_marked(method, &response) {
        return Err(Failure::new(ResultCode::MalformedAnswer));
    }
    Ok(Answered { response, lease })
}

fn refused_before_execution<B>(response: &Response<B>) -> bool {
    let header = response.headers().get(REFUSED);
    let proof = header.is_some_and(|value| value.as_bytes() == REFUSED_BEFORE_EXECUTION.as_bytes());
    proof && response.status() == StatusCode::SERVICE_UNAVAILABLE
}

/// Whether a whole body can be told from one that a broken connection cut short: its length is
/// given, or it comes in chunks.
fn end_is_marked<B: Body>(method: &Method, response: &Response<B>) -> bool {
    let bodiless = *method == Method::HEAD
        || response.status() == StatusCode::NO_CONTENT
        || response.status() == StatusCode::NOT_MODIFIED;
    let headers = response.headers();
    bodiless
        || headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING)
}
