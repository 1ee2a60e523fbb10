//! What the recipient of a request body receives, however its transfer ends.

use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::*;
use tokio::runtime::Runtime;
use wharfquay_sidecar::stop_phase::StopPhase;

use super::server::{ReceivedBody, Server};
use super::support::client::{Connection, new_request_id, request};
use super::support::eventually;

/// Timeout of a body whose rest does not arrive.
const BODY_TIMEOUT: Duration = Duration::from_millis(60);
/// Number of cases; some wait for a timeout.
const CASES: u32 = 80;
/// Maximum size of a part of a body in bytes. Bodies of several parts exceed the size that is held in
/// memory.
const MAX_PART: usize = 40 * 1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length,
    Chunked,
}

/// How the transfer of a body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Complete,
    CallerCloses,
    CallerStalls,
    /// Bytes that are no chunk follow; with a length, the caller closes.
    Malformed,
    ProcessCuts,
}

/// A part of a body: a byte that is repeated.
#[derive(Clone, Copy, Debug)]
struct Part {
    size: usize,
    byte: u8,
}

impl Part {
    fn bytes(self) -> Vec<u8> {
        vec![self.byte; self.size]
    }
}

/// One upload.
#[derive(Clone, Debug)]
struct Upload {
    framing: Framing,
    parts: Vec<Part>,
    /// True if the response comes before the body is read.
    is_answered_early: bool,
    closes: bool,
    end: End,
    /// Position in the encoded body after which the transfer ends, in permille of its length.
    cut: usize,
}

impl Upload {
    fn body(&self) -> Vec<u8> {
        self.parts.iter().flat_map(|part| part.bytes()).collect()
    }

    fn encoded(&self) -> Vec<u8> {
        if self.framing == Framing::Length {
            return self.body();
        }
        let chunk = |part: &Part| {
            let size = format!("{:x}\r\n", part.size);
            [size.as_bytes(), &part.bytes(), b"\r\n"].concat()
        };
        let mut encoded: Vec<u8> = self.parts.iter().flat_map(chunk).collect();
        encoded.extend_from_slice(b"0\r\n\r\n");
        encoded
    }

    fn head(&self) -> String {
        let path = match self.is_answered_early {
            true => "/early",
            false => "/upload",
        };
        let mut headers = match self.framing {
            Framing::Length => format!("Content-Length: {}\r\n", self.body().len()),
            Framing::Chunked => "Transfer-Encoding: chunked\r\n".to_owned(),
        };
        if self.closes {
            headers.push_str("Connection: close\r\n");
        }
        request("POST", path, &new_request_id(), &headers)
    }

    /// Returns the part of the encoded body that is sent.
    fn sent(&self) -> Vec<u8> {
        let mut encoded = self.encoded();
        if self.end != End::Complete {
            // The last byte of a chunked body is not needed to see that it is complete.
            let longest = encoded.len() - 5;
            encoded.truncate(longest * self.cut / 1_000);
        }
        encoded
    }

    /// Sends the body and returns what its recipient received; `None` if the request was not started.
    async fn transfer(&self) -> Option<ReceivedBody> {
        let server = Server::with_idle_timeout(BODY_TIMEOUT).await;
        let mut connection = Connection::open(server.address).await;
        connection.send(&self.head()).await;
        let is_sent = connection.try_send_bytes(&self.sent()).await;
        match self.end {
            End::Complete | End::CallerStalls => {}
            End::Malformed if self.framing == Framing::Chunked => {
                connection.try_send_bytes(b"\r\nno chunk\r\n").await;
            }
            End::Malformed | End::CallerCloses => connection.end_input().await,
            End::ProcessCuts => server.advance(StopPhase::Cutting),
        }
        let handled = std::sync::Arc::clone(&server.handled);
        if self.end == End::Complete && is_sent && !self.is_answered_early {
            eventually("the body arrives", || !handled.bodies().is_empty()).await;
        } else {
            // Until the timeout has passed, the body may still be in transfer.
            tokio::time::sleep(2 * BODY_TIMEOUT).await;
            drop(connection);
            eventually("each body has ended", || !handled.is_receiving()).await;
        }
        handled.bodies().pop()
    }
}

fn upload() -> impl Strategy<Value = Upload> {
    let framing = prop_oneof![Just(Framing::Length), Just(Framing::Chunked)];
    let end = prop_oneof![
        Just(End::Complete),
        Just(End::CallerCloses),
        Just(End::CallerStalls),
        Just(End::Malformed),
        Just(End::ProcessCuts),
    ];
    let part = (1..MAX_PART, any::<u8>()).prop_map(|(size, byte)| Part { size, byte });
    let parts = vec(part, 1..8);
    let flags = (any::<bool>(), any::<bool>());
    (framing, parts, flags, end, 0..1_000_usize).prop_map(
        |(framing, parts, (is_answered_early, closes), end, cut)| Upload {
            framing,
            parts,
            is_answered_early,
            closes,
            end,
            cut,
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig { cases: CASES, ..ProptestConfig::default() })]

    /// Guards against a body that was broken off and reaches its recipient as a complete one, and
    /// against one that is changed on its way.
    #[test]
    fn a_body_arrives_as_sent_or_visibly_broken_off(upload in upload()) {
        let received = Runtime::new().unwrap().block_on(upload.transfer());
        match received {
            Some(ReceivedBody::Complete(body)) => {
                prop_assert_eq!(upload.end, End::Complete, "a part looks complete");
                prop_assert!(body == upload.body(), "the body was changed");
            }
            Some(ReceivedBody::Broken) => {
                prop_assert!(upload.end != End::Complete || upload.is_answered_early);
            }
            None => prop_assert!(upload.end != End::Complete),
        }
    }
}
