//! Pauses of the process, seen from late beats.

use std::time::Duration;

use wharfquay_core::time::Timestamp;
use wharfquay_daemon::pause::{AFTERMATH, PauseDetector, SHORTEST_PAUSE};

const fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

#[test]
fn regular_beats_are_no_pause() {
    let detector = PauseDetector::new(at(0));
    for beat in 1..100 {
        assert_eq!(detector.beat(at(beat * 20)), None);
        assert_eq!(detector.suspected_wait(at(beat * 20 + 15)), Duration::ZERO);
    }
}

/// Time of a question and the wait that is suspected then; beats stop at 40 ms and resume at 540 ms.
#[test]
fn a_pause_counts_for_what_is_read_during_and_after_it() {
    let detector = PauseDetector::new(at(0));
    detector.beat(at(20));
    detector.beat(at(40));
    assert_eq!(detector.suspected_wait(at(139)), Duration::ZERO);
    assert_eq!(detector.suspected_wait(at(140)), SHORTEST_PAUSE);
    assert_eq!(detector.suspected_wait(at(539)), Duration::from_millis(499));
    assert_eq!(detector.beat(at(540)), Some(Duration::from_millis(500)));
    assert_eq!(detector.suspected_wait(at(541)), Duration::from_millis(500));
    detector.beat(at(560));
    assert_eq!(detector.suspected_wait(at(589)), Duration::from_millis(500));
    assert_eq!(detector.suspected_wait(at(540) + AFTERMATH), Duration::ZERO);
}
