//! Tests of what becomes of requests on connections that a stop closes.

use std::io::{Read, Write};
use std::net::TcpStream as Caller;
use std::time::Duration;

use http::{Response, StatusCode};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use super::{Protocols, builder, serve};
use crate::body::ResponseBody;
use crate::settings::LimitSettings;

const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Guards against requests that are lost with their connection: they have arrived when the process
/// stops, but were not read yet.
#[tokio::test]
async fn a_request_that_was_not_read_before_the_stop_gets_a_response() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut caller = Caller::connect(listener.local_addr().unwrap()).unwrap();
    caller
        .write_all(b"GET / HTTP/1.1\r\nhost: booking\r\n\r\n")
        .unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    let stop = CancellationToken::new();
    stop.cancel();
    let builder = builder(Protocols::Any, &LimitSettings::default());
    serve(builder, stream, stop, |_| async {
        let mut refusal = Response::new(ResponseBody::from_bytes("draining"));
        *refusal.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        refusal
    })
    .await;
    caller.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    let mut response = String::new();
    let read = caller.read_to_string(&mut response);
    assert!(
        response.starts_with("HTTP/1.1 503"),
        "{read:?}: {response:?}"
    );
}
