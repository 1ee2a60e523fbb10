//! A machine that was suspended: its steady clock and its timers stood still, and to everybody else that time passed.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use support::backend::Behaviour;
use support::client::{call, request};
use support::platform::StandInPlatform;
use support::tenants::{get_with_key, keyed, result, serving, tenant, tenants};
use support::{Machine, PATIENCE, configuration, eventually, route};
use wharfquay_clock::since_boot;
use wharfquay_core::outcome::ResultCode;

/// Time after which a key must not work.
const REVOCATION: Duration = Duration::from_millis(3_000);
/// Longer than every lease and deadline here.
const SUSPENSION: Duration = Duration::from_secs(6);
/// Time within which a process notices that it was suspended and acts on it.
const NOTICED_WITHIN: Duration = Duration::from_millis(600);

/// A machine's time since boot, ahead of its steady clock by what it was suspended for.
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
async fn a_key_that_was_taken_away_during_a_suspension_works_no_more_after_it() {
    let known = tenants(1, vec![tenant("acme", &["k-1"])]);
    let platform = Arc::new(StandInPlatform::new(Some(known)));
    let machine = serving(&platform, "machine-a", |settings| {
        settings.bounds.key_revocation = Some(REVOCATION);
        settings.time_source = time_of_the_key;
    })
    .await;
    let end = Instant::now() + PATIENCE;
    while get_with_key(&machine, "before", "k-1").await.status != 200 {
        assert!(Instant::now() < end, "never served");
    }
    platform.set_down(true);
    platform.publish(tenants(2, vec![tenant("acme", &["k-2"])]));
    let ran = keyed(&machine).len();
    suspend(&SUSPENDED_WITH_A_KEY);
    let answer = get_with_key(&machine, "after", "k-1").await;
    let unconfirmed = ResultCode::ApiKeyUnconfirmed.number();
    assert_eq!(result(&answer), Some(unconfirmed), "{}", answer.head);
    assert_eq!(keyed(&machine).len(), ran);
}

suspendable!(time_of_the_request, SUSPENDED_WITH_A_REQUEST);

#[tokio::test]
async fn a_request_whose_deadline_passed_during_a_suspension_is_answered_at_once() {
    let routes = vec![route("/reads/", "shelf", true)];
    let platform = Arc::new(StandInPlatform::new(Some(configuration(1, routes))));
    let mut machine = Machine::start_adjusted(&platform, "machine-a", "shelf", |settings| {
        settings.time_source = time_of_the_request;
    })
    .await;
    machine
        .beat(wharfquay_sidecar::instance::ReportedState::Ready)
        .await;
    machine.ready().await;
    let read = |id: &str| request("GET", "/reads/1", id, "");
    let end = Instant::now() + PATIENCE;
    while call(machine.outbound, &read("up")).await.status != 200 {
        assert!(Instant::now() < end, "never served");
    }
    let before = machine.backend.seen().len();
    machine.backend.expect(&[Behaviour::Slow(PATIENCE)]);
    let suspending = async {
        eventually("it runs", || machine.backend.seen().len() > before).await;
        suspend(&SUSPENDED_WITH_A_REQUEST);
        Instant::now()
    };
    let text = read("late");
    let (answer, resumed_at) = tokio::join!(call(machine.outbound, &text), suspending);
    assert_eq!(answer.status, 504, "{}", answer.head);
    let took = resumed_at.elapsed();
    assert!(took <= NOTICED_WITHIN, "{took:?}");
}
