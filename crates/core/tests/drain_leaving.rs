//! Endpoints that are leaving, and the progress of a drain.

use std::time::Duration;

use wharfquay_core::drain::{DrainProgress, DrainState, LeavingSet, LeavingSource};
use wharfquay_core::routing::EndpointId;
use wharfquay_core::time::Timestamp;

use LeavingSource::{Announcement, HealthEndpoint, MachineList, Resource, Shutdown};

enum Update {
    Mark(u64, LeavingSource),
    Unmark(LeavingSource),
}

use Update::{Mark, Unmark};

#[test]
fn an_endpoint_is_leaving_until_a_new_incarnation_or_withdrawal_by_all() {
    // Name, updates in order, incarnation to query, whether it is leaving.
    #[rustfmt::skip]
    let cases: [(&str, &[Update], u64, bool); 16] = [
        ("no updates", &[], 1, false),
        ("one source is sufficient", &[Mark(1, MachineList)], 1, true),
        ("an earlier incarnation is covered", &[Mark(2, MachineList)], 1, true),
        ("a new incarnation is not leaving", &[Mark(1, MachineList)], 2, false),
        ("a new incarnation after a shutdown", &[Mark(1, Shutdown)], 2, false),
        ("withdrawn by its source", &[Mark(1, Resource), Unmark(Resource)], 1, false),
        ("another source's withdrawal", &[Mark(1, Resource), Unmark(MachineList)], 1, true),
        ("two marks, one withdrawn", &[Mark(1, Resource), Mark(1, HealthEndpoint), Unmark(HealthEndpoint)], 1, true),
        ("all withdrawn", &[Mark(1, Resource), Mark(1, HealthEndpoint), Unmark(HealthEndpoint), Unmark(Resource)], 1, false),
        ("a shutdown can't be withdrawn", &[Mark(1, Shutdown), Unmark(Shutdown)], 1, true),
        ("a shutdown outlasts the others", &[Mark(1, Shutdown), Mark(1, Resource), Unmark(Resource)], 1, true),
        ("a late update on an old incarnation", &[Mark(3, MachineList), Mark(1, MachineList)], 3, true),
        ("old shutdown, new mark withdrawn", &[Mark(1, Shutdown), Mark(2, Resource), Unmark(Resource)], 2, false),
        ("an announcement outlasts a healthy report", &[Mark(1, Announcement), Unmark(HealthEndpoint)], 1, true),
        ("a withdrawn announcement", &[Mark(1, Announcement), Unmark(Announcement)], 1, false),
        ("marked again", &[Mark(1, Resource), Unmark(Resource), Mark(1, Resource)], 1, true),
    ];
    let endpoint = EndpointId::from("slot-1");
    for (name, updates, incarnation, leaving) in cases {
        let mut set = LeavingSet::new();
        for item in updates {
            match item {
                Mark(incarnation, source) => {
                    set.mark(&endpoint, *incarnation, *source);
                }
                Unmark(source) => set.unmark(&endpoint, *source),
            }
        }
        assert_eq!(set.is_leaving(&endpoint, incarnation), leaving, "{name}");
        assert!(
            !set.is_leaving(&EndpointId::from("slot-2"), incarnation),
            "{name}"
        );
    }
}

#[test]
fn a_repeated_mark_is_not_new() {
    let endpoint = EndpointId::from("slot-1");
    let mut set = LeavingSet::new();
    assert!(set.mark(&endpoint, 1, MachineList));
    assert!(!set.mark(&endpoint, 1, MachineList));
    assert!(!set.mark(&endpoint, 1, Shutdown));
    assert!(set.mark(&endpoint, 2, Resource));
    let sources: Vec<LeavingSource> = set.sources(&endpoint, 1).collect();
    assert_eq!(sources, [Resource, MachineList, Shutdown]);
    let listed: Vec<(&EndpointId, u64)> = set.endpoints().collect();
    assert_eq!(listed, [(&endpoint, 2)]);
    set.remove(&endpoint);
    assert!(!set.is_leaving(&endpoint, 1));
}

#[test]
fn a_drain_lasts_until_the_last_call_or_the_limit() {
    let start = Timestamp::from_millis(1_000);
    let limit = Duration::from_millis(300);
    let draining = |in_flight, millis| DrainState::Draining {
        in_flight,
        remaining: Duration::from_millis(millis),
    };
    // Calls in flight, completed calls, time, state.
    let cases = [
        (0, 0, 1_000, DrainState::Finished),
        (2, 0, 1_000, draining(2, 300)),
        (2, 1, 1_299, draining(1, 1)),
        (2, 1, 1_300, DrainState::PastLimit { in_flight: 1 }),
        (2, 2, 1_100, DrainState::Finished),
        (2, 2, 9_000, DrainState::Finished),
        (1, 5, 1_100, DrainState::Finished),
    ];
    for (in_flight, completed, now, expected) in cases {
        let mut progress = DrainProgress::begin(start, limit, in_flight);
        (0..completed).for_each(|_| progress.call_completed());
        let state = progress.state(Timestamp::from_millis(now));
        assert_eq!(
            state, expected,
            "{in_flight} in flight, {completed} completed, at {now}"
        );
    }
}
