//! Calls that a backend makes to other services, through its local daemon.

use std::net::SocketAddr;
use std::sync::{PoisonError, RwLock};
use std::time::Duration;

use bytes::Bytes;
use http::header::RETRY_AFTER;
use http::{HeaderValue, Request, StatusCode, Uri};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use wharfquay_protocol::headers;

use super::request::BackendRequest;
use crate::response_body::{self, BodyError};

const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(20);
const MAX_IDLE_CONNECTIONS: usize = 64;

/// An error that kept an outbound call from returning a valid response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum CallFailure {
    /// The response has a status other than 200.
    ErrorStatus {
        status: StatusCode,
        retry_after: Option<HeaderValue>,
    },
    /// No complete response was received, or the request could not be sent.
    NoResponse,
    /// The status is 200 and the body ended cleanly, but it belongs to another request or is
    /// truncated or altered.
    InvalidBody(BodyError),
}

/// HTTP client for the outbound listener of the local daemon.
pub(super) struct OutboundCalls {
    outbound: RwLock<Option<SocketAddr>>,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl OutboundCalls {
    pub(super) fn new(outbound: Option<SocketAddr>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(POOL_IDLE_TIMEOUT)
            .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
            .build(connector);
        Self {
            outbound: RwLock::new(outbound),
            client,
        }
    }

    pub(super) fn set_outbound(&self, address: SocketAddr) {
        *self
            .outbound
            .write()
            .unwrap_or_else(PoisonError::into_inner) = Some(address);
    }

    /// Calls `service` on behalf of `request` and verifies the response. `call` identifies this
    /// call in the callee's execution log. `remaining` is the time left until the deadline; without
    /// it the call has none.
    pub(super) async fn call(
        &self,
        service: &str,
        request: &BackendRequest,
        call: &str,
        remaining: Option<Duration>,
    ) -> Result<(), CallFailure> {
        let outbound_request = self
            .build_request(service, request, call, remaining)
            .ok_or(CallFailure::NoResponse)?;
        let response = self.client.request(outbound_request).await;
        let response = response.map_err(|_| CallFailure::NoResponse)?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.map_err(|_| CallFailure::NoResponse)?;
        if head.status != StatusCode::OK {
            return Err(CallFailure::ErrorStatus {
                status: head.status,
                retry_after: head.headers.get(RETRY_AFTER).cloned(),
            });
        }
        response_body::verify(&body.to_bytes(), service, &request.token)
            .map_err(CallFailure::InvalidBody)
    }

    fn build_request(
        &self,
        service: &str,
        request: &BackendRequest,
        call: &str,
        remaining: Option<Duration>,
    ) -> Option<Request<Full<Bytes>>> {
        let outbound = *self.outbound.read().unwrap_or_else(PoisonError::into_inner);
        let path = &request.path;
        let token = &request.token;
        let uri = format!("http://{}{path}?token={token}&call={call}", outbound?);
        let mut builder = Request::builder()
            .method(request.method.clone())
            .uri(uri.parse::<Uri>().ok()?)
            .header(headers::SERVICE, service);
        if let Some(scope) = &request.scope {
            builder = builder.header(headers::SCOPE, scope);
        }
        if let Some(origin) = &request.origin {
            builder = builder.header(headers::ORIGIN, origin);
        }
        if let Some(remaining) = remaining {
            builder = builder.header(headers::DEADLINE, remaining.as_millis().to_string());
        }
        builder.body(Full::new(request.body.clone())).ok()
    }
}
