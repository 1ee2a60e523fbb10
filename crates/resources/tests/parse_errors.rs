//! Tests of the messages, codes and lines that parsing and validation report.

use wharfquay_resources::fields::{FieldDefault, fields_of};
use wharfquay_resources::kinds::ResourceKind;
use wharfquay_resources::parse::{Parsed, SourceFile, parse, parse_with_base};
use wharfquay_resources::spec::{read_spec, to_spec};

const VALID: &str = r#"
[[service]]
name = "front"
slots = 10
calls = ["back"]

[[service]]
name = "back"
slots = 4

[[request_kind]]
name = "look_up"
service = "front"
method = "GET"
path_prefix = "/items"
priority = 2
deadline_ms = 500

[[retry_budget]]
name = "default"
retries_per_request = 2
"#;

fn file(name: &str, text: &str) -> SourceFile {
    SourceFile {
        name: name.to_owned(),
        text: text.to_owned(),
    }
}

fn messages(parsed: &Parsed) -> Vec<String> {
    parsed.problems.iter().map(ToString::to_string).collect()
}

#[test]
fn a_valid_file_has_no_problem() {
    let parsed = parse(&[file("a.toml", VALID)]);
    assert_eq!(messages(&parsed), Vec::<String>::new());
    assert_eq!(parsed.resources.len(), 4);
}

/// Content of a file and the one message expected for it.
struct Case {
    text: &'static str,
    message: &'static str,
}

const SINGLE_FIELD_CASES: &[Case] = &[
    Case {
        text: "[[service]]\nname = \"a\"\nslots = 0\n",
        message: "f:3: service.a.slots: 0 is out of range (allowed: 1 to 10000) [5006]",
    },
    Case {
        text: "[[service]]\nname = \"a\"\nslots = -3\n",
        message: "f:3: service.a.slots: -3 is out of range (allowed: 1 to 10000) [5006]",
    },
    Case {
        text: "[[service]]\nname = \"a\"\nslots = 1.5\n",
        message: "f:3: service.a.slots: expected a whole number, got the number 1.5 (allowed: 1 to 10000) [5005]",
    },
    Case {
        text: "[[service]]\nname = \"a\"\n",
        message: "f:1: service.a.slots: required field is absent (allowed: 1 to 10000) [5004]",
    },
    Case {
        text: "[[service]]\nname = \"a\"\nslots = 1\nslot = 2\n",
        message: "f:4: service.a.slot: unknown field, did you mean \"slots\"? (allowed: name, slots, connections, queue_wait_ms, warm_up_ms, calls) [5003]",
    },
    Case {
        text: "[[service]]\nname = \"a\"\nslots = 1\nqueue_wait_ms = nan\n",
        message: "f:4: service.a.queue_wait_ms: expected a whole number, got a value that is not a string, number, boolean, list or table (allowed: 0 to 60000) [5005]",
    },
    Case {
        text: "[[service]]\nname = \"A b\"\nslots = 1\n",
        message: "f:2: service.name: \"A b\" is not valid (allowed: 1 to 64 of a-z 0-9 _ -, starting with a letter or digit) [5007]",
    },
    Case {
        text: "[[service]]\nname = \"a\"\nslots = 1\ncalls = [\"a\", \"a\"]\n",
        message: "f:4: service.a.calls: \"a\" occurs twice (allowed: a list of service names, each once) [5007]",
    },
    Case {
        text: "[[service]]\nname = \"a\"\nslots = 1\ncalls = [\"b\"]\n",
        message: "f:4: service.a.calls: unknown service \"b\" (allowed: a) [5102]",
    },
    Case {
        text: "[[retry_budget]]\nname = \"a\"\nretries_per_request = 65\n",
        message: "f:3: retry_budget.a.retries_per_request: 65 is out of range (allowed: 0 to 64) [5006]",
    },
    Case {
        text: "[[retry_budget]]\nname = \"a\"\nretries_per_request = 1\nratio = 1.01\n",
        message: "f:4: retry_budget.a.ratio: 1.01 is out of range (allowed: 0.0 to 1.0) [5006]",
    },
    Case {
        text: "[[retry_budget]]\nname = \"a\"\nretries_per_request = 1\nbackoff_base_ms = 200\n",
        message: "f:1: retry_budget.a.backoff_max_ms: 100 is below backoff_base_ms (200) (allowed: 200 to 60000) [5008]",
    },
    Case {
        text: "[[drain]]\nname = \"a\"\ntarget = \"ikeja\"\n",
        message: "f:3: drain.a.target: expected a table, got the string \"ikeja\" (allowed: { backend = \"…\" }, { service = \"…\" } or { zone = \"…\" }) [5005]",
    },
    Case {
        text: "[[drain]]\nname = \"a\"\n[drain.target]\nzones = \"ikeja\"\n",
        message: "f:4: drain.a.target.zones: unknown field, did you mean \"zone\"? (allowed: backend, service, zone) [5003]",
    },
    Case {
        text: "[[drain]]\nname = \"a\"\ntarget = { zone = \"x\", service = \"y\" }\n",
        message: "f:3: drain.a.target: 2 keys in the table (allowed: { backend = \"…\" }, { service = \"…\" } or { zone = \"…\" }) [5006]",
    },
    Case {
        text: "[[claim_group]]\nname = \"default\"\nepoch = 3\nreplicas = [\"a\"]\n",
        message: "f:1: claim_group.default.previous_replicas: absent in epoch 3 (allowed: the replicas of epoch 2, or [] when none of them runs any more) [5008]",
    },
    Case {
        text: "[[claim_group]]\nname = \"default\"\nepoch = 1\nreplicas = [\"a\", \"b\"]\n",
        message: "f:4: claim_group.default.replicas: 2 replicas, an even number (allowed: 1, 3, 5, 7 or 9 daemon ids) [5006]",
    },
    Case {
        text: "[[services]]\nname = \"a\"\n",
        message: "f:1: services: unknown resource kind, did you mean \"service\"? (allowed: [[service]], [[request_kind]], [[retry_budget]], [[drain]], [[claim_group]]) [5002]",
    },
    Case {
        text: "[service]\nname = \"a\"\nslots = 1\n",
        message: "f:1: service: is not a list of tables; write [[service]] (allowed: [[service]], [[request_kind]], [[retry_budget]], [[drain]], [[claim_group]]) [5002]",
    },
    Case {
        text: "\n\n[[service]\nname = 1\n",
        message: "f:3: file: unclosed array table, expected `]` (allowed: TOML) [5001]",
    },
];

