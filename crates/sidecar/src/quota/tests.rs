//! Sidecars with different views of the members never make more owners of a tenant that grant.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use wharfquay_core::time::Timestamp;
use wharfquay_membership::member::{
    Incarnation, Liveness, Member, MemberId, MemberProfile, ZoneName,
};
use wharfquay_membership::table::MemberTable;

use super::{OWNERS, OwnerRing};
use crate::exchange::Peer;
use crate::platform::DirectoryEntry;

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000))
}

fn name(number: usize) -> String {
    format!("sidecar-{number}")
}

fn member(number: usize, liveness: Liveness) -> Member {
    let profile = MemberProfile {
        id: MemberId::from(name(number).as_str()),
        zone: ZoneName::from("north"),
        service: Some("shelf".to_owned()),
        call_address: address(),
        control_address: address(),
        slots: 0,
        connections: 0,
    };
    Member {
        profile: Arc::new(profile),
        incarnation: Incarnation::started_at(1),
        liveness,
        leaving: false,
    }
}

/// A table of so many members, of which some are dead.
fn table(members: usize, dead: &[usize]) -> MemberTable {
    let mut table = MemberTable::new(1);
    table.extend((0..members).map(|number| {
        let liveness = match dead.contains(&number) {
            true => Liveness::Dead,
            false => Liveness::Alive,
        };
        member(number, liveness)
    }));
    table
}

fn ring(own: usize) -> OwnerRing {
    let own = Peer {
        id: name(own),
        address: address(),
    };
    OwnerRing::new(own, false)
}

fn directory(members: usize) -> Vec<DirectoryEntry> {
    let entries = (0..members).map(|number| DirectoryEntry {
        id: name(number),
        control_address: address(),
    });
    entries.collect()
}

fn owners(ring: &OwnerRing, now: Timestamp, tenant: &str) -> BTreeSet<String> {
    let owners = ring.owners(now, tenant);
    owners.iter().map(|peer| peer.id.clone()).collect()
}

const MEMBERS: usize = 30;
const TENANTS: usize = 100;

#[test]
fn every_sidecar_knows_the_same_owners() {
    let rings: Vec<OwnerRing> = (0..MEMBERS).map(ring).collect();
    for ring in &rings {
        ring.update(Timestamp::ZERO, &table(MEMBERS, &[]));
    }
    let mut shares = vec![0; MEMBERS];
    for tenant in 0..TENANTS {
        let tenant = format!("tenant-{tenant}");
        let expected = owners(&rings[0], Timestamp::ZERO, &tenant);
        assert_eq!(expected.len(), OWNERS);
        for (number, ring) in rings.iter().enumerate() {
            assert_eq!(owners(ring, Timestamp::ZERO, &tenant), expected);
            let owns = ring.owns(Timestamp::ZERO, &tenant);
            assert_eq!(owns, expected.contains(&name(number)));
            shares[number] += usize::from(owns);
        }
    }
    let most = shares.iter().max().copied().unwrap_or_default();
    assert!(most <= 4 * TENANTS * OWNERS / MEMBERS, "{shares:?}");
}

#[test]
fn a_dead_owner_has_no_successor_until_its_hold_is_over() {
    let ring = ring(0);
    let start = Timestamp::from_millis(1_000);
    ring.update(start, &table(MEMBERS, &[]));
    let before: Vec<BTreeSet<String>> = (0..TENANTS)
        .map(|tenant| owners(&ring, start, &format!("tenant-{tenant}")))
        .collect();
    let dead: Vec<usize> = (1..MEMBERS).step_by(3).collect();
    ring.update(start, &table(MEMBERS, &dead));
    let late = start + Duration::from_millis(19_999);
    ring.update(late, &table(MEMBERS, &dead));
    for (tenant, before) in before.iter().enumerate() {
        let tenant = format!("tenant-{tenant}");
        assert_eq!(owners(&ring, late, &tenant), *before);
    }
    let over = start + Duration::from_secs(20);
    for tenant in 0..TENANTS {
        let tenant = format!("tenant-{tenant}");
        let after = owners(&ring, over, &tenant);
        assert!(dead.iter().all(|number| !after.contains(&name(*number))));
        assert_eq!(after.len(), OWNERS);
    }
}

/// A process that was restarted knows nothing of the dead; the live owners in its view are no others than the best of
/// the live members, which the rest knows as owners too.
#[test]
fn live_owners_are_the_same_with_and_without_the_dead() {
    let dead = [3, 7, 8, 21];
    let knows = ring(0);
    knows.update(Timestamp::ZERO, &table(MEMBERS, &[]));
    knows.update(Timestamp::ZERO, &table(MEMBERS, &dead));
    let restarted = ring(1);
    restarted.update(Timestamp::ZERO, &table(MEMBERS, &dead));
    for tenant in 0..TENANTS {
        let tenant = format!("tenant-{tenant}");
        let live = owners(&restarted, Timestamp::ZERO, &tenant);
        assert!(dead.iter().all(|number| !live.contains(&name(*number))));
        let known = owners(&knows, Timestamp::ZERO, &tenant);
        let granting = known
            .iter()
            .filter(|id| dead.iter().all(|number| **id != name(*number)));
        assert!(granting.into_iter().all(|id| live.contains(id)), "{tenant}");
    }
}

/// When every process is killed at once, each knows itself only at first: the directory tells it of the others before
/// it may grant anything.
#[test]
fn a_sidecar_that_knows_nobody_is_no_owner_of_everything() {
    let rings: Vec<OwnerRing> = (0..MEMBERS).map(ring).collect();
    let start = Timestamp::from_millis(100);
    for ring in &rings {
        assert!(!ring.is_settled(start));
        ring.note_directory(start, &directory(MEMBERS));
        assert!(ring.is_settled(start));
    }
    for tenant in 0..TENANTS {
        let tenant = format!("tenant-{tenant}");
        let granting = rings.iter().filter(|ring| ring.owns(start, &tenant));
        assert_eq!(granting.count(), OWNERS, "{tenant}");
    }
}

#[test]
fn an_entry_of_the_directory_that_nobody_stands_behind_is_forgotten() {
    let ring = ring(0);
    let start = Timestamp::from_millis(100);
    ring.note_directory(start, &directory(MEMBERS + 10));
    ring.update(start, &table(MEMBERS, &[]));
    let later = start + Duration::from_secs(20);
    for tenant in 0..TENANTS {
        let owners = owners(&ring, later, &format!("tenant-{tenant}"));
        assert!((MEMBERS..MEMBERS + 10).all(|number| !owners.contains(&name(number))));
    }
}

#[test]
fn without_the_directory_a_sidecar_grants_once_it_has_had_time_to_meet_others() {
    let ring = ring(0);
    assert!(!ring.is_settled(Timestamp::from_millis(1_499)));
    assert!(ring.is_settled(Timestamp::from_millis(1_500)));
}
