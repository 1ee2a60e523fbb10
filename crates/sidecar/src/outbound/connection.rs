//! Connections of callers: requests are read ahead, executed side by side and answered in order.
//!
//! The HTTP library serves a pipelined connection one request at a time; callers here give up a
//! request that was not read within a second, so this module reads on its own, with the library's
//! parser.

use std::fmt::Write as _;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{self, HeaderMap};
use http::{Method, Request, Response, StatusCode};
use http_body::Body;
use http_body_util::BodyExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::sync::{mpsc, watch};
use tokio_util::task::AbortOnDropHandle;
use wharfquay_daemon::answer::Failure;
use wharfquay_daemon::body::{AnswerBody, BodyError, FedBody, MAX_HELD_BODY, RequestBody};

use super::answer::refusal;
use super::parse::{BodyDecoder, ParseError, ParsedHead, Piece, take_head};
use crate::configuration::ConnectionLimits;
use crate::fingerprint::BodyPrefix;

/// Requests of one connection that are in progress at a time.
const MAX_PIPELINED: usize = 64;
/// Bytes read from a connection at a time.
const READ_SIZE: usize = 8 * 1024;
/// Pieces of a long body that wait for the back end.
const WAITING_PIECES: usize = 4;
/// Longest time in which a caller must take some bytes of an answer.
const WRITE_LIMIT: Duration = Duration::from_secs(12);
/// Time for which a closed connection is still read, so that its last answer is not lost to a reset.
const LINGER: Duration = Duration::from_secs(1);

/// Gives the answer to a request.
pub trait RequestHandler: Send + Sync + 'static {
    /// The final answer. Dropping the future cancels the request.
    fn handle(
        &self,
        request: Request<RequestBody>,
    ) -> impl Future<Output = Response<AnswerBody>> + Send;
}

/// What the connections of one listener share.
#[derive(Debug)]
pub struct ConnectionSettings {
    /// Bounds in force.
    pub limits: watch::Receiver<ConnectionLimits>,
    /// Whether answers close their connections, since the process is to stop.
    pub closing: watch::Receiver<bool>,
}

/// An answer that is on its way, in the order of the requests.
struct PendingAnswer {
    answer: AbortOnDropHandle<Response<AnswerBody>>,
    method: Method,
    keep_alive: bool,
}

/// How reading ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadEnd {
    /// The caller closed the connection or broke off.
    Gone,
    /// Nothing came for longer than the limit.
    Idle,
}

/// Serves one connection until it ends.
pub async fn serve<H: RequestHandler>(
    mut stream: TcpStream,
    handler: Arc<H>,
    settings: &ConnectionSettings,
) {
    let (read_half, write_half) = stream.split();
    let (sender, receiver) = mpsc::channel(MAX_PIPELINED);
    let in_progress = Arc::new(AtomicUsize::new(0));
    let mut reader = Reader {
        half: read_half,
        buffer: BytesMut::new(),
        handler,
        in_progress: Arc::clone(&in_progress),
        limits: settings.limits.clone(),
    };
    let writer = write_answers(write_half, receiver, &in_progress, settings.closing.clone());
    let closed = tokio::select! {
        _ = reader.run(sender) => None,
        written = writer => Some(written),
    };
    if matches!(closed, Some(Ok(()))) {
        let _ = tokio::time::timeout(LINGER, reader.discard()).await;
    }
}

struct Reader<'stream, H> {
    half: ReadHalf<'stream>,
    buffer: BytesMut,
    handler: Arc<H>,
    in_progress: Arc<AtomicUsize>,
    limits: watch::Receiver<ConnectionLimits>,
}

/// Why no further request is read.
enum Stop {
    End(ReadEnd),
    Refuse(ParseError),
    TimedOut,
}

impl From<ParseError> for Stop {
    fn from(error: ParseError) -> Self {
        Self::Refuse(error)
    }
}

