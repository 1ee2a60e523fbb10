//! The deeper calls of a back end, through its own daemon.

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
use crate::answer_body::{self, BodyFault};

const IDLE_CONNECTION: Duration = Duration::from_secs(20);
const IDLE_CONNECTIONS: usize = 64;

/// Why a deeper call gave no usable answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum CallFailure {
    /// It was answered with an error.
    Answered {
        status: StatusCode,
        retry_after: Option<HeaderValue>,
    },
    /// No whole answer came back.
    Lost,
    /// The answer belongs to another request or is not whole though it ended cleanly.
    Wrong(BodyFault),
}

/// Client of the outbound side of the back end's own daemon.
pub(super) struct DeeperCalls {
    outbound: RwLock<Option<SocketAddr>>,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl DeeperCalls {
    pub(super) fn new(outbound: Option<SocketAddr>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_CONNECTION)
            .pool_max_idle_per_host(IDLE_CONNECTIONS)
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

    /// Calls `service` on behalf of `request` and checks the answer. `call` identifies this call
    /// in the records of the callee.
    pub(super) async fn call(
        &self,
        service: &str,
        request: &BackendRequest,
        call: &str,
        remaining: Option<Duration>,
    ) -> Result<(), CallFailure> {
        let outgoing = self
            .outgoing(service, request, call, remaining)
            .ok_or(CallFailure::Lost)?;
        let response = self.client.request(outgoing).await;
        let response = response.map_err(|_| CallFailure::Lost)?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.map_err(|_| CallFailure::Lost)?;
        if head.status != StatusCode::OK {
            return Err(CallFailure::Answered {
                status: head.status,
                retry_after: head.headers.get(RETRY_AFTER).cloned(),
            });
        }
        answer_body::verify(&body.to_bytes(), service, &request.token).map_err(CallFailure::Wrong)
    }

    fn outgoing(
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
