//! The rate limit of a tenant holds over all sidecars together.

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use support::backend::Behaviour;
use support::platform::EmulatedPlatform;
use support::tenants::{
    get_with_key, keyed_requests, limited, result, serving_machine, tenant, tenants,
};
use support::{Machine, eventually};
use wharfquay_core::outcome::ResultCode;
use wharfquay_sidecar::settings::Settings;
use wharfquay_sidecar::tenant::Tenant;

const RATE: f64 = 40.0;
const BURST: f64 = 12.0;

async fn machines(known: Vec<Tenant>, first_start: bool) -> (Arc<EmulatedPlatform>, Vec<Machine>) {
    let platform = Arc::new(EmulatedPlatform::new(Some(tenants(1, known))));
    let adjust = |settings: &mut Settings| settings.is_first_start = first_start;
    let mut machines = Vec::new();
    for name in ["machine-a", "machine-b", "machine-c"] {
        machines.push(serving_machine(&platform, name, adjust).await);
    }
    for machine in &machines {
        eventually("the sidecars have discovered each other", || {
            let metrics = machine.sidecar.metrics_text();
            metrics.contains("wharfquay_members{state=\"alive\"} 3")
        })
        .await;
    }
    (platform, machines)
}

fn executed_calls(machines: &[Machine]) -> usize {
    machines
        .iter()
        .map(|machine| keyed_requests(machine).len())
        .sum()
}

/// Sends requests at every machine for a while, far more than the limit. Returns how many were
/// refused.
async fn overload(machines: &[Machine], duration: Duration) -> usize {
    let end = Instant::now() + duration;
    let senders = machines.iter().map(|machine| async move {
        let mut refused = 0;
        while Instant::now() < end {
            let response = get_with_key(machine, "id", "k-1").await;
            match response.status {
                200 => {}
                429 => {
                    refused += 1;
                    assert_eq!(result(&response), Some(ResultCode::OverQuota.number()));
                    assert!(
                        response.header("retry-after").is_some(),
                        "{}",
                        response.head
                    );
                }
                _ => panic!("{}", response.head),
            }
        }
        refused
    });
    let mut refused = 0;
    for sender in senders.collect::<Vec<_>>() {
        refused += sender.await;
    }
    refused
}

#[tokio::test]
async fn a_limit_is_used_and_not_exceeded_by_all_sidecars_together() {
    const LASTS: Duration = Duration::from_secs(2);
    let (_platform, machines) = machines(vec![limited("acme", &["k-1"], RATE, BURST)], true).await;
    let started = Instant::now();
    let refused = overload(&machines, LASTS).await;
    let lasted = started.elapsed().as_secs_f64();
    assert!(refused > 0);
    let executed_calls = executed_calls(&machines) as f64;
    // Three machines own three quarters of the limit.
    assert!(
        executed_calls <= RATE * lasted + BURST + 4.0,
        "{executed_calls} in {lasted} s"
    );
    assert!(
        executed_calls >= 0.9 * 0.75 * RATE * lasted,
        "{executed_calls} in {lasted} s"
    );
}

#[tokio::test]
async fn a_lower_limit_takes_effect_soon() {
    let (platform, machines) = machines(vec![limited("acme", &["k-1"], 1e6, 1e6)], true).await;
    assert_eq!(
        overload(&machines[..1], Duration::from_millis(200)).await,
        0
    );
    platform.publish(tenants(2, vec![limited("acme", &["k-1"], 8.0, 4.0)]));
    for machine in &machines {
        eventually("version 2 is in force", || {
            let metrics = machine.sidecar.metrics_text();
            metrics.contains("wharfquay_configuration_version 2")
        })
        .await;
    }
    let before = executed_calls(&machines);
    assert!(overload(&machines, Duration::from_secs(1)).await > 0);
    let after = executed_calls(&machines) - before;
    assert!(after <= 20, "{after}");
}

#[tokio::test]
async fn tenants_without_a_limit_are_never_refused() {
    let (_platform, machines) = machines(vec![tenant("acme", &["k-1"])], true).await;
    assert_eq!(overload(&machines, Duration::from_millis(300)).await, 0);
}

#[tokio::test]
async fn a_restarted_deployment_starts_without_a_burst() {
    let (_platform, machines) = machines(vec![limited("acme", &["k-1"], 0.1, 400.0)], false).await;
    overload(&machines, Duration::from_millis(300)).await;
    let executed_calls = executed_calls(&machines);
    assert!(executed_calls <= 3, "{executed_calls}");
}

#[tokio::test]
async fn an_unexecuted_request_uses_no_token() {
    let known = vec![limited("acme", &["k-1"], 0.1, 8.0)];
    let platform = Arc::new(EmulatedPlatform::new(Some(tenants(1, known))));
    let machine = serving_machine(&platform, "machine-a", |settings| {
        settings.is_first_start = true
    })
    .await;
    machine.backend.expect(&[Behaviour::Refuse; 6]);
    let response = get_with_key(&machine, "refused", "k-1").await;
    assert_eq!(response.status, 503, "{}", response.head);
    machine.backend.expect(&[]);
    // One sidecar owns a quarter of the burst: two tokens, one of which was returned.
    let mut served = 0;
    for _ in 0..40 {
        served += usize::from(get_with_key(&machine, "id", "k-1").await.status == 200);
        if served == 2 {
            break;
        }
    }
    assert_eq!(served, 2);
}
