//! Reads requests from a connection and starts them.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderValue, Method, Response, StatusCode};
use tokio::io::AsyncReadExt;
use tokio::net::tcp::ReadHalf;
use tokio::sync::mpsc;
use tokio_util::task::AbortOnDropHandle;
use wharfquay_daemon::body::{MAX_HELD_BODY, RequestBody, ResponseBody};
use wharfquay_daemon::response::Failure;

use super::lifecycle::{ConnectionEnd, Lifecycle};
use super::taken_request::{Delivery, TakenRequest};
use super::{ConnectionSettings, READ_SIZE, RequestHandler};
use crate::configuration::ConnectionLimits;
use crate::fingerprint::BodyPrefix;
use crate::outbound::parse::{BodyDecoder, Framing, ParseError, ParsedHead, Piece, take_head};
use crate::outbound::response::refusal;
use crate::stop_phase::{StopPhase, StopSignal};

/// Number of parts of a streamed body that may be queued for the backend.
const MAX_QUEUED_PARTS: usize = 4;
/// Time for which an idle connection is still read after the sidecar closes its connections: a
/// request that was sent meanwhile is then answered instead of being lost.
const CLOSE_DELAY: Duration = Duration::from_millis(20);

/// Reads the requests of one connection.
pub(super) struct Reader<'stream, H> {
    half: ReadHalf<'stream>,
    buffer: BytesMut,
    handler: Arc<H>,
    lifecycle: Arc<Lifecycle>,
    settings: ConnectionSettings,
}

/// Reason why no further request is read.
enum ReadStop {
    /// The connection has had its last request.
    Finished,
    /// The connection ends at once.
    End(ConnectionEnd),
    /// The bytes are not an acceptable request.
    Reject(ParseError),
    /// The rest of the request did not arrive in time.
    TimedOut,
}

impl From<ParseError> for ReadStop {
    fn from(error: ParseError) -> Self {
        Self::Reject(error)
    }
}

/// Start of a body: all of it, or as much as may be held in memory.
enum ShortBody {
    Complete(Bytes),
    Partial(Bytes),
}

impl<'stream, H: RequestHandler> Reader<'stream, H> {
    pub(super) fn new(
        half: ReadHalf<'stream>,
        handler: Arc<H>,
        lifecycle: &Arc<Lifecycle>,
        settings: &ConnectionSettings,
    ) -> Self {
        Self {
            half,
            buffer: BytesMut::new(),
            handler,
            lifecycle: Arc::clone(lifecycle),
            settings: settings.clone(),
        }
    }

    /// Reads requests until the last one, then discards input. Returns once the caller is gone or
    /// the connection is idle; the reason is then recorded in the lifecycle.
    pub(super) async fn run(&mut self, taken: mpsc::Sender<TakenRequest>) {
        let stop = loop {
            if let Err(stop) = self.read_request(&taken).await {
                break stop;
            }
        };
        match stop {
            ReadStop::End(end) => return self.lifecycle.end(end),
            ReadStop::Reject(error) => self.reject(&taken, status_of(error)).await,
            ReadStop::TimedOut => self.reject(&taken, StatusCode::REQUEST_TIMEOUT).await,
            ReadStop::Finished => {}
        }
        self.lifecycle.finish_taking();
        drop(taken);
        self.discard().await;
        self.lifecycle.end(ConnectionEnd::CallerGone);
    }

    /// Reads and starts one request.
    async fn read_request(&mut self, taken: &mpsc::Sender<TakenRequest>) -> Result<(), ReadStop> {
        let limits = *self.settings.limits.borrow();
        let head = self.read_head(&limits).await?;
        let keep_alive = head.keep_alive;
        let mut decoder = BodyDecoder::new(head.framing, limits.body_bytes)?;
        let timeout = Duration::from_millis(limits.idle_timeout_ms);
        match self.read_short_body(&mut decoder, timeout).await? {
            ShortBody::Complete(bytes) => {
                self.start(head, RequestBody::held(bytes), taken).await?;
            }
            ShortBody::Partial(first) => {
                self.start_streamed(head, first, decoder, taken, timeout)
                    .await?;
            }
        }
        match keep_alive {
            true => Ok(()),
            false => Err(ReadStop::Finished),
        }
    }

