//! Tests that sidecars with different views of the membership never produce additional owners of a
//! tenant that grant tokens.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use wharfquay_core::time::Timestamp;
use wharfquay_membership::member::{
    Incarnation, Liveness, Member, MemberId, MemberProfile, ZoneName,
};
use wharfquay_membership::table::MemberTable;

use super::{OWNERS, OwnerSelector};
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

/// Returns a table of this many members, of which the listed ones are dead.
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

fn owner_selector(own: usize) -> OwnerSelector {
    let own = Peer {
        id: name(own),
        address: address(),
    };
    OwnerSelector::new(own, false)
}

fn directory(members: usize) -> Vec<DirectoryEntry> {
    let entries = (0..members).map(|number| DirectoryEntry {
        id: name(number),
        control_address: address(),
    });
    entries.collect()
}

fn owners(owner_selector: &OwnerSelector, now: Timestamp, tenant: &str) -> BTreeSet<String> {
    let owners = owner_selector.owners(now, tenant);
    owners.iter().map(|peer| peer.id.clone()).collect()
}

const MEMBERS: usize = 30;
const TENANTS: usize = 100;

#[test]
fn every_sidecar_selects_the_same_owners() {
    let owner_selectors: Vec<OwnerSelector> = (0..MEMBERS).map(owner_selector).collect();
    for owner_selector in &owner_selectors {
        owner_selector.update(Timestamp::ZERO, &table(MEMBERS, &[]));
    }
    let mut shares = vec![0; MEMBERS];
    for tenant in 0..TENANTS {
        let tenant = format!("tenant-{tenant}");
        let expected = owners(&owner_selectors[0], Timestamp::ZERO, &tenant);
        assert_eq!(expected.len(), OWNERS);
        for (number, owner_selector) in owner_selectors.iter().enumerate() {
            assert_eq!(owners(owner_selector, Timestamp::ZERO, &tenant), expected);
            let owns = owner_selector.owns(Timestamp::ZERO, &tenant);
            assert_eq!(owns, expected.contains(&name(number)));
            shares[number] += usize::from(owns);
        }
    }
    let most = shares.iter().max().copied().unwrap_or_default();
    assert!(most <= 4 * TENANTS * OWNERS / MEMBERS, "{shares:?}");
}

#[test]
fn dead_owner_is_replaced_only_after_its_hold() {
    let owner_selector = owner_selector(0);
    let start = Timestamp::from_millis(1_000);
    owner_selector.update(start, &table(MEMBERS, &[]));
    let before: Vec<BTreeSet<String>> = (0..TENANTS)
        .map(|tenant| owners(&owner_selector, start, &format!("tenant-{tenant}")))
        .collect();
    let dead: Vec<usize> = (1..MEMBERS).step_by(3).collect();
    owner_selector.update(start, &table(MEMBERS, &dead));
    let late = start + Duration::from_millis(19_999);
    owner_selector.update(late, &table(MEMBERS, &dead));
    for (tenant, before) in before.iter().enumerate() {
        let tenant = format!("tenant-{tenant}");
        assert_eq!(owners(&owner_selector, late, &tenant), *before);
    }
    let over = start + Duration::from_secs(20);
    for tenant in 0..TENANTS {
        let tenant = format!("tenant-{tenant}");
        let after = owners(&owner_selector, over, &tenant);
        assert!(dead.iter().all(|number| !after.contains(&name(*number))));
        assert_eq!(after.len(), OWNERS);
    }
}

/// A restarted process does not know the dead members. The live owners in its view must be among
/// the best live members, which the other sidecars know as owners too.
#[test]
fn live_owners_are_the_same_with_and_without_the_dead() {
    let dead = [3, 7, 8, 21];
    let knows = owner_selector(0);
    knows.update(Timestamp::ZERO, &table(MEMBERS, &[]));
    knows.update(Timestamp::ZERO, &table(MEMBERS, &dead));
    let restarted = owner_selector(1);
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

/// After all processes are killed together, each one initially knows only itself. It must receive
/// the others from the directory before it grants tokens.
#[test]
fn sidecars_restarted_together_agree_on_owners_after_reading_the_directory() {
    let owner_selectors: Vec<OwnerSelector> = (0..MEMBERS).map(owner_selector).collect();
    let start = Timestamp::from_millis(100);
    for owner_selector in &owner_selectors {
        assert!(!owner_selector.is_initialized(start));
        owner_selector.add_directory_entries(start, &directory(MEMBERS));
        assert!(owner_selector.is_initialized(start));
    }
    for tenant in 0..TENANTS {
        let tenant = format!("tenant-{tenant}");
        let granting = owner_selectors
            .iter()
            .filter(|owner_selector| owner_selector.owns(start, &tenant));
        assert_eq!(granting.count(), OWNERS, "{tenant}");
    }
}

#[test]
fn directory_entry_of_a_missing_sidecar_expires() {
    let owner_selector = owner_selector(0);
    let start = Timestamp::from_millis(100);
    owner_selector.add_directory_entries(start, &directory(MEMBERS + 10));
    owner_selector.update(start, &table(MEMBERS, &[]));
    let later = start + Duration::from_secs(20);
    for tenant in 0..TENANTS {
        let owners = owners(&owner_selector, later, &format!("tenant-{tenant}"));
        assert!((MEMBERS..MEMBERS + 10).all(|number| !owners.contains(&name(number))));
    }
}

#[test]
fn ring_is_initialized_after_the_discovery_time_without_a_directory() {
    let owner_selector = owner_selector(0);
    assert!(!owner_selector.is_initialized(Timestamp::from_millis(1_499)));
    assert!(owner_selector.is_initialized(Timestamp::from_millis(1_500)));
}
