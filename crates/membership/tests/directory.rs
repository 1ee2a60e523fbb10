//! Who enters itself in the platform's directory, and when.

use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use wharfquay_core::time::Timestamp;
use wharfquay_membership::directory::{
    DirectorySettings, DirectoryStep, ENTRIES, Enrolment, ListingAge, OwnEntry,
};
use wharfquay_membership::member::{
    Incarnation, Liveness, Member, MemberId, MemberProfile, ZoneName,
};
use wharfquay_membership::table::MemberTable;

/// Longest time for which a schedule is followed.
const LONGEST: Duration = Duration::from_secs(60);

fn id(number: usize) -> MemberId {
    MemberId::from(format!("member-{number}").as_str())
}

fn member(number: usize) -> Member {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 7_000));
    let profile = MemberProfile {
        id: id(number),
        zone: ZoneName::from("north"),
        service: None,
        call_address: address,
        control_address: address,
        slots: 0,
        connections: 0,
    };
    Member {
        profile: Arc::new(profile),
        incarnation: Incarnation::started_at(1),
        liveness: Liveness::Alive,
        leaving: false,
    }
}

fn table(members: usize) -> MemberTable {
    let mut table = MemberTable::new(1);
    table.extend((0..members).map(member));
    table
}

fn enrolment(number: usize, is_first_start: bool) -> (Enrolment, Pcg64Mcg) {
    let mut random = Pcg64Mcg::seed_from_u64(u64::try_from(number).unwrap());
    let settings = DirectorySettings::default();
    let now = Timestamp::ZERO;
    let enrolment = Enrolment::new(settings, id(number), is_first_start, now, &mut random);
    (enrolment, random)
}

/// Follows one member for a while; the platform does what it is asked. Gives the steps without the waits.
fn follow(
    enrolment: &mut Enrolment,
    random: &mut Pcg64Mcg,
    from: Timestamp,
    table: impl Fn(Timestamp) -> MemberTable,
    others_listed: usize,
) -> Vec<DirectoryStep> {
    let mut steps = Vec::new();
    let mut now = from;
    while now < from + LONGEST {
        let step = enrolment.next(now, &table(now));
        match step {
            DirectoryStep::WaitUntil(at) => {
                assert!(at > now, "a wait that ends at once");
                now = at;
                continue;
            }
            DirectoryStep::Look(_) => {
                enrolment.listed(now, OwnEntry::Missing, others_listed, random);
            }
            DirectoryStep::Enter => enrolment.entered(now, true, random),
        }
        steps.push(step);
    }
    steps
}

fn entries(steps: &[DirectoryStep]) -> usize {
    steps
        .iter()
        .filter(|step| **step == DirectoryStep::Enter)
        .count()
}

#[test]
fn in_a_large_deployment_only_the_first_by_rendezvous_enter() {
    let members = 500;
    let all = table(members);
    let entered = (0..members).filter(|number| {
        let (mut enrolment, mut random) = enrolment(*number, false);
        let steps = follow(
            &mut enrolment,
            &mut random,
            Timestamp::ZERO,
            |_| all.clone(),
            0,
        );
        assert!(entries(&steps) <= 1, "{steps:?}");
        entries(&steps) == 1
    });
    assert_eq!(entered.count(), ENTRIES);
}

#[test]
fn in_a_small_deployment_everyone_enters_once() {
    let all = table(12);
    for number in 0..12 {
        let (mut enrolment, mut random) = enrolment(number, false);
        let steps = follow(
            &mut enrolment,
            &mut random,
            Timestamp::ZERO,
            |_| all.clone(),
            0,
        );
        let look = DirectoryStep::Look(ListingAge::MayBeStale);
        assert_eq!(steps, [look, DirectoryStep::Enter]);
    }
}

#[test]
fn who_is_among_the_first_only_while_few_are_known_does_not_enter() {
    let last = (0..500)
        .find(|number| {
            let (mut enrolment, mut random) = enrolment(*number, false);
            let all = table(500);
            entries(&follow(
                &mut enrolment,
                &mut random,
                Timestamp::ZERO,
                |_| all.clone(),
                0,
            )) == 0
        })
        .expect("one of the others");
    let growing = |now: Timestamp| {
        let seconds = usize::try_from(now.as_micros() / 1_000_000).unwrap();
        let mut known = table((20 * (seconds + 1)).min(500));
        known.extend([member(last)]);
        known
    };
    let (mut enrolment, mut random) = enrolment(last, false);
    let steps = follow(&mut enrolment, &mut random, Timestamp::ZERO, growing, 0);
    assert_eq!(entries(&steps), 0, "{steps:?}");
}

