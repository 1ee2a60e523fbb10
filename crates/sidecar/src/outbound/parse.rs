//! Parses requests from the bytes of a connection: heads, lengths and chunks. Performs no I/O.
//!
//! Input that two parsers could interpret differently (two lengths, a length together with chunks,
//! an unknown transfer coding) is rejected, which prevents request smuggling.

use bytes::{Buf, Bytes, BytesMut};
use displaydoc::Display;
use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http::{Method, Request, Uri, Version};
use wharfquay_core::outcome::ResultCode;

/// Maximum number of headers in one request.
const MAX_HEADERS: usize = 96;
/// Maximum length of a chunk-size line, in bytes.
const MAX_CHUNK_LINE: usize = 1_024;
/// Maximum length of the trailer section, in bytes.
const MAX_TRAILERS: usize = 8 * 1_024;
/// Number of headers that are added to a request on its way to the backend, for which its map has room.
const ADDED_HEADERS: usize = 4;
const CRLF: &[u8] = b"\r\n";

/// Reason why the bytes are not an acceptable request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum ParseError {
    /// the request is malformed
    Malformed,
    /// the head of the request is too long
    HeadTooLong,
    /// the body of the request is too long
    BodyTooLong,
}

impl std::error::Error for ParseError {}

impl ParseError {
    /// Returns the result code that the caller receives.
    pub(crate) const fn code(self) -> ResultCode {
        match self {
            Self::Malformed => ResultCode::MalformedRequest,
            Self::HeadTooLong | Self::BodyTooLong => ResultCode::RequestTooLarge,
        }
    }
}

/// How the end of a request body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By its length, which is zero for a request without a body.
    Length(u64),
    /// By the last chunk of the chunked transfer coding.
    Chunked,
}

/// Parsed head of a request.
#[derive(Debug)]
pub struct ParsedHead {
    /// Method, target and headers. The framing headers are kept as received.
    pub request: Request<()>,
    /// How the end of the body is determined.
    pub framing: Framing,
    /// True if another request may follow on the connection.
    pub keep_alive: bool,
}

/// Takes one complete head off the buffer. Returns `None` if more bytes are needed.
///
/// # Errors
/// [`ParseError`] if the bytes are not an acceptable head of at most `limit` bytes.
pub fn take_head(buffer: &mut BytesMut, limit: usize) -> Result<Option<ParsedHead>, ParseError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let length = match parsed.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if buffer.len() > limit => {
            return Err(ParseError::HeadTooLong);
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(ParseError::HeadTooLong),
        Err(_) => return Err(ParseError::Malformed),
    };
    if length > limit {
        return Err(ParseError::HeadTooLong);
    }
    let head = convert(&parsed, &buffer[..length])?;
    buffer.advance(length);
    Ok(Some(head))
}

/// Converts the parsed parts of the bytes `received`. Target and values share one copy of these
/// bytes, so that no attempt has to copy them again. The buffer itself is not shared: it would be
/// allocated anew for the next request.
fn convert(parsed: &httparse::Request<'_, '_>, received: &[u8]) -> Result<ParsedHead, ParseError> {
    let shared = Bytes::copy_from_slice(received);
    let part = |part: &[u8]| shared_part(&shared, received, part);
    let malformed = |_| ParseError::Malformed;
    let method = parsed.method.unwrap_or_default();
    let target = parsed.path.unwrap_or_default();
    if target.contains('#') {
        return Err(ParseError::Malformed);
    }
    let mut request = Request::new(());
    *request.method_mut() =
        Method::from_bytes(method.as_bytes()).map_err(|_| ParseError::Malformed)?;
    let target = Uri::from_maybe_shared(part(target.as_bytes()));
    *request.uri_mut() = target.map_err(|_| ParseError::Malformed)?;
    let is_http_10 = parsed.version == Some(0);
    *request.version_mut() = if is_http_10 {
        Version::HTTP_10
    } else {
        Version::HTTP_11
    };
    *request.headers_mut() = HeaderMap::with_capacity(parsed.headers.len() + ADDED_HEADERS);
    for field in parsed.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes()).map_err(malformed_name)?;
        let value = HeaderValue::from_maybe_shared(part(field.value)).map_err(malformed)?;
        request.headers_mut().append(name, value);
    }
    let framing = framing(request.headers(), is_http_10)?;
    let keep_alive = keeps_alive(request.headers(), is_http_10);
    Ok(ParsedHead {
        request,
        framing,
        keep_alive,
    })
}

/// Returns the bytes `part` of `received` as a part of its copy `shared`.
fn shared_part(shared: &Bytes, received: &[u8], part: &[u8]) -> Bytes {
    let start = part.as_ptr().addr().wrapping_sub(received.as_ptr().addr());
    let range = start..start.wrapping_add(part.len());
    match shared.get(range.clone()) {
        Some(copy) if copy == part => shared.slice(range),
        // Not a part of `received`, for example a constant of the parser.
        _ => Bytes::copy_from_slice(part),
    }
}

fn malformed_name(_: http::header::InvalidHeaderName) -> ParseError {
    ParseError::Malformed
}

fn framing(headers: &HeaderMap, is_http_10: bool) -> Result<Framing, ParseError> {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
    match (codings.next(), lengths.next()) {
        (None, None) => Ok(Framing::Length(0)),
        (Some(coding), None) => {
            let is_chunked = coding.as_bytes().eq_ignore_ascii_case(b"chunked");
            if is_chunked && !is_http_10 && codings.next().is_none() {
                Ok(Framing::Chunked)
            } else {
                Err(ParseError::Malformed)
            }
        }
        (None, Some(length)) => {
            if lengths.next().is_some() {
                return Err(ParseError::Malformed);
            }
            decimal(length.as_bytes()).map(Framing::Length)
        }
        (Some(_), Some(_)) => Err(ParseError::Malformed),
    }
}

