//! Tests of faults that require separate processes: a daemon is killed or paused during a call, the
//! command line is invalid, or a port is in use.

mod support;

use std::process::{Command, Output};
use std::time::{Duration, Instant};

use support::backend::BackendStub;
use support::client::{self, Call};
use support::deployment::{edge_text, machine, member_text, standard_resources};
use support::platform::PlatformStub;
use support::process::{PROGRAM, Process, settings_file};
use wharfquay_core::outcome::ResultCode;

/// An edge and one backend with its daemon; each daemon is a separate process.
struct Mesh {
    platform: PlatformStub,
    backend: BackendStub,
    member: Process,
    edge: Process,
}

impl Mesh {
    async fn start(name: &str) -> Self {
        let platform = PlatformStub::start().await;
        for resource in standard_resources(&["booking"]) {
            platform.put(&resource);
        }
        let backend = BackendStub::start().await;
        let listen = "127.0.0.1:0";
        let text = member_text(
            platform.address,
            "booking-0",
            "booking",
            backend.address,
            listen,
        );
        let member = Process::start(&format!("{name}-member"), &text);
        backend.set_outbound(member.address("outbound"));
        let inbound = member.address("inbound");
        platform.put_machine(machine("booking-0", "booking", inbound, "live"));
        let edge = Process::start(&format!("{name}-edge"), &edge_text(platform.address, ""));
        let mesh = Self {
            platform,
            backend,
            member,
            edge,
        };
        support::eventually("calls get through", async || {
            let response = mesh.send(Call::get("booking", "/echo")).await;
            response.code() == Some(ResultCode::Answered)
        })
        .await;
        mesh
    }

    async fn send(&self, call: Call) -> client::ClientResponse {
        client::send(self.edge.address("edge"), call).await.unwrap()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_outcome_of_a_call_is_unknown_if_the_daemon_is_killed() {
    let mut mesh = Mesh::start("kill").await;
    let edge = mesh.edge.address("edge");
    let call = Call::post("booking", "/slow/60000", "");
    let in_flight = tokio::spawn(client::send(edge, call));
    support::eventually("the call runs", async || {
        mesh.backend.executions("/slow/60000") == 1
    })
    .await;
    mesh.member.kill();
    let response = in_flight.await.unwrap().unwrap();
    assert_eq!(response.code(), Some(ResultCode::ConnectionLost));
    assert_eq!(response.header("wharfquay-outcome"), Some("unknown"));
    let next = mesh.send(Call::post("booking", "/slow/60000", "")).await;
    assert_eq!(next.header("wharfquay-outcome"), Some("not-run"));
    assert_eq!(mesh.backend.executions("/slow/60000"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_to_a_paused_daemon_gets_a_response_by_the_deadline() {
    let mesh = Mesh::start("pause").await;
    mesh.member.pause().await;
    let started = Instant::now();
    let call = Call::post("booking", "/paused", "").header("wharfquay-deadline-ms", "300");
    let response = mesh.send(call).await;
    let took = started.elapsed();
    assert_eq!(response.code(), Some(ResultCode::DeadlineAfterDispatch));
    assert!(took < Duration::from_secs(1), "took {took:?}");
    mesh.member.resume();
    support::eventually("calls get through again", async || {
        let response = mesh.send(Call::get("booking", "/echo")).await;
        response.code() == Some(ResultCode::Answered)
    })
    .await;
    assert!(mesh.backend.executions("/paused") <= 1);
}

/// Calls that were cancelled while the daemon was paused must not be run when it resumes, whether
/// it reads the cancellation before or after the next call.
#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_daemon_drops_cancelled_calls() {
    let mesh = Mesh::start("wake").await;
    mesh.member.pause().await;
    for _ in 0..5 {
        let call = Call::post("booking", "/late", "").header("wharfquay-deadline-ms", "50");
        let response = mesh.send(call).await;
        assert_eq!(response.code(), Some(ResultCode::DeadlineAfterDispatch));
    }
    mesh.member.resume();
    support::eventually("calls get through again", async || {
        let response = mesh.send(Call::get("booking", "/echo")).await;
        response.code() == Some(ResultCode::Answered)
    })
    .await;
    let executed = mesh.backend.executions("/late");
    assert_eq!(executed, 0, "cancelled calls were run");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_terminated_daemon_completes_its_calls_and_exits_with_zero() {
    let mesh = Mesh::start("term").await;
    let edge = mesh.edge.address("edge");
    let call = Call::post("booking", "/slow/300", "");
    let in_flight = tokio::spawn(client::send(edge, call));
    support::eventually("the call runs", async || {
        mesh.backend.executions("/slow/300") == 1
    })
    .await;
    mesh.member.terminate();
    assert_eq!(in_flight.await.unwrap().unwrap().text(), "slow response");
    let ended = tokio::task::spawn_blocking(move || mesh.member.exited_successfully());
    assert!(ended.await.unwrap());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_daemon_serves_the_configuration_again() {
    let mut mesh = Mesh::start("restart").await;
    let inbound = mesh.member.address("inbound");
    mesh.member.kill();
    let (platform, backend) = (mesh.platform.address, mesh.backend.address);
    let listen = inbound.to_string();
    let text = member_text(platform, "booking-0", "booking", backend, &listen);
    mesh.member = Process::start("restart-again", &text);
    support::eventually("calls get through again", async || {
        let response = mesh.send(Call::get("booking", "/echo")).await;
        response.code() == Some(ResultCode::Answered)
    })
    .await;
}

fn run(arguments: &[&str]) -> Output {
    Command::new(PROGRAM).args(arguments).output().unwrap()
}

#[test]
fn invalid_usage_exits_with_two_and_reports_the_cause() {
    let platform = "127.0.0.1:1".parse().unwrap();
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let port = taken.local_addr().unwrap().to_string();
    let good = settings_file("good", &edge_text(platform, ""));
    let bad = settings_file("bad", "id = 3\n");
    let good = good.to_str().unwrap();
    let bad = bad.to_str().unwrap();
    let port_in_use = format!("edge.listen={port}");
    let cases: [(&[&str], &[&str]); 7] = [
        (&[], &["--config", "allowed"]),
        (&["--colour"], &["--colour", "Usage"]),
        (
            &["--config", "/nowhere.toml"],
            &["/nowhere.toml", "can't be read"],
        ),
        (&["--config", bad], &[bad, "id", "string"]),
        (
            &["--config", good, "--set", "zone="],
            &["zone", "given \"\""],
        ),
        (
            &["--config", good, "--check", "--set", "log.level=x"],
            &["log.level", "x", "debug"],
        ),
        (
            &["--config", good, "--set", &port_in_use],
            &["edge.listen", &port],
        ),
    ];
    for (arguments, expected) in cases {
        let output = run(arguments);
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{arguments:?}: {text}");
        for part in expected {
            assert!(text.contains(part), "{arguments:?}: {part:?} not in {text}");
        }
    }
}

#[test]
fn a_check_passes_without_starting() {
    let platform = "127.0.0.1:1".parse().unwrap();
    let file = settings_file("check", &edge_text(platform, ""));
    let output = run(&["--config", file.to_str().unwrap(), "--check"]);
    assert!(output.status.success());
    assert!(String::from_utf8_lossy(&output.stdout).ends_with(": ok\n"));
    assert!(run(&["--help"]).status.success());
    assert!(run(&["--version"]).status.success());
}
