//! HTTP exchanges with the platform: choice of the address, timeouts and classes of failures.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client as HttpClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::PlatformError;
use crate::settings::ClientSettings;
use crate::wire::FailureReply;

/// Time after which an idle connection is closed. Later calls then open a new connection instead of
/// waiting on one to a stopped platform.
const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(30);

/// A request without the address to send it to.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    /// HTTP method.
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) path: String,
    /// JSON body; empty when there is none.
    pub(crate) body: Bytes,
}

impl Call {
    /// Creates a call without a body.
    pub(crate) const fn new(method: Method, path: String) -> Self {
        Self {
            method,
            path,
            body: Bytes::new(),
        }
    }

    /// Creates a call with a JSON body.
    pub(crate) fn with_json<T: Serialize>(
        method: Method,
        path: String,
        body: &T,
    ) -> Result<Self, PlatformError> {
        let body = serde_json::to_vec(body).map_err(|error| PlatformError::MalformedReply {
            target: format!("{method} {path}"),
            detail: error.to_string(),
        })?;
        Ok(Self {
            method,
            path,
            body: body.into(),
        })
    }
}

/// A complete reply.
#[derive(Debug)]
pub(crate) struct Reply {
    /// Method and address of the request, for errors.
    pub(crate) target: String,
    /// HTTP status.
    pub(crate) status: StatusCode,
    /// Complete body.
    pub(crate) body: Bytes,
}

impl Reply {
    /// Parses the body as JSON.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> Result<T, PlatformError> {
        serde_json::from_slice(&self.body).map_err(|error| PlatformError::MalformedReply {
            target: self.target.clone(),
            detail: error.to_string(),
        })
    }

    /// Parses the body of a successful reply as JSON; any other status is an error.
    pub(crate) fn success<T: DeserializeOwned>(&self) -> Result<T, PlatformError> {
        if self.status.is_success() {
            return self.json();
        }
        Err(self.failure())
    }

    /// Returns the error for a status other than success.
    pub(crate) fn failure(&self) -> PlatformError {
        let target = self.target.clone();
        let status = self.status.as_u16();
        let detail = self.failure_detail();
        if self.status.is_server_error() {
            return PlatformError::ServerFailure {
                target,
                status,
                detail,
            };
        }
        PlatformError::Rejected {
            target,
            status,
            detail,
        }
    }

    fn failure_detail(&self) -> String {
        serde_json::from_slice::<FailureReply>(&self.body)
            .map_or_else(|_| "no reason specified".to_owned(), |reply| reply.error)
    }
}

/// HTTP connections to the addresses of the platform.
#[derive(Debug)]
pub(crate) struct Transport {
    addresses: Vec<SocketAddr>,
    /// Index of the address that the next call uses.
    preferred: AtomicUsize,
    http: HttpClient<HttpConnector, Full<Bytes>>,
    settings: ClientSettings,
}

impl Transport {
    /// Creates a transport; connections are opened when calls need them.
    pub(crate) fn new(addresses: Vec<SocketAddr>, settings: ClientSettings) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(settings.connect_timeout));
        connector.set_nodelay(true);
        let http = HttpClient::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_CONNECTION_TIMEOUT)
            .build(connector);
        Self {
            addresses,
            preferred: AtomicUsize::new(0),
            http,
            settings,
        }
    }

    /// Returns the settings of the client.
    pub(crate) const fn settings(&self) -> &ClientSettings {
        &self.settings
    }

    /// Sends a call to the preferred address and reads the complete reply.
    ///
    /// After a transient failure, later calls use the next address.
    pub(crate) async fn exchange(&self, call: Call) -> Result<Reply, PlatformError> {
        let (index, address) = self.preferred_address()?;
        let target = target_of(&call, address);
        let exchange = self.exchange_with(call, address, &target);
        let result = self.bounded(&target, exchange).await;
        self.record_result(index, &result);
        result
    }

    /// Sends a call to the preferred address and returns the reply without reading its body.
    pub(crate) async fn open(
        &self,
        call: Call,
    ) -> Result<(String, Response<Incoming>), PlatformError> {
        let (index, address) = self.preferred_address()?;
        let target = target_of(&call, address);
        let result = self
            .bounded(&target, self.send(call, address, &target))
            .await;
        self.record_result(index, &result);
        result.map(|response| (target, response))
    }

    /// Reads the complete body of a reply.
    pub(crate) async fn read_reply(
        &self,
        target: &str,
        response: Response<Incoming>,
    ) -> Result<Reply, PlatformError> {
        let (parts, body) = response.into_parts();
        let limited = Limited::new(body, self.settings.maximum_reply_bytes);
        let collected = limited
            .collect()
            .await
            .map_err(|error| PlatformError::ConnectionLost {
                target: target.to_owned(),
                detail: error.to_string(),
            })?;
        Ok(Reply {
            target: target.to_owned(),
            status: parts.status,
            body: collected.to_bytes(),
        })
    }

    /// Applies the call timeout to a step of a call.
    pub(crate) async fn bounded<T>(
        &self,
        target: &str,
        step: impl Future<Output = Result<T, PlatformError>>,
    ) -> Result<T, PlatformError> {
        let limit = self.settings.call_timeout;
        match tokio::time::timeout(limit, step).await {
            Ok(result) => result,
            Err(_) => Err(PlatformError::Timeout {
                target: target.to_owned(),
                limit,
            }),
        }
    }

    async fn exchange_with(
        &self,
        call: Call,
        address: SocketAddr,
        target: &str,
    ) -> Result<Reply, PlatformError> {
        let response = self.send(call, address, target).await?;
        self.read_reply(target, response).await
    }

    async fn send(
        &self,
        call: Call,
        address: SocketAddr,
        target: &str,
    ) -> Result<Response<Incoming>, PlatformError> {
        let request = Request::builder()
            .method(call.method)
            .uri(format!("http://{address}{}", call.path))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(call.body))
            .map_err(|error| PlatformError::Rejected {
                target: target.to_owned(),
                status: 0,
                detail: error.to_string(),
            })?;
        self.http
            .request(request)
            .await
            .map_err(|error| request_error(target, &error))
    }

    fn preferred_address(&self) -> Result<(usize, SocketAddr), PlatformError> {
        let index = self.preferred.load(Ordering::Relaxed);
        let address = self.addresses.get(index).or(self.addresses.first());
        let address = address.copied().ok_or(PlatformError::NoAddress)?;
        Ok((index, address))
    }

    fn record_result<T>(&self, index: usize, result: &Result<T, PlatformError>) {
        if matches!(result, Err(error) if error.is_transient()) {
            self.prefer_next(index);
        }
    }

    /// Makes the address after `index` the preferred one, unless another call already changed it.
    pub(crate) fn prefer_next(&self, index: usize) {
        let next = (index + 1) % self.addresses.len().max(1);
        let _ = self
            .preferred
            .compare_exchange(index, next, Ordering::Relaxed, Ordering::Relaxed);
    }
}

fn target_of(call: &Call, address: SocketAddr) -> String {
    format!("{} http://{address}{}", call.method, call.path)
}

fn request_error(target: &str, error: &hyper_util::client::legacy::Error) -> PlatformError {
    let target = target.to_owned();
    let detail = with_sources(error);
    if error.is_connect() {
        return PlatformError::Connect { target, detail };
    }
    PlatformError::ConnectionLost { target, detail }
}

fn with_sources(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
