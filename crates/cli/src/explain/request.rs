//! Parses a request line and headers.

use uuid::Uuid;
use wharfquay_core::priority::Rank;
use wharfquay_protocol::headers;
use wharfquay_resources::decision::RequestProperties;

use crate::arguments::parse_value;
use crate::error::CliError;

const ALLOWED_REQUEST_LINE: &str = "METHOD PATH, such as 'GET /slots'";
const ALLOWED_HEADER: &str = "NAME: VALUE, such as 'host: slot'";
const ALLOWED_DEADLINE: &str = "a whole number of milliseconds";
const ALLOWED_KEY: &str = "a version 7 UUID";
const HOST: &str = "host";
/// UUID version of idempotency keys.
const KEY_VERSION: usize = 7;

/// A header with its name in lower case.
struct Header {
    name: String,
    value: String,
}

/// Reads a request line, with or without the HTTP version, and headers.
pub(super) fn read_request(
    line: &str,
    headers: &[String],
    rank: Rank,
) -> Result<RequestProperties, CliError> {
    let (method, path) = read_request_line(line)?;
    let headers: Vec<Header> = headers
        .iter()
        .map(|header| read_header(header))
        .collect::<Result<_, _>>()?;
    let deadline = find_header(&headers, headers::DEADLINE.as_str());
    let deadline_ms = deadline
        .map(|value| parse_value(headers::DEADLINE.as_str(), value, ALLOWED_DEADLINE))
        .transpose()?;
    Ok(RequestProperties {
        service: service_of(&headers)?,
        method,
        path,
        deadline_ms,
        has_idempotency_key: has_valid_key(&headers)?,
        rank,
    })
}

fn read_request_line(line: &str) -> Result<(String, String), CliError> {
    let mut parts = line.split_whitespace();
    let (Some(method), Some(target)) = (parts.next(), parts.next()) else {
        return Err(CliError::invalid_value(
            "request line",
            line,
            "the method or the path is missing",
            ALLOWED_REQUEST_LINE,
        ));
    };
    let path = target.split(['?', '#']).next().unwrap_or_default();
    if !path.starts_with('/') {
        return Err(CliError::invalid_value(
            "request line",
            line,
            "the path does not start with a slash",
            ALLOWED_REQUEST_LINE,
        ));
    }
    Ok((method.to_owned(), path.to_owned()))
}

fn read_header(text: &str) -> Result<Header, CliError> {
    let (name, value) = text
        .split_once(':')
        .filter(|(name, _)| !name.trim().is_empty())
        .ok_or_else(|| {
            CliError::invalid_value("--header", text, "no name before a colon", ALLOWED_HEADER)
        })?;
    Ok(Header {
        name: name.trim().to_ascii_lowercase(),
        value: value.trim().to_owned(),
    })
}

fn find_header<'a>(headers: &'a [Header], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|header| header.name == name)?;
    Some(&found.value)
}

/// Returns the service that the service header names or, without one, the host header.
fn service_of(headers: &[Header]) -> Result<String, CliError> {
    let named = find_header(headers, headers::SERVICE.as_str());
    let host = || {
        let host = find_header(headers, HOST)?;
        Some(host.rsplit_once(':').map_or(host, |(name, _)| name))
    };
    let service = named.or_else(host).filter(|name| !name.is_empty());
    let service = service.ok_or(CliError::MissingFlag {
        flag: "header",
        allowed: "'host: SERVICE' or 'wharfquay-service: SERVICE'",
    })?;
    Ok(service.to_owned())
}

/// Returns true if the request has a valid idempotency key.
fn has_valid_key(headers: &[Header]) -> Result<bool, CliError> {
    let header = headers::IDEMPOTENCY_KEY;
    let name = header.as_str();
    let Some(value) = find_header(headers, name) else {
        return Ok(false);
    };
    let key: Uuid = parse_value(name, value, ALLOWED_KEY)?;
    if key.get_version_num() == KEY_VERSION {
        return Ok(true);
    }
    Err(CliError::invalid_value(
        name,
        value,
        "wrong UUID version",
        ALLOWED_KEY,
    ))
}
