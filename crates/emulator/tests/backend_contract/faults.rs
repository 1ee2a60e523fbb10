//! The fault table: what a caller gets and what the record says.

use http::{Method, StatusCode};
use http_body_util::Full;
use wharfquay_emulator::backend::faults::Faults;
use wharfquay_emulator::backend::record::ExecutionState;

use super::support::{Got, client, look, request, send, start, states, whole};

/// What a caller is expected to get.
#[derive(Clone, Copy, Debug)]
enum Expected {
    Whole,
    Broken,
    Nothing,
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
        case("none", none, Expected::Whole, completed),
        case(
            "slow",
            Faults { slow: 5.0, ..none },
            Expected::Whole,
            completed,
        ),
        case(
            "cut",
            Faults {
                cut_answer: 1.0,
                ..none
            },
            Expected::Broken,
            completed,
        ),
        case(
            "close before",
            Faults {
                close_before: 1.0,
                ..none
            },
            Expected::Broken,
            &[],
        ),
        case(
            "close after",
            Faults {
                close_after: 1.0,
                ..none
            },
            Expected::Broken,
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
            Expected::Nothing,
            completed,
        ),
        case(
            "end",
            Faults { end: 1.0, ..none },
            Expected::Broken,
            &[ExecutionState::Cancelled],
        ),
    ]
}

#[tokio::test]
async fn each_fault_shows_to_the_caller_and_in_the_record() {
    for case in cases() {
        let deep = start("deep").await;
        deep.set_faults(case.faults);
        let path = "/look?token=t1&call=t1-1";
        let bound = std::time::Duration::from_millis(500);
        let got = send(request(Method::GET, deep.address(), path), bound).await;
        let name = case.name;
        match case.expected {
            Expected::Whole => assert_eq!(got, whole("deep", "t1"), "{name}"),
            Expected::Broken => assert_eq!(got, Got::Broken, "{name}"),
            Expected::Nothing => assert_eq!(got, Got::Nothing, "{name}"),
            Expected::Refused => assert!(
                matches!(got, Got::Answer(StatusCode::SERVICE_UNAVAILABLE, _)),
                "{name}: {got:?}"
            ),
        }
        assert_eq!(states(&deep), case.recorded, "{name}");
    }
}

#[tokio::test]
async fn a_back_end_that_ended_accepts_nothing_and_is_back_later() {
    let deep = start("deep").await;
    deep.set_faults(Faults {
        end: 1.0,
        ..Faults::default()
    });
    let bound = std::time::Duration::from_millis(500);
    let ask = async |token: &str| {
        let path = format!("/look?token={token}&call={token}-1");
        send(request(Method::GET, deep.address(), &path), bound).await
    };
    assert_eq!(ask("t1").await, Got::Broken);
    deep.set_faults(Faults::default());
    let away = tokio::net::TcpStream::connect(deep.address()).await;
    assert!(away.is_err());
    let end = std::time::Instant::now() + std::time::Duration::from_secs(10);
    while ask("t2").await != whole("deep", "t2") {
        assert!(std::time::Instant::now() < end, "never back");
    }
}

#[tokio::test]
async fn a_refusal_says_that_nothing_was_executed() {
    let deep = start("deep").await;
    deep.set_faults(Faults {
        refuse: 1.0,
        ..Faults::default()
    });
    let request = request(Method::GET, deep.address(), "/look?token=t&call=t-1");
    let response = client().request(request).await.expect("answer");
    let proof = response.headers().get("wharfquay-refused");
    assert_eq!(proof.expect("proof"), "before-execution");
    assert_eq!(deep.report().unexecuted_calls, ["t-1"]);
}

#[tokio::test]
async fn a_fault_below_reaches_the_caller_as_an_error_never_as_an_answer() {
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
        let Got::Answer(status, _) = look(&front, "t").await else {
            panic!("no answer with {faults:?}");
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
async fn faults_are_switched_by_request_and_bad_ones_are_refused() {
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
        let Got::Answer(got, body) = send(put, std::time::Duration::from_secs(1)).await else {
            panic!("no answer to {text}");
        };
        let body = String::from_utf8_lossy(&body).into_owned();
        assert_eq!(got, status, "{text}: {body}");
        assert!(body.contains(part), "{text}: {body}");
    }
}
