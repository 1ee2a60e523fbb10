//! Reads the service name and the head size of requests.

use http::Request;
use http::header::{self, HeaderMap};
use wharfquay_core::outcome::ResultCode;
use wharfquay_protocol::headers as names;

use crate::response::Failure;

/// Bytes of a header line besides name and value: the colon, a space and the line end.
const HEADER_LINE_OVERHEAD: usize = 4;

/// Returns the service that a request is addressed to: the service header or, without it, the host.
///
/// # Errors
/// [`ResultCode::MalformedRequest`] if the request names no service.
pub(crate) fn service_name<B>(request: &Request<B>) -> Result<String, Failure> {
    let headers = request.headers();
    let named = text(headers, &names::SERVICE).map(str::to_owned);
    let host = || {
        let authority = request.uri().authority().map(|authority| authority.host());
        let host = authority.or_else(|| text(headers, &header::HOST))?;
        Some(without_port(host).to_owned())
    };
    let service = named.or_else(host).filter(|name| !name.is_empty());
    service.ok_or_else(|| Failure::new(ResultCode::MalformedRequest))
}

fn text<'a>(headers: &'a HeaderMap, name: &header::HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn without_port(host: &str) -> &str {
    host.rsplit_once(':').map_or(host, |(name, _)| name)
}

/// Rejects a request whose head is larger than `limit` bytes.
///
/// # Errors
/// [`ResultCode::RequestTooLarge`] if path and headers exceed the limit.
pub(crate) fn check_head_size<B>(request: &Request<B>, limit: u32) -> Result<(), Failure> {
    let line = request
        .uri()
        .path_and_query()
        .map_or(0, |path| path.as_str().len());
    let headers: usize = request
        .headers()
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + HEADER_LINE_OVERHEAD)
        .sum();
    if line + headers > limit as usize {
        return Err(Failure::new(ResultCode::RequestTooLarge));
    }
    Ok(())
}
