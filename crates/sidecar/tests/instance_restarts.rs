//! A backend that starts again under the same name: the state of one instance does not apply to
//! another.

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use support::client::{call, new_request_id, request};
use support::platform::EmulatedPlatform;
use support::{MAX_WAIT, Machine, configuration, route};
use wharfquay_core::idempotency::clock::UnixMillis;
use wharfquay_core::time::Timestamp;
use wharfquay_sidecar::instance::{
    Acknowledgement, Heartbeat, InstanceId, InstanceStatus, InstanceTracker, ReportedState,
    TrackerDecision,
};

const NOW: Timestamp = Timestamp::ZERO;
/// Time in which a message takes effect.
const SETTLING_TIME: Duration = Duration::from_millis(100);

fn start(started_at_ms: u64) -> InstanceId {
    InstanceId::new("i-1", Some(UnixMillis::new(started_at_ms)))
}

fn heartbeat(instance: &InstanceId, state: ReportedState, sequence: u64) -> Heartbeat {
    Heartbeat {
        instance: instance.clone(),
        state,
        sequence,
        slots: 4,
        warm_up_left: Duration::ZERO,
    }
}

fn ready(instance: &InstanceId, sequence: u64) -> Heartbeat {
    heartbeat(instance, ReportedState::Ready, sequence)
}

/// Returns a tracker in which the instance serves and has sent many heartbeats.
fn serving(instance: &InstanceId) -> InstanceTracker {
    let mut tracker = InstanceTracker::default();
    let decision = tracker.heartbeat(NOW, &ready(instance, 90));
    assert_eq!(decision, TrackerDecision::Verify);
    assert!(tracker.mark_verified(NOW, instance));
    tracker
}

#[test]
fn a_later_instance_replaces_an_earlier_one_despite_lower_sequences() {
    let mut tracker = serving(&start(1_000));
    assert_eq!(
        tracker.replace_earlier(NOW, &start(2_000)),
        Some(start(1_000))
    );
    let decision = tracker.heartbeat(NOW, &ready(&start(2_000), 1));
    assert_eq!(decision, TrackerDecision::Verify);
    assert_eq!(tracker.current(), None, "the instance is not verified yet");
    assert!(tracker.mark_verified(NOW, &start(2_000)));
    assert_eq!(tracker.current(), Some(&start(2_000)));
    let decision = tracker.heartbeat(NOW, &ready(&start(2_000), 2));
    assert_eq!(decision, TrackerDecision::Acknowledge);
}

