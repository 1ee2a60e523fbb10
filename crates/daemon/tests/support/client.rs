//! A caller that sends one request per connection.

use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::net::TcpStream;
use wharfquay_core::outcome::ResultCode;

/// A request to send.
#[derive(Clone, Debug)]
pub struct Call {
    pub service: String,
    pub method: Method,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Bytes,
    pub http2: bool,
}

impl Call {
    pub fn get(service: &str, path: &str) -> Self {
        Self {
            service: service.to_owned(),
            method: Method::GET,
            path: path.to_owned(),
            headers: Vec::new(),
            body: Bytes::new(),
            http2: false,
        }
    }

    pub fn post(service: &str, path: &str, body: impl Into<Bytes>) -> Self {
        Self {
            method: Method::POST,
            body: body.into(),
            ..Self::get(service, path)
        }
    }

    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    pub fn http2(mut self) -> Self {
        self.http2 = true;
        self
    }

    fn request(&self) -> Request<Full<Bytes>> {
        let uri = if self.http2 {
            format!("http://{}{}", self.service, self.path)
        } else {
            self.path.clone()
        };
        let mut builder = Request::builder().method(self.method.clone()).uri(uri);
        if !self.http2 {
            builder = builder.header("host", &self.service);
        }
        for (name, value) in &self.headers {
            builder = builder.header(name, value);
        }
        builder.body(Full::new(self.body.clone())).unwrap()
    }
}

/// A response, with its body if that was complete.
#[derive(Debug)]
pub struct ClientResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Result<Bytes, io::Error>,
}

impl ClientResponse {
    /// Returns the result code in the headers.
    pub fn code(&self) -> Option<ResultCode> {
        let text = self.header("wharfquay-result")?;
        ResultCode::from_number(text.parse().ok()?)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    pub fn text(&self) -> String {
        let body = self.body.as_ref().expect("a complete body");
        String::from_utf8_lossy(body).into_owned()
    }
}

/// Sends a request on a new connection and reads the complete response.
pub async fn send(address: SocketAddr, call: Call) -> Result<ClientResponse, io::Error> {
    let response = send_head(address, call).await?;
    let (parts, body) = response.into_parts();
    let body = body.collect().await;
    Ok(ClientResponse {
        status: parts.status,
        headers: parts.headers,
        body: body
            .map(http_body_util::Collected::to_bytes)
            .map_err(io::Error::other),
    })
}

/// Sends a request on a new connection and reads the head of the response.
pub async fn send_head(address: SocketAddr, call: Call) -> Result<Response<Incoming>, io::Error> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let stream = TokioIo::new(stream);
    if call.http2 {
        let handshake = hyper::client::conn::http2::handshake(TokioExecutor::new(), stream);
        let (mut sender, connection) = handshake.await.map_err(io::Error::other)?;
        let _task = tokio::spawn(connection);
        return sender
            .send_request(call.request())
            .await
            .map_err(io::Error::other);
    }
    let handshake = hyper::client::conn::http1::handshake(stream);
    let (mut sender, connection) = handshake.await.map_err(io::Error::other)?;
    let _task = tokio::spawn(connection);
    sender
        .send_request(call.request())
        .await
        .map_err(io::Error::other)
}
