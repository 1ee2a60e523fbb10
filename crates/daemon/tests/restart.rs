//! Tests of a daemon that is restarted with the same id.

mod support;

use support::client::{self, Call};
use support::deployment::{Deployment, start_member};
use wharfquay_core::outcome::ResultCode;
use wharfquay_daemon::clock::wall_clock;

/// Returns the incarnation of the only endpoint from the status page of the edge.
async fn incarnation(deployment: &Deployment) -> u64 {
    let admin = deployment.edge.addresses().admin.unwrap();
    let status = client::send(admin, Call::get("admin", "/status")).await;
    let status: serde_json::Value = serde_json::from_str(&status.unwrap().text()).unwrap();
    status["endpoints"][0]["incarnation"].as_u64().unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_distinguish_a_restarted_daemon_from_the_earlier_instance() {
    let before = wall_clock().as_millis();
    let mut deployment = Deployment::start(&["booking"]).await;
    let call = || Call::get("booking", "/echo");
    let response = deployment.send(call()).await;
    assert_eq!(response.code(), Some(ResultCode::Answered));
    let first = incarnation(&deployment).await;
    assert!(first >= before, "{first} {before}");
    let stopped = deployment.members.remove(0);
    stopped.daemon.shutdown().await;
    let restarted = start_member(&deployment.platform, &stopped.id, "booking").await;
    support::eventually("the new incarnation is known", async || {
        deployment.send(call()).await;
        incarnation(&deployment).await > first
    })
    .await;
    assert!(restarted.backend.executions("/echo") > 0);
}
