//! Tests of the result code that a caller receives for each kind of failure, and of the number of
//! executions.

mod support;

use std::time::{Duration, Instant};

use http::StatusCode;
use http_body_util::BodyExt;
use support::UnusedPort;
use support::client::{self, Call, ClientResponse};
use support::deployment::{Deployment, request_kind, standard_resources};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use wharfquay_core::outcome::{OutcomeClass, ResultCode};
use wharfquay_resources::kinds::{ClaimGroup, Resource};

/// A fault and its expected result.
struct Case {
    call: Call,
    /// Number of requests for `/flaky` that fail before one succeeds.
    failures: usize,
    status: u16,
    code: ResultCode,
    /// Minimum and maximum number of executions at the backend.
    executions: (usize, usize),
}

fn case(call: Call, code: ResultCode, executions: (usize, usize)) -> Case {
    Case {
        call,
        failures: 0,
        status: code.http_status(),
        code,
        executions,
    }
}

fn flaky(call: Call, status: u16, code: ResultCode, executions: (usize, usize)) -> Case {
    Case {
        failures: 1,
        status,
        ..case(call, code, executions)
    }
}

fn backend_status(call: Call, status: u16) -> Case {
    Case {
        status,
        ..case(call, ResultCode::Answered, (1, 1))
    }
}

fn cases() -> Vec<Case> {
    use ResultCode as Code;
    let get = |path| Call::get("booking", path);
    let post = |path| Call::post("booking", path, "body");
    let large = || Call::post("booking", "/flaky", "x".repeat(100_000));
    vec![
        case(get("/refuse"), Code::RefusedByBackend, (0, 0)),
        case(post("/refuse"), Code::RefusedByBackend, (0, 0)),
        case(post("/drop"), Code::ConnectionLost, (1, 1)),
        case(get("/drop"), Code::ConnectionLost, (2, 4)),
        flaky(get("/flaky"), 200, Code::Answered, (2, 2)),
        flaky(post("/flaky"), 502, Code::ConnectionLost, (1, 1)),
        flaky(large(), 502, Code::ConnectionLost, (1, 1)),
        case(post("/raw/garbage"), Code::MalformedAnswer, (1, 1)),
        case(post("/raw/no-length"), Code::MalformedAnswer, (1, 1)),
        case(post("/raw/close"), Code::ConnectionLost, (1, 1)),
        backend_status(get("/status/500"), 500),
        backend_status(get("/status/503"), 503),
        backend_status(get("/status/404"), 404),
        case(Call::get("nowhere", "/"), Code::UnknownService, (0, 0)),
        case(Call::get("", "/"), Code::MalformedRequest, (0, 0)),
        case(options_asterisk(), Code::UnknownService, (0, 0)),
        case(
            get("/echo").header("wharfquay-deadline-ms", "soon"),
            Code::MalformedRequest,
            (0, 0),
        ),
        case(
            get("/echo").header("idempotency-key", "not-a-uuid"),
            Code::InvalidIdempotencyKey,
            (0, 0),
        ),
        case(
            get("/echo").header("x-large", &"y".repeat(40_000)),
            Code::RequestTooLarge,
            (0, 0),
        ),
    ]
}

/// A request with the target `*` instead of a path.
fn options_asterisk() -> Call {
    let mut call = Call::get("booking", "*");
    call.method = http::Method::OPTIONS;
    call
}

#[tokio::test(flavor = "multi_thread")]
async fn every_fault_has_its_code_and_its_number_of_executions() {
    for case in cases() {
        let deployment = Deployment::start(&["booking"]).await;
        let backend = &deployment.members[0].backend;
        backend.fail_next(case.failures);
        let path = case.call.path.clone();
        let shown = format!("{} {path} {:?}", case.call.method, case.call.headers);
        let response = deployment.send(case.call).await;
        assert_eq!(response.code(), Some(case.code), "{shown}");
        assert_eq!(response.status.as_u16(), case.status, "{shown}");
        let outcome = case.code.outcome();
        assert_eq!(
            response.header("wharfquay-outcome"),
            Some(outcome.as_str()),
            "{shown}"
        );
        let executed = backend.executions(&path);
        let (least, most) = case.executions;
        assert!(
            (least..=most).contains(&executed),
            "{shown}: executed {executed}"
        );
        if case.code.wants_retry_after() && outcome == OutcomeClass::NotRun {
            let seconds: u64 = response.header("retry-after").unwrap().parse().unwrap();
            assert!(seconds >= 1, "{shown}");
            assert!(
                response.header("wharfquay-retry-after-ms").is_some(),
                "{shown}"
            );
        }
        let next = deployment.send(Call::get("booking", "/echo")).await;
        assert_eq!(next.code(), Some(ResultCode::Answered), "after {shown}");
    }
}

