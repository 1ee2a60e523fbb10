//! Who callers are: keys, the tenant that back ends are told, and what is never passed on.

mod support;

use std::sync::Arc;

use support::client::Answer;
use support::platform::StandInPlatform;
use support::tenants::{get, keyed, result, serving, tenant, tenants};
use support::{Machine, eventually};
use wharfquay_core::outcome::ResultCode;
use wharfquay_sidecar::configuration::{Configuration, ConfigurationError};
use wharfquay_sidecar::tenant::KeyDigest;

async fn machine(configuration: Configuration) -> (Arc<StandInPlatform>, Machine) {
    let platform = Arc::new(StandInPlatform::new(Some(configuration)));
    let machine = serving(&platform, "machine-a", |_| {}).await;
    (platform, machine)
}

fn assert_result(answer: &Answer, status: u16, code: ResultCode, case: &str) {
    assert_eq!(answer.status, status, "{case}: {}", answer.head);
    assert_eq!(
        result(answer),
        Some(code.number()),
        "{case}: {}",
        answer.head
    );
}

#[tokio::test]
async fn a_key_names_the_tenant_and_goes_no_further() {
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
        let before = machine.backend.seen().len();
        let answer = get(&machine, "/keyed/x", "id-1", headers).await;
        assert_eq!(answer.status, 200, "{headers}: {}", answer.head);
        let seen = machine.backend.seen().split_off(before);
        assert_eq!(seen[0].header("test-tenant"), Some(expected), "{headers}");
        assert_eq!(seen[0].header("authorization"), None, "{headers}");
    }
}

#[tokio::test]
async fn a_request_without_a_known_key_is_refused_and_does_not_run() {
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
        let answer = get(&machine, "/keyed/x", "id-1", headers).await;
        assert_result(&answer, 401, ResultCode::UnknownApiKey, headers);
    }
    assert_eq!(keyed(&machine).len(), 0);
}

#[tokio::test]
async fn a_public_route_asks_for_no_key_and_names_no_tenant() {
    let (_platform, machine) = machine(tenants(1, vec![tenant("acme", &["k-1"])])).await;
    for headers in ["", "test-tenant: acme\r\n", "Authorization: Bearer k-9\r\n"] {
        let answer = get(&machine, "/open/x", "id-1", headers).await;
        assert_eq!(answer.status, 200, "{headers}: {}", answer.head);
    }
    for seen in machine.backend.seen() {
        assert_eq!(seen.header("test-tenant"), None);
        assert_eq!(seen.header("authorization"), None);
    }
}

#[tokio::test]
async fn without_tenants_the_header_of_a_caller_is_passed_on() {
    let (_platform, machine) = machine(tenants(1, Vec::new())).await;
    let headers = "Authorization: Bearer own\r\n";
    let answer = get(&machine, "/keyed/x", "id-1", headers).await;
    assert_eq!(answer.status, 200, "{}", answer.head);
    let seen = keyed(&machine);
    assert_eq!(seen[0].header("authorization"), Some("Bearer own"));
}

#[tokio::test]
async fn a_call_that_claims_an_execution_which_is_not_open_is_no_way_around_the_key() {
    let (_platform, machine) = machine(tenants(1, vec![tenant("acme", &["k-1"])])).await;
    let answer = get(&machine, "/keyed/x", "made-up.1", "").await;
    assert_result(&answer, 503, ResultCode::OriginNotOpen, "no key");
    assert!(answer.header("retry-after").is_some());
    assert_eq!(keyed(&machine).len(), 0);
}

#[tokio::test]
async fn a_key_that_moves_to_another_tenant_names_that_one_from_then_on() {
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
    let answer = get(
        &machine,
        "/keyed/x",
        "id-1",
        "Authorization: Bearer k-1\r\n",
    )
    .await;
    assert_eq!(answer.status, 200, "{}", answer.head);
    let seen = keyed(&machine);
    assert_eq!(seen[0].header("test-tenant"), Some("other"));
    let answer = get(
        &machine,
        "/keyed/x",
        "id-2",
        "Authorization: Bearer k-2\r\n",
    )
    .await;
    assert_result(&answer, 401, ResultCode::UnknownApiKey, "taken away");
}

#[test]
fn tenants_that_cannot_be_told_apart_are_named() {
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
