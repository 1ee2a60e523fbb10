//! Effect of each fault on the client and on the execution log.

use http::{HeaderName, Method, StatusCode};
use http_body_util::Full;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use wharfquay_core::backend_load::Slowdown;
use wharfquay_emulator::backend::faults::Faults;
use wharfquay_emulator::backend::record::ExecutionState;
use wharfquay_protocol::announcement::{Announcement, load_report};

use super::support::{
    Observed, client, complete_response, look, request, send, start, start_with, states,
};

/// Expected result for the client.
#[derive(Clone, Copy, Debug)]
enum Expected {
    Complete,
    ConnectionClosed,
    Timeout,
    Refused,
}

struct Case {
    name: &'static str,
    faults: Faults,
    expected: Expected,
    recorded: &'static [ExecutionState],
}

fn cases() -> Vec<Case> {
    let none = Faults::default();
    let completed: &[ExecutionState] = &[ExecutionState::Completed];
    let case = |name, faults, expected, recorded| Case {
        name,
        faults,
        expected,
        recorded,
    };
    vec![
        case("none", none, Expected::Complete, completed),
        case(
            "slow",
            Faults { slow: 5.0, ..none },
            Expected::Complete,
            completed,
        ),
        case(
            "cut",
            Faults {
                cut_answer: 1.0,
                ..none
            },
            Expected::ConnectionClosed,
            completed,
        ),
        case(
            "close before",
            Faults {
                close_before: 1.0,
                ..none
            },
            Expected::ConnectionClosed,
            &[],
        ),
        case(
            "close after",
            Faults {
                close_after: 1.0,
                ..none
            },
            Expected::ConnectionClosed,
            completed,
        ),
        case(
            "refuse",
            Faults {
                refuse: 1.0,
                ..none
            },
            Expected::Refused,
            &[],
        ),
        case(
            "hang",
            Faults { hang: 1.0, ..none },
            Expected::Timeout,
            completed,
        ),
        case(
            "endless",
            Faults {
                endless: 1.0,
                ..none
            },
            Expected::Timeout,
            completed,
        ),
        case(
            "end",
            Faults { end: 1.0, ..none },
            Expected::ConnectionClosed,
            &[ExecutionState::Cancelled],
        ),
    ]
}

#[tokio::test]
async fn each_fault_is_visible_to_the_client_and_in_the_execution_log() {
    for case in cases() {
        let deep = start("deep").await;
        deep.set_faults(case.faults);
        let path = "/look?token=t1&call=t1-1";
        let limit = std::time::Duration::from_millis(500);
        let got = send(request(Method::GET, deep.address(), path), limit).await;
        let name = case.name;
        match case.expected {
            Expected::Complete => assert_eq!(got, complete_response("deep", "t1"), "{name}"),
            Expected::ConnectionClosed => assert_eq!(got, Observed::ConnectionClosed, "{name}"),
            Expected::Timeout => assert_eq!(got, Observed::Timeout, "{name}"),
            Expected::Refused => assert!(
                matches!(got, Observed::Response(StatusCode::SERVICE_UNAVAILABLE, _)),
                "{name}: {got:?}"
            ),
        }
        assert_eq!(states(&deep), case.recorded, "{name}");
    }
}

/// Guards against emulated backends that can't play an extra late response.
#[tokio::test]
async fn a_response_that_is_sent_twice_comes_again_on_the_same_connection() {
    let deep = start("deep").await;
    deep.set_faults(Faults {
        twice: 1.0,
        ..Faults::default()
    });
    let mut stream = TcpStream::connect(deep.address()).await.unwrap();
    let text = "GET /look?token=t1&call=t1-1 HTTP/1.1\r\nhost: deep\r\n\r\n";
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut received = Vec::new();
    let reading = async {
        loop {
            stream.read_buf(&mut received).await.unwrap();
            let (first, second) = received.split_at(received.len() / 2);
            if !first.is_empty() && first == second {
                return;
            }
        }
    };
    let limit = std::time::Duration::from_secs(5);
    tokio::time::timeout(limit, reading)
        .await
        .expect("the response comes twice");
    assert_eq!(states(&deep), [ExecutionState::Completed]);
}

#[tokio::test]
async fn a_terminated_backend_refuses_connections_until_it_restarts() {
    let deep = start("deep").await;
    deep.set_faults(Faults {
        end: 1.0,
        ..Faults::default()
    });
    let limit = std::time::Duration::from_millis(500);
    let send_look = async |token: &str| {
        let path = format!("/look?token={token}&call={token}-1");
        send(request(Method::GET, deep.address(), &path), limit).await
    };
    assert_eq!(send_look("t1").await, Observed::ConnectionClosed);
    deep.set_faults(Faults::default());
    let refused_connection = tokio::net::TcpStream::connect(deep.address()).await;
    assert!(refused_connection.is_err());
    let end = std::time::Instant::now() + std::time::Duration::from_secs(10);
    while send_look("t2").await != complete_response("deep", "t2") {
        assert!(
            std::time::Instant::now() < end,
            "the backend did not listen again in time"
        );
    }
}

