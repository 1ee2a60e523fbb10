//! An emulated backend whose behaviour the test selects by the path of the request.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

use super::body::TestBody;
use super::client;

/// Content of one chunk of a long response.
pub const CHUNK: &str = "0123456789abcdef";

/// The requests that the backend received.
#[derive(Debug, Default)]
struct Record {
    executions: HashMap<String, usize>,
    cancelled: usize,
    headers: Vec<HeaderMap>,
}

/// An emulated backend on loopback.
#[derive(Clone, Debug)]
pub struct BackendStub {
    pub address: SocketAddr,
    /// Outbound address of its daemon, to which the backend sends its calls.
    outbound: Arc<Mutex<Option<SocketAddr>>>,
    record: Arc<Mutex<Record>>,
    connections: Arc<AtomicUsize>,
    call_connections: Arc<AtomicUsize>,
    failures_left: Arc<AtomicUsize>,
    refusing: Arc<AtomicBool>,
    health: Arc<Mutex<String>>,
    /// Names and values of the headers that responses announce.
    announced: Arc<Mutex<Vec<(&'static str, &'static str)>>>,
    /// Triggers the truncation of a response.
    pub truncate: Arc<Notify>,
}

impl BackendStub {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let stub = Self {
            address: listener.local_addr().unwrap(),
            outbound: Arc::default(),
            record: Arc::default(),
            connections: Arc::default(),
            call_connections: Arc::default(),
            failures_left: Arc::default(),
            refusing: Arc::default(),
            health: Arc::new(Mutex::new("live".to_owned())),
            announced: Arc::default(),
            truncate: Arc::default(),
        };
        let served = stub.clone();
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                served.connections.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(served.clone().serve(stream));
            }
        });
        stub
    }

    /// Sets the address to which the backend sends its calls.
    pub fn set_outbound(&self, address: SocketAddr) {
        *self.outbound.lock().unwrap() = Some(address);
    }

    /// Makes the next `count` requests for `/flaky` fail.
    pub fn fail_next(&self, count: usize) {
        self.failures_left.store(count, Ordering::Relaxed);
    }

    /// Refuses all later requests before execution.
    pub fn refuse_all(&self) {
        self.refusing.store(true, Ordering::Relaxed);
    }

    /// Sets the state that the health endpoint reports.
    pub fn set_health(&self, state: &str) {
        *self.health.lock().unwrap() = state.to_owned();
    }

    /// Sets the headers that all responses contain, also those of the health endpoint.
    pub fn announce(&self, headers: &[(&'static str, &'static str)]) {
        *self.announced.lock().unwrap() = headers.to_vec();
    }

    /// Returns the number of executions of a path.
    pub fn executions(&self, path: &str) -> usize {
        let record = self.record.lock().unwrap();
        record.executions.get(path).copied().unwrap_or_default()
    }

    /// Returns the number of executions that were cancelled.
    pub fn cancelled(&self) -> usize {
        self.record.lock().unwrap().cancelled
    }

    /// Returns the number of connections accepted so far.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    /// Returns the number of connections that carried a call so far, which excludes those that only
    /// read the health endpoint.
    pub fn call_connections(&self) -> usize {
        self.call_connections.load(Ordering::Relaxed)
    }

    /// Returns the headers of the last request.
    pub fn last_headers(&self) -> HeaderMap {
        let record = self.record.lock().unwrap();
        record.headers.last().cloned().unwrap_or_default()
    }

    async fn serve(self, stream: TcpStream) {
        if serves_raw(&stream).await {
            self.call_connections.fetch_add(1, Ordering::Relaxed);
            return super::raw::serve(stream, &self).await;
        }
        let counted = Arc::new(AtomicBool::new(false));
        let service = service_fn(move |request: Request<Incoming>| {
            let stub = self.clone();
            let is_health = request.uri().path() == "/health";
            if !is_health && !counted.swap(true, Ordering::Relaxed) {
                stub.call_connections.fetch_add(1, Ordering::Relaxed);
            }
            async move { stub.execute(request).await }
        });
        let _ = hyper::server::conn::http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service)
            .await;
    }

    pub(super) fn record_execution(&self, path: &str) {
        let mut record = self.record.lock().unwrap();
        *record.executions.entry(path.to_owned()).or_default() += 1;
    }

    async fn execute(self, request: Request<Incoming>) -> Result<Response<TestBody>, io::Error> {
        let path = request.uri().path().to_owned();
        if path == "/health" {
            let state = self.health.lock().unwrap().clone();
            let text = format!("{{\"state\":\"{state}\"}}");
            return Ok(Response::new(TestBody::complete(text)));
        }
        self.record
            .lock()
            .unwrap()
            .headers
            .push(request.headers().clone());
        if path == "/refuse-unnamed" {
            return Ok(refusal(None));
        }
        if path == "/refuse" || self.refusing.load(Ordering::Relaxed) {
            return Ok(refusal(request.headers().get("wharfquay-scope")));
        }
        self.record_execution(&path);
        let mut guard = CancelGuard(Some(Arc::clone(&self.record)));
        let mut response = self.respond(&path, request).await;
        guard.0 = None;
        if let Ok(response) = &mut response {
            for (name, value) in self.announced.lock().unwrap().iter() {
                let value = http::HeaderValue::from_static(value);
                response.headers_mut().insert(*name, value);
            }
        }
        response
    }

    async fn respond(
        &self,
        path: &str,
        request: Request<Incoming>,
    ) -> Result<Response<TestBody>, io::Error> {
        let mut parts = path.trim_start_matches('/').split('/');
        match parts.next().unwrap_or_default() {
            "echo" => {
                let (parts, body) = request.into_parts();
                let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
                let text = format!("{} {} ", parts.method, parts.uri);
                Ok(Response::new(TestBody::from_chunks([
                    Ok(Bytes::from(text)),
                    Ok(body),
                ])))
            }
            "status" => {
                let status = parts.next().and_then(|status| status.parse().ok());
                let mut response = Response::new(TestBody::complete("own status"));
                *response.status_mut() = status.unwrap_or(StatusCode::OK);
                Ok(response)
            }
            "long" => Ok(Response::new(TestBody::from_chunks(chunks(64)))),
            "truncate" => Ok(Response::new(truncate(Arc::clone(&self.truncate)))),
            "drop" => {
                let _ = request.into_body().collect().await;
                Err(io::Error::other("connection dropped"))
            }
            "flaky" => self.flaky(),
            "slow" => {
                let millis = parts.next().and_then(|millis| millis.parse().ok());
                tokio::time::sleep(Duration::from_millis(millis.unwrap_or(100))).await;
                Ok(Response::new(TestBody::complete("slow response")))
            }
            "call" => self.call(parts.collect(), request).await,
            _ => Ok(Response::new(TestBody::complete(format!(
                "response to {path}"
            )))),
        }
    }

    fn flaky(&self) -> Result<Response<TestBody>, io::Error> {
        let left = &self.failures_left;
        let failed = left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| {
            left.checked_sub(1)
        });
        match failed {
            Ok(_) => Err(io::Error::other("connection dropped")),
            Err(_) => Ok(Response::new(TestBody::complete("response at last"))),
        }
    }

    /// Handles `/call/SERVICE/REST`: calls `/REST` of SERVICE and relays the response.
    async fn call(
        &self,
        parts: Vec<&str>,
        request: Request<Incoming>,
    ) -> Result<Response<TestBody>, io::Error> {
        let outbound = self.outbound.lock().unwrap().expect("no outbound address");
        let (service, rest) = parts.split_first().expect("no service in the path");
        let mut call = client::Call::get(service, &format!("/{}", rest.join("/")));
        call.method = request.method().clone();
        if let Some(scope) = request.headers().get("wharfquay-scope") {
            let scope = scope.to_str().unwrap();
            call = call.header("wharfquay-scope", scope);
        }
        let received = client::send(outbound, call).await?;
        let mut response = Response::new(TestBody::complete(received.body?));
        *response.status_mut() = received.status;
        Ok(response)
    }
}

