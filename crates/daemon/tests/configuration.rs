//! Tests that the configuration in force follows the platform despite faults and never returns to
//! an older revision.

mod support;

use serde_json::json;
use support::client::{self, Call};
use support::deployment::{Deployment, request_kind, service};
use wharfquay_core::outcome::ResultCode;
use wharfquay_resources::kinds::{Resource, Service};

async fn revision(deployment: &Deployment) -> u64 {
    let admin = deployment.edge.addresses().admin.unwrap();
    let status = client::send(admin, Call::get("admin", "/status")).await;
    let status: serde_json::Value = serde_json::from_str(&status.unwrap().text()).unwrap();
    status["revision"].as_u64().unwrap()
}

async fn wait_for_revision(deployment: &Deployment, wanted: u64) {
    support::eventually("the revision is in force", async || {
        revision(deployment).await == wanted
    })
    .await;
}

async fn code_of(deployment: &Deployment, path: &str) -> ResultCode {
    let mut call = Call::get("booking", path);
    call.method = http::Method::PUT;
    deployment.send(call).await.code().unwrap()
}

fn put_kind() -> Resource {
    request_kind("booking", "PUT", true)
}

#[tokio::test(flavor = "multi_thread")]
async fn writes_and_deletions_come_into_force() {
    let deployment = Deployment::start(&["booking"]).await;
    let platform = &deployment.platform;
    assert_eq!(
        code_of(&deployment, "/echo").await,
        ResultCode::UnknownService
    );
    platform.put(&put_kind());
    wait_for_revision(&deployment, platform.version()).await;
    assert_eq!(code_of(&deployment, "/echo").await, ResultCode::Answered);
    platform.delete("request_kind", "booking_put");
    wait_for_revision(&deployment, platform.version()).await;
    assert_eq!(
        code_of(&deployment, "/echo").await,
        ResultCode::UnknownService
    );
}

/// An invalid write must neither come into force nor remove the version in force.
#[tokio::test(flavor = "multi_thread")]
async fn an_invalid_write_leaves_the_last_good_version_in_force() {
    let specs = [
        json!({"name": "booking_get", "service": "booking", "priority": 99, "deadline_ms": 1}),
        json!({"name": "booking_get", "service": "nowhere", "priority": 1, "deadline_ms": 100}),
        json!({"name": "other", "service": "booking", "priority": 1, "deadline_ms": 100}),
        json!({"colour": "red"}),
        json!("no table at all"),
    ];
    let deployment = Deployment::start(&["booking"]).await;
    for spec in specs {
        deployment
            .platform
            .put_raw("request_kind", "booking_get", spec.clone());
        wait_for_revision(&deployment, deployment.platform.version()).await;
        let response = deployment.send(Call::get("booking", "/echo")).await;
        assert_eq!(response.code(), Some(ResultCode::Answered), "{spec}");
    }
    deployment.platform.put_raw("colour", "red", json!({}));
    deployment.platform.put(&put_kind());
    wait_for_revision(&deployment, deployment.platform.version()).await;
    assert_eq!(code_of(&deployment, "/echo").await, ResultCode::Answered);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unavailable_platform_changes_nothing_and_is_read_again_later() {
    let deployment = Deployment::start(&["booking"]).await;
    let platform = &deployment.platform;
    platform.set_down(true);
    for _ in 0..20 {
        let response = deployment.send(Call::post("booking", "/echo", "x")).await;
        assert_eq!(response.code(), Some(ResultCode::Answered));
    }
    platform.put(&put_kind());
    platform.set_down(false);
    wait_for_revision(&deployment, platform.version()).await;
    assert_eq!(code_of(&deployment, "/echo").await, ResultCode::Answered);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_missing_watch_event_is_recovered_by_a_list() {
    let deployment = Deployment::start(&["booking"]).await;
    let platform = &deployment.platform;
    platform.put_without_event(&put_kind());
    platform.put(&service("slot", &[]));
    wait_for_revision(&deployment, platform.version()).await;
    assert_eq!(code_of(&deployment, "/echo").await, ResultCode::Answered);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_store_restored_to_an_older_revision_is_ignored() {
    let deployment = Deployment::start(&["booking"]).await;
    let platform = &deployment.platform;
    let before = platform.version();
    platform.put(&put_kind());
    let newest = platform.version();
    wait_for_revision(&deployment, newest).await;
    platform.restore(before);
    for _ in 0..50 {
        assert_eq!(revision(&deployment).await, newest);
        assert_eq!(code_of(&deployment, "/echo").await, ResultCode::Answered);
    }
    for number in 0..3 {
        let Resource::Service(booking) = service("booking", &[]) else {
            unreachable!("a service was made");
        };
        platform.put(&Resource::Service(Service {
            queue_wait_ms: 100 + number,
            ..booking
        }));
    }
    wait_for_revision(&deployment, newest + 2).await;
}
