//! A back end that starts again under its name: what holds for one start says nothing of another.

mod support;

use std::sync::Arc;
use std::time::Duration;

use support::client::{call, request};
use support::platform::StandInPlatform;
use support::{Machine, configuration, route};
use wharfquay_core::idempotency::clock::UnixMillis;
use wharfquay_core::time::Timestamp;
use wharfquay_sidecar::instance::{
    Acknowledgement, Heartbeat, InstanceId, InstanceStatus, InstanceTracker, ReportedState,
    TrackerDecision,
};

const NOW: Timestamp = Timestamp::ZERO;

fn start(born: u64) -> InstanceId {
    InstanceId::new("i-1", Some(UnixMillis::new(born)))
}

fn heartbeat(instance: &InstanceId, state: ReportedState, sequence: u64) -> Heartbeat {
    Heartbeat {
        instance: instance.clone(),
        state,
        sequence,
        slots: 4,
        cold_left: Duration::ZERO,
    }
}

fn ready(instance: &InstanceId, sequence: u64) -> Heartbeat {
    heartbeat(instance, ReportedState::Ready, sequence)
}

/// A tracker in which a start serves that has sent many heartbeats.
fn serving(instance: &InstanceId) -> InstanceTracker {
    let mut tracker = InstanceTracker::default();
    let decision = tracker.heartbeat(NOW, &ready(instance, 90));
    assert_eq!(decision, TrackerDecision::Verify);
    assert!(tracker.mark_verified(NOW, instance));
    tracker
}

#[test]
fn a_later_start_takes_over_though_its_counts_begin_anew() {
    let mut tracker = serving(&start(1_000));
    assert_eq!(
        tracker.replace_earlier(NOW, &start(2_000)),
        Some(start(1_000))
    );
    let decision = tracker.heartbeat(NOW, &ready(&start(2_000), 1));
    assert_eq!(decision, TrackerDecision::Verify);
    assert_eq!(tracker.current(), None, "not before it is verified");
    assert!(tracker.mark_verified(NOW, &start(2_000)));
    assert_eq!(tracker.current(), Some(&start(2_000)));
    let decision = tracker.heartbeat(NOW, &ready(&start(2_000), 2));
    assert_eq!(decision, TrackerDecision::Acknowledge);
}

#[test]
fn an_acknowledged_leaving_does_not_bind_a_later_start_nor_the_other_way_round() {
    let mut tracker = serving(&start(1_000));
    let leaving = heartbeat(&start(1_000), ReportedState::Draining, 91);
    assert_eq!(
        tracker.heartbeat(NOW, &leaving),
        TrackerDecision::RecordDeparture
    );
    tracker.mark_departure_recorded(NOW, &start(1_000));
    tracker.heartbeat(NOW, &ready(&start(2_000), 1));
    assert!(tracker.mark_verified(NOW, &start(2_000)));
    assert_eq!(tracker.status(&start(2_000)), InstanceStatus::Serving);
    assert_eq!(tracker.status(&start(1_000)), InstanceStatus::Leaving);
}

#[test]
fn what_still_arrives_from_an_earlier_start_changes_nothing() {
    let mut tracker = serving(&start(2_000));
    let before = format!("{tracker:?}");
    let late = [
        ready(&start(1_000), 500),
        heartbeat(&start(1_000), ReportedState::Draining, 501),
    ];
    for heartbeat in &late {
        assert_eq!(
            tracker.heartbeat(NOW, heartbeat),
            TrackerDecision::Acknowledge
        );
    }
    assert_eq!(
        tracker.departure(NOW, &start(1_000)),
        TrackerDecision::Acknowledge
    );
    tracker.mark_departure_recorded(NOW, &start(1_000));
    assert!(!tracker.mark_verified(NOW, &start(1_000)));
    assert_eq!(format!("{tracker:?}"), before);
}

#[test]
fn a_late_heartbeat_of_an_earlier_back_end_at_the_address_gets_it_no_work() {
    let mut tracker = serving(&start(2_000));
    let earlier = InstanceId::new("i-0", Some(UnixMillis::new(1_000)));
    let decision = tracker.heartbeat(NOW, &ready(&earlier, 7));
    assert_eq!(decision, TrackerDecision::Acknowledge);
    assert!(!tracker.mark_verified(NOW, &earlier));
    assert_eq!(tracker.current(), Some(&start(2_000)));
}

#[test]
fn a_start_that_was_only_seen_healthy_is_the_one_that_speaks_then() {
    let mut tracker = InstanceTracker::default();
    let seen = InstanceId::from("i-1");
    assert!(tracker.observe_healthy(NOW, &seen));
    assert!(tracker.mark_verified(NOW, &seen));
    assert_eq!(tracker.replace_earlier(NOW, &start(1_000)), None);
    let decision = tracker.heartbeat(NOW, &ready(&start(1_000), 1));
    assert_eq!(decision, TrackerDecision::Acknowledge);
    assert_eq!(tracker.current(), Some(&start(1_000)));
    assert_eq!(tracker.slots(&start(1_000)), Some(4));
}

#[test]
fn a_message_that_tells_no_start_is_refused_where_others_do() {
    let mut tracker = serving(&start(1_000));
    let foreign = ready(&InstanceId::from("i-1"), 100);
    assert_eq!(tracker.heartbeat(NOW, &foreign), TrackerDecision::Refuse);
    assert_eq!(tracker.current(), Some(&start(1_000)));
}

#[test]
fn what_is_found_out_of_a_start_that_is_not_told_says_nothing_of_one_that_is() {
    let seen = InstanceId::from("i-1");
    let mut tracker = InstanceTracker::default();
    assert!(tracker.observe_healthy(NOW, &seen));
    assert!(!tracker.lacks_start_time(&seen));
    tracker.heartbeat(NOW, &ready(&start(2_000), 1));
    assert!(tracker.lacks_start_time(&seen));
    assert!(!tracker.lacks_start_time(&start(2_000)));
}

#[tokio::test]
async fn a_back_end_that_lives_again_serves_after_its_earlier_start_left() {
    let configuration = configuration(1, vec![route("/reads/", "shelf", true)]);
    let platform = Arc::new(StandInPlatform::new(Some(configuration)));
    let machine = Machine::start_silent(&platform, "machine-a", "shelf").await;
    let id = |born| InstanceId::new("machine-a-1", Some(UnixMillis::new(born)));
    let sidecar = &machine.sidecar;
    for sequence in 1..4 {
        sidecar.heartbeat(&ready(&id(1_000), sequence)).await;
    }
    machine.ready().await;
    let leaving = heartbeat(&id(1_000), ReportedState::Draining, 4);
    assert_eq!(sidecar.heartbeat(&leaving).await, Acknowledgement::Given);
    let refused = call(machine.outbound, &request("GET", "/reads/1", "id-1", "")).await;
    assert_eq!(refused.status, 503);

    let taken = sidecar.heartbeat(&ready(&id(2_000), 1)).await;
    assert_eq!(taken, Acknowledgement::Given);
    let end = std::time::Instant::now() + support::PATIENCE;
    let mut number = 1;
    loop {
        number += 1;
        let request = request("GET", "/reads/1", &format!("id-{number}"), "");
        if call(machine.outbound, &request).await.status == 200 {
            break;
        }
        assert!(std::time::Instant::now() < end, "never served again");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