impl<H: RequestHandler> Reader<'_, H> {
    /// Reads requests until the caller is gone; returns then, so that everything in progress is
    /// dropped.
    async fn run(&mut self, answers: mpsc::Sender<PendingAnswer>) -> ReadEnd {
        let stop = loop {
            match self.read_request(&answers).await {
                Ok(true) => {}
                Ok(false) => break None,
                Err(stop) => break Some(stop),
            }
        };
        match stop {
            Some(Stop::End(end)) => return end,
            Some(Stop::Refuse(error)) => self.refuse(&answers, status_of(error)).await,
            Some(Stop::TimedOut) => self.refuse(&answers, StatusCode::REQUEST_TIMEOUT).await,
            None => {}
        }
        drop(answers);
        self.discard().await;
        ReadEnd::Gone
    }

    /// Reads one request and starts it; whether another may follow.
    async fn read_request(&mut self, answers: &mpsc::Sender<PendingAnswer>) -> Result<bool, Stop> {
        let limits = *self.limits.borrow();
        let head = self.read_head(&limits).await?;
        let keep_alive = head.keep_alive;
        let mut decoder = BodyDecoder::new(head.framing, limits.body_bytes)?;
        let timeout = Duration::from_millis(limits.idle_timeout_ms);
        let held = self.read_short_body(&mut decoder, timeout).await?;
        match held {
            ShortBody::Whole(bytes) => {
                let body = RequestBody::held(bytes);
                self.start(head, body, answers).await?;
            }
            ShortBody::Begun(first) => {
                self.start_long(head, first, decoder, answers, timeout)
                    .await?;
            }
        }
        Ok(keep_alive)
    }

    async fn read_head(&mut self, limits: &ConnectionLimits) -> Result<ParsedHead, Stop> {
        if self.buffer.is_empty() {
            self.wait_for_request(limits).await?;
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
            Err(_) => Err(Stop::TimedOut),
        }
    }

    /// Waits for the first byte of a request; the time at rest counts while nothing is in progress.
    async fn wait_for_request(&mut self, limits: &ConnectionLimits) -> Result<(), Stop> {
        let timeout = Duration::from_millis(limits.idle_timeout_ms);
        loop {
            match tokio::time::timeout(timeout, self.fill()).await {
                Ok(filled) => return filled,
                Err(_) if self.in_progress.load(Ordering::Relaxed) > 0 => {}
                Err(_) => return Err(Stop::End(ReadEnd::Idle)),
            }
        }
    }

    async fn fill(&mut self) -> Result<(), Stop> {
        self.buffer.reserve(READ_SIZE);
        match self.half.read_buf(&mut self.buffer).await {
            Ok(0) | Err(_) => Err(Stop::End(ReadEnd::Gone)),
            Ok(_) => Ok(()),
        }
    }

    async fn fill_within(&mut self, timeout: Duration) -> Result<(), Stop> {
        match tokio::time::timeout(timeout, self.fill()).await {
            Ok(filled) => filled,
            Err(_) => Err(Stop::TimedOut),
        }
    }

    /// Reads a body that is short enough to be held.
    async fn read_short_body(
        &mut self,
        decoder: &mut BodyDecoder,
        timeout: Duration,
    ) -> Result<ShortBody, Stop> {
        let mut held = BytesMut::new();
        loop {
            match decoder.next(&mut self.buffer)? {
                Piece::End => return Ok(ShortBody::Whole(held.freeze())),
                Piece::NeedMore => self.fill_within(timeout).await?,
                Piece::Data(data) => {
                    held.extend_from_slice(&data);
                    if held.len() > MAX_HELD_BODY {
                        return Ok(ShortBody::Begun(held.freeze()));
                    }
                }
            }
        }
    }

    async fn start(
        &self,
        head: ParsedHead,
        body: RequestBody,
        answers: &mpsc::Sender<PendingAnswer>,
    ) -> Result<(), Stop> {
        let method = head.request.method().clone();
        let request = head.request.map(|()| body);
        let handler = Arc::clone(&self.handler);
        let task = tokio::spawn(async move { handler.handle(request).await });
        self.in_progress.fetch_add(1, Ordering::Relaxed);
        let pending = PendingAnswer {
            answer: AbortOnDropHandle::new(task),
            method,
            keep_alive: head.keep_alive,
        };
        let sent = answers.send(pending).await;
        sent.map_err(|_| Stop::End(ReadEnd::Gone))
    }

    /// Starts a request and goes on reading its body for it.
    async fn start_long(
        &mut self,
        mut head: ParsedHead,
        first: Bytes,
        mut decoder: BodyDecoder,
        answers: &mpsc::Sender<PendingAnswer>,
        timeout: Duration,
    ) -> Result<(), Stop> {
        let (pieces, receiver) = mpsc::channel(WAITING_PIECES);
        let length = match head.framing {
            super::parse::Framing::Length(length) => Some(length),
            super::parse::Framing::Chunked => None,
        };
        let body = RequestBody::Fed(FedBody {
            pieces: receiver,
            remaining: length,
            ended: false,
        });
        head.request
            .extensions_mut()
            .insert(BodyPrefix(first.clone()));
        self.start(head, body, answers).await?;
        let mut is_wanted = pieces.send(Ok(first)).await.is_ok();
        loop {
            match decoder.next(&mut self.buffer) {
                Ok(Piece::End) => return Ok(()),
                Ok(Piece::Data(data)) if is_wanted => {
                    is_wanted = pieces.send(Ok(data)).await.is_ok();
                }
                Ok(Piece::Data(_)) => {}
                Ok(Piece::NeedMore) => {
                    if let Err(stop) = self.fill_within(timeout).await {
                        let _ = pieces.send(Err(BodyError::BrokenOff)).await;
                        return Err(stop);
                    }
                }
                Err(error) => {
                    let _ = pieces.send(Err(BodyError::BrokenOff)).await;
                    return Err(error.into());
                }
            }
        }
    }

    /// Answers bytes that are no acceptable request.
    async fn refuse(&self, answers: &mpsc::Sender<PendingAnswer>, status: StatusCode) {
        let task = tokio::spawn(async move {
            let code = ParseError::Malformed.code();
            let mut response = refusal(Failure::new(code));
            *response.status_mut() = status;
            response
        });
        self.in_progress.fetch_add(1, Ordering::Relaxed);
        let pending = PendingAnswer {
            answer: AbortOnDropHandle::new(task),
            method: Method::GET,
            keep_alive: false,
        };
        let _ = answers.send(pending).await;
    }

    /// Reads on without use until the caller closes the connection.
    async fn discard(&mut self) {
        loop {
            self.buffer.clear();
            self.buffer.reserve(READ_SIZE);
            match self.half.read_buf(&mut self.buffer).await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
    }
}