/// The response is truncated after the caller has received its head and its first bytes.
#[tokio::test(flavor = "multi_thread")]
async fn a_truncated_body_never_ends_cleanly() {
    let deployment = Deployment::start(&["booking"]).await;
    let backend = &deployment.members[0].backend;
    for path in ["/truncate", "/raw/short"] {
        for call in [
            Call::get("booking", path),
            Call::get("booking", path).http2(),
        ] {
            let shown = format!("{path} http2={}", call.http2);
            let head = client::send_head(deployment.edge_address(), call).await;
            let mut response = head.unwrap();
            assert_eq!(response.status(), StatusCode::OK, "{shown}");
            let first = response.body_mut().frame().await;
            assert!(first.unwrap().unwrap().is_data(), "{shown}");
            backend.truncate.notify_one();
            let rest = response.into_body().collect().await;
            assert!(rest.is_err(), "{shown}: {rest:?}");
        }
    }
}

/// The response is truncated right after its head, which the caller may receive or not. In neither
/// case may the response look complete.
#[tokio::test(flavor = "multi_thread")]
async fn a_response_truncated_immediately_is_not_complete() {
    let deployment = Deployment::start(&["booking"]).await;
    for _ in 0..20 {
        let call = Call::post("booking", "/raw/short-immediately", "");
        let response = deployment.send(call).await;
        let lost = response.code() == Some(ResultCode::ConnectionLost);
        assert!(lost || response.body.is_err(), "{response:?}");
    }
    let executed = deployment.members[0]
        .backend
        .executions("/raw/short-immediately");
    assert_eq!(executed, 20);
}

async fn send_with_short_deadline(deployment: &Deployment, path: &str) -> ClientResponse {
    let started = Instant::now();
    let call = Call::get("booking", path).header("wharfquay-deadline-ms", "100");
    let response = deployment.send(call).await;
    let took = started.elapsed();
    assert!(took < Duration::from_secs(1), "{path} took {took:?}");
    response
}

#[tokio::test(flavor = "multi_thread")]
async fn a_passed_deadline_gets_a_response_and_cancels_the_execution() {
    let deployment = Deployment::start(&["booking"]).await;
    let response = send_with_short_deadline(&deployment, "/slow/5000").await;
    assert_eq!(response.code(), Some(ResultCode::DeadlineAfterDispatch));
    assert!(response.header("retry-after").is_some());
    support::eventually("the execution is cancelled", async || {
        deployment.members[0].backend.cancelled() == 1
    })
    .await;
}

