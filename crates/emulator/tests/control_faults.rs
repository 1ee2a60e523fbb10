//! The control plane under faults, in tables: whatever happens, no revision goes back, and what is
//! left of the paths is enough for every change to arrive.

use std::time::Duration;

use wharfquay_emulator::simulator::control::ControlSimulation;
use wharfquay_emulator::simulator::control::topology::Topology;
use wharfquay_membership::settings::Settings;

const SEED: u64 = 11;
const ZONES: usize = 4;

/// Lets a fault happen in a running deployment of four zones.
type Fault = fn(&mut ControlSimulation);

struct Case {
    name: &'static str,
    /// What breaks before the changes.
    begin: Fault,
    /// What is repaired after them.
    end: Fault,
    /// Zones in which every connected daemon must have the changes in force within 2 s even while
    /// the fault lasts.
    reached: &'static [usize],
}

const EVERYWHERE: &[usize] = &[0, 1, 2, 3];

fn nothing(_: &mut ControlSimulation) {}

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

/// Daemons of a zone, by number; the zones receive the daemons in turn.
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

fn freeze_a_reader(simulation: &mut ControlSimulation) {
    let reader = readers(simulation)[0];
    simulation.freeze(reader, Duration::from_secs(30));
}

const CASES: &[Case] = &[
    Case {
        name: "no fault",
        begin: nothing,
        end: nothing,
        reached: EVERYWHERE,
    },
    Case {
        name: "every reader is killed and comes back with an empty memory",
        begin: kill_every_reader,
        end: |simulation| {
            let gone: Vec<usize> = (0..simulation.topology().daemons)
                .filter(|&index| simulation.node(index).is_none())
                .collect();
            for index in gone {
                simulation.start(index);
            }
        },
        reached: EVERYWHERE,
    },
    Case {
        name: "a reader is frozen past its deposition and resumes",
        begin: freeze_a_reader,
        end: |simulation| simulation.run_for(Duration::from_secs(30)),
        reached: EVERYWHERE,
    },
    Case {
        name: "a zone is cut from all other zones, and reads the store itself",
        begin: |simulation| {
            for zone in 1..ZONES {
                cut_both_ways(simulation, 0, zone);
            }
        },
        end: heal_zones,
        reached: EVERYWHERE,
    },
    Case {
        name: "a zone is cut from all others one way: it hears nothing from them",
        begin: |simulation| {
            for zone in 1..ZONES {
                simulation.network.cut(zone, 0);
            }
        },
        end: heal_zones,
        reached: EVERYWHERE,
    },
    Case {
        name: "a zone is cut from the store",
        begin: |simulation| simulation.set_store_reachable(2, false),
        end: heal_zones,
        reached: EVERYWHERE,
    },
    Case {
        name: "a zone is cut from the store and from two of three zones",
        begin: |simulation| {
            simulation.set_store_reachable(0, false);
            cut_both_ways(simulation, 0, 1);
            cut_both_ways(simulation, 0, 2);
        },
        end: heal_zones,
        reached: EVERYWHERE,
    },
    Case {
        name: "a zone is cut from the store and from every zone",
        begin: |simulation| {
            simulation.set_store_reachable(0, false);
            for zone in 1..ZONES {
                cut_both_ways(simulation, 0, zone);
            }
        },
        end: heal_zones,
        reached: &[1, 2, 3],
    },
    Case {
        name: "the link between two zones flaps",
        begin: |simulation| {
            for _ in 0..10 {
                cut_both_ways(simulation, 0, 1);
                simulation.run_for(Duration::from_millis(700));
                simulation.network.heal_zones();
                simulation.run_for(Duration::from_millis(700));
            }
            cut_both_ways(simulation, 0, 1);
        },
        end: heal_zones,
        reached: EVERYWHERE,
    },
    Case {
        name: "a tenth of all packets is lost",
        begin: |simulation| simulation.network.loss = 0.1,
        end: |simulation| simulation.network.loss = 0.0,
        reached: EVERYWHERE,
    },
    Case {
        name: "the store is slow",
        begin: |simulation| simulation.store.delay = Duration::from_millis(500),
        end: |simulation| simulation.store.delay = Duration::ZERO,
        reached: EVERYWHERE,
    },
    Case {
        name: "a zone is cut off while a reader elsewhere is frozen",
        begin: |simulation| {
            for zone in 1..ZONES {
                cut_both_ways(simulation, 0, zone);
            }
            let elsewhere = readers(simulation)
                .into_iter()
                .find(|reader| reader % ZONES != 0)
                .expect("each zone has a reader");
            simulation.freeze(elsewhere, Duration::from_secs(30));
        },
        end: |simulation| {
            heal_zones(simulation);
            simulation.run_for(Duration::from_secs(30));
        },
        reached: EVERYWHERE,
    },
    Case {
        name: "a daemon hears nothing while another zone is cut from the store",
        begin: |simulation| {
            simulation.network.set_deaf(5, true);
            simulation.set_store_reachable(2, false);
        },
        end: |simulation| {
            simulation.network.set_deaf(5, false);
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

/// Running daemons without the revision that neither sleep nor are deaf.
fn lacking(simulation: &ControlSimulation, revision: u64, zones: &[usize]) -> Vec<usize> {
    let in_zones = zones.iter().flat_map(|&zone| in_zone(simulation, zone));
    in_zones
        .filter(|&index| simulation.node(index).is_some())
        .filter(|&index| simulation.is_awake(index) && simulation.network.is_connected(index))
        .filter(|&index| simulation.in_force(index) < revision)
        .collect()
}

#[test]
fn every_change_arrives_and_none_goes_back() {
    for case in CASES {
        println!("{}: seed {SEED}", case.name);
        let mut simulation = started(28);
        (case.begin)(&mut simulation);
        for _ in 0..5 {
            let revision = simulation.accept_change();
            let limit = Duration::from_secs(2);
            let arrived = simulation.run_until_holds(limit, |simulation| {
                lacking(simulation, revision, case.reached).is_empty()
            });
            let missing = lacking(&simulation, revision, case.reached);
            assert!(
                arrived,
                "{}: revision {revision} is not at {missing:?}",
                case.name
            );
        }
        (case.end)(&mut simulation);
        let last = simulation.store.revision();
        let limit = Duration::from_secs(30);
        let healed = simulation.run_until_holds(limit, |simulation| {
            lacking(simulation, last, EVERYWHERE).is_empty()
        });
        let missing = lacking(&simulation, last, EVERYWHERE);
        assert!(healed, "{}: after the fault not at {missing:?}", case.name);
        let observations = &simulation.observations;
        assert_eq!(
            observations.reverted, 0,
            "{}: a revision went back",
            case.name
        );
        assert_eq!(
            observations.ready_with_older, 0,
            "{}: ready with an older one",
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
        (case.begin)(&mut simulation);
        simulation.run_for(Duration::from_secs(20));
        (case.end)(&mut simulation);
        let agreed = simulation.run_until_holds(Duration::from_secs(120), |simulation| {
            let running = simulation.running().count();
            let knows = |index| simulation.node(index).map(|node| node.table().live_count());
            simulation
                .running()
                .all(|index| knows(index) == Some(running))
        });
        assert!(agreed, "{}: members differ", case.name);
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
    // Half of every zone, then the other half: nobody keeps its memory.
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
            let node = |index: usize| simulation.node(index).expect("it runs");
            restarted.iter().all(|&index| node(index).is_ready())
        });
        assert!(ready, "half {half}: not ready without the store");
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
    simulation.set_store_behind(3);
    simulation.run_for(Duration::from_secs(5));
    // A daemon that starts now is told the older revision by the store.
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
        "nothing was reported"
    );
    assert!(lacking(&simulation, newest, EVERYWHERE).is_empty());
    assert_eq!(simulation.observations.reverted, 0);
    assert_eq!(simulation.observations.ready_with_older, 0);
}

#[test]
fn a_killed_daemon_is_known_to_be_dead_within_twenty_seconds() {
    let mut simulation = started(28);
    simulation.kill(6);
    let known = simulation.run_until_holds(Duration::from_secs(20), |simulation| {
        let live = |index| simulation.node(index).map(|node| node.table().live_count());
        simulation.running().all(|index| live(index) == Some(27))
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
    let mut foreigner = node_in(7, 1);
    let mut own_twin = node_in(0, 0);
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
        ("other deployment", message_of(&mut foreigner), 0, 1),
        ("own id", message_of(&mut own_twin), 0, 1),
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
fn loss_and_short_pauses_kill_nobody() {
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
    let knows = |index| simulation.node(index).map(|node| node.table().live_count());
    assert!(simulation.running().all(|index| knows(index) == Some(28)));
}

#[test]
fn a_zone_without_the_store_pulls_what_others_name() {
    // No push crosses between these zones in time: the link loses most packets.
    let mut simulation = started(28);
    simulation.set_store_reachable(0, false);
    simulation.network.loss = 0.6;
    let revision = simulation.accept_change();
    let arrived = simulation.run_until_holds(Duration::from_secs(20), |simulation| {
        lacking(simulation, revision, EVERYWHERE).is_empty()
    });
    let missing = lacking(&simulation, revision, EVERYWHERE);
    assert!(arrived, "revision {revision} is not at {missing:?}");
    assert_eq!(simulation.observations.reverted, 0);
}