#[test]
fn each_invalid_field_is_reported_with_its_line_and_the_allowed_values() {
    for case in SINGLE_FIELD_CASES {
        let parsed = parse(&[file("f", case.text)]);
        assert_eq!(messages(&parsed), [case.message], "text: {}", case.text);
        assert!(parsed.has_errors());
    }
}

/// Text that is added to [`VALID`], which fills lines 1 to 21, and the one message expected.
const CROSS_RESOURCE_CASES: &[Case] = &[
    Case {
        text: "[[request_kind]]\nname = \"other\"\nservice = \"frnt\"\npriority = 1\ndeadline_ms = 900\n",
        message: "f:24: request_kind.other.service: unknown service \"frnt\", did you mean \"front\"? (allowed: back, front) [5102]",
    },
    Case {
        text: "[[request_kind]]\nname = \"other\"\nservice = \"front\"\npriority = 1\ndeadline_ms = 900\nretry_budget = \"none\"\n",
        message: "f:27: request_kind.other.retry_budget: unknown retry_budget \"none\" (allowed: default) [5102]",
    },
    Case {
        text: "[[request_kind]]\nname = \"other\"\nservice = \"front\"\nmethod = \"GET\"\npath_prefix = \"/items\"\npriority = 1\ndeadline_ms = 900\n",
        message: "f:26: request_kind.other.path_prefix: GET /items to \"front\" is matched by request_kind \"look_up\" too (allowed: a combination of service, method and path_prefix that is used once) [5103]",
    },
    Case {
        text: "[[request_kind]]\nname = \"other\"\nservice = \"front\"\npriority = 0\ndeadline_ms = 900\nrepeatable = false\nidempotency_key_required = true\n",
        message: "f:28: request_kind.other.idempotency_key_required: true, and there is no claim group \"default\" (allowed: false, or true with a claim_group named \"default\") [5104]",
    },
    Case {
        text: "[[service]]\nname = \"front\"\nslots = 4\n",
        message: "f:23: service.front.name: the name is already used at f:2 (allowed: a name used once in its kind) [5101]",
    },
    Case {
        text: "[[service]]\nname = \"ring\"\nslots = 4\ncalls = [\"ring\"]\n",
        message: "f:25: service.ring.calls: warning: cycle ring -> ring (allowed: calls without a cycle) [5201]",
    },
    Case {
        text: "[[request_kind]]\nname = \"hasty\"\nservice = \"front\"\npriority = 1\ndeadline_ms = 100\n",
        message: "f:26: request_kind.hasty.deadline_ms: warning: 100 ms, and the queues of front -> back may add up to 100 ms (allowed: more than 100, or a shorter queue_wait_ms) [5204]",
    },
    Case {
        text: "[[retry_budget]]\nname = \"slow\"\nretries_per_request = 1\nbackoff_base_ms = 700\nbackoff_max_ms = 900\n[[request_kind]]\nname = \"x\"\nservice = \"front\"\npriority = 1\ndeadline_ms = 600\nretry_budget = \"slow\"\n",
        message: "f:31: request_kind.x.deadline_ms: warning: 600 ms, and retry_budget \"slow\" waits 700 ms before the first retry (allowed: more than 700) [5205]",
    },
    Case {
        text: "[[retry_budget]]\nname = \"many\"\nretries_per_request = 3\n[[request_kind]]\nname = \"x\"\nservice = \"front\"\npriority = 1\ndeadline_ms = 600\nretry_budget = \"many\"\n",
        message: "f:24: retry_budget.many.retries_per_request: warning: 3 retries for a chain of 2 services (front -> back) (allowed: 0 to 2) [5202]",
    },
    Case {
        text: "[[drain]]\nname = \"d\"\ntarget = { service = \"back\" }\n",
        message: "f:24: drain.d.target: warning: no backend of \"back\" is left, which front need (allowed: a drain of some backends or of a zone) [5203]",
    },
    Case {
        text: "[[request_kind]]\nname = \"pay\"\nservice = \"front\"\npriority = 0\ndeadline_ms = 900\nrepeatable = false\n",
        message: "f:27: request_kind.pay.repeatable: warning: false, and without claim group \"default\" a repeat by the caller is not recognised (allowed: false with a claim_group named \"default\") [5208]",
    },
    Case {
        text: "[[request_kind]]\nname = \"x\"\nservice = \"front\"\npriority = 0\ndeadline_ms = 900\nidempotency_key_required = true\n",
        message: "f:27: request_kind.x.idempotency_key_required: warning: true has no effect on a repeatable request kind (allowed: false, or repeatable = false) [5207]",
    },
    Case {
        text: "[[claim_group]]\nname = \"default\"\nepoch = 1\nreplicas = [\"a\"]\n[[drain]]\nname = \"d\"\ntarget = { backend = \"a\" }\n",
        message: "f:25: claim_group.default.replicas: warning: drains cover 1 of 1 replicas (a) (allowed: at most 0 leaving) [5209]",
    },
    Case {
        text: "[[claim_group]]\nname = \"second\"\nepoch = 1\nreplicas = [\"a\"]\n",
        message: "f:23: claim_group.second.name: warning: \"second\" is not in use (allowed: default) [5210]",
    },
];