/// The deadline at the last hop is slightly earlier, so the first backend may still relay the
/// failure that it received; the emulated backend relays the status.
#[tokio::test(flavor = "multi_thread")]
async fn a_deadline_applies_along_a_chain() {
    let deployment = Deployment::start(&["booking", "slot"]).await;
    let response = send_with_short_deadline(&deployment, "/call/slot/slow/5000").await;
    let allowed = [ResultCode::DeadlineAfterDispatch, ResultCode::Answered];
    assert!(allowed.contains(&response.code().unwrap()), "{response:?}");
    assert_eq!(response.status, StatusCode::GATEWAY_TIMEOUT);
    support::eventually("the last execution is cancelled", async || {
        deployment.members[1].backend.cancelled() == 1
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_to_an_unreachable_daemon_is_not_run() {
    let deployment = Deployment::start(&["booking"]).await;
    let unused_port = UnusedPort::bind();
    let address = unused_port.address();
    let machine = support::deployment::machine("booking-0", "booking", address, "live");
    deployment.platform.put_machine(machine);
    support::eventually("the unreachable daemon is called", async || {
        let response = deployment.send(Call::post("booking", "/echo", "x")).await;
        response.code() == Some(ResultCode::ConnectFailed)
    })
    .await;
}

/// Starts a deployment whose request kind for PUT requires an idempotency key, with a claim group
/// of one replica.
async fn deployment_with_claims(replica: &str) -> Deployment {
    let mut resources = standard_resources(&["booking"]);
    let Resource::RequestKind(mut kind) = request_kind("booking", "PUT", false) else {
        unreachable!("a request kind was made");
    };
    kind.idempotency_key_required = true;
    resources.push(claim_group(replica));
    resources.push(Resource::RequestKind(kind));
    Deployment::start_with(&["booking"], &resources).await
}

fn claim_group(replica: &str) -> Resource {
    Resource::ClaimGroup(ClaimGroup {
        name: "default".to_owned(),
        epoch: 1,
        replicas: vec![replica.to_owned()],
        previous_replicas: None,
        clock_skew_ms: 0,
        retention_ms: 60_000,
    })
}

fn put_call() -> Call {
    let mut call = Call::post("booking", "/echo", "x");
    call.method = http::Method::PUT;
    call
}

fn keyed_call() -> Call {
    let key = uuid::Uuid::now_v7().to_string();
    put_call().header("idempotency-key", &key)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_required_key_must_be_present() {
    let deployment = deployment_with_claims("edge").await;
    let response = deployment.send(put_call()).await;
    assert_eq!(response.code(), Some(ResultCode::MissingIdempotencyKey));
    assert_eq!(deployment.members[0].backend.executions("/echo"), 0);
    support::eventually("the replica of the edge votes", async || {
        let response = deployment.send(keyed_call()).await;
        response.code() == Some(ResultCode::Answered)
    })
    .await;
    let response = deployment.send(put_call()).await;
    assert_eq!(response.code(), Some(ResultCode::MissingIdempotencyKey));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_whose_key_cannot_be_claimed_is_not_dispatched() {
    let deployment = deployment_with_claims("unknown-replica").await;
    let response = deployment.send(keyed_call()).await;
    assert_eq!(response.code(), Some(ResultCode::ClaimUndetermined));
    assert_eq!(deployment.members[0].backend.executions("/echo"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_without_a_valid_context_are_refused() {
    let deployment = Deployment::start(&["booking"]).await;
    let addresses = deployment.members[0].daemon.addresses();
    let inbound = addresses.inbound.unwrap();
    let outbound = addresses.outbound.unwrap();
    let get = || Call::get("booking", "/echo");
    let cases = [
        (inbound, get().http2(), ResultCode::InvalidContext),
        (
            inbound,
            get().http2().header("wharfquay-context", "%%%"),
            ResultCode::InvalidContext,
        ),
        (
            outbound,
            get().header("wharfquay-scope", "0123"),
            ResultCode::InvalidContext,
        ),
        (
            outbound,
            get().header("wharfquay-scope", "no scope"),
            ResultCode::InvalidContext,
        ),
        (outbound, options_asterisk(), ResultCode::MalformedRequest),
        (outbound, get(), ResultCode::Answered),
    ];
    for (address, call, expected) in cases {
        let shown = format!("{:?}", call.headers);
        let response = client::send(address, call).await.unwrap();
        assert_eq!(response.code(), Some(expected), "{shown}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_bytes_get_4xx_and_the_daemon_keeps_serving() {
    let deployment = Deployment::start(&["booking"]).await;
    let endless = format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "z".repeat(300_000));
    let cases = [
        ("not HTTP at all\r\n\r\n", "HTTP/1.1 400"),
        ("GET / HTTP/1.1\r\nbad header line\r\n\r\n", "HTTP/1.1 400"),
        (endless.as_str(), "HTTP/1.1 431"),
    ];
    for (sent, expected) in cases {
        let mut stream = TcpStream::connect(deployment.edge_address()).await.unwrap();
        // The daemon may close the connection before it has read everything.
        let _ = stream.write_all(sent.as_bytes()).await;
        let mut received = vec![0; 12];
        let read = stream.read_exact(&mut received).await;
        let received = String::from_utf8_lossy(&received).into_owned();
        assert!(
            read.is_ok() && received == expected,
            "{received:?} for {expected}"
        );
        let response = deployment.send(Call::get("booking", "/echo")).await;
        assert_eq!(response.code(), Some(ResultCode::Answered));
    }
}

/// Guards against a refusal of an earlier request on a connection that is taken for one of the next:
/// a refusal that names no request is certain only on a connection that carried no other.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_that_names_no_request_is_certain_only_on_a_new_connection() {
    let deployment = Deployment::start(&["booking"]).await;
    let send = async |path: &str| {
        deployment
            .send(Call::post("booking", path, ""))
            .await
            .code()
    };
    assert_eq!(send("/echo").await, Some(ResultCode::Answered));
    let on_a_used_connection = send("/refuse-unnamed").await;
    assert_eq!(on_a_used_connection, Some(ResultCode::MalformedAnswer));
    let on_a_new_connection = send("/refuse-unnamed").await;
    assert_eq!(on_a_new_connection, Some(ResultCode::RefusedByBackend));
    assert_eq!(send("/refuse").await, Some(ResultCode::RefusedByBackend));
}
