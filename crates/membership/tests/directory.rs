//! Selection of the members that register in the platform's directory, and the timing of their
//! calls.

use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use wharfquay_core::time::Timestamp;
use wharfquay_membership::directory::{
    DIRECTORY_ENTRIES, DirectoryRegistration, DirectorySettings, DirectoryStep, EntryState,
    ListingFreshness,
};
use wharfquay_membership::member::{
    Incarnation, Liveness, Member, MemberId, MemberProfile, ZoneName,
};
use wharfquay_membership::table::MemberTable;

/// Simulated time for which each member runs.
const SIMULATED_TIME: Duration = Duration::from_secs(60);

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

fn registration(number: usize, is_first_start: bool) -> (DirectoryRegistration, Pcg64Mcg) {
    let mut random = Pcg64Mcg::seed_from_u64(u64::try_from(number).unwrap());
    let settings = DirectorySettings::default();
    let now = Timestamp::ZERO;
    let registration =
        DirectoryRegistration::new(settings, id(number), is_first_start, now, &mut random);
    (registration, random)
}

/// Runs one member while the platform accepts every call. Returns its steps without the waits.
fn run_member(
    registration: &mut DirectoryRegistration,
    random: &mut Pcg64Mcg,
    from: Timestamp,
    table: impl Fn(Timestamp) -> MemberTable,
    others_listed: usize,
) -> Vec<DirectoryStep> {
    let mut steps = Vec::new();
    let mut now = from;
    while now < from + SIMULATED_TIME {
        let step = registration.next(now, &table(now));
        match step {
            DirectoryStep::WaitUntil(at) => {
                assert!(at > now, "the wait ends immediately");
                now = at;
                continue;
            }
            DirectoryStep::List(_) => {
                registration.on_listing(now, EntryState::Missing, others_listed, random);
            }
            DirectoryStep::Register => registration.on_registration_result(now, true, random),
        }
        steps.push(step);
    }
    steps
}

fn registrations(steps: &[DirectoryStep]) -> usize {
    steps
        .iter()
        .filter(|step| **step == DirectoryStep::Register)
        .count()
}

#[test]
fn large_deployment_registers_only_the_first_members_by_rendezvous() {
    let members = 500;
    let all = table(members);
    let registered = (0..members).filter(|number| {
        let (mut registration, mut random) = registration(*number, false);
        let steps = run_member(
            &mut registration,
            &mut random,
            Timestamp::ZERO,
            |_| all.clone(),
            0,
        );
        assert!(registrations(&steps) <= 1, "{steps:?}");
        registrations(&steps) == 1
    });
    assert_eq!(registered.count(), DIRECTORY_ENTRIES);
}

#[test]
fn small_deployment_registers_every_member_once() {
    let all = table(12);
    for number in 0..12 {
        let (mut registration, mut random) = registration(number, false);
        let steps = run_member(
            &mut registration,
            &mut random,
            Timestamp::ZERO,
            |_| all.clone(),
            0,
        );
        let poll = DirectoryStep::List(ListingFreshness::MayBeStale);
        assert_eq!(steps, [poll, DirectoryStep::Register]);
    }
}

#[test]
fn member_selected_only_while_its_table_is_small_does_not_register() {
    let last = (0..500)
        .find(|number| {
            let (mut registration, mut random) = registration(*number, false);
            let all = table(500);
            registrations(&run_member(
                &mut registration,
                &mut random,
                Timestamp::ZERO,
                |_| all.clone(),
                0,
            )) == 0
        })
        .expect("a member that never registers");
    let growing_table = |now: Timestamp| {
        let seconds = usize::try_from(now.as_micros() / 1_000_000).unwrap();
        let mut known = table((20 * (seconds + 1)).min(500));
        known.extend([member(last)]);
        known
    };
    let (mut registration, mut random) = registration(last, false);
    let steps = run_member(
        &mut registration,
        &mut random,
        Timestamp::ZERO,
        growing_table,
        0,
    );
    assert_eq!(registrations(&steps), 0, "{steps:?}");
}

