//! The retries of one originating request, over a whole chain, stay within its allowance.

mod support;

use support::NobodyListens;
use support::client::{self, Call};
use support::deployment::{
    Deployment, edge_settings, machine, request_kind, service, standard_resources,
    wait_for_endpoints,
};
use support::peer::{PeerAnswer, start_peers};
use support::platform::PlatformStub;
use wharfquay_core::outcome::ResultCode;
use wharfquay_daemon::Daemon;

/// Allowance that the test deployment configures.
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
        ("/drop", "the last back end drops every connection"),
        ("/refuse", "the last back end refuses everything"),
        ("/raw/garbage", "the last back end answers garbage"),
    ];
    for (path, what) in cases {
        let services = ["booking", "booking", "slot", "slot", "record", "record"];
        let deployment = Deployment::start(&services).await;
        let path = format!("/call/slot/call/record{path}");
        for request in 1..=10 {
            let before = retries(&deployment);
            let answer = deployment.send(Call::get("booking", &path)).await;
            assert!(answer.code().is_some(), "{what}");
            let spent = retries(&deployment) - before;
            assert!(
                spent <= ALLOWANCE,
                "{what}: request {request} took {spent} retries"
            );
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_is_offered_to_a_sibling() {
    let deployment = Deployment::start(&["booking", "booking"]).await;
    let refusing = &deployment.members[0].backend;
    refusing.refuse_everything();
    for _ in 0..20 {
        let answer = deployment.send(Call::post("booking", "/work", "")).await;
        assert_eq!(answer.code(), Some(ResultCode::Answered));
    }
    assert_eq!(refusing.executions("/work"), 0);
    assert_eq!(deployment.members[1].backend.executions("/work"), 20);
}

/// A body that is too large to be held can still go to a sibling as long as none of it was sent.
#[tokio::test(flavor = "multi_thread")]
async fn a_streamed_body_goes_to_a_sibling_if_the_first_daemon_is_down() {
    let deployment = Deployment::start(&["booking"]).await;
    let nobody = NobodyListens::bind();
    let entry = machine("booking-gone", "booking", nobody.address(), "live");
    deployment.platform.put_machine(entry);
    let body = "x".repeat(100_000);
    let mut retried = 0;
    for _ in 0..200 {
        let call = Call::post("booking", "/echo", body.clone());
        let answer = deployment.send(call).await;
        assert_eq!(answer.code(), Some(ResultCode::Answered));
        assert_eq!(answer.text().len(), body.len() + "POST /echo ".len());
        retried = retries(&deployment);
        if retried > 0 {
            break;
        }
    }
    assert!(retried > 0, "the daemon that is gone was never picked");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_without_a_scope_has_no_retries() {
    let deployment = Deployment::start(&["booking"]).await;
    let outbound = deployment.members[0].daemon.addresses().outbound.unwrap();
    let call = Call::get("booking", "/drop");
    let answer = support::client::send(outbound, call).await.unwrap();
    assert_eq!(answer.code(), Some(ResultCode::ConnectionLost));
    assert_eq!(deployment.members[0].backend.executions("/drop"), 1);
    assert_eq!(retries(&deployment), 0);
}

/// An attempt that never left costs its retry and nothing of what travelled with it.
#[tokio::test(flavor = "multi_thread")]
async fn a_failed_connection_hands_its_grant_back() {
    let platform = PlatformStub::start().await;
    for resource in standard_resources(&["booking"]) {
        platform.put(&resource);
    }
    let nobody = NobodyListens::bind();
    platform.put_machine(machine(
        "booking-nobody",
        "booking",
        nobody.address(),
        "live",
    ));
    let peers = start_peers(&platform, "booking", &[PeerAnswer::default()]).await;
    let edge = Daemon::start(edge_settings(&platform, "")).await.unwrap();
    wait_for_endpoints(edge.addresses().admin.unwrap(), 2).await;
    let address = edge.addresses().edge.unwrap();
    support::eventually("the failed connection was retried", async || {
        let answer = client::send(address, Call::post("booking", "/work", "")).await;
        assert_eq!(answer.unwrap().code(), Some(ResultCode::Answered));
        edge.metrics().retries() > 0
    })
    .await;
    let (first, retry) = (3, 2);
    let allowances = peers[0].allowances();
    assert_eq!(allowances.last(), Some(&retry), "{allowances:?}");
    let direct = &allowances[..allowances.len() - 1];
    assert!(direct.iter().all(|units| *units == first), "{direct:?}");
}

/// The allowance reaches a chain's end whole, and is shared evenly by the services that a service
/// declares to call.
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
        let answer = PeerAnswer::default();
        let peers = start_peers(&deployment.platform, "slot", &[answer]).await;
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
