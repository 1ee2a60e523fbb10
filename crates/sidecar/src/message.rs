//! Head of a request that passes through the sidecar.

use http::header::{self, HeaderMap};
use http::uri::PathAndQuery;
use http::{Method, Request, Uri, Version};
use wharfquay_daemon::body::RequestBody;
use wharfquay_daemon::headers::remove_hop_by_hop;

/// Head of a request without hop-by-hop headers. `Host` is kept: backends receive it unchanged.
#[derive(Clone, Debug)]
pub(crate) struct RequestHead {
    pub(crate) method: Method,
    pub(crate) target: PathAndQuery,
    pub(crate) headers: HeaderMap,
}

impl RequestHead {
    /// Separates head and body; `None` if the request target is not a path, for example in a
    /// CONNECT request.
    pub(crate) fn split<B>(request: Request<B>) -> Option<(Self, B)> {
        let (parts, body) = request.into_parts();
        let mut headers = parts.headers;
        remove_hop_by_hop(&mut headers);
        headers.remove(header::CONTENT_LENGTH);
        let target = parts.uri.path_and_query().cloned();
        let target = target.filter(|target| target.as_str().starts_with('/'))?;
        if parts.method == Method::CONNECT {
            return None;
        }
        let head = Self {
            method: parts.method,
            target,
            headers,
        };
        Some((head, body))
    }

    /// Builds the request for one attempt.
    pub(crate) fn to_request(&self, body: RequestBody) -> Request<RequestBody> {
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = Uri::from(self.target.clone());
        *request.version_mut() = Version::HTTP_11;
        *request.headers_mut() = self.headers.clone();
        request
    }
}
