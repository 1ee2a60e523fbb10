//! The control plane as a whole on the simulator: start, propagation and departures without faults.

use std::time::Duration;

use wharfquay_emulator::simulator::control::ControlSimulation;
use wharfquay_emulator::simulator::control::topology::Topology;
use wharfquay_membership::settings::Settings;

const SEED: u64 = 5;

fn simulation(scenario: &str, daemons: Option<usize>) -> ControlSimulation {
    println!("scenario {scenario}, seed {SEED}");
    let topology = Topology::named(scenario, None, daemons).expect("a known scenario");
    ControlSimulation::new(topology, Settings::default(), SEED)
}

fn all_ready(simulation: &ControlSimulation) -> bool {
    let ready = |index| simulation.node(index).is_some_and(|node| node.is_ready());
    (0..simulation.topology().daemons).all(ready)
}

fn all_hold(simulation: &ControlSimulation, revision: u64) -> bool {
    simulation
        .running()
        .all(|index| simulation.in_force(index) >= revision)
}

fn all_know(simulation: &ControlSimulation, members: usize) -> bool {
    simulation.running().all(|index| {
        let node = simulation.node(index).expect("it runs");
        node.table().live_count() == members
    })
}

#[test]
fn a_deployment_starts_from_nothing_and_finds_itself() {
    for scenario in ["lagos", "gujarat"] {
        let mut simulation = simulation(scenario, None);
        simulation.start_cold(Duration::from_millis(500));
        let daemons = simulation.topology().daemons;
        let limit = Duration::from_secs(10);
        assert!(
            simulation.run_until_holds(limit, all_ready),
            "{scenario}: not ready"
        );
        let found = simulation.run_until_holds(limit, |simulation| all_know(simulation, daemons));
        assert!(found, "{scenario}: members unknown");
        assert_eq!(simulation.observations.reverted, 0);
    }
}

#[test]
fn a_change_is_in_force_everywhere_within_two_seconds() {
    for scenario in ["lagos", "gujarat"] {
        let mut simulation = simulation(scenario, None);
        simulation.start_warm();
        simulation.run_for(Duration::from_secs(5));
        for _ in 0..20 {
            let revision = simulation.accept_change();
            let limit = Duration::from_secs(2);
            let held =
                simulation.run_until_holds(limit, |simulation| all_hold(simulation, revision));
            assert!(
                held,
                "{scenario}: revision {revision} is not in force everywhere"
            );
            simulation.run_for(Duration::from_millis(300));
        }
        let median = simulation.observations.in_force.value_at_quantile(0.5);
        assert!(median < 500_000, "{scenario}: median {median} us");
        assert_eq!(simulation.observations.reverted, 0);
    }
}

#[test]
fn a_leaving_daemon_is_known_everywhere_within_two_seconds() {
    let mut simulation = simulation("lagos", None);
    simulation.start_warm();
    simulation.run_for(Duration::from_secs(5));
    simulation.leave(3);
    simulation.run_for(Duration::from_secs(2));
    let departure = &simulation.observations.departures[0];
    assert_eq!(departure.known_by.len(), simulation.topology().daemons);
}

#[test]
fn only_a_few_daemons_read_the_store() {
    for (scenario, daemons) in [("lagos", None), ("gujarat", None), ("target", Some(200))] {
        let mut simulation = simulation(scenario, daemons);
        let bound = Settings::default().max_readers;
        simulation.start_warm();
        simulation.run_for(Duration::from_secs(30));
        let readers = simulation.store.most_watchers();
        assert!(
            (1..=bound).contains(&readers),
            "{scenario}: {readers} readers"
        );
    }
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let run = || {
        let mut simulation = simulation("gujarat", None);
        simulation.start_cold(Duration::from_secs(1));
        simulation.run_for(Duration::from_secs(10));
        simulation.accept_change();
        simulation.run_for(Duration::from_secs(5));
        let traffic = |index| simulation.traffic(index);
        (0..simulation.topology().daemons)
            .map(traffic)
            .collect::<Vec<_>>()
    };
    assert_eq!(run(), run());
}
