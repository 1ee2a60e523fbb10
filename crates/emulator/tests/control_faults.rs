//! The control plane under faults, as tables of cases: no revision is reverted, and every change arrives
//! over the paths that remain.

use std::time::Duration;

use wharfquay_emulator::simulator::control::ControlSimulation;
use wharfquay_emulator::simulator::control::topology::Topology;
use wharfquay_membership::settings::Settings;

const SEED: u64 = 11;
const ZONES: usize = 4;

/// Injects or repairs a fault in a running deployment of four zones.
type Fault = fn(&mut ControlSimulation);

struct Case {
    name: &'static str,
    /// Injects the fault, before the changes.
    inject: Fault,
    /// Repairs the fault, after the changes.
    repair: Fault,
    /// Zones in which every connected daemon must have each change in force within 2 s during the fault.
    reached: &'static [usize],
}

const EVERYWHERE: &[usize] = &[0, 1, 2, 3];

fn no_fault(_: &mut ControlSimulation) {}

fn heal_zones(simulation: &mut ControlSimulation) {
    simulation.network.heal_zones();
    for zone in 0..ZONES {
        simulation.set_store_reachable(zone, true);
    }
}

fn cut_both_ways(simulation: &mut ControlSimulation, one: usize, other: usize) {
    simulation.network.cut(one, other);
    simulation.network.cut(other, one);
}

/// Returns the daemons of a zone; the daemons are assigned to the zones round-robin.
fn in_zone(simulation: &ControlSimulation, zone: usize) -> Vec<usize> {
    let daemons = 0..simulation.topology().daemons;
    daemons.filter(|index| index % ZONES == zone).collect()
}

fn readers(simulation: &ControlSimulation) -> Vec<usize> {
    let reads = |index: &usize| simulation.node(*index).is_some_and(|node| node.is_reader());
    simulation.running().filter(reads).collect()
}

fn kill_every_reader(simulation: &mut ControlSimulation) {
    for reader in readers(simulation) {
        simulation.kill(reader);
    }
    simulation.run_for(Duration::from_secs(15));
}

fn freeze_one_reader(simulation: &mut ControlSimulation) {
    let reader = readers(simulation)[0];
    simulation.freeze(reader, Duration::from_secs(30));
}

