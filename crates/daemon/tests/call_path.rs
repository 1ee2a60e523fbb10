//! Tests of the call path: caller, edge, the backend's daemon, backend, and on through downstream
//! calls.

mod support;

use http::{Method, StatusCode};
use support::backend::CHUNK;
use support::client::Call;
use support::deployment::{Deployment, request_kind, standard_resources};
use wharfquay_core::outcome::ResultCode;

#[tokio::test(flavor = "multi_thread")]
async fn complete_responses_are_relayed() {
    let deployment = Deployment::start(&["booking"]).await;
    let body = "x".repeat(200_000);
    let cases = [
        (
            Call::get("booking", "/echo?a=1"),
            "GET /echo?a=1 ".to_owned(),
        ),
        (
            Call::get("booking", "/echo").http2(),
            "GET /echo ".to_owned(),
        ),
        (
            Call::post("booking", "/echo", "small"),
            "POST /echo small".to_owned(),
        ),
        (
            Call::post("booking", "/echo", body.clone()),
            format!("POST /echo {body}"),
        ),
        (Call::get("booking", "/long"), CHUNK.repeat(64)),
    ];
    for (call, expected) in cases {
        let shown = format!("{} {}", call.method, call.path);
        let response = deployment.send(call).await;
        assert_eq!(response.status, StatusCode::OK, "{shown}");
        assert_eq!(response.code(), Some(ResultCode::Answered), "{shown}");
        assert_eq!(response.header("wharfquay-outcome"), Some("run"), "{shown}");
        assert_eq!(response.text(), expected, "{shown}");
    }
}

/// Responses to HEAD have no body, whether they come from the backend or from the daemon itself.
#[tokio::test(flavor = "multi_thread")]
async fn responses_to_head_have_no_body() {
    let mut resources = standard_resources(&["booking"]);
    resources.push(request_kind("booking", "HEAD", true));
    let deployment = Deployment::start_with(&["booking"], &resources).await;
    let cases = [
        ("booking", "/echo", ResultCode::Answered),
        ("booking", "/refuse", ResultCode::RefusedByBackend),
        ("nowhere", "/echo", ResultCode::UnknownService),
    ];
    for (service, path, code) in cases {
        for http2 in [false, true] {
            let mut call = Call::get(service, path);
            call.method = Method::HEAD;
            call.http2 = http2;
            let response = deployment.send(call).await;
            assert_eq!(response.code(), Some(code), "{path} http2={http2}");
            assert_eq!(response.text(), "", "{path} http2={http2}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_chain_of_three_services_responds() {
    let deployment = Deployment::start(&["booking", "slot", "record"]).await;
    let call = Call::get("booking", "/call/slot/call/record/echo");
    let response = deployment.send(call).await;
    assert_eq!(response.code(), Some(ResultCode::Answered));
    assert_eq!(response.text(), "GET /echo ");
    let origins: Vec<_> = deployment
        .members
        .iter()
        .map(|member| member.backend.last_headers()["wharfquay-origin"].clone())
        .collect();
    assert!(
        origins.windows(2).all(|pair| pair[0] == pair[1]),
        "{origins:?}"
    );
}