struct CancelGuard(Option<Arc<Mutex<Record>>>);

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if let Some(record) = self.0.take() {
            record.lock().unwrap().cancelled += 1;
        }
    }
}

/// Returns a refusal that names this scope, if any.
fn refusal(scope: Option<&http::HeaderValue>) -> Response<TestBody> {
    let mut response = Response::new(TestBody::complete("refused"));
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    let headers = response.headers_mut();
    headers.insert("wharfquay-refused", "before-execution".parse().unwrap());
    if let Some(scope) = scope {
        headers.insert("wharfquay-scope", scope.clone());
    }
    response
}

fn chunks(count: usize) -> impl Iterator<Item = Result<Bytes, io::Error>> {
    (0..count).map(|_| Ok(Bytes::from_static(CHUNK.as_bytes())))
}

/// Returns a body that is truncated after its first chunks, when the test triggers it.
fn truncate(requested: Arc<Notify>) -> TestBody {
    let (sender, body) = TestBody::channel();
    for chunk in chunks(4) {
        sender.send(chunk).unwrap();
    }
    tokio::spawn(async move {
        requested.notified().await;
        let _ = sender.send(Err(io::Error::other("truncate")));
    });
    body
}

/// Returns true if the request on this connection is for a path under `/raw`.
async fn serves_raw(stream: &TcpStream) -> bool {
    let mut start = [0_u8; 9];
    let mut seen = 0;
    while seen < start.len() {
        match stream.peek(&mut start).await {
            Ok(0) | Err(_) => return false,
            Ok(count) if count == seen => tokio::task::yield_now().await,
            Ok(count) => seen = count,
        }
    }
    start.starts_with(b"GET /raw/") || start.starts_with(b"POST /raw")
}
