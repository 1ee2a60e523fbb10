//! An emulated daemon beside a backend, which responds with metadata that the test chooses.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::net::TcpListener;
use wharfquay_core::call::RetryAllowance;
use wharfquay_core::outcome::ResultCode;
use wharfquay_core::priority::AdmissionLevel;
use wharfquay_core::time::Timestamp;
use wharfquay_protocol::context::WireContext;
use wharfquay_protocol::response::ResponseMetadata;

use super::body::TestBody;
use super::deployment::machine;
use super::platform::PlatformStub;

/// The response of an emulated peer.
#[derive(Clone, Copy, Debug)]
pub struct PeerResponse {
    pub code: ResultCode,
    /// HTTP status of the backend.
    pub status: u16,
    pub level: AdmissionLevel,
    pub folded_level: AdmissionLevel,
    pub incarnation: u64,
}

impl Default for PeerResponse {
    fn default() -> Self {
        Self {
            code: ResultCode::Answered,
            status: 200,
            level: AdmissionLevel::OPEN,
            folded_level: AdmissionLevel::OPEN,
            incarnation: 0,
        }
    }
}

/// An emulated peer on loopback.
#[derive(Clone, Debug)]
pub struct PeerStub {
    pub address: SocketAddr,
    response: PeerResponse,
    calls: Arc<AtomicUsize>,
    allowances: Arc<Mutex<Vec<u16>>>,
}

impl PeerStub {
    pub async fn start(response: PeerResponse) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let stub = Self {
            address: listener.local_addr().unwrap(),
            response,
            calls: Arc::default(),
            allowances: Arc::default(),
        };
        let served = stub.clone();
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let stub = served.clone();
                let service = service_fn(move |request| {
                    let response = stub.response(&request);
                    async move { Ok::<_, Infallible>(response) }
                });
                tokio::spawn(async move {
                    let _ = hyper::server::conn::http2::Builder::new(TokioExecutor::new())
                        .serve_connection(TokioIo::new(stream), service)
                        .await;
                });
            }
        });
        stub
    }

    /// Returns the number of calls received so far.
    pub fn calls(&self) -> usize {
        self.calls.load(Ordering::Relaxed)
    }

    /// Returns the retry allowance of each received call.
    pub fn allowances(&self) -> Vec<u16> {
        self.allowances.lock().unwrap().clone()
    }

    fn response(&self, request: &Request<Incoming>) -> Response<TestBody> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let context = request.headers()["wharfquay-context"].as_bytes();
        let context = WireContext::decode(context).unwrap();
        let returned = context.into_context(Timestamp::ZERO).unwrap().allowance;
        self.allowances.lock().unwrap().push(returned.count());
        let metadata = self.metadata(returned);
        Response::builder()
            .status(self.response.status)
            .header("wharfquay-result", self.response.code.number())
            .header("wharfquay-answer", metadata.encode())
            .body(TestBody::complete("response of the peer"))
            .unwrap()
    }

    fn metadata(&self, unused_retries: RetryAllowance) -> ResponseMetadata {
        ResponseMetadata {
            attempt: None,
            unused_retries,
            level: self.response.level,
            folded_level: self.response.folded_level,
            incarnation: self.response.incarnation,
            in_flight: 0,
            limit: 8,
            queued: 0,
            rate_limited_ms: 0,
            slowdown_percent: None,
            expected_execution_ms: None,
            completed_permille: None,
        }
    }
}

/// Starts one peer of a service for each response and adds it to the machine list.
pub async fn start_peers(
    platform: &PlatformStub,
    service: &str,
    responses: &[PeerResponse],
) -> Vec<PeerStub> {
    let mut peers = Vec::new();
    for (number, response) in responses.iter().enumerate() {
        let peer = PeerStub::start(*response).await;
        let id = format!("{service}-peer-{number}");
        platform.put_machine(machine(&id, service, peer.address, "live"));
        peers.push(peer);
    }
    peers
}
