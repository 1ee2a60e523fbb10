//! Tests that the retries for one originating request, over a whole call chain, stay within its
//! allowance.

mod support;

use support::UnusedPort;
use support::client::{self, Call};
use support::deployment::{
    Deployment, edge_settings, machine, request_kind, service, standard_resources,
    wait_for_endpoints,
};
use support::peer::{PeerResponse, start_peers};
use support::platform::PlatformStub;
use wharfquay_core::outcome::ResultCode;
use wharfquay_daemon::Daemon;

/// Retry allowance of each request in the test deployment.
const ALLOWANCE: u64 = 3;

fn retries(deployment: &Deployment) -> u64 {
    let members = deployment.members.iter().map(|member| &member.daemon);
    members
        .chain([&deployment.edge])
        .map(|daemon| daemon.metrics().retries())
        .sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn retries_of_a_chain_stay_within_the_allowance() {
    let cases = [
        ("/drop", "the last backend drops every connection"),
        ("/refuse", "the last backend refuses everything"),
        ("/raw/garbage", "the last backend responds with garbage"),
    ];
    for (path, what) in cases {
        let services = ["booking", "booking", "slot", "slot", "record", "record"];
        let deployment = Deployment::start(&services).await;
        let path = format!("/call/slot/call/record{path}");
        for request in 1..=10 {
            let before = retries(&deployment);
            let response = deployment.send(Call::get("booking", &path)).await;
            assert!(response.code().is_some(), "{what}");
            let spent = retries(&deployment) - before;
            assert!(
                spent <= ALLOWANCE,
                "{what}: request {request} took {spent} retries"
            );
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refused_call_is_retried_at_a_sibling() {
    let deployment = Deployment::start(&["booking", "booking"]).await;
    let refusing = &deployment.members[0].backend;
    refusing.refuse_all();
    for _ in 0..20 {
        let response = deployment.send(Call::post("booking", "/work", "")).await;
        assert_eq!(response.code(), Some(ResultCode::Answered));
    }
    assert_eq!(refusing.executions("/work"), 0);
    assert_eq!(deployment.members[1].backend.executions("/work"), 20);
}

/// A body that is too large to be held in memory can still be sent to a sibling if no byte of it
/// was sent.
#[tokio::test(flavor = "multi_thread")]
async fn a_streamed_body_goes_to_a_sibling_if_the_first_daemon_is_down() {
    let deployment = Deployment::start(&["booking"]).await;
    let unused_port = UnusedPort::bind();
    let entry = machine(
        "booking-unreachable",
        "booking",
        unused_port.address(),
        "live",
    );
    deployment.platform.put_machine(entry);
    let body = "x".repeat(100_000);
    let mut retried = 0;
    for _ in 0..200 {
        let call = Call::post("booking", "/echo", body.clone());
        let response = deployment.send(call).await;
        assert_eq!(response.code(), Some(ResultCode::Answered));
        assert_eq!(response.text().len(), body.len() + "POST /echo ".len());
        retried = retries(&deployment);
        if retried > 0 {
            break;
        }
    }
    assert!(retried > 0, "the unreachable daemon was never picked");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_without_a_scope_has_no_retries() {
    let deployment = Deployment::start(&["booking"]).await;
    let outbound = deployment.members[0].daemon.addresses().outbound.unwrap();
    let call = Call::get("booking", "/drop");
    let response = support::client::send(outbound, call).await.unwrap();
    assert_eq!(response.code(), Some(ResultCode::ConnectionLost));
    assert_eq!(deployment.members[0].backend.executions("/drop"), 1);
    assert_eq!(retries(&deployment), 0);
}

/// A failed connection attempt costs one retry; the allowance granted to the attempt is returned in
/// full.
#[tokio::test(flavor = "multi_thread")]
async fn a_failed_connection_returns_its_grant() {
    let platform = PlatformStub::start().await;
    for resource in standard_resources(&["booking"]) {
        platform.put(&resource);
    }
    let unused_port = UnusedPort::bind();
    platform.put_machine(machine(
        "booking-unreachable",
        "booking",
        unused_port.address(),
        "live",
    ));
    let peers = start_peers(&platform, "booking", &[PeerResponse::default()]).await;
    let edge = Daemon::start(edge_settings(&platform, "")).await.unwrap();
    wait_for_endpoints(edge.addresses().admin.unwrap(), 2).await;
    let address = edge.addresses().edge.unwrap();
    support::eventually("the failed connection was retried", async || {
        let response = client::send(address, Call::post("booking", "/work", "")).await;
        assert_eq!(response.unwrap().code(), Some(ResultCode::Answered));
        edge.metrics().retries() > 0
    })
    .await;
    let (first, retry) = (3, 2);
    let allowances = peers[0].allowances();
    assert_eq!(allowances.last(), Some(&retry), "{allowances:?}");
    let direct = &allowances[..allowances.len() - 1];
    assert!(direct.iter().all(|units| *units == first), "{direct:?}");
}

/// A service that declares one downstream call passes its whole allowance on; with several declared
/// calls each gets an even share.
#[tokio::test(flavor = "multi_thread")]
async fn a_hop_passes_on_the_share_of_one_declared_call() {
    for (calls, expected) in [(&["slot"][..], 3), (&["slot", "price", "stock"], 1)] {
        let called = calls.iter().map(|name| service(name, &[]));
        let resources: Vec<_> = [service("booking", calls)]
            .into_iter()
            .chain(called)
            .chain([request_kind("booking", "GET", true)])
            .chain(standard_resources(&[]))
            .collect();
        let deployment = Deployment::start_with(&["booking"], &resources).await;
        let response = PeerResponse::default();
        let peers = start_peers(&deployment.platform, "slot", &[response]).await;
        for admin in deployment.admin_addresses() {
            wait_for_endpoints(admin, 2).await;
        }
        let call = Call::get("booking", "/call/slot/work");
        assert_eq!(
            deployment.send(call).await.code(),
            Some(ResultCode::Answered)
        );
        assert_eq!(peers[0].allowances(), [expected], "{calls:?}");
    }
}