#[test]
fn few_of_many_isolated_members_register_at_their_first_poll() {
    let alone = table(1);
    let registered = (0..6_400).filter(|number| {
        let (mut registration, mut random) = registration(*number, false);
        let mut now = Timestamp::ZERO;
        while let DirectoryStep::WaitUntil(at) = registration.next(now, &alone) {
            now = at;
        }
        registration.on_listing(now, EntryState::Missing, 0, &mut random);
        registration.next(now, &alone) == DirectoryStep::Register
    });
    let registered = registered.count();
    assert!((300..500).contains(&registered), "{registered} of 6400");
}

#[test]
fn isolated_member_requests_fresh_listings_and_finally_registers() {
    let alone = table(1);
    let (mut registration, mut random) = registration(7, false);
    let steps = run_member(
        &mut registration,
        &mut random,
        Timestamp::ZERO,
        |_| alone.clone(),
        0,
    );
    let polls: Vec<&DirectoryStep> = steps
        .iter()
        .filter(|step| matches!(step, DirectoryStep::List(_)))
        .collect();
    assert_eq!(*polls[0], DirectoryStep::List(ListingFreshness::MayBeStale));
    assert_eq!(*polls[1], DirectoryStep::List(ListingFreshness::MayBeStale));
    assert_eq!(*polls[2], DirectoryStep::List(ListingFreshness::Latest));
    let position = steps
        .iter()
        .position(|step| *step == DirectoryStep::Register);
    assert!(position.is_some_and(|position| position <= 5), "{steps:?}");
}

#[test]
fn member_polls_again_before_registering_if_others_are_listed() {
    for number in 0..200 {
        let alone = table(1);
        let (mut registration, mut random) = registration(number, false);
        let steps = run_member(
            &mut registration,
            &mut random,
            Timestamp::ZERO,
            |_| alone.clone(),
            3,
        );
        let poll = DirectoryStep::List(ListingFreshness::MayBeStale);
        assert_eq!(steps[..2], [poll, poll], "{number}");
    }
}

#[test]
fn entry_changed_by_another_writer_is_rewritten() {
    let alone = table(1);
    let (mut registration, mut random) = registration(1, false);
    let mut now = Timestamp::ZERO;
    while let DirectoryStep::WaitUntil(at) = registration.next(now, &alone) {
        now = at;
    }
    registration.on_listing(now, EntryState::Different, 300, &mut random);
    assert_eq!(registration.next(now, &alone), DirectoryStep::Register);
}

#[test]
fn restored_store_makes_only_registered_members_rewrite_their_entries() {
    let all = table(500);
    let mut rewritten = 0;
    for number in 0..500 {
        let (mut registration, mut random) = registration(number, false);
        let start = Timestamp::ZERO;
        let before = registrations(&run_member(
            &mut registration,
            &mut random,
            start,
            |_| all.clone(),
            0,
        ));
        let restored_at = start + SIMULATED_TIME;
        registration.on_store_restored(restored_at, &mut random);
        let steps = run_member(
            &mut registration,
            &mut random,
            restored_at,
            |_| all.clone(),
            0,
        );
        assert_eq!(registrations(&steps), before, "{number}: {steps:?}");
        rewritten += registrations(&steps);
    }
    assert_eq!(rewritten, DIRECTORY_ENTRIES);
}

#[test]
fn rejected_registration_is_retried_with_backoff() {
    let all = table(3);
    let (mut registration, mut random) = registration(1, false);
    let mut now = Timestamp::ZERO;
    let mut attempts = 0;
    while now < Timestamp::ZERO + SIMULATED_TIME {
        match registration.next(now, &all) {
            DirectoryStep::WaitUntil(at) => now = at,
            DirectoryStep::Register => {
                attempts += 1;
                registration.on_registration_result(now, false, &mut random);
            }
            DirectoryStep::List(_) => {
                registration.on_listing(now, EntryState::Missing, 2, &mut random)
            }
        }
    }
    assert!((20..60).contains(&attempts), "{attempts}");
}
