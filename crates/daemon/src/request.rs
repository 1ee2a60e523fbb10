//! Reading what a request of a caller or a back end asks for.

use http::Request;
use http::header::{self, HeaderMap};
use wharfquay_core::outcome::ResultCode;
use wharfquay_protocol::headers as names;

use crate::answer::Failure;

/// Bytes that a header line has besides its name and its value.
const HEADER_LINE_EXTRA: usize = 4;

/// The service that a request is for: the service header, or else the host.
///
/// # Errors
/// [`ResultCode::MalformedRequest`] when the request names none.
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

/// Refuses a request whose head is larger than `limit` bytes.
///
/// # Errors
/// [`ResultCode::RequestTooLarge`].
pub(crate) fn check_head_size<B>(request: &Request<B>, limit: u32) -> Result<(), Failure> {
    let line = request
        .uri()
        .path_and_query()
        .map_or(0, |path| path.as_str().len());
    let headers: usize = request
        .headers()
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + HEADER_LINE_EXTRA)
        .sum();
    if line + headers > limit as usize {
        return Err(Failure::new(ResultCode::RequestTooLarge));
    }
    Ok(())
}
