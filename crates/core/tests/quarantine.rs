//! Requests that are quarantined, for any order of terminations and reports.

use std::time::Duration;

use proptest::prelude::*;
use wharfquay_core::quarantine::{
    EndLedger, EndedInstance, QUARANTINE_TIME, QuarantineReport, QuarantineTable, ReportedStanding,
    RequestEnd, RequestFingerprint, SUSPECT_TIME, Standing,
};
use wharfquay_core::time::Timestamp;

const REQUEST: RequestFingerprint = RequestFingerprint::new(7);

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_millis(seconds * 1_000)
}

fn end(instance: u64, was_isolated: bool) -> RequestEnd {
    RequestEnd {
        fingerprint: REQUEST,
        instance: EndedInstance::new(instance),
        was_isolated,
    }
}

fn report(standing: ReportedStanding) -> QuarantineReport {
    QuarantineReport {
        fingerprint: REQUEST,
        standing,
        age_ms: 0,
    }
}

#[test]
fn the_third_termination_quarantines_a_request_isolated_at_one() {
    let mut ledger = EndLedger::default();
    assert_eq!(ledger.note(at(0), end(1, false)), Standing::Unsuspected);
    assert_eq!(ledger.note(at(1), end(2, true)), Standing::Suspect);
    assert_eq!(ledger.note(at(2), end(3, false)), Standing::Quarantined);
}

#[test]
fn a_request_that_only_ran_concurrently_is_isolated_and_not_refused() {
    let mut ledger = EndLedger::default();
    for instance in 0..9 {
        ledger.note(at(instance), end(instance, false));
    }
    assert_eq!(ledger.note(at(9), end(9, false)), Standing::Suspect);
    assert_eq!(ledger.note(at(9), end(10, true)), Standing::Quarantined);
}

#[test]
fn a_termination_reported_again_counts_once() {
    let mut ledger = EndLedger::default();
    for _ in 0..5 {
        assert_eq!(ledger.note(at(0), end(1, true)), Standing::Unsuspected);
    }
    assert_eq!(ledger.note(at(0), end(2, true)), Standing::Suspect);
    assert_eq!(ledger.note(at(0), end(1, true)), Standing::Suspect);
}

#[test]
fn a_response_clears_the_count() {
    let mut ledger = EndLedger::default();
    ledger.note(at(0), end(1, true));
    ledger.note(at(0), end(2, true));
    ledger.answered(REQUEST);
    assert_eq!(ledger.note(at(1), end(3, true)), Standing::Unsuspected);
}

#[test]
fn a_quarantined_request_is_executed_again_after_its_time_at_the_cost_of_one_backend() {
    let mut ledger = EndLedger::default();
    let mut table = QuarantineTable::default();
    for instance in 0..3 {
        ledger.note(at(0), end(instance, true));
    }
    assert!(table.learn(at(0), report(ReportedStanding::Quarantined)));
    let last = Timestamp::ZERO + QUARANTINE_TIME;
    assert_eq!(
        table.standing(last - Duration::from_secs(1), REQUEST),
        Standing::Quarantined
    );
    assert_eq!(table.standing(last, REQUEST), Standing::Suspect);
    assert_eq!(ledger.note(last, end(3, true)), Standing::Quarantined);
    assert!(table.learn(last, report(ReportedStanding::Quarantined)));
    assert_eq!(table.standing(last, REQUEST), Standing::Quarantined);
    let forgotten = last + QUARANTINE_TIME * 2;
    assert_eq!(table.standing(forgotten, REQUEST), Standing::Unsuspected);
}

#[test]
fn a_suspect_is_forgotten_after_its_time() {
    let mut table = QuarantineTable::default();
    table.learn(at(0), report(ReportedStanding::Suspect));
    let end = Timestamp::ZERO + SUSPECT_TIME;
    assert_eq!(table.standing(end, REQUEST), Standing::Unsuspected);
}

#[test]
fn a_flood_of_requests_stays_bounded_and_displaces_no_quarantined_one() {
    const MOST_COUNTED: usize = 8_192;
    const MOST_KNOWN: usize = 4_096;
    let mut ledger = EndLedger::default();
    let mut table = QuarantineTable::default();
    for instance in 0..3 {
        ledger.note(at(0), end(instance, true));
    }
    table.learn(at(0), report(ReportedStanding::Quarantined));
    for number in 100..100_100 {
        let fingerprint = RequestFingerprint::new(number);
        let flooding = RequestEnd {
            fingerprint,
            ..end(number, false)
        };
        ledger.note(at(1), flooding);
        let suspect = QuarantineReport {
            fingerprint,
            ..report(ReportedStanding::Suspect)
        };
        table.learn(at(1), suspect);
    }
    assert!(ledger.len() <= MOST_COUNTED, "{}", ledger.len());
    assert!(table.len() <= MOST_KNOWN, "{}", table.len());
    assert_eq!(table.standing(at(2), REQUEST), Standing::Quarantined);
    assert_eq!(ledger.note(at(2), end(9, false)), Standing::Quarantined);
}

#[test]
fn equal_tables_have_equal_digests() {
    let mut first = QuarantineTable::default();
    let mut second = QuarantineTable::default();
    assert_eq!(first.digest(at(0)), second.digest(at(0)));
    first.learn(at(0), report(ReportedStanding::Quarantined));
    assert_ne!(first.digest(at(1)), second.digest(at(1)));
    for report in first.quarantined(at(1)) {
        second.learn(at(500), report);
    }
    assert_eq!(first.digest(at(1)), second.digest(at(500)));
}

fn any_standing() -> impl Strategy<Value = ReportedStanding> {
    prop_oneof![
        Just(ReportedStanding::Cleared),
        Just(ReportedStanding::Suspect),
        Just(ReportedStanding::Quarantined),
    ]
}

proptest! {
    /// For any order in which reports of different times arrive, the sidecars agree on refusing the
    /// request.
    #[test]
    fn reports_in_any_order_lead_to_the_same_refusal(
        found in prop::collection::vec(any_standing(), 1..8),
        order in Just((0..8_usize).collect::<Vec<_>>()).prop_shuffle(),
    ) {
        const NOW: u64 = 1_000;
        let found_at = |position: usize| 20 * (position as u64 + 1);
        let refused = |positions: &[usize]| {
            let mut table = QuarantineTable::default();
            for position in positions.iter().filter(|position| **position < found.len()) {
                let report = QuarantineReport {
                    age_ms: (NOW - found_at(*position)) * 1_000,
                    ..report(found[*position])
                };
                table.learn(at(NOW), report);
            }
            table.standing(at(NOW), REQUEST) == Standing::Quarantined
        };
        let in_order: Vec<usize> = (0..found.len()).collect();
        let last_cleared = found.iter().rposition(|standing| *standing == ReportedStanding::Cleared);
        let last_quarantined = found.iter().rposition(|standing| *standing == ReportedStanding::Quarantined);
        // A cleared request is remembered for half a minute only, which can't undo an older report
        // that arrives later than that.
        prop_assume!(last_cleared.is_none() || last_quarantined > last_cleared);
        prop_assert_eq!(refused(&in_order), last_quarantined.is_some());
        prop_assert_eq!(refused(&order), last_quarantined.is_some());
    }
}
