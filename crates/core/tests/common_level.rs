//! The level of a service is what its back ends together have room for.

use wharfquay_core::priority::{AdmissionLevel, Rank};

/// The level that cuts a priority to a share of its ranks, given in hundredths.
fn cut(priority: u16, hundredths: u16) -> u16 {
    priority * Rank::COUNT + Rank::COUNT / 100 * hundredths
}

fn common(levels: &[u16]) -> u16 {
    AdmissionLevel::common(levels.iter().map(|level| AdmissionLevel::new(*level))).number()
}

const OPEN: u16 = AdmissionLevel::OPEN.number();

#[test]
fn the_mean_decides_where_all_cut_the_same_priority() {
    assert_eq!(common(&[cut(2, 10), cut(2, 20), cut(2, 60)]), cut(2, 30));
}

#[test]
fn one_back_end_with_room_opens_no_more_than_its_own_share() {
    let level = common(&[cut(2, 0), cut(2, 0), cut(2, 0), cut(2, 0), OPEN]);
    assert_eq!(level, 2 * Rank::COUNT + Rank::COUNT / 5);
}

#[test]
fn one_back_end_that_is_shut_cuts_less_than_its_own_share() {
    let level = common(&[0, OPEN, OPEN, OPEN, OPEN]);
    assert_eq!(u32::from(level), u32::from(OPEN) * 4 / 5);
}

#[test]
fn a_service_without_back_ends_and_one_without_cuts_are_open() {
    assert_eq!(common(&[]), OPEN);
    assert_eq!(common(&[OPEN, OPEN]), OPEN);
}
