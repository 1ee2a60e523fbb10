//! The experiments on the control plane: equal seeds give equal reports, and the small deployments meet
//! their limits for propagation time, traffic and departures.

use wharfquay_emulator::experiment::control_command::{ControlExperiment, parse};
use wharfquay_emulator::experiment::propagation::ControlOptions;
use wharfquay_emulator::experiment::{churn, drain, propagation, start};

fn options(scenario: &str) -> ControlOptions {
    ControlOptions {
        scenario: scenario.to_owned(),
        seed: 9,
        seconds: 20,
        ..ControlOptions::default()
    }
}

#[test]
fn reports_are_equal_for_equal_seeds_apart_from_the_host() {
    let run = |experiment| {
        let options = options("gujarat");
        let report = match experiment {
            ControlExperiment::Propagation => serde_json::to_value(propagation::run(&options).ok()),
            ControlExperiment::Drain => serde_json::to_value(drain::run(&options).ok()),
            ControlExperiment::Churn => serde_json::to_value(churn::run(&options).ok()),
            ControlExperiment::Start => serde_json::to_value(start::run(&options).ok()),
        };
        let mut report = report.expect("a report");
        let host = report.as_object_mut().expect("an object").remove("host");
        assert!(host.is_some(), "the report has no measurements of the host");
        report
    };
    for name in ["propagation", "drain", "churn"] {
        let experiment = ControlExperiment::from_name(name).expect("a known experiment");
        assert_eq!(run(experiment), run(experiment), "{name}");
    }
}

#[test]
fn small_deployments_meet_their_limits() {
    for scenario in ["lagos", "gujarat"] {
        let report = propagation::run(&options(scenario)).expect("a report");
        let relay = &report.relay;
        assert!(relay.time_in_force_ms.max <= 2_000.0, "{scenario}: {relay}");
        assert!(relay.time_in_force_ms.p50 < 500.0, "{scenario}: {relay}");
        assert_eq!(relay.without_last_revision, 0, "{scenario}");
        assert_eq!(relay.revisions_reverted, 0, "{scenario}");
        let sent = report.traffic.sent_bytes_per_second.max;
        assert!(sent <= 4_096.0, "{scenario}: {sent} bytes/s");
        let drained = drain::run(&options(scenario)).expect("a report");
        for departures in [&drained.planned_stops, &drained.zone_stop] {
            assert_eq!(
                departures.later_than_promised, 0,
                "{scenario}: {departures}"
            );
        }
        let churned = churn::run(&options(scenario)).expect("a report");
        assert_eq!(churned.relay.revisions_reverted, 0, "{scenario}");
        assert_eq!(churned.relay.ready_with_older, 0, "{scenario}");
        assert_eq!(churned.not_ready, 0, "{scenario}");
    }
}

#[test]
fn option_errors_list_the_allowed_values() {
    for (arguments, allowed) in [
        (["--scenario", "nowhere"], "allowed: lagos, gujarat, target"),
        (["--zones", "0"], "allowed: 1 to 64"),
        (
            ["--daemons", "1"],
            "allowed: 4 (one for each zone) to 13000",
        ),
        (["--seconds", "0"], "allowed: 1 to 86400"),
        (["--loss", "1.5"], "allowed: 0 to 0.9"),
        (["--seed", "x"], "allowed: a whole number of 64 bits"),
    ] {
        let parsed = parse(arguments.map(Into::into));
        let message = match parsed {
            Ok(wharfquay_emulator::arguments::Command::Run(arguments)) => {
                propagation::run(&arguments.options)
                    .err()
                    .map(|error| error.to_string())
            }
            Ok(_) => None,
            Err(error) => Some(error.to_string()),
        };
        let message = message.expect("rejected");
        assert!(message.contains(allowed), "{arguments:?}: {message}");
    }
}