#[test]
fn problems_between_resources_are_found() {
    assert_eq!(VALID.lines().count(), 21);
    for case in CROSS_RESOURCE_CASES {
        let parsed = parse(&[file("f", &format!("{VALID}{}", case.text))]);
        assert_eq!(messages(&parsed), [case.message], "text: {}", case.text);
    }
}

#[test]
fn every_problem_of_every_file_is_reported_in_one_run() {
    let first = file(
        "a.toml",
        "[[service]]\nname = \"a\"\nslots = 0\nspeed = 1\n",
    );
    let second = file(
        "b.toml",
        "[[drain]]\nname = \"d\"\ntarget = { service = \"a\" }\nlimit_ms = true\n",
    );
    let third = file("c.toml", "[[service]]\nname = \"a\"\nslots = 1\n");
    let parsed = parse(&[first, second, third]);
    let positions: Vec<(&str, usize, u16)> = parsed
        .problems
        .iter()
        .map(|problem| {
            (
                problem.file.as_str(),
                problem.line,
                problem.finding.code.number(),
            )
        })
        .collect();
    let expected = [
        ("a.toml", 3, 5006),
        ("a.toml", 4, 5003),
        ("b.toml", 4, 5005),
        ("c.toml", 2, 5101),
    ];
    assert_eq!(positions, expected);
}

#[test]
fn a_broken_file_does_not_make_references_into_it_unknown() {
    let broken = file("a.toml", "[[service]]\nname = \n");
    let user = file(
        "b.toml",
        "[[drain]]\nname = \"d\"\ntarget = { service = \"a\" }\n",
    );
    let parsed = parse(&[broken, user]);
    let codes: Vec<u16> = parsed
        .problems
        .iter()
        .map(|problem| problem.finding.code.number())
        .collect();
    assert_eq!(codes, [5001, 5203]);
}

