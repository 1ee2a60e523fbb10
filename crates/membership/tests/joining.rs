//! Daemons that start together must not conclude that they are the whole deployment.

use std::net::SocketAddr;
use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use wharfquay_core::time::Timestamp;
use wharfquay_membership::gossip::Seed;
use wharfquay_membership::member::{MemberId, MemberProfile, ZoneName};
use wharfquay_membership::node::{Effect, Identity, Node};
use wharfquay_membership::settings::Settings;

const RANDOM_SEED: u64 = 3;

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 7_000 + number))
}

fn starting_node(number: u16, random: &mut Pcg64Mcg) -> Node {
    let profile = MemberProfile {
        id: MemberId::from(format!("daemon-{number}").as_str()),
        zone: ZoneName::from("north"),
        service: None,
        call_address: address(number),
        control_address: address(number),
        slots: 0,
        connections: 0,
    };
    let identity = Identity {
        profile,
        started_at_ms: 1,
    };
    let seeds = (0..3).map(|seed| Seed {
        control_address: address(seed),
    });
    let settings = Settings::default();
    Node::new(settings, identity, seeds.collect(), Timestamp::ZERO, random)
}

/// Runs two starting daemons while the third seed receives nothing. Returns the times of messages
/// to the third seed.
fn run(until: Timestamp) -> Vec<Timestamp> {
    println!("seed {RANDOM_SEED}");
    let mut random = Pcg64Mcg::seed_from_u64(RANDOM_SEED);
    let mut nodes = [starting_node(0, &mut random), starting_node(1, &mut random)];
    let mut to_unresponsive = Vec::new();
    let mut now = Timestamp::ZERO;
    while now < until {
        now = now + Duration::from_millis(10);
        let mut pending = Vec::new();
        for (from, node) in nodes.iter_mut().enumerate() {
            let effects = node.advance(now, &mut random);
            pending.extend(effects.into_iter().map(|effect| (from, effect)));
        }
        while let Some((from, effect)) = pending.pop() {
            let Effect::Send { to, bytes, .. } = effect else {
                continue;
            };
            let Some(index) = (0..2).find(|&number| address(number) == to) else {
                to_unresponsive.push(now);
                continue;
            };
            let index = usize::from(index);
            let source = address(u16::try_from(from).expect("two nodes"));
            let effects = nodes[index].receive(now, source, &bytes, &mut random);
            pending.extend(effects.into_iter().map(|effect| (index, effect)));
        }
    }
    assert!(nodes.iter().all(|node| node.table().live_count() == 2));
    assert!(nodes.iter().all(|node| !node.is_ready()));
    to_unresponsive
}

#[test]
fn starting_daemons_that_agree_keep_contacting_an_unresponsive_seed() {
    let until = Timestamp::from_millis(8_000);
    let contacts = run(until);
    for second in 0..8 {
        let from = Timestamp::from_millis(second * 1_000);
        let to = from + Duration::from_secs(1);
        let contacted = contacts.iter().any(|&at| from <= at && at < to);
        assert!(contacted, "no contact in second {second}");
    }
}

/// The platform may list other daemons only after this one has started.
#[test]
fn seeds_set_after_the_start_are_contacted_within_100_ms() {
    println!("seed {RANDOM_SEED}");
    let mut random = Pcg64Mcg::seed_from_u64(RANDOM_SEED);
    let mut node = starting_node(0, &mut random);
    node.set_seeds(Vec::new());
    let mut now = Timestamp::ZERO;
    while now < Timestamp::from_millis(1_000) {
        now = now + Duration::from_millis(10);
        node.advance(now, &mut random);
    }
    let seeds = (1..3).map(|seed| Seed {
        control_address: address(seed),
    });
    node.set_seeds(seeds.collect());
    let contacted_before = now + Duration::from_millis(100);
    let mut contacted = Vec::new();
    while now < contacted_before {
        now = now + Duration::from_millis(10);
        for effect in node.advance(now, &mut random) {
            if let Effect::Send { to, .. } = effect {
                contacted.push(to);
            }
        }
    }
    for seed in 1..3 {
        assert!(contacted.contains(&address(seed)), "no contact with {seed}");
    }
}
