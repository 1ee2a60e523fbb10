//! The watch: a stream of typed events read from newline-delimited JSON.

use std::collections::VecDeque;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::error::PlatformError;
use crate::wire::WatchEvent;

/// Maximum length of a line, in bytes.
const MAX_LINE_BYTES: usize = 4 * 1024 * 1024;

/// Decodes the byte stream of a watch into events. Lines may arrive in pieces of any size.
#[derive(Debug, Default)]
pub struct EventDecoder {
    partial_line: Vec<u8>,
    events: VecDeque<WatchEvent>,
}

impl EventDecoder {
    /// Decodes the next bytes. The error text describes what can't be parsed; events decoded before
    /// remain available.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), String> {
        let mut rest = bytes;
        while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
            let (line, after) = rest.split_at(end + 1);
            self.partial_line.extend_from_slice(line);
            let line = std::mem::take(&mut self.partial_line);
            self.push_line(line.trim_ascii())?;
            rest = after;
        }
        self.partial_line.extend_from_slice(rest);
        if self.partial_line.len() > MAX_LINE_BYTES {
            return Err(format!("line of more than {MAX_LINE_BYTES} bytes"));
        }
        Ok(())
    }

    /// Returns the next decoded event, if any.
    pub fn pop(&mut self) -> Option<WatchEvent> {
        self.events.pop_front()
    }

    fn push_line(&mut self, line: &[u8]) -> Result<(), String> {
        if line.is_empty() {
            return Ok(());
        }
        let event = serde_json::from_slice(line).map_err(|error| error.to_string())?;
        self.events.push_back(event);
        Ok(())
    }
}

/// An open watch.
#[derive(Debug)]
pub struct WatchStream {
    target: String,
    body: Incoming,
    decoder: EventDecoder,
    idle_timeout: Duration,
    /// Error to return after the events that arrived before it.
    failure: Option<PlatformError>,
    /// True if the platform closed the watch or reading it failed.
    ended: bool,
}

impl WatchStream {
    pub(crate) fn new(target: String, body: Incoming, idle_timeout: Duration) -> Self {
        Self {
            target,
            body,
            decoder: EventDecoder::default(),
            idle_timeout,
            failure: None,
            ended: false,
        }
    }

    /// Returns the next event, or `None` after the platform closed the watch or an error was returned.
    ///
    /// Cancel safe: no event is lost when the returned future is dropped.
    pub async fn next(&mut self) -> Option<Result<WatchEvent, PlatformError>> {
        loop {
            if let Some(event) = self.decoder.pop() {
                return Some(Ok(event));
            }
            if let Some(error) = self.failure.take() {
                return Some(Err(error));
            }
            if self.ended {
                return None;
            }
            if let Err(error) = self.read_more().await {
                self.ended = true;
                self.failure = Some(error);
            }
        }
    }

    async fn read_more(&mut self) -> Result<(), PlatformError> {
        let frame = tokio::time::timeout(self.idle_timeout, self.body.frame())
            .await
            .map_err(|_| PlatformError::Timeout {
                target: self.target.clone(),
                limit: self.idle_timeout,
            })?;
        match frame {
            None => self.ended = true,
            Some(Err(error)) => {
                return Err(PlatformError::ConnectionLost {
                    target: self.target.clone(),
                    detail: error.to_string(),
                });
            }
            Some(Ok(frame)) => self.decode(frame.data_ref().map_or(&[], |data| data))?,
        }
        Ok(())
    }

    fn decode(&mut self, bytes: &[u8]) -> Result<(), PlatformError> {
        self.decoder
            .push(bytes)
            .map_err(|detail| PlatformError::MalformedReply {
                target: self.target.clone(),
                detail,
            })
    }
}
