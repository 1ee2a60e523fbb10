//! A suspended machine: its monotonic clock and its timers stopped, while time passed for all
//! others.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use support::backend::Behaviour;
use support::client::{call, request};
use support::platform::EmulatedPlatform;
use support::tenants::{get_with_key, keyed_requests, result, serving_machine, tenant, tenants};
use support::{MAX_WAIT, Machine, configuration, eventually, route};
use wharfquay_clock::since_boot;
use wharfquay_core::outcome::ResultCode;

/// Time within which a key revocation must take effect.
const REVOCATION: Duration = Duration::from_millis(3_000);
/// Longer than every lease and deadline in these tests.
const SUSPENSION: Duration = Duration::from_secs(6);
/// Time within which a process detects that it was suspended and acts on it.
const NOTICED_WITHIN: Duration = Duration::from_millis(600);

/// Defines a machine's time since boot, which is ahead of its monotonic clock by the time of its
/// suspension.
macro_rules! suspendable {
    ($name:ident, $suspended_ms:ident) => {
        static $suspended_ms: AtomicU64 = AtomicU64::new(0);
        fn $name() -> Duration {
            since_boot() + Duration::from_millis($suspended_ms.load(Ordering::Relaxed))
        }
    };
}

fn suspend(suspended_ms: &AtomicU64) {
    let millis = u64::try_from(SUSPENSION.as_millis()).unwrap();
    suspended_ms.fetch_add(millis, Ordering::Relaxed);
}

suspendable!(time_of_the_key, SUSPENDED_WITH_A_KEY);

#[tokio::test]
async fn a_key_revoked_during_a_suspension_stops_working() {
    let known = tenants(1, vec![tenant("acme", &["k-1"])]);
    let platform = Arc::new(EmulatedPlatform::new(Some(known)));
    let machine = serving_machine(&platform, "machine-a", |settings| {
        settings.bounds.key_revocation = Some(REVOCATION);
        settings.time_source = time_of_the_key;
    })
    .await;
    let end = Instant::now() + MAX_WAIT;
    while get_with_key(&machine, "before", "k-1").await.status != 200 {
        assert!(Instant::now() < end, "never served");
    }
    platform.set_down(true);
    platform.publish(tenants(2, vec![tenant("acme", &["k-2"])]));
    let ran = keyed_requests(&machine).len();
    suspend(&SUSPENDED_WITH_A_KEY);
    let response = get_with_key(&machine, "after", "k-1").await;
    let unconfirmed = ResultCode::ApiKeyUnconfirmed.number();
    assert_eq!(result(&response), Some(unconfirmed), "{}", response.head);
    assert_eq!(keyed_requests(&machine).len(), ran);
}

suspendable!(time_of_the_request, SUSPENDED_WITH_A_REQUEST);

#[tokio::test]
async fn a_request_whose_deadline_passed_during_a_suspension_is_answered_immediately() {
    let routes = vec![route("/reads/", "shelf", true)];
    let platform = Arc::new(EmulatedPlatform::new(Some(configuration(1, routes))));
    let mut machine = Machine::start_with_settings(&platform, "machine-a", "shelf", |settings| {
        settings.time_source = time_of_the_request;
    })
    .await;
    machine
        .send_heartbeat(wharfquay_sidecar::instance::ReportedState::Ready)
        .await;
    machine.ready().await;
    let read = |id: &str| request("GET", "/reads/1", id, "");
    let end = Instant::now() + MAX_WAIT;
    while call(machine.outbound, &read("up")).await.status != 200 {
        assert!(Instant::now() < end, "never served");
    }
    let before = machine.backend.executed().len();
    machine.backend.expect(&[Behaviour::Slow(MAX_WAIT)]);
    let suspending = async {
        eventually("the request is in execution", || {
            machine.backend.executed().len() > before
        })
        .await;
        suspend(&SUSPENDED_WITH_A_REQUEST);
        Instant::now()
    };
    let text = read("late");
    let (response, resumed_at) = tokio::join!(call(machine.outbound, &text), suspending);
    assert_eq!(response.status, 504, "{}", response.head);
    let took = resumed_at.elapsed();
    assert!(took <= NOTICED_WITHIN, "{took:?}");
}