const CASES: &[Case] = &[
    Case {
        name: "no fault",
        inject: no_fault,
        repair: no_fault,
        reached: EVERYWHERE,
    },
    Case {
        name: "every reader is killed and restarts without state",
        inject: kill_every_reader,
        repair: |simulation| {
            let terminated: Vec<usize> = (0..simulation.topology().daemons)
                .filter(|&index| simulation.node(index).is_none())
                .collect();
            for index in terminated {
                simulation.start(index);
            }
        },
        reached: EVERYWHERE,
    },
    Case {
        name: "a reader is frozen until another one has replaced it, and resumes",
        inject: freeze_one_reader,
        repair: |simulation| simulation.run_for(Duration::from_secs(30)),
        reached: EVERYWHERE,
    },
    Case {
        name: "a zone is cut off from all other zones, and reads the store itself",
        inject: |simulation| {
            for zone in 1..ZONES {
                cut_both_ways(simulation, 0, zone);
            }
        },
        repair: heal_zones,
        reached: EVERYWHERE,
    },
    Case {
        name: "a zone receives nothing from all other zones, but can send to them",
        inject: |simulation| {
            for zone in 1..ZONES {
                simulation.network.cut(zone, 0);
            }
        },
        repair: heal_zones,
        reached: EVERYWHERE,
    },
    Case {
        name: "a zone is cut off from the store",
        inject: |simulation| simulation.set_store_reachable(2, false),
        repair: heal_zones,
        reached: EVERYWHERE,
    },
    Case {
        name: "a zone is cut off from the store and from two of three zones",
        inject: |simulation| {
            simulation.set_store_reachable(0, false);
            cut_both_ways(simulation, 0, 1);
            cut_both_ways(simulation, 0, 2);
        },
        repair: heal_zones,
        reached: EVERYWHERE,
    },
    Case {
        name: "a zone is cut off from the store and from every zone",
        inject: |simulation| {
            simulation.set_store_reachable(0, false);
            for zone in 1..ZONES {
                cut_both_ways(simulation, 0, zone);
            }
        },
        repair: heal_zones,
        reached: &[1, 2, 3],
    },
    Case {
        name: "the link between two zones flaps",
        inject: |simulation| {
            for _ in 0..10 {
                cut_both_ways(simulation, 0, 1);
                simulation.run_for(Duration::from_millis(700));
                simulation.network.heal_zones();
                simulation.run_for(Duration::from_millis(700));
            }
            cut_both_ways(simulation, 0, 1);
        },
        repair: heal_zones,
        reached: EVERYWHERE,
    },
    Case {
        name: "10% of all packets are lost",
        inject: |simulation| simulation.network.loss = 0.1,
        repair: |simulation| simulation.network.loss = 0.0,
        reached: EVERYWHERE,
    },
    Case {
        name: "the store is slow",
        inject: |simulation| simulation.store.delay = Duration::from_millis(500),
        repair: |simulation| simulation.store.delay = Duration::ZERO,
        reached: EVERYWHERE,
    },
    Case {
        name: "a zone is cut off while a reader elsewhere is frozen",
        inject: |simulation| {
            for zone in 1..ZONES {
                cut_both_ways(simulation, 0, zone);
            }
            let elsewhere = readers(simulation)
                .into_iter()
                .find(|reader| reader % ZONES != 0)
                .expect("each zone has a reader");
            simulation.freeze(elsewhere, Duration::from_secs(30));
        },
        repair: |simulation| {
            heal_zones(simulation);
            simulation.run_for(Duration::from_secs(30));
        },
        reached: EVERYWHERE,
    },
    Case {
        name: "a daemon receives nothing while another zone is cut off from the store",
        inject: |simulation| {
            simulation.network.set_receive_blocked(5, true);
            simulation.set_store_reachable(2, false);
        },
        repair: |simulation| {
            simulation.network.set_receive_blocked(5, false);
            heal_zones(simulation);
        },
        reached: EVERYWHERE,
    },
];

fn started(daemons: usize) -> ControlSimulation {
    let topology = Topology::named("lagos", None, Some(daemons)).expect("a known scenario");
    let mut simulation = ControlSimulation::new(topology, Settings::default(), SEED);
    simulation.start_warm();
    simulation.run_for(Duration::from_secs(20));
    simulation
}

/// Returns the daemons in `zones` that run, are neither frozen nor disconnected, and have not put the
/// revision in force.
fn without_revision(simulation: &ControlSimulation, revision: u64, zones: &[usize]) -> Vec<usize> {
    let in_zones = zones.iter().flat_map(|&zone| in_zone(simulation, zone));
    in_zones
        .filter(|&index| simulation.node(index).is_some())
        .filter(|&index| simulation.is_awake(index) && simulation.network.is_connected(index))
        .filter(|&index| simulation.in_force(index) < revision)
        .collect()
}

#[test]
fn every_change_arrives_and_no_revision_is_reverted() {
    for case in CASES {
        println!("{}: seed {SEED}", case.name);
        let mut simulation = started(28);
        (case.inject)(&mut simulation);
        for _ in 0..5 {
            let revision = simulation.accept_change();
            let limit = Duration::from_secs(2);
            let arrived = simulation.run_until_holds(limit, |simulation| {
                without_revision(simulation, revision, case.reached).is_empty()
            });
            let missing = without_revision(&simulation, revision, case.reached);
            assert!(
                arrived,
                "{}: revision {revision} is not in force at {missing:?}",
                case.name
            );
        }
        (case.repair)(&mut simulation);
        let last = simulation.store.revision();
        let limit = Duration::from_secs(30);
        let healed = simulation.run_until_holds(limit, |simulation| {
            without_revision(simulation, last, EVERYWHERE).is_empty()
        });
        let missing = without_revision(&simulation, last, EVERYWHERE);
        assert!(
            healed,
            "{}: revision {last} is not in force at {missing:?} after the fault",
            case.name
        );
        let observations = &simulation.observations;
        assert_eq!(
            observations.revisions_reverted, 0,
            "{}: a revision was reverted",
            case.name
        );
        assert_eq!(
            observations.ready_with_older, 0,
            "{}: ready with an older revision",
            case.name
        );
        assert_eq!(observations.false_deaths, 0, "{}: false deaths", case.name);
    }
}

