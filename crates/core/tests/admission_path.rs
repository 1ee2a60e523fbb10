//! Levels received from callees: kept per request kind, median of the fresh levels, reopening with
//! time.

use std::time::Duration;

use wharfquay_core::admission::{PathLevels, level_below};
use wharfquay_core::priority::{AdmissionKey, AdmissionLevel, Priority, Rank};
use wharfquay_core::time::Timestamp;

const HALF: AdmissionLevel = AdmissionLevel::new(16_384);
const NOW: Timestamp = Timestamp::from_millis(10_000);

fn key(priority: u8) -> AdmissionKey {
    let priority = Priority::new(priority).expect("in range");
    AdmissionKey::new(priority, Rank::from_number(0))
}

#[test]
fn a_level_applies_only_to_its_service_and_request_kind() {
    let mut levels = PathLevels::new();
    levels.observe(NOW, "record", "export", AdmissionLevel::CLOSED);
    let cases = [
        ("record", "export", AdmissionLevel::CLOSED),
        ("record", "book", AdmissionLevel::OPEN),
        ("slot", "export", AdmissionLevel::OPEN),
    ];
    for (service, kind, expected) in cases {
        assert_eq!(
            levels.level(NOW, service, kind),
            expected,
            "{service} {kind}"
        );
    }
}

/// Guards against one endpoint deciding for all, be it an unloaded one or a partitioned one.
#[test]
fn the_median_of_fresh_levels_applies() {
    let closed = AdmissionLevel::CLOSED;
    let open = AdmissionLevel::OPEN;
    let stale = NOW + Duration::from_millis(150);
    // Levels reported by three backends, time of the third report, resulting level at that time.
    let cases = [
        ([closed, HALF, open], NOW, HALF),
        ([open, closed, HALF], NOW, HALF),
        ([HALF, HALF, open], NOW, HALF),
        ([HALF, open, closed], stale, closed),
    ];
    for (reported, at, expected) in cases {
        let mut levels = PathLevels::new();
        levels.observe_from(NOW, "record", "record-0", "book", reported[0]);
        levels.observe_from(NOW, "record", "record-1", "book", reported[1]);
        levels.observe_from(at, "record", "record-2", "book", reported[2]);
        assert_eq!(levels.level(at, "record", "book"), expected, "{reported:?}");
    }
}

#[test]
fn a_level_that_is_not_received_again_reopens_gradually() {
    let mut levels = PathLevels::new();
    levels.observe(NOW, "record", "book", AdmissionLevel::CLOSED);
    let mut last = AdmissionLevel::CLOSED;
    for millis in (0..=1_200).step_by(50) {
        let level = levels.level(NOW + Duration::from_millis(millis), "record", "book");
        assert!(level >= last, "closes again after {millis} ms");
        last = level;
    }
    assert_eq!(last, AdmissionLevel::OPEN);
}

#[test]
fn refusals_follow_priority_and_carry_retry_after_with_jitter() {
    let mut levels = PathLevels::new();
    levels.observe(NOW, "record", "book", HALF);
    let mut retry_afters = Vec::new();
    for priority in 0..8 {
        let admitted = levels.admits(NOW, "record", "book", key(priority));
        assert_eq!(admitted.is_ok(), priority < 4, "priority {priority}");
        retry_afters.extend(admitted.err().map(|refusal| refusal.retry_after));
    }
    assert!(
        retry_afters
            .iter()
            .all(|after| *after >= Duration::from_millis(200))
    );
    retry_afters.dedup();
    assert_eq!(retry_afters.len(), 4, "Retry-After has jitter");
}

/// Derives the level of the path below a backend from the levels in the backend's response.
#[test]
fn the_level_below_is_known_unless_the_backend_is_strictest() {
    let open = AdmissionLevel::OPEN;
    let level = AdmissionLevel::new;
    let cases = [
        (open, open, Some(open)),
        (open, level(7), Some(level(7))),
        (level(9), level(7), Some(level(7))),
        (level(7), level(7), None),
        (AdmissionLevel::CLOSED, AdmissionLevel::CLOSED, None),
    ];
    for (own, folded, expected) in cases {
        assert_eq!(level_below(own, folded), expected, "{own:?} {folded:?}");
    }
}