#[test]
fn of_many_that_find_nobody_a_few_enter_at_their_first_look() {
    let alone = table(1);
    let entered = (0..6_400).filter(|number| {
        let (mut enrolment, mut random) = enrolment(*number, false);
        let mut now = Timestamp::ZERO;
        while let DirectoryStep::WaitUntil(at) = enrolment.next(now, &alone) {
            now = at;
        }
        enrolment.listed(now, OwnEntry::Missing, 0, &mut random);
        enrolment.next(now, &alone) == DirectoryStep::Enter
    });
    let entered = entered.count();
    assert!((300..500).contains(&entered), "{entered} of 6400");
}

#[test]
fn who_finds_nobody_enters_at_last_and_looks_for_fresh_listings() {
    let alone = table(1);
    let (mut enrolment, mut random) = enrolment(7, false);
    let steps = follow(
        &mut enrolment,
        &mut random,
        Timestamp::ZERO,
        |_| alone.clone(),
        0,
    );
    let looks: Vec<&DirectoryStep> = steps
        .iter()
        .filter(|step| matches!(step, DirectoryStep::Look(_)))
        .collect();
    assert_eq!(*looks[0], DirectoryStep::Look(ListingAge::MayBeStale));
    assert_eq!(*looks[1], DirectoryStep::Look(ListingAge::MayBeStale));
    assert_eq!(*looks[2], DirectoryStep::Look(ListingAge::Latest));
    let position = steps.iter().position(|step| *step == DirectoryStep::Enter);
    assert!(position.is_some_and(|position| position <= 5), "{steps:?}");
}

#[test]
fn who_finds_others_tries_them_before_it_enters() {
    for number in 0..200 {
        let alone = table(1);
        let (mut enrolment, mut random) = enrolment(number, false);
        let steps = follow(
            &mut enrolment,
            &mut random,
            Timestamp::ZERO,
            |_| alone.clone(),
            3,
        );
        let look = DirectoryStep::Look(ListingAge::MayBeStale);
        assert_eq!(steps[..2], [look, look], "{number}");
    }
}

#[test]
fn an_entry_that_another_writer_changed_is_written_again() {
    let alone = table(1);
    let (mut enrolment, mut random) = enrolment(1, false);
    let mut now = Timestamp::ZERO;
    while let DirectoryStep::WaitUntil(at) = enrolment.next(now, &alone) {
        now = at;
    }
    enrolment.listed(now, OwnEntry::Different, 300, &mut random);
    assert_eq!(enrolment.next(now, &alone), DirectoryStep::Enter);
}

#[test]
fn after_a_restored_store_those_with_an_entry_write_it_again_and_no_others() {
    let all = table(500);
    let mut written_again = 0;
    for number in 0..500 {
        let (mut enrolment, mut random) = enrolment(number, false);
        let start = Timestamp::ZERO;
        let before = entries(&follow(
            &mut enrolment,
            &mut random,
            start,
            |_| all.clone(),
            0,
        ));
        let restored_at = start + LONGEST;
        enrolment.store_restored(restored_at, &mut random);
        let steps = follow(&mut enrolment, &mut random, restored_at, |_| all.clone(), 0);
        assert_eq!(entries(&steps), before, "{number}: {steps:?}");
        written_again += entries(&steps);
    }
    assert_eq!(written_again, ENTRIES);
}

#[test]
fn a_refused_entry_is_tried_again_with_growing_pauses() {
    let all = table(3);
    let (mut enrolment, mut random) = enrolment(1, false);
    let mut now = Timestamp::ZERO;
    let mut tries = 0;
    while now < Timestamp::ZERO + LONGEST {
        match enrolment.next(now, &all) {
            DirectoryStep::WaitUntil(at) => now = at,
            DirectoryStep::Enter => {
                tries += 1;
                enrolment.entered(now, false, &mut random);
            }
            DirectoryStep::Look(_) => enrolment.listed(now, OwnEntry::Missing, 2, &mut random),
        }
    }
    assert!((20..60).contains(&tries), "{tries}");
}
