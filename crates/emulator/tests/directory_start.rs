//! A common start, an end of all and a restored store: the platform's directory stays small, and everyone meets everyone.

use wharfquay_emulator::experiment::propagation::ControlOptions;
use wharfquay_emulator::experiment::start::{self, PhaseFigures, WayFigures};
use wharfquay_membership::directory::{DIRECTORY_ENTRIES, DirectorySettings};

/// Several times as many as the directory keeps entries.
const DAEMONS: usize = 320;
/// Time after an end of all in which everyone has to know everyone, once the store serves all of them.
const MEETING_LIMIT_MS: u64 = 5_000;
/// Time for which it refuses a third in one of the phases, and for which listings lag behind in another.
const STORE_TROUBLE_MS: u64 = 4_000;

fn bounded_way(daemons: usize, seed: u64) -> WayFigures {
    let options = ControlOptions {
        scenario: "gujarat".to_owned(),
        daemons: Some(daemons),
        seed,
        ..ControlOptions::default()
    };
    start::run_way(&options, "bounded", &DirectorySettings::default()).expect("figures")
}

fn phase<'way>(way: &'way WayFigures, name: &str) -> &'way PhaseFigures {
    let mut phases = way.phases.iter();
    phases.find(|phase| phase.phase == name).expect("the phase")
}

#[test]
fn the_directory_does_not_grow_with_the_deployment() {
    let way = bounded_way(DAEMONS, 3);
    for phase in &way.phases {
        let most = DIRECTORY_ENTRIES + DAEMONS / 4;
        assert!(phase.entries <= most, "{phase:?}");
    }
    let first = phase(&way, "first start");
    // With an entry for each it is 1.2.
    assert!(first.calls_per_daemon <= 0.5, "{first:?}");
    let again = phase(&way, "end of all");
    assert!(again.calls_per_daemon <= 0.25, "{again:?}");
}

#[test]
fn everyone_meets_everyone_after_each_trouble() {
    for (daemons, seed) in [(5, 1), (12, 2), (71, 3)] {
        let way = bounded_way(daemons, seed);
        for phase in way.phases {
            let met = phase.met_after_ms;
            let has_trouble = phase.phase.contains("refused") || phase.phase.contains("old");
            let trouble = if has_trouble { STORE_TROUBLE_MS } else { 0 };
            assert!(
                met.is_some_and(|after| after <= MEETING_LIMIT_MS + trouble),
                "{daemons} daemons: {phase:?}"
            );
        }
    }
}
