//! Identification of callers by API keys, the tenant that backends receive, and headers that are
//! never forwarded.

mod support;

use std::sync::Arc;

use support::client::Response;
use support::platform::EmulatedPlatform;
use support::tenants::{get, keyed_requests, result, serving_machine, tenant, tenants};
use support::{Machine, eventually};
use wharfquay_core::outcome::ResultCode;
use wharfquay_sidecar::configuration::{Configuration, ConfigurationError};
use wharfquay_sidecar::tenant::KeyDigest;

async fn machine(configuration: Configuration) -> (Arc<EmulatedPlatform>, Machine) {
    let platform = Arc::new(EmulatedPlatform::new(Some(configuration)));
    let machine = serving_machine(&platform, "machine-a", |_| {}).await;
    (platform, machine)
}

fn assert_result(response: &Response, status: u16, code: ResultCode, case: &str) {
    assert_eq!(response.status, status, "{case}: {}", response.head);
    assert_eq!(
        result(response),
        Some(code.number()),
        "{case}: {}",
        response.head
    );
}

#[tokio::test]
async fn a_key_identifies_the_tenant_and_is_not_forwarded() {
    let known = vec![tenant("acme", &["k-1", "k-2"]), tenant("other", &["k-3"])];
    let (_platform, machine) = machine(tenants(1, known)).await;
    let cases = [
        ("Authorization: Bearer k-1\r\n", "acme"),
        ("authorization: bearer   k-2 \r\n", "acme"),
        (
            "Authorization: Bearer k-3\r\ntest-tenant: acme\r\n",
            "other",
        ),
    ];
    for (headers, expected) in cases {
        let before = machine.backend.executed().len();
        let response = get(&machine, "/keyed/x", "id-1", headers).await;
        assert_eq!(response.status, 200, "{headers}: {}", response.head);
        let executed = machine.backend.executed().split_off(before);
        assert_eq!(
            executed[0].header("test-tenant"),
            Some(expected),
            "{headers}"
        );
        assert_eq!(executed[0].header("authorization"), None, "{headers}");
    }
}

#[tokio::test]
async fn a_request_without_a_known_key_is_refused_and_not_executed() {
    let (_platform, machine) = machine(tenants(1, vec![tenant("acme", &["k-1"])])).await;
    let long = format!("Authorization: Bearer {}\r\n", "x".repeat(8_000));
    let cases = [
        "",
        "Authorization: Bearer k-9\r\n",
        "Authorization: Bearer \r\n",
        "Authorization: Bearer\r\n",
        "Authorization: Basic k-1\r\n",
        "Authorization: k-1\r\n",
        "Authorization: B\u{e9}arer k-1\r\n",
        "Authorization: Bearer k-1\r\nAuthorization: Bearer k-1\r\n",
        "Authorization: Bearer k-1 k-1\r\n",
        "test-tenant: acme\r\n",
        &long,
    ];
    for headers in cases {
        let response = get(&machine, "/keyed/x", "id-1", headers).await;
        assert_result(&response, 401, ResultCode::UnknownApiKey, headers);
    }
    assert_eq!(keyed_requests(&machine).len(), 0);
}

#[tokio::test]
async fn a_public_route_requires_no_key_and_sets_no_tenant() {
    let (_platform, machine) = machine(tenants(1, vec![tenant("acme", &["k-1"])])).await;
    for headers in ["", "test-tenant: acme\r\n", "Authorization: Bearer k-9\r\n"] {
        let response = get(&machine, "/open/x", "id-1", headers).await;
        assert_eq!(response.status, 200, "{headers}: {}", response.head);
    }
    for executed in machine.backend.executed() {
        assert_eq!(executed.header("test-tenant"), None);
        assert_eq!(executed.header("authorization"), None);
    }
}

#[tokio::test]
async fn without_tenants_the_authorization_header_is_forwarded() {
    let (_platform, machine) = machine(tenants(1, Vec::new())).await;
    let headers = "Authorization: Bearer own\r\n";
    let response = get(&machine, "/keyed/x", "id-1", headers).await;
    assert_eq!(response.status, 200, "{}", response.head);
    let executed = keyed_requests(&machine);
    assert_eq!(executed[0].header("authorization"), Some("Bearer own"));
}

#[tokio::test]
async fn a_call_with_a_forged_parent_does_not_bypass_the_key_check() {
    let (_platform, machine) = machine(tenants(1, vec![tenant("acme", &["k-1"])])).await;
    let response = get(&machine, "/keyed/x", "made-up.1", "").await;
    assert_result(&response, 503, ResultCode::OriginNotOpen, "no key");
    assert!(response.header("retry-after").is_some());
    assert_eq!(keyed_requests(&machine).len(), 0);
}

#[tokio::test]
async fn a_key_moved_to_another_tenant_identifies_the_new_tenant() {
    let first = tenants(1, vec![tenant("acme", &["k-1"]), tenant("other", &["k-2"])]);
    let (platform, machine) = machine(first).await;
    platform.publish(tenants(
        2,
        vec![tenant("acme", &["k-3"]), tenant("other", &["k-1"])],
    ));
    eventually("version 2 is in force", || {
        let metrics = machine.sidecar.metrics_text();
        metrics.contains("wharfquay_configuration_version 2")
    })
    .await;
    let response = get(
        &machine,
        "/keyed/x",
        "id-1",
        "Authorization: Bearer k-1\r\n",
    )
    .await;
    assert_eq!(response.status, 200, "{}", response.head);
    let executed = keyed_requests(&machine);
    assert_eq!(executed[0].header("test-tenant"), Some("other"));
    let response = get(
        &machine,
        "/keyed/x",
        "id-2",
        "Authorization: Bearer k-2\r\n",
    )
    .await;
    assert_result(&response, 401, ResultCode::UnknownApiKey, "revoked key");
}

#[test]
fn tenants_that_cannot_be_distinguished_are_reported() {
    let known = vec![
        tenant("acme", &["k-1"]),
        tenant("other", &["k-2", "k-1"]),
        tenant("line\nbreak", &[]),
        tenant("", &[]),
    ];
    let problems: Vec<ConfigurationError> = tenants(1, known).problems().collect();
    let expected = [
        ConfigurationError::SharedKey {
            tenant: "other".to_owned(),
            owner: "acme".to_owned(),
        },
        ConfigurationError::TenantName {
            tenant: "line\nbreak".to_owned(),
        },
        ConfigurationError::TenantName {
            tenant: String::new(),
        },
    ];
    assert_eq!(problems, expected);
}

#[test]
fn a_digest_shows_a_short_fingerprint_only() {
    let digest = KeyDigest::of(b"secret");
    let text = format!("{digest} {digest:?}");
    assert_eq!(digest.to_string().len(), 8);
    assert!(!text.contains("secret"));
}

#[tokio::test]
async fn requests_are_counted_by_tenant_and_no_metric_shows_a_key() {
    let known = vec![tenant("acme", &["secret-1"])];
    let (_platform, machine) = machine(tenants(1, known)).await;
    for _ in 0..3 {
        get(
            &machine,
            "/keyed/x",
            "id-1",
            "Authorization: Bearer secret-1\r\n",
        )
        .await;
    }
    let metrics = machine.sidecar.metrics_text();
    let counted = "wharfquay_tenant_requests_total{result=\"Answered\",tenant=\"acme\"} 3";
    assert!(metrics.contains(counted), "{metrics}");
    assert!(!metrics.contains("secret-1"));
}
