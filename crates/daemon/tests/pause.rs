//! Tests of the detection of process pauses by late ticks.

use std::time::Duration;

use wharfquay_core::time::Timestamp;
use wharfquay_daemon::pause::{MIN_PAUSE, POST_PAUSE_WINDOW, PauseDetector};

const fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

#[test]
fn regular_ticks_are_no_pause() {
    let detector = PauseDetector::new(at(0));
    for tick in 1..100 {
        assert_eq!(detector.tick(at(tick * 20)), None);
        assert_eq!(detector.possible_wait(at(tick * 20 + 15)), Duration::ZERO);
    }
}

/// Ticks stop at 40 ms and resume at 540 ms; the possible wait is checked at several times.
#[test]
fn a_pause_counts_for_what_is_read_during_and_after_it() {
    let detector = PauseDetector::new(at(0));
    detector.tick(at(20));
    detector.tick(at(40));
    assert_eq!(detector.possible_wait(at(139)), Duration::ZERO);
    assert_eq!(detector.possible_wait(at(140)), MIN_PAUSE);
    assert_eq!(detector.possible_wait(at(539)), Duration::from_millis(499));
    assert_eq!(detector.tick(at(540)), Some(Duration::from_millis(500)));
    assert_eq!(detector.possible_wait(at(541)), Duration::from_millis(500));
    detector.tick(at(560));
    assert_eq!(detector.possible_wait(at(589)), Duration::from_millis(500));
    assert_eq!(
        detector.possible_wait(at(540) + POST_PAUSE_WINDOW),
        Duration::ZERO
    );
}
