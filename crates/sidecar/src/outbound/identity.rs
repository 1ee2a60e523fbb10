//! Identification of a request's tenant by its API key.

use std::fmt;

use http::header::{self, HeaderMap};
use wharfquay_core::outcome::ResultCode;
use wharfquay_daemon::response::Failure;

use crate::configuration::{Route, RouteIndex};
use crate::confirmation::Confirmation;
use crate::events::Event;
use crate::log_event;
use crate::tenant::{KeyDigest, Tenant};

/// Name of the authentication scheme of API keys. Scheme names are case-insensitive.
const SCHEME: &[u8] = b"bearer";

/// Returns the tenant that a caller's request on this route belongs to; `None` if the route
/// requires no API key.
///
/// # Errors
/// The refusal of a request without a key that identifies a tenant.
pub(super) fn identify_tenant<'index>(
    index: &'index RouteIndex,
    route: &Route,
    request_id: &str,
    headers: &HeaderMap,
    confirmation: &Confirmation,
) -> Result<Option<&'index Tenant>, Failure> {
    if !index.requires_key(route) {
        return Ok(None);
    }
    let refuse = |key: &dyn fmt::Display, failure: Failure| {
        log_event!(
            Event::KeyRefused,
            "request={request_id} route={} key={key} result={} name={}",
            route.name,
            failure.code.number(),
            failure.code.name()
        );
        failure
    };
    let Some(key) = bearer_key(headers) else {
        let failure = Failure::new(ResultCode::UnknownApiKey);
        return Err(refuse(&"none", failure));
    };
    let key = KeyDigest::of(key);
    let Some(tenant) = index.tenant(key) else {
        return Err(refuse(&key, confirmation.refuse_unknown_key()));
    };
    let checked = confirmation.check_known_key();
    checked.map_err(|failure| refuse(&key, failure))?;
    Ok(Some(tenant))
}

/// Returns the key that a request carries; `None` if the `Authorization` header is missing,
/// repeated or of another form.
fn bearer_key(headers: &HeaderMap) -> Option<&[u8]> {
    let mut lines = headers.get_all(header::AUTHORIZATION).iter();
    let line = lines.next()?.as_bytes();
    if lines.next().is_some() {
        return None;
    }
    let (scheme, rest) = line.split_at_checked(SCHEME.len())?;
    let key = rest.strip_prefix(b" ")?.trim_ascii();
    (scheme.eq_ignore_ascii_case(SCHEME) && !key.is_empty()).then_some(key)
}