    async fn read_head(&mut self, limits: &ConnectionLimits) -> Result<ParsedHead, ReadStop> {
        if self.buffer.is_empty() {
            let idle_timeout = Duration::from_millis(limits.idle_timeout_ms);
            self.wait_for_request(idle_timeout).await?;
        }
        let timeout = Duration::from_millis(limits.header_timeout_ms);
        let reading = async {
            loop {
                if let Some(head) = take_head(&mut self.buffer, limits.header_bytes)? {
                    return Ok(head);
                }
                self.fill().await?;
            }
        };
        match tokio::time::timeout(timeout, reading).await {
            Ok(read) => read,
            Err(_) => Err(ReadStop::TimedOut),
        }
    }

    /// Waits for the first byte of a request. The idle timeout applies only while nothing is in
    /// progress, and counts from the end of the last response.
    async fn wait_for_request(&mut self, idle_timeout: Duration) -> Result<(), ReadStop> {
        // A connection that waits keeps no buffer: most carry one request, and many may be idle.
        self.buffer = BytesMut::new();
        let mut stop = self.settings.stop.clone();
        let mut wait = idle_timeout;
        loop {
            tokio::select! {
                filled = self.fill_when_readable() => return filled,
                () = tokio::time::sleep(wait) => {}
                () = closing(&mut stop) => return Err(self.close()),
            }
            wait = match self.lifecycle.idle_time() {
                Some(idle) if idle >= idle_timeout => {
                    return Err(ReadStop::End(ConnectionEnd::Idle));
                }
                Some(idle) => idle_timeout - idle,
                None => idle_timeout,
            };
        }
    }

    /// Takes no further request because the sidecar closes its connections.
    fn close(&self) -> ReadStop {
        self.lifecycle.finish_taking();
        match self.lifecycle.idle_time() {
            Some(_) => ReadStop::End(ConnectionEnd::Idle),
            None => ReadStop::Finished,
        }
    }

    async fn fill(&mut self) -> Result<(), ReadStop> {
        self.buffer.reserve(READ_SIZE);
        match self.half.read_buf(&mut self.buffer).await {
            Ok(0) | Err(_) => Err(ReadStop::End(ConnectionEnd::CallerGone)),
            Ok(_) => Ok(()),
        }
    }

    /// Like [`Self::fill`], without a buffer until there is something to read.
    async fn fill_when_readable(&mut self) -> Result<(), ReadStop> {
        if self.half.readable().await.is_err() {
            return Err(ReadStop::End(ConnectionEnd::CallerGone));
        }
        self.fill().await
    }

    async fn fill_within(&mut self, timeout: Duration) -> Result<(), ReadStop> {
        match tokio::time::timeout(timeout, self.fill()).await {
            Ok(filled) => filled,
            Err(_) => Err(ReadStop::TimedOut),
        }
    }

    /// Reads a body that is short enough to be held in memory.
    async fn read_short_body(
        &mut self,
        decoder: &mut BodyDecoder,
        timeout: Duration,
    ) -> Result<ShortBody, ReadStop> {
        let mut held = BytesMut::new();
        loop {
            match decoder.next(&mut self.buffer)? {
                Piece::End => return Ok(ShortBody::Complete(held.freeze())),
                Piece::NeedMore => self.fill_within(timeout).await?,
                Piece::Data(data) => {
                    held.extend_from_slice(&data);
                    if held.len() > MAX_HELD_BODY {
                        return Ok(ShortBody::Partial(held.freeze()));
                    }
                }
            }
        }
    }