#[test]
fn members_agree_again_after_every_fault() {
    for case in CASES {
        println!("{}: seed {SEED}", case.name);
        let mut simulation = started(28);
        (case.inject)(&mut simulation);
        simulation.run_for(Duration::from_secs(20));
        (case.repair)(&mut simulation);
        let agreed = simulation.run_until_holds(Duration::from_secs(120), |simulation| {
            let running = simulation.running().count();
            let live_members = |index| simulation.node(index).map(|node| node.table().live_count());
            simulation
                .running()
                .all(|index| live_members(index) == Some(running))
        });
        assert!(
            agreed,
            "{}: the daemons disagree on the live members",
            case.name
        );
    }
}

#[test]
fn restarted_daemons_get_the_newest_revision_from_peers_while_the_store_is_down() {
    let mut simulation = started(28);
    for _ in 0..3 {
        simulation.accept_change();
        simulation.run_for(Duration::from_millis(500));
    }
    let newest = simulation.store.revision();
    simulation.set_store_down(true);
    // Restarts half of every zone, then the other half: no daemon keeps its state.
    for half in 0..2 {
        let restarted: Vec<usize> = (0..28)
            .filter(|index| (index / ZONES) % 2 == half)
            .collect();
        for &index in &restarted {
            simulation.kill(index);
        }
        simulation.run_for(Duration::from_secs(10));
        for &index in &restarted {
            simulation.start(index);
        }
        let ready = simulation.run_until_holds(Duration::from_secs(20), |simulation| {
            let node = |index: usize| simulation.node(index).expect("the daemon runs");
            restarted.iter().all(|&index| node(index).is_ready())
        });
        assert!(
            ready,
            "half {half}: some daemons are not ready without the store"
        );
        for index in restarted {
            assert_eq!(simulation.in_force(index), newest, "daemon {index}");
        }
    }
    assert_eq!(simulation.observations.ready_with_older, 0);
}

#[test]
fn an_older_store_is_reported_and_ignored() {
    let mut simulation = started(28);
    for _ in 0..4 {
        simulation.accept_change();
        simulation.run_for(Duration::from_millis(500));
    }
    let newest = simulation.store.revision();
    simulation.set_store_revisions_behind(3);
    simulation.run_for(Duration::from_secs(5));
    // Daemons that start now receive the older revision from the store.
    for index in in_zone(&simulation, 1) {
        simulation.kill(index);
    }
    simulation.run_for(Duration::from_secs(10));
    for index in in_zone(&simulation, 1) {
        simulation.start(index);
    }
    simulation.run_for(Duration::from_secs(20));
    assert!(
        simulation.observations.older_store_reports > 0,
        "no daemon reported the older store"
    );
    assert!(without_revision(&simulation, newest, EVERYWHERE).is_empty());
    assert_eq!(simulation.observations.revisions_reverted, 0);
    assert_eq!(simulation.observations.ready_with_older, 0);
}

#[test]
fn a_killed_daemon_is_known_to_be_dead_within_twenty_seconds() {
    let mut simulation = started(28);
    simulation.kill(6);
    let known = simulation.run_until_holds(Duration::from_secs(20), |simulation| {
        let live_members = |index| simulation.node(index).map(|node| node.table().live_count());
        simulation
            .running()
            .all(|index| live_members(index) == Some(27))
    });
    assert!(known);
    assert_eq!(simulation.observations.false_deaths, 0);
}

