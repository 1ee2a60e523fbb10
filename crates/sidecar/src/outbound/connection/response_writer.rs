//! Writes the responses of a connection in the order of its requests.

use std::fmt::Write as _;
use std::io;
use std::time::Duration;

use bytes::BytesMut;
use http::header::{self, HeaderMap};
use http::{Method, Response, StatusCode};
use http_body::Body;
use http_body_util::BodyExt;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::WriteHalf;
use tokio::sync::mpsc;
use tokio::task::JoinError;
use wharfquay_daemon::body::ResponseBody;

use super::lifecycle::{ConnectionEnd, Lifecycle, Persistence};
use super::taken_request::{Delivery, TakenRequest};
use super::{READ_SIZE, RequestHandler};
use crate::events::Event;
use crate::log_event;

/// Number of bytes for which there is room when the head of a response is encoded; most heads are shorter.
const HEAD_SIZE: usize = 512;
/// Timeout for a caller to accept some bytes of a response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(12);

/// Writes the responses in order until the last one or until one can't be completed. The reason for
/// the end is then recorded in `lifecycle`.
pub(super) async fn write_responses<H: RequestHandler>(
    mut half: WriteHalf<'_>,
    taken: &mut mpsc::Receiver<TakenRequest>,
    handler: &H,
    lifecycle: &Lifecycle,
) {
    while let Some(request) = taken.recv().await {
        match respond(&mut half, request, handler, lifecycle).await {
            Ok(false) => {}
            Ok(true) => break,
            Err(end) => return lifecycle.end(end),
        }
    }
    // A caller that is gone meanwhile has received every response.
    let _ = half.shutdown().await;
    lifecycle.end(ConnectionEnd::Complete);
}

/// Writes the response to one request. Returns true if it was the last one.
///
/// # Errors
/// The reason why the connection ends with this response.
async fn respond<H: RequestHandler>(
    half: &mut WriteHalf<'_>,
    request: TakenRequest,
    handler: &H,
    lifecycle: &Lifecycle,
) -> Result<bool, ConnectionEnd> {
    let TakenRequest {
        task,
        method,
        mut delivery,
    } = request;
    let response = match task.await {
        Ok(response) => response,
        Err(error) => {
            let request_id = delivery.request_id();
            log_failed_task(request_id.and_then(|id| id.to_str().ok()), &error);
            handler.failed(request_id)
        }
    };
    let persistence = lifecycle.begin_response();
    let mut written = write_response(half, &method, response, persistence, &mut delivery).await;
    if written == Err(ConnectionEnd::ResponseBroken) && !delivery.has_begun() {
        let failure = handler.failed(delivery.request_id());
        written = write_response(half, &method, failure, persistence, &mut delivery).await;
    }
    if let Err(end) = written {
        // Recorded first, because dropping the delivery reports it.
        lifecycle.end(end);
        return Err(end);
    }
    delivery.complete();
    Ok(lifecycle.complete_response())
}

fn log_failed_task(request_id: Option<&str>, error: &JoinError) {
    let request = request_id.unwrap_or_default();
    log_event!(Event::RequestFailed, "request={request} error=\"{error}\"");
}

async fn write_response(
    half: &mut WriteHalf<'_>,
    method: &Method,
    response: Response<ResponseBody>,
    persistence: Persistence,
    delivery: &mut Delivery,
) -> Result<(), ConnectionEnd> {
    let (parts, mut body) = response.into_parts();
    let has_body = *method != Method::HEAD && may_have_body(parts.status);
    let length = body.size_hint().exact();
    let is_chunked = has_body && length.is_none();
    let body_room = length.map_or(0, |length| length.min(READ_SIZE as u64) as usize);
    let mut buffer = encode_head(parts.status, &parts.headers, persistence, body_room);
    if is_chunked {
        buffer.extend_from_slice(b"transfer-encoding: chunked\r\n");
    } else if let Some(length) = length.filter(|_| has_body) {
        push_text(&mut buffer, format_args!("content-length: {length}\r\n"));
    }
    buffer.extend_from_slice(b"\r\n");
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ConnectionEnd::ResponseBroken)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if data.is_empty() || !has_body {
            continue;
        }
        if is_chunked {
            push_text(&mut buffer, format_args!("{:x}\r\n", data.len()));
        }
        buffer.extend_from_slice(&data);
        if is_chunked {
            buffer.extend_from_slice(b"\r\n");
        }
        if !body.is_end_stream() || buffer.len() > READ_SIZE {
            delivery.begin_sending();
            write_all(half, &buffer).await?;
            buffer.clear();
        }
    }
    if is_chunked {
        buffer.extend_from_slice(b"0\r\n\r\n");
    }
    delivery.begin_sending();
    write_all(half, &buffer).await
}

/// Writes bytes as long as the caller keeps accepting them within the timeout.
async fn write_all(half: &mut WriteHalf<'_>, mut bytes: &[u8]) -> Result<(), ConnectionEnd> {
    while !bytes.is_empty() {
        let written = match tokio::time::timeout(WRITE_TIMEOUT, half.write(bytes)).await {
            Ok(written) => written.map_err(|error| end_after(&error))?,
            Err(_) => return Err(ConnectionEnd::CallerStalled),
        };
        if written == 0 {
            return Err(ConnectionEnd::CallerGone);
        }
        bytes = &bytes[written..];
    }
    Ok(())
}

/// Returns the reason for an end that a failed write shows. The operating system reports bytes that
/// stay unacknowledged as a timeout.
fn end_after(error: &io::Error) -> ConnectionEnd {
    match error.kind() {
        io::ErrorKind::TimedOut => ConnectionEnd::CallerStalled,
        _ => ConnectionEnd::CallerGone,
    }
}

fn may_have_body(status: StatusCode) -> bool {
    !status.is_informational()
        && status != StatusCode::NO_CONTENT
        && status != StatusCode::NOT_MODIFIED
}

/// Encodes the head of a response into a buffer with room for the body.
fn encode_head(
    status: StatusCode,
    headers: &HeaderMap,
    persistence: Persistence,
    body_room: usize,
) -> BytesMut {
    let mut buffer = BytesMut::with_capacity(HEAD_SIZE + body_room);
    let reason = status.canonical_reason().unwrap_or("Unknown");
    push_text(
        &mut buffer,
        format_args!("HTTP/1.1 {} {reason}\r\n", status.as_u16()),
    );
    for (name, value) in headers {
        if name == header::CONNECTION || name == header::TRANSFER_ENCODING {
            continue;
        }
        buffer.extend_from_slice(name.as_str().as_bytes());
        buffer.extend_from_slice(b": ");
        buffer.extend_from_slice(value.as_bytes());
        buffer.extend_from_slice(b"\r\n");
    }
    if persistence == Persistence::Close {
        buffer.extend_from_slice(b"connection: close\r\n");
    }
    buffer
}

fn push_text(buffer: &mut BytesMut, text: std::fmt::Arguments<'_>) {
    // Writing to a growing buffer can't fail.
    let _ = buffer.write_fmt(text);
}
