//! Starts and restarts of a whole deployment and a restored store: the platform's directory stays small,
//! and every daemon discovers all others.

use wharfquay_emulator::experiment::propagation::ControlOptions;
use wharfquay_emulator::experiment::start::{self, PhaseMeasurements, StrategyMeasurements};
use wharfquay_membership::directory::{DIRECTORY_ENTRIES, DirectorySettings};

/// Several times the number of entries that the directory keeps.
const DAEMONS: usize = 320;
/// Time in which every daemon has to know all others, once the directory serves all of them.
const DISCOVERY_LIMIT_MS: u64 = 5_000;
/// Additional time in the phases in which the directory refuses a third of the daemons or its listings
/// are stale.
const DIRECTORY_FAULT_MS: u64 = 4_000;

fn bounded_strategy(daemons: usize, seed: u64) -> StrategyMeasurements {
    let options = ControlOptions {
        scenario: "gujarat".to_owned(),
        daemons: Some(daemons),
        seed,
        ..ControlOptions::default()
    };
    start::run_strategy(&options, "bounded", &DirectorySettings::default()).expect("measurements")
}

fn phase<'strategy>(
    strategy: &'strategy StrategyMeasurements,
    name: &str,
) -> &'strategy PhaseMeasurements {
    let mut phases = strategy.phases.iter();
    phases.find(|phase| phase.phase == name).expect("the phase")
}

#[test]
fn the_directory_does_not_grow_with_the_deployment() {
    let strategy = bounded_strategy(DAEMONS, 3);
    for phase in &strategy.phases {
        let most = DIRECTORY_ENTRIES + DAEMONS / 4;
        assert!(phase.entries <= most, "{phase:?}");
    }
    let first = phase(&strategy, "first start");
    // With an entry for each daemon it is 1.2.
    assert!(first.calls_per_daemon <= 0.5, "{first:?}");
    let again = phase(&strategy, "end of all");
    assert!(again.calls_per_daemon <= 0.25, "{again:?}");
}

#[test]
fn every_daemon_discovers_all_others_in_each_phase() {
    for (daemons, seed) in [(5, 1), (12, 2), (71, 3)] {
        let strategy = bounded_strategy(daemons, seed);
        for phase in strategy.phases {
            let converged_after = phase.converged_after_ms;
            let has_fault = phase.phase.contains("refused") || phase.phase.contains("old");
            let additional = if has_fault { DIRECTORY_FAULT_MS } else { 0 };
            assert!(
                converged_after.is_some_and(|after| after <= DISCOVERY_LIMIT_MS + additional),
                "{daemons} daemons: {phase:?}"
            );
        }
    }
}