#[test]
fn malformed_and_foreign_messages_are_counted_and_dropped() {
    use rand::SeedableRng;
    use wharfquay_membership::node::{Effect, Identity, Node};
    use wharfquay_protocol::envelope;

    let topology = Topology::named("lagos", None, None).expect("a known scenario");
    let mut random = rand_pcg::Pcg64Mcg::seed_from_u64(SEED);
    let now = wharfquay_core::time::Timestamp::ZERO;
    let mut node_in = |deployment, index| {
        let settings = Settings {
            deployment,
            ..Settings::default()
        };
        let identity = Identity {
            profile: topology.profile(index),
            started_at_ms: 1,
        };
        let seed = wharfquay_membership::gossip::Seed {
            control_address: topology.profile(1 - index).control_address,
        };
        Node::new(settings, identity, vec![seed], now, &mut random)
    };
    let mut foreign_sender = node_in(7, 1);
    let mut same_id_sender = node_in(0, 0);
    let mut node = node_in(0, 0);
    let mut random = rand_pcg::Pcg64Mcg::seed_from_u64(SEED);
    let mut message_of = |sender: &mut Node| {
        let effects = sender.advance(now, &mut random);
        let sent = effects.into_iter().find_map(|effect| match effect {
            Effect::Send { bytes, .. } => Some(bytes),
            _ => None,
        });
        sent.expect("a joining daemon contacts its seed")
    };
    let cases: Vec<(&str, Vec<u8>, u64, u64)> = vec![
        ("empty", Vec::new(), 1, 0),
        ("other version", vec![9, 0], 0, 1),
        ("no CBOR", vec![envelope::VERSION, 0xff, 0xff], 1, 0),
        (
            "other document",
            envelope::encode(&"text").expect("text"),
            1,
            0,
        ),
        ("other deployment", message_of(&mut foreign_sender), 0, 1),
        ("own id", message_of(&mut same_id_sender), 0, 1),
    ];
    let mut random = rand_pcg::Pcg64Mcg::seed_from_u64(SEED);
    for (name, bytes, malformed, foreign) in cases {
        let before = *node.counters();
        let source = topology.profile(1).control_address;
        let effects = node.receive(now, source, &bytes, &mut random);
        assert!(matches!(effects[..], [Effect::Dropped { .. }]), "{name}");
        let after = node.counters();
        assert_eq!(after.malformed - before.malformed, malformed, "{name}");
        assert_eq!(
            after.rejected_foreign - before.rejected_foreign,
            foreign,
            "{name}"
        );
        assert_eq!(after.messages_received, before.messages_received, "{name}");
    }
}

#[test]
fn packet_loss_and_short_pauses_cause_no_declaration_of_death() {
    let mut simulation = started(28);
    simulation.network.loss = 0.1;
    for index in [3, 8, 17] {
        simulation.freeze(index, Duration::from_millis(2_500));
        simulation.run_for(Duration::from_secs(20));
    }
    simulation.network.loss = 0.0;
    simulation.run_for(Duration::from_secs(20));
    let observations = &simulation.observations;
    assert_eq!(observations.false_deaths + observations.true_deaths, 0);
    let live_members = |index| simulation.node(index).map(|node| node.table().live_count());
    assert!(
        simulation
            .running()
            .all(|index| live_members(index) == Some(28))
    );
}

#[test]
fn a_zone_without_the_store_pulls_revisions_that_others_advertise() {
    // The links lose most packets: pushed changes do not arrive in time, and the zone has to pull them.
    let mut simulation = started(28);
    simulation.set_store_reachable(0, false);
    simulation.network.loss = 0.6;
    let revision = simulation.accept_change();
    let arrived = simulation.run_until_holds(Duration::from_secs(20), |simulation| {
        without_revision(simulation, revision, EVERYWHERE).is_empty()
    });
    let missing = without_revision(&simulation, revision, EVERYWHERE);
    assert!(
        arrived,
        "revision {revision} is not in force at {missing:?}"
    );
    assert_eq!(simulation.observations.revisions_reverted, 0);
}
