//! A daemon that is started again under its old id.

mod support;

use support::client::{self, Call};
use support::deployment::{Deployment, start_member};
use wharfquay_core::outcome::ResultCode;
use wharfquay_daemon::clock::wall_clock;

/// The incarnation of the only endpoint, as the edge's status shows it.
async fn incarnation(deployment: &Deployment) -> u64 {
    let admin = deployment.edge.addresses().admin.unwrap();
    let status = client::send(admin, Call::get("admin", "/status")).await;
    let status: serde_json::Value = serde_json::from_str(&status.unwrap().text()).unwrap();
    status["endpoints"][0]["incarnation"].as_u64().unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_tell_a_restarted_daemon_from_the_one_before() {
    let before = wall_clock().as_millis();
    let mut deployment = Deployment::start(&["booking"]).await;
    let call = || Call::get("booking", "/echo");
    let answer = deployment.send(call()).await;
    assert_eq!(answer.code(), Some(ResultCode::Answered));
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
