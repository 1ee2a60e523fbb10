//! The whole control plane on the simulator: start, propagation and departures without faults.

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

fn all_in_force(simulation: &ControlSimulation, revision: u64) -> bool {
    simulation
        .running()
        .all(|index| simulation.in_force(index) >= revision)
}

fn all_members_known(simulation: &ControlSimulation, members: usize) -> bool {
    simulation.running().all(|index| {
        let node = simulation.node(index).expect("the daemon runs");
        node.table().live_count() == members
    })
}

#[test]
fn a_cold_started_deployment_gets_ready_and_discovers_all_members() {
    for scenario in ["lagos", "gujarat"] {
        let mut simulation = simulation(scenario, None);
        simulation.start_cold(Duration::from_millis(500));
        let daemons = simulation.topology().daemons;
        let limit = Duration::from_secs(10);
        assert!(
            simulation.run_until_holds(limit, all_ready),
            "{scenario}: some daemons are not ready"
        );
        let discovered =
            simulation.run_until_holds(limit, |simulation| all_members_known(simulation, daemons));
        assert!(discovered, "{scenario}: some members are unknown");
        assert_eq!(simulation.observations.revisions_reverted, 0);
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
            let is_in_force =
                simulation.run_until_holds(limit, |simulation| all_in_force(simulation, revision));
            assert!(
                is_in_force,
                "{scenario}: revision {revision} is not in force everywhere"
            );
            simulation.run_for(Duration::from_millis(300));
        }
        let median = simulation.observations.time_in_force.value_at_quantile(0.5);
        assert!(median < 500_000, "{scenario}: median {median} us");
        assert_eq!(simulation.observations.revisions_reverted, 0);
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
        let readers = simulation.store.peak_watchers();
        assert!(
            (1..=bound).contains(&readers),
            "{scenario}: {readers} readers"
        );
    }
}

#[test]
fn runs_with_the_same_seed_are_equal() {
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