#[test]
fn a_departure_does_not_affect_a_later_instance_and_vice_versa() {
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
fn late_messages_of_an_earlier_instance_have_no_effect() {
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
fn a_late_heartbeat_of_a_replaced_backend_does_not_make_it_serve() {
    let mut tracker = serving(&start(2_000));
    let earlier = InstanceId::new("i-0", Some(UnixMillis::new(1_000)));
    let decision = tracker.heartbeat(NOW, &ready(&earlier, 7));
    assert_eq!(decision, TrackerDecision::Acknowledge);
    assert!(!tracker.mark_verified(NOW, &earlier));
    assert_eq!(tracker.current(), Some(&start(2_000)));
}

#[test]
fn an_instance_observed_by_health_is_identified_by_its_first_heartbeat() {
    let mut tracker = InstanceTracker::default();
    let observed = InstanceId::from("i-1");
    assert!(tracker.observe_healthy(NOW, &observed));
    assert!(tracker.mark_verified(NOW, &observed));
    assert_eq!(tracker.replace_earlier(NOW, &start(1_000)), None);
    let decision = tracker.heartbeat(NOW, &ready(&start(1_000), 1));
    assert_eq!(decision, TrackerDecision::Acknowledge);
    assert_eq!(tracker.current(), Some(&start(1_000)));
    assert_eq!(tracker.slots(&start(1_000)), Some(4));
}

#[test]
fn a_message_without_a_start_time_is_refused_if_others_have_one() {
    let mut tracker = serving(&start(1_000));
    let foreign = ready(&InstanceId::from("i-1"), 100);
    assert_eq!(tracker.heartbeat(NOW, &foreign), TrackerDecision::Refuse);
    assert_eq!(tracker.current(), Some(&start(1_000)));
}

#[test]
fn verification_without_a_start_time_does_not_apply_to_an_instance_with_one() {
    let observed = InstanceId::from("i-1");
    let mut tracker = InstanceTracker::default();
    assert!(tracker.observe_healthy(NOW, &observed));
    assert!(!tracker.lacks_known_start_time(&observed));
    tracker.heartbeat(NOW, &ready(&start(2_000), 1));
    assert!(tracker.lacks_known_start_time(&observed));
    assert!(!tracker.lacks_known_start_time(&start(2_000)));
}

#[tokio::test]
async fn a_restarted_backend_serves_after_its_earlier_instance_departed() {
    let configuration = configuration(1, vec![route("/reads/", "shelf", true)]);
    let platform = Arc::new(EmulatedPlatform::new(Some(configuration)));
    let machine = Machine::start_without_heartbeat(&platform, "machine-a", "shelf").await;
    let id = |started_at_ms| InstanceId::new("machine-a-1", Some(UnixMillis::new(started_at_ms)));
    let sidecar = &machine.sidecar;
    for sequence in 1..4 {
        sidecar.heartbeat(&ready(&id(1_000), sequence)).await;
    }
    machine.ready().await;
    let leaving = heartbeat(&id(1_000), ReportedState::Draining, 4);
    assert_eq!(
        sidecar.heartbeat(&leaving).await,
        Acknowledgement::Acknowledged
    );
    let refused = call(machine.outbound, &request("GET", "/reads/1", "id-1", "")).await;
    assert_eq!(refused.status, 503);

    let acknowledgement = sidecar.heartbeat(&ready(&id(2_000), 1)).await;
    assert_eq!(acknowledgement, Acknowledgement::Acknowledged);
    let end = std::time::Instant::now() + support::MAX_WAIT;
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

/// Guards against a heartbeat that arrives after its sender has ended and takes the work from the
/// instance that now serves at the address, until that one refuses it.
#[tokio::test]
async fn late_heartbeats_of_an_ended_instance_do_not_take_work_from_its_successor() {
    let (ended, successor) = ("machine-a-1", "machine-a-2");
    let orders: [&[(&str, ReportedState, u64)]; 4] = [
        &[(ended, ReportedState::Ready, 7)],
        &[
            (ended, ReportedState::Ready, 7),
            (ended, ReportedState::Ready, 7),
        ],
        &[
            (ended, ReportedState::Ready, 8),
            (successor, ReportedState::Ready, 3),
            (ended, ReportedState::Ready, 7),
        ],
        &[
            (ended, ReportedState::Draining, 9),
            (ended, ReportedState::Ready, 8),
        ],
    ];
    for order in orders {
        let routes = configuration(1, vec![route("/shelf/", "shelf", true)]);
        let platform = Arc::new(EmulatedPlatform::new(Some(routes)));
        let mut machine = Machine::start(&platform, "machine-a", "shelf").await;
        machine.ready().await;
        served_again(&machine).await;
        machine.backend.replace(successor);
        machine.send_heartbeat(ReportedState::Ready).await;
        served_again(&machine).await;
        for (instance, state, sequence) in order {
            let late = heartbeat(&InstanceId::from(*instance), *state, *sequence);
            machine.sidecar.heartbeat(&late).await;
            tokio::time::sleep(SETTLING_TIME).await;
            let text = request("GET", "/shelf/1", &new_request_id(), "");
            let response = call(machine.outbound, &text).await;
            assert_eq!(response.status, 200, "{order:?}: {}", response.text());
        }
    }
}

/// Waits until the backend's current instance serves requests.
async fn served_again(machine: &Machine) {
    let end = Instant::now() + MAX_WAIT;
    loop {
        let text = request("GET", "/shelf/1", &new_request_id(), "");
        if call(machine.outbound, &text).await.status == 200 {
            return;
        }
        assert!(Instant::now() < end, "never served again");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