fn decimal(digits: &[u8]) -> Result<u64, ParseError> {
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return Err(ParseError::Malformed);
    }
    let text = std::str::from_utf8(digits).map_err(|_| ParseError::Malformed)?;
    text.parse().map_err(|_| ParseError::Malformed)
}

fn keeps_alive(headers: &HeaderMap, is_http_10: bool) -> bool {
    let has_option = |word: &str| {
        let values = headers.get_all(header::CONNECTION).iter();
        let texts = values.filter_map(|value| value.to_str().ok());
        texts
            .flat_map(|text| text.split(','))
            .any(|part| part.trim().eq_ignore_ascii_case(word))
    };
    if is_http_10 {
        has_option("keep-alive")
    } else {
        !has_option("close")
    }
}

/// Result of one decoding step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Piece {
    /// Bytes of the body.
    Data(Bytes),
    /// More bytes must be read from the connection.
    NeedMore,
    /// The body is complete.
    End,
}

/// Decodes the body of a request from the buffer.
#[derive(Clone, Debug)]
pub struct BodyDecoder {
    state: DecoderState,
    /// Number of further body bytes that are allowed.
    allowance: u64,
}

#[derive(Clone, Debug)]
enum DecoderState {
    Length(u64),
    ChunkLine,
    ChunkData(u64),
    ChunkEnd,
    Trailers(usize),
    Ended,
}

impl BodyDecoder {
    /// Creates a decoder for a body of at most `limit` bytes.
    ///
    /// # Errors
    /// [`ParseError::BodyTooLong`] if the declared length is above the limit.
    pub fn new(framing: Framing, limit: u64) -> Result<Self, ParseError> {
        let state = match framing {
            Framing::Length(length) if length > limit => return Err(ParseError::BodyTooLong),
            Framing::Length(0) => DecoderState::Ended,
            Framing::Length(length) => DecoderState::Length(length),
            Framing::Chunked => DecoderState::ChunkLine,
        };
        Ok(Self {
            state,
            allowance: limit,
        })
    }

    /// Returns the next piece of the body.
    ///
    /// # Errors
    /// [`ParseError`] if the chunks are malformed or exceed the limit.
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Piece, ParseError> {
        loop {
            match self.state {
                DecoderState::Ended => return Ok(Piece::End),
                DecoderState::Length(left) => return Ok(self.take_data(buffer, left, true)),
                DecoderState::ChunkData(left) => return Ok(self.take_data(buffer, left, false)),
                DecoderState::ChunkLine => {
                    let Some(line) = take_line(buffer, MAX_CHUNK_LINE)? else {
                        return Ok(Piece::NeedMore);
                    };
                    self.begin_chunk(chunk_size(&line)?)?;
                }
                DecoderState::ChunkEnd => {
                    if buffer.len() < CRLF.len() {
                        return Ok(Piece::NeedMore);
                    }
                    if !buffer.starts_with(CRLF) {
                        return Err(ParseError::Malformed);
                    }
                    buffer.advance(CRLF.len());
                    self.state = DecoderState::ChunkLine;
                }
                DecoderState::Trailers(read) => {
                    let Some(line) = take_line(buffer, MAX_TRAILERS)? else {
                        return Ok(Piece::NeedMore);
                    };
                    let read = read + line.len();
                    if read > MAX_TRAILERS {
                        return Err(ParseError::HeadTooLong);
                    }
                    self.state = if line.is_empty() {
                        DecoderState::Ended
                    } else {
                        DecoderState::Trailers(read)
                    };
                }
            }
        }
    }

    fn begin_chunk(&mut self, size: u64) -> Result<(), ParseError> {
        self.allowance = self
            .allowance
            .checked_sub(size)
            .ok_or(ParseError::BodyTooLong)?;
        self.state = if size == 0 {
            DecoderState::Trailers(0)
        } else {
            DecoderState::ChunkData(size)
        };
        Ok(())
    }

    fn take_data(&mut self, buffer: &mut BytesMut, left: u64, is_last: bool) -> Piece {
        if buffer.is_empty() {
            return Piece::NeedMore;
        }
        let wanted = usize::try_from(left).unwrap_or(usize::MAX);
        let data = buffer.split_to(wanted.min(buffer.len())).freeze();
        let left = left - data.len() as u64;
        self.state = match (left, is_last) {
            (0, true) => DecoderState::Ended,
            (0, false) => DecoderState::ChunkEnd,
            (left, true) => DecoderState::Length(left),
            (left, false) => DecoderState::ChunkData(left),
        };
        Piece::Data(data)
    }
}

/// Takes a line without its line ending off the buffer.
fn take_line(buffer: &mut BytesMut, limit: usize) -> Result<Option<Bytes>, ParseError> {
    let end = buffer.windows(CRLF.len()).position(|pair| pair == CRLF);
    match end {
        Some(end) => {
            let line = buffer.split_to(end).freeze();
            buffer.advance(CRLF.len());
            Ok(Some(line))
        }
        None if buffer.len() > limit => Err(ParseError::Malformed),
        None => Ok(None),
    }
}

fn chunk_size(line: &[u8]) -> Result<u64, ParseError> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let digits = digits.trim_ascii();
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_hexdigit) {
        return Err(ParseError::Malformed);
    }
    let text = std::str::from_utf8(digits).map_err(|_| ParseError::Malformed)?;
    u64::from_str_radix(text, 16).map_err(|_| ParseError::Malformed)
}