    /// Starts a request if the connection still takes one.
    async fn start(
        &self,
        head: ParsedHead,
        body: RequestBody,
        taken: &mpsc::Sender<TakenRequest>,
    ) -> Result<(), ReadStop> {
        if !self.lifecycle.take() {
            return Err(ReadStop::Finished);
        }
        if !head.keep_alive {
            self.lifecycle.finish_taking();
        }
        let method = head.request.method().clone();
        let request_id = self.handler.request_id(head.request.headers()).cloned();
        let request = head.request.map(|()| body);
        let handler = Arc::clone(&self.handler);
        let handling = async move { handler.handle(request).await };
        self.queue(method, request_id, handling, taken).await
    }

    /// Spawns the handling of a request that was taken and queues it for its response.
    async fn queue(
        &self,
        method: Method,
        request_id: Option<HeaderValue>,
        handling: impl Future<Output = Response<ResponseBody>> + Send + 'static,
        taken: &mpsc::Sender<TakenRequest>,
    ) -> Result<(), ReadStop> {
        let settings = &self.settings;
        let request = TakenRequest {
            task: AbortOnDropHandle::new(tokio::spawn(handling)),
            method,
            delivery: Delivery::begin(
                request_id,
                &self.lifecycle,
                &settings.metrics,
                &settings.in_flight,
            ),
        };
        let queued = taken.send(request).await;
        // Without a receiver the writer has ended the connection.
        queued.map_err(|_| ReadStop::Finished)
    }

    /// Starts a request before its body is complete, and continues to read the body for it.
    async fn start_streamed(
        &mut self,
        mut head: ParsedHead,
        first: Bytes,
        mut decoder: BodyDecoder,
        taken: &mpsc::Sender<TakenRequest>,
        timeout: Duration,
    ) -> Result<(), ReadStop> {
        let length = match head.framing {
            Framing::Length(length) => Some(length),
            Framing::Chunked => None,
        };
        let (sender, body) = RequestBody::channel(length, MAX_QUEUED_PARTS);
        head.request
            .extensions_mut()
            .insert(BodyPrefix(first.clone()));
        self.start(head, body, taken).await?;
        let mut has_recipient = sender.send(first).await;
        loop {
            // An error drops the sender, which breaks the body off.
            match decoder.next(&mut self.buffer).map_err(after_taking)? {
                Piece::End => break,
                Piece::Data(data) if has_recipient => has_recipient = sender.send(data).await,
                Piece::Data(_) => {}
                Piece::NeedMore => self.fill_within(timeout).await.map_err(after_taking)?,
            }
        }
        sender.finish();
        Ok(())
    }

    /// Responds to bytes that are not an acceptable request, as the last request of the connection.
    async fn reject(&self, taken: &mpsc::Sender<TakenRequest>, status: StatusCode) {
        if !self.lifecycle.take() {
            return;
        }
        self.lifecycle.finish_taking();
        let rejection = async move {
            let code = ParseError::Malformed.code();
            let mut response = refusal(Failure::new(code));
            *response.status_mut() = status;
            response
        };
        // If the connection has ended, nobody waits for the response.
        let _ = self.queue(Method::GET, None, rejection, taken).await;
    }

    /// Reads and discards input until the caller closes the connection.
    async fn discard(&mut self) {
        loop {
            self.buffer = BytesMut::new();
            if self.fill_when_readable().await.is_err() {
                return;
            }
        }
    }
}

/// Completes [`CLOSE_DELAY`] after the sidecar closes its connections.
async fn closing(stop: &mut StopSignal) {
    stop.reached(StopPhase::Closing).await;
    tokio::time::sleep(CLOSE_DELAY).await;
}

/// Returns why reading ends within the body of a request that was taken. Its own response is the
/// answer to a body that is malformed or late; no other one may follow.
fn after_taking(stop: impl Into<ReadStop>) -> ReadStop {
    match stop.into() {
        ReadStop::Reject(_) | ReadStop::TimedOut | ReadStop::Finished => ReadStop::Finished,
        ReadStop::End(end) => ReadStop::End(end),
    }
}

const fn status_of(error: ParseError) -> StatusCode {
    match error {
        ParseError::Malformed => StatusCode::BAD_REQUEST,
        ParseError::HeadTooLong => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
        ParseError::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
    }
}
