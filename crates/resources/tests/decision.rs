//! Tests of decisions at the edge and their replay against another configuration.

use wharfquay_core::outcome::ResultCode;
use wharfquay_core::priority::{AdmissionLevel, Rank};
use wharfquay_resources::decision::{
    ChosenEndpoint, Decision, DecisionContext, DecisionRecord, RequestProperties, decide, replay,
};
use wharfquay_resources::parse::{SourceFile, parse};
use wharfquay_resources::snapshot::{Revision, Snapshot};

const CONFIGURATION: &str = r#"
[[service]]
name = "front"
slots = 10

[[request_kind]]
name = "look_up"
service = "front"
path_prefix = "/items"
priority = 2
deadline_ms = 500

[[request_kind]]
name = "pay"
service = "front"
method = "POST"
path_prefix = "/items"
priority = 0
deadline_ms = 900
repeatable = false
idempotency_key_required = true

[[retry_budget]]
name = "default"
retries_per_request = 1

[[claim_group]]
name = "default"
epoch = 1
replicas = ["front-1"]
"#;

fn snapshot(text: &str) -> Snapshot {
    let parsed = parse(&[SourceFile {
        name: "test".to_owned(),
        text: text.to_owned(),
    }]);
    assert!(!parsed.has_errors(), "{:?}", parsed.problems);
    parsed.snapshot()
}

fn request(method: &str, path: &str) -> RequestProperties {
    RequestProperties {
        service: "front".to_owned(),
        method: method.to_owned(),
        path: path.to_owned(),
        deadline_ms: None,
        has_idempotency_key: false,
        rank: Rank::from_number(100),
    }
}

fn circumstances(level: u16) -> DecisionContext {
    DecisionContext {
        level: AdmissionLevel::new(level),
        endpoint: Some(ChosenEndpoint {
            id: "front-1".to_owned(),
            zone: "ikeja".to_owned(),
        }),
    }
}

fn kind_of(decision: &Decision) -> Option<&str> {
    let policy = decision.treatment.as_ref();
    policy.map(|policy| policy.request_kind.as_str())
}

#[test]
fn a_request_is_matched_checked_and_admitted_in_turn() {
    const OPEN: u16 = 32_768;
    // Method, path, level, expected request kind, expected refusal.
    let cases = [
        ("GET", "/items/7", OPEN, Some("look_up"), None),
        (
            "POST",
            "/items",
            OPEN,
            Some("pay"),
            Some(ResultCode::MissingIdempotencyKey),
        ),
        (
            "GET",
            "/other",
            OPEN,
            None,
            Some(ResultCode::UnknownService),
        ),
        // Priority 2 and rank 100 make key 8292.
        ("GET", "/items", 8_293, Some("look_up"), None),
        (
            "GET",
            "/items",
            8_292,
            Some("look_up"),
            Some(ResultCode::RefusedByLevel),
        ),
        (
            "GET",
            "/items",
            0,
            Some("look_up"),
            Some(ResultCode::RefusedByLevel),
        ),
    ];
    let snapshot = snapshot(CONFIGURATION);
    for (method, path, level, kind, refused) in cases {
        let decision = decide(&snapshot, &request(method, path), &circumstances(level));
        assert_eq!(kind_of(&decision), kind, "{method} {path} {level}");
        let expected = refused.map(ResultCode::number);
        assert_eq!(decision.refused, expected, "{method} {path} {level}");
    }
}

#[test]
fn a_caller_can_shorten_the_deadline_but_not_lengthen_it() {
    let snapshot = snapshot(CONFIGURATION);
    for (requested, expected) in [(None, 500), (Some(200), 200), (Some(9_000), 500)] {
        let mut request = request("GET", "/items");
        request.deadline_ms = requested;
        let decision = decide(&snapshot, &request, &circumstances(32_768));
        let policy = decision.treatment.expect("a match");
        assert_eq!(policy.deadline_ms, expected);
    }
}

fn record(snapshot: &Snapshot, request: RequestProperties, level: u16) -> DecisionRecord {
    let circumstances = circumstances(level);
    DecisionRecord {
        at_unix_ms: 1,
        daemon: "edge-ikeja".to_owned(),
        origin: "0a".to_owned(),
        revision: Revision::new(1),
        decision: decide(snapshot, &request, &circumstances),
        request,
        circumstances,
    }
}

#[test]
fn a_replay_against_the_same_configuration_has_no_differences() {
    let snapshot = snapshot(CONFIGURATION);
    for level in [0, 8_292, 8_293, 32_768] {
        for method in ["GET", "POST"] {
            let record = record(&snapshot, request(method, "/items"), level);
            assert_eq!(replay(&snapshot, &record), []);
        }
    }
}

/// Name of the part, recorded value, replayed value.
type Difference = (&'static str, &'static str, &'static str);

#[test]
fn a_replay_lists_each_part_that_differs() {
    let before = snapshot(CONFIGURATION);
    // Text to replace in the configuration, its replacement, expected differences.
    let cases: [(&str, &str, &[Difference]); 5] = [
        (
            "priority = 2",
            "priority = 1",
            &[
                ("priority", "2", "1"),
                ("refused", "3001 RefusedByLevel", "none"),
            ],
        ),
        (
            "deadline_ms = 500",
            "deadline_ms = 400",
            &[("deadline_ms", "500", "400")],
        ),
        (
            "retries_per_request = 1",
            "retries_per_request = 0",
            &[("retries", "1", "0")],
        ),
        (
            "path_prefix = \"/items\"\npriority = 2",
            "path_prefix = \"/x\"\npriority = 2",
            &[
                ("request_kind", "look_up", "none"),
                ("priority", "2", "none"),
                ("deadline_ms", "500", "none"),
                ("retries", "1", "none"),
                ("repeatable", "true", "none"),
                ("refused", "3001 RefusedByLevel", "2003 UnknownService"),
            ],
        ),
        ("name = \"front\"", "name = \"front\"\nwarm_up_ms = 1", &[]),
    ];
    for (old, new, expected) in cases {
        let after = snapshot(&CONFIGURATION.replacen(old, new, 1));
        let differences = replay(&after, &record(&before, request("GET", "/items"), 8_000));
        let found: Vec<(&str, &str, &str)> = differences
            .iter()
            .map(|found| (found.part, found.recorded.as_str(), found.replayed.as_str()))
            .collect();
        assert_eq!(found, expected, "{new}");
    }
}

#[test]
fn a_drain_is_recorded_when_it_covers_the_chosen_backend() {
    let before = snapshot(CONFIGURATION);
    let record = record(&before, request("GET", "/items"), 32_768);
    for (target, is_covered) in [
        ("{ zone = \"ikeja\" }", true),
        ("{ backend = \"front-1\" }", true),
        ("{ service = \"front\" }", true),
        ("{ zone = \"yaba\" }", false),
        ("{ backend = \"front-2\" }", false),
    ] {
        let drain = format!("{CONFIGURATION}\n[[drain]]\nname = \"d\"\ntarget = {target}\n");
        let differences = replay(&snapshot(&drain), &record);
        assert_eq!(!differences.is_empty(), is_covered, "{target}");
    }
}
