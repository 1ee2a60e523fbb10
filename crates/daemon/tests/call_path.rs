//! The path of a call: caller, edge, the back end's daemon, back end, and on through its own calls.

mod support;

use http::{Method, StatusCode};
use support::backend::PIECE;
use support::client::Call;
use support::deployment::{Deployment, request_kind, standard_resources};
use wharfquay_core::outcome::ResultCode;

#[tokio::test(flavor = "multi_thread")]
async fn whole_answers_come_back() {
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
        (Call::get("booking", "/long"), PIECE.repeat(64)),
    ];
    for (call, expected) in cases {
        let shown = format!("{} {}", call.method, call.path);
        let answer = deployment.send(call).await;
        assert_eq!(answer.status, StatusCode::OK, "{shown}");
        assert_eq!(answer.code(), Some(ResultCode::Answered), "{shown}");
        assert_eq!(answer.header("wharfquay-outcome"), Some("run"), "{shown}");
        assert_eq!(answer.text(), expected, "{shown}");
    }
}

/// Answers to HEAD have no body, be they the back end's or the daemon's own.
#[tokio::test(flavor = "multi_thread")]
async fn answers_to_head_have_no_body() {
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
            let answer = deployment.send(call).await;
            assert_eq!(answer.code(), Some(code), "{path} http2={http2}");
            assert_eq!(answer.text(), "", "{path} http2={http2}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_chain_of_three_services_answers() {
    let deployment = Deployment::start(&["booking", "slot", "record"]).await;
    let call = Call::get("booking", "/call/slot/call/record/echo");
    let answer = deployment.send(call).await;
    assert_eq!(answer.code(), Some(ResultCode::Answered));
    assert_eq!(answer.text(), "GET /echo ");
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