#[tokio::test]
async fn a_refusal_carries_the_header_for_requests_not_executed() {
    let deep = start("deep").await;
    deep.set_faults(Faults {
        refuse: 1.0,
        ..Faults::default()
    });
    let request = request(Method::GET, deep.address(), "/look?token=t&call=t-1");
    let response = client().request(request).await.expect("response");
    let proof = response.headers().get("wharfquay-refused");
    assert_eq!(proof.expect("wharfquay-refused header"), "before-execution");
    assert_eq!(deep.report().unexecuted_calls, ["t-1"]);
}

#[tokio::test]
async fn a_fault_of_a_callee_results_in_an_error_response_and_never_in_a_success() {
    let table = [
        (
            Faults {
                cut_answer: 1.0,
                ..Faults::default()
            },
            StatusCode::BAD_GATEWAY,
        ),
        (
            Faults {
                close_after: 1.0,
                ..Faults::default()
            },
            StatusCode::BAD_GATEWAY,
        ),
        (
            Faults {
                refuse: 1.0,
                ..Faults::default()
            },
            StatusCode::SERVICE_UNAVAILABLE,
        ),
    ];
    for (faults, expected) in table {
        let deep = start("deep").await;
        deep.set_faults(faults);
        let front = start("front").await;
        front.set_outbound(deep.address());
        let Observed::Response(status, _) = look(&front, "t").await else {
            panic!("no response with {faults:?}");
        };
        assert_eq!(status, expected, "{faults:?}");
        assert_eq!(
            states(&front),
            [ExecutionState::DependencyFailed],
            "{faults:?}"
        );
    }
}

#[tokio::test]
async fn faults_are_set_over_http_and_invalid_ones_are_rejected() {
    let table = [
        (r#"{"slow":2}"#, StatusCode::OK, "\"slow\":2"),
        (
            r#"{"slow":0}"#,
            StatusCode::BAD_REQUEST,
            "slow: 0 is out of range (allowed: 0.01 to 1000)",
        ),
        (
            r#"{"hang":2}"#,
            StatusCode::BAD_REQUEST,
            "hang: 2 is out of range (allowed: 0 to 1)",
        ),
        (
            r#"{"speed":2}"#,
            StatusCode::BAD_REQUEST,
            "unknown field `speed`",
        ),
        ("nonsense", StatusCode::BAD_REQUEST, "error"),
    ];
    let deep = start("deep").await;
    for (text, status, part) in table {
        let mut put = request(Method::PUT, deep.address(), "/wharfquay/faults");
        *put.body_mut() = Full::from(text);
        let Observed::Response(got, body) = send(put, std::time::Duration::from_secs(1)).await
        else {
            panic!("no response to {text}");
        };
        let body = String::from_utf8_lossy(&body).into_owned();
        assert_eq!(got, status, "{text}: {body}");
        assert!(body.contains(part), "{text}: {body}");
    }
}

#[tokio::test]
async fn responses_announce_the_rate_limit_and_a_garbled_one() {
    let deep = start("deep").await;
    let table = [
        (0.0, 0.0, None),
        (5.8, 0.0, Some("5.8")),
        (5.8, 1.0, Some("-many")),
    ];
    for (rate_limit, garble_rate_limit, expected) in table {
        deep.set_faults(Faults {
            rate_limit,
            garble_rate_limit,
            ..Faults::default()
        });
        let request = request(Method::GET, deep.address(), "/look?token=t&call=t-1");
        let response = client().request(request).await.expect("response");
        let announced = response.headers().get("wharfquay-rate-limit");
        let announced = announced.map(|value| value.to_str().unwrap());
        assert_eq!(announced, expected);
    }
}

/// Guards against a report that the parser of the sidecar rejects, and against one without the
/// injected slowdown.
#[tokio::test]
async fn a_backend_reports_its_load_in_the_configured_header() {
    const NAME: HeaderName = HeaderName::from_static("test-load");
    let deep = start_with("deep", |settings| {
        settings.load_report = Some(NAME);
        settings.faults.slow = 2.5;
    })
    .await;
    let path = "/look?token=t1&call=t1-1";
    let response = client()
        .request(request(Method::GET, deep.address(), path))
        .await
        .expect("a response");
    let Announcement::Valid(load) = load_report(response.headers(), &NAME) else {
        panic!("no valid report in {:?}", response.headers());
    };
    assert_eq!(load.slowdown, Slowdown::from_percent(250));
    assert!(load.slots > 0);

    let silent = start("deep").await;
    let response = client()
        .request(request(Method::GET, silent.address(), path))
        .await
        .expect("a response");
    assert_eq!(load_report(response.headers(), &NAME), Announcement::Absent);
}
