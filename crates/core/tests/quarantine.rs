//! Requests that are quarantined, for any order of terminations and reports.

use std::time::Duration;

use proptest::prelude::*;
use wharfquay_core::quarantine::{
    QUARANTINE_TIME, QuarantineReport, QuarantineState, QuarantineTable, ReportedQuarantineState,
    RequestFingerprint, RequestTermination, SUSPECT_TIME, TerminatedInstance, TerminationLedger,
};
use wharfquay_core::time::Timestamp;

const REQUEST: RequestFingerprint = RequestFingerprint::new(7);

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_millis(seconds * 1_000)
}

fn termination(instance: u64, was_isolated: bool) -> RequestTermination {
    RequestTermination {
        fingerprint: REQUEST,
        instance: TerminatedInstance::new(instance),
        was_isolated,
    }
}

fn report(state: ReportedQuarantineState) -> QuarantineReport {
    QuarantineReport {
        fingerprint: REQUEST,
        state,
        age_ms: 0,
    }
}

#[test]
fn the_third_termination_quarantines_a_request_isolated_at_one() {
    let mut ledger = TerminationLedger::default();
    assert_eq!(
        ledger.record(at(0), termination(1, false)),
        QuarantineState::Unsuspected
    );
    assert_eq!(
        ledger.record(at(1), termination(2, true)),
        QuarantineState::Suspect
    );
    assert_eq!(
        ledger.record(at(2), termination(3, false)),
        QuarantineState::Quarantined
    );
}

#[test]
fn a_request_that_only_ran_concurrently_is_isolated_and_not_refused() {
    let mut ledger = TerminationLedger::default();
    for instance in 0..9 {
        ledger.record(at(instance), termination(instance, false));
    }
    assert_eq!(
        ledger.record(at(9), termination(9, false)),
        QuarantineState::Suspect
    );
    assert_eq!(
        ledger.record(at(9), termination(10, true)),
        QuarantineState::Quarantined
    );
}

#[test]
fn a_termination_reported_again_counts_once() {
    let mut ledger = TerminationLedger::default();
    for _ in 0..5 {
        assert_eq!(
            ledger.record(at(0), termination(1, true)),
            QuarantineState::Unsuspected
        );
    }
    assert_eq!(
        ledger.record(at(0), termination(2, true)),
        QuarantineState::Suspect
    );
    assert_eq!(
        ledger.record(at(0), termination(1, true)),
        QuarantineState::Suspect
    );
}

#[test]
fn a_response_clears_the_count() {
    let mut ledger = TerminationLedger::default();
    ledger.record(at(0), termination(1, true));
    ledger.record(at(0), termination(2, true));
    ledger.clear(REQUEST);
    assert_eq!(
        ledger.record(at(1), termination(3, true)),
        QuarantineState::Unsuspected
    );
}

#[test]
fn a_quarantined_request_is_executed_again_after_its_time_at_the_cost_of_one_backend() {
    let mut ledger = TerminationLedger::default();
    let mut table = QuarantineTable::default();
    for instance in 0..3 {
        ledger.record(at(0), termination(instance, true));
    }
    assert!(table.merge(at(0), report(ReportedQuarantineState::Quarantined)));
    let last = Timestamp::ZERO + QUARANTINE_TIME;
    assert_eq!(
        table.state(last - Duration::from_secs(1), REQUEST),
        QuarantineState::Quarantined
    );
    assert_eq!(table.state(last, REQUEST), QuarantineState::Suspect);
    assert_eq!(
        ledger.record(last, termination(3, true)),
        QuarantineState::Quarantined
    );
    assert!(table.merge(last, report(ReportedQuarantineState::Quarantined)));
    assert_eq!(table.state(last, REQUEST), QuarantineState::Quarantined);
    let forgotten = last + QUARANTINE_TIME * 2;
    assert_eq!(
        table.state(forgotten, REQUEST),
        QuarantineState::Unsuspected
    );
}

#[test]
fn a_suspect_is_forgotten_after_its_time() {
    let mut table = QuarantineTable::default();
    table.merge(at(0), report(ReportedQuarantineState::Suspect));
    let end = Timestamp::ZERO + SUSPECT_TIME;
    assert_eq!(table.state(end, REQUEST), QuarantineState::Unsuspected);
}

#[test]
fn a_flood_of_requests_stays_bounded_and_displaces_no_quarantined_one() {
    const MOST_COUNTED: usize = 8_192;
    const MOST_KNOWN: usize = 4_096;
    let mut ledger = TerminationLedger::default();
    let mut table = QuarantineTable::default();
    for instance in 0..3 {
        ledger.record(at(0), termination(instance, true));
    }
    table.merge(at(0), report(ReportedQuarantineState::Quarantined));
    for number in 100..100_100 {
        let fingerprint = RequestFingerprint::new(number);
        let flooding = RequestTermination {
            fingerprint,
            ..termination(number, false)
        };
        ledger.record(at(1), flooding);
        let suspect = QuarantineReport {
            fingerprint,
            ..report(ReportedQuarantineState::Suspect)
        };
        table.merge(at(1), suspect);
    }
    assert!(ledger.len() <= MOST_COUNTED, "{}", ledger.len());
    assert!(table.len() <= MOST_KNOWN, "{}", table.len());
    assert_eq!(table.state(at(2), REQUEST), QuarantineState::Quarantined);
    assert_eq!(
        ledger.record(at(2), termination(9, false)),
        QuarantineState::Quarantined
    );
}

#[test]
fn equal_tables_have_equal_digests() {
    let mut first = QuarantineTable::default();
    let mut second = QuarantineTable::default();
    assert_eq!(first.digest(at(0)), second.digest(at(0)));
    first.merge(at(0), report(ReportedQuarantineState::Quarantined));
    assert_ne!(first.digest(at(1)), second.digest(at(1)));
    for report in first.quarantined(at(1)) {
        second.merge(at(500), report);
    }
    assert_eq!(first.digest(at(1)), second.digest(at(500)));
}

fn any_state() -> impl Strategy<Value = ReportedQuarantineState> {
    prop_oneof![
        Just(ReportedQuarantineState::Cleared),
        Just(ReportedQuarantineState::Suspect),
        Just(ReportedQuarantineState::Quarantined),
    ]
}

proptest! {
    /// For any order in which reports of different times arrive, the sidecars agree on refusing the
    /// request.
    #[test]
    fn reports_in_any_order_lead_to_the_same_refusal(
        found in prop::collection::vec(any_state(), 1..8),
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
                table.merge(at(NOW), report);
            }
            table.state(at(NOW), REQUEST) == QuarantineState::Quarantined
        };
        let in_order: Vec<usize> = (0..found.len()).collect();
        let last_cleared = found.iter().rposition(|state| *state == ReportedQuarantineState::Cleared);
        let last_quarantined = found.iter().rposition(|state| *state == ReportedQuarantineState::Quarantined);
        // A cleared request is remembered for half a minute only, which can't undo an older report
        // that arrives later than that.
        prop_assume!(last_cleared.is_none() || last_quarantined > last_cleared);
        prop_assert_eq!(refused(&in_order), last_quarantined.is_some());
        prop_assert_eq!(refused(&order), last_quarantined.is_some());
    }
}