#[test]
fn a_very_long_chain_of_calls_is_checked() {
    const LENGTH: usize = 20_000;
    let mut text = String::new();
    for index in 0..LENGTH {
        let next = (index + 1) % LENGTH;
        text.push_str(&format!(
            "[[service]]\nname = \"s{index}\"\nslots = 1\ncalls = [\"s{next}\"]\n"
        ));
    }
    let parsed = parse(&[file("f", &text)]);
    assert_eq!(parsed.problems.len(), 1);
    assert!(!parsed.has_errors());
}

#[test]
fn defaults_of_the_field_table_are_those_of_the_types() {
    let minimal = |kind| match kind {
        ResourceKind::Service => r#"{"name":"a","slots":1}"#,
        ResourceKind::RequestKind => r#"{"name":"a","service":"s","priority":0,"deadline_ms":1}"#,
        ResourceKind::RetryBudget => r#"{"name":"a","retries_per_request":1}"#,
        ResourceKind::Drain => r#"{"name":"a","target":{"zone":"z"}}"#,
        ResourceKind::ClaimGroup => r#"{"name":"a","epoch":1,"replicas":["r"]}"#,
    };
    for kind in ResourceKind::ALL {
        let minimal_spec: serde_json::Value = serde_json::from_str(minimal(kind)).expect("JSON");
        let spec = to_spec(&read_spec(kind, &minimal_spec).expect("a minimal spec is valid"));
        for field in fields_of(kind) {
            let found = spec.get(field.name);
            match field.default {
                FieldDefault::Required => assert_eq!(found, minimal_spec.get(field.name)),
                FieldDefault::Absent(_) => assert_eq!(found, None),
                FieldDefault::Value(text) => {
                    let value: serde_json::Value = serde_json::from_str(text).expect("JSON");
                    assert_eq!(found, Some(&value), "{kind}.{}", field.name);
                }
            }
        }
        let known = spec.as_object().expect("a table").len();
        let absent = fields_of(kind)
            .iter()
            .filter(|field| matches!(field.default, FieldDefault::Absent(_)));
        assert_eq!(known + absent.count(), fields_of(kind).len(), "{kind}");
    }
}

/// Epoch, replicas, previous replicas and expected message of a group that replaces the group of
/// epoch 3 with the replicas a, b and c.
const FOLLOWING_GROUPS: &[(u32, &str, &str, Option<&str>)] = &[
    (3, "'c', 'b', 'a'", "", None),
    (4, "'a', 'b', 'd'", "'b', 'a', 'c'", None),
    (4, "'a', 'b', 'd'", "", None),
    (
        4,
        "'a', 'b', 'd'",
        "'a'",
        Some(
            "f:5: claim_group.default.previous_replicas: a are not the replicas of epoch 3 (allowed: a, b, c, or [] when none of them runs any more) [5106]",
        ),
    ),
    (
        3,
        "'a', 'b', 'd'",
        "",
        Some(
            "f:3: claim_group.default.epoch: 3 does not follow on epoch 3 with replicas a, b, c (allowed: 4) [5106]",
        ),
    ),
    (
        5,
        "'a', 'b', 'd'",
        "",
        Some(
            "f:3: claim_group.default.epoch: 5 does not follow on epoch 3 with replicas a, b, c (allowed: 4) [5106]",
        ),
    ),
    (
        2,
        "'a', 'b', 'c'",
        "",
        Some(
            "f:3: claim_group.default.epoch: 2 does not follow on epoch 3 with replicas a, b, c (allowed: 3 or 4) [5106]",
        ),
    ),
];

#[test]
fn a_claim_group_must_match_the_epoch_and_replicas_on_the_platform() {
    let group = |epoch: u32, replicas: &str, previous: &str| {
        let text = format!(
            "[[claim_group]]\nname = 'default'\nepoch = {epoch}\nreplicas = [{replicas}]\nprevious_replicas = [{previous}]\n"
        );
        file("f", &text)
    };
    let base = parse(&[group(3, "'a', 'b', 'c'", "")]).snapshot();
    for (epoch, replicas, previous, expected) in FOLLOWING_GROUPS {
        let parsed = parse_with_base(&[group(*epoch, replicas, previous)], &base);
        let expected: Vec<String> = expected.iter().map(|&text| text.to_owned()).collect();
        assert_eq!(messages(&parsed), expected);
    }
}
