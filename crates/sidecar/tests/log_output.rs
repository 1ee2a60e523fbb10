//! Limit on log lines: ordinary lines are dropped first, and dropped lines are counted.

use std::time::{Duration, Instant};

use log::Level;
use wharfquay_sidecar::log_output::{
    DroppedLines, LINES_PER_SECOND, LineBudget, RESERVED_LINES_PER_SECOND,
};

/// Returns how many lines of a level are written in one second, counted from the start of a
/// budget's window.
fn passed(budget: &mut LineBudget, now: Instant, level: Level, offered: u32) -> u32 {
    let allowed = (0..offered).filter(|_| budget.allows(now, level));
    u32::try_from(allowed.count()).unwrap()
}

#[test]
fn ordinary_lines_leave_room_for_warnings_and_errors() {
    let start = Instant::now();
    let mut budget = LineBudget::new(start);
    let many = 10 * LINES_PER_SECOND;
    let ordinary = passed(&mut budget, start, Level::Info, many);
    let warnings = passed(&mut budget, start, Level::Warn, many);
    let errors = passed(&mut budget, start, Level::Error, many);
    assert!(ordinary > warnings && warnings > 0 && errors > 0);
    assert_eq!(ordinary + warnings + errors, LINES_PER_SECOND);
    let dropped = DroppedLines {
        all: u64::from(3 * many - LINES_PER_SECOND),
        reserved: 0,
    };
    assert_eq!(budget.take_dropped(), dropped);
    assert_eq!(budget.take_dropped(), DroppedLines::default());
}

#[test]
fn each_second_has_its_own_bound() {
    let start = Instant::now();
    let mut budget = LineBudget::new(start);
    let many = 10 * LINES_PER_SECOND;
    let first = passed(&mut budget, start, Level::Info, many);
    let later = start + Duration::from_millis(1_001);
    assert_eq!(passed(&mut budget, later, Level::Info, many), first);
}

/// Guards against a flood of other lines that hides why a request was sent again.
#[test]
fn other_lines_do_not_displace_those_of_reserved_events() {
    let start = Instant::now();
    let mut budget = LineBudget::new(start);
    let many = 10 * LINES_PER_SECOND;
    for level in [Level::Info, Level::Warn, Level::Error] {
        passed(&mut budget, start, level, many);
    }
    budget.take_dropped();
    for _ in 0..RESERVED_LINES_PER_SECOND {
        assert!(budget.allows_reserved(start));
    }
    assert!(!budget.allows_reserved(start));
    let dropped = DroppedLines {
        all: 1,
        reserved: 1,
    };
    assert_eq!(budget.take_dropped(), dropped);
}