/// A body as far as it is held.
enum ShortBody {
    Whole(Bytes),
    Begun(Bytes),
}

const fn status_of(error: ParseError) -> StatusCode {
    match error {
        ParseError::Malformed => StatusCode::BAD_REQUEST,
        ParseError::HeadTooLong => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
        ParseError::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
    }
}

/// Writes the answers in order; ends once the connection is to be closed.
async fn write_answers(
    mut half: WriteHalf<'_>,
    mut answers: mpsc::Receiver<PendingAnswer>,
    in_progress: &AtomicUsize,
    closing: watch::Receiver<bool>,
) -> io::Result<()> {
    while let Some(pending) = answers.recv().await {
        let response = match pending.answer.await {
            Ok(response) => response,
            Err(error) => return Err(io::Error::other(error)),
        };
        let keep_alive = pending.keep_alive && !*closing.borrow();
        write_answer(&mut half, &pending.method, response, keep_alive).await?;
        in_progress.fetch_sub(1, Ordering::Relaxed);
        if !keep_alive {
            break;
        }
    }
    half.shutdown().await
}

async fn write_answer(
    half: &mut WriteHalf<'_>,
    method: &Method,
    response: Response<AnswerBody>,
    keep_alive: bool,
) -> io::Result<()> {
    let (parts, mut body) = response.into_parts();
    let has_body = *method != Method::HEAD && may_have_body(parts.status);
    let length = body.size_hint().exact();
    let is_chunked = has_body && length.is_none();
    let mut buffer = encode_head(parts.status, &parts.headers, keep_alive);
    if is_chunked {
        buffer.extend_from_slice(b"transfer-encoding: chunked\r\n");
    } else if let Some(length) = length.filter(|_| has_body) {
        push_text(&mut buffer, format_args!("content-length: {length}\r\n"));
    }
    buffer.extend_from_slice(b"\r\n");
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(io::Error::other)?;
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
            write_all(half, &buffer).await?;
            buffer.clear();
        }
    }
    if is_chunked {
        buffer.extend_from_slice(b"0\r\n\r\n");
    }
    write_all(half, &buffer).await
}

/// Writes bytes as long as the caller goes on taking some.
async fn write_all(half: &mut WriteHalf<'_>, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        let written = tokio::time::timeout(WRITE_LIMIT, half.write(bytes)).await??;
        if written == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        bytes = &bytes[written..];
    }
    Ok(())
}

fn may_have_body(status: StatusCode) -> bool {
    !status.is_informational()
        && status != StatusCode::NO_CONTENT
        && status != StatusCode::NOT_MODIFIED
}

fn encode_head(status: StatusCode, headers: &HeaderMap, keep_alive: bool) -> BytesMut {
    let mut buffer = BytesMut::with_capacity(512);
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
    if !keep_alive {
        buffer.extend_from_slice(b"connection: close\r\n");
    }
    buffer
}

fn push_text(buffer: &mut BytesMut, text: std::fmt::Arguments<'_>) {
    // Writing to a growing buffer can't fail.
    let _ = buffer.write_fmt(text);
}
