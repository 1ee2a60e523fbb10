//! `plan` over scenarios, compared with values calculated by hand.

mod support;

use serde_json::Value;
use support::{TestDirectory, run};

/// Two services with two backends of ten slots each, in two zones. A `view` holds a slot of `front`
/// for 30 ms (10 ms of work, 20 ms in `back`) and a slot of `back` for 20 ms; a `report` holds a
/// slot of `back` for 20 ms.
const SCENARIO: &str = r#"
name = "small"
zones = ["east", "west"]
[latency]
same_zone_us = 0
between_zones_us = 0
client_us = 0
[callers]
attempts = 1
retry_wait_ms = 1
impatient_share = 0.0
[[service]]
name = "front"
backends = 2
slots = 10
connections = 10
connect_us = 0
[[service]]
name = "back"
backends = 2
slots = 10
connections = 10
connect_us = 0
[[request]]
kind = "view"
method = "GET"
path = "/view"
entry = "front"
priority = 1
deadline_ms = 100
repeatable = true
rate = 300.0
[[request.step]]
service = "front"
work_us = 10000
calls = ["back"]
[[request.step]]
service = "back"
work_us = 20000
[[request]]
kind = "report"
method = "GET"
path = "/report"
entry = "back"
priority = 6
deadline_ms = 100
repeatable = true
rate = 500.0
[[request.step]]
service = "back"
work_us = 20000
"#;

struct Case {
    flags: &'static [&'static str],
    /// Expected exit code.
    code: i32,
    /// Expected utilisation of `front` and `back` after the change.
    utilisation: [Option<f64>; 2],
    /// Expected admitted share of `view` and `report`.
    admitted: [f64; 2],
}

const CASES: &[Case] = &[
    Case {
        flags: &[],
        code: 0,
        utilisation: [Some(0.45), Some(0.8)],
        admitted: [1.0, 1.0],
    },
    Case {
        // 600 views need 18 slots of front and 12 of back. This leaves 8 slots of back for the 1000
        // reports, which need 20.
        flags: &["--factor", "2"],
        code: 1,
        utilisation: [Some(0.9), Some(1.6)],
        admitted: [1.0, 0.4],
    },
    Case {
        // 300 views need 6 of the 10 remaining slots of back. This leaves 4 for the reports, which
        // need 10.
        flags: &["--lose-zone", "east"],
        code: 1,
        utilisation: [Some(0.9), Some(1.6)],
        admitted: [1.0, 0.4],
    },
    Case {
        flags: &["--drain", "backend=back-2"],
        code: 1,
        utilisation: [Some(0.45), Some(1.6)],
        admitted: [1.0, 0.4],
    },
    Case {
        flags: &["--drain", "service=back"],
        code: 1,
        utilisation: [Some(0.45), None],
        admitted: [0.0, 0.0],
    },
    Case {
        flags: &["--rate", "report=0", "--rate", "view=600"],
        code: 0,
        utilisation: [Some(0.9), Some(0.6)],
        admitted: [1.0, 1.0],
    },
    Case {
        // 1000 views need 30 slots of front, which has 20. The admitted views leave enough of back
        // for the reports.
        flags: &["--rate", "view=1000", "--rate", "report=300"],
        code: 1,
        utilisation: [Some(1.5), Some(1.3)],
        admitted: [2.0 / 3.0, 1.0],
    },
];

fn numbers<const N: usize>(list: &Value, field: &str) -> [Option<f64>; N] {
    std::array::from_fn(|index| list[index][field].as_f64())
}

#[test]
fn utilisation_and_refusals_match_hand_calculation() {
    let directory = TestDirectory::new("plan");
    let scenario = directory.file("small.toml", SCENARIO.as_bytes());
    for case in CASES {
        let mut arguments = vec!["plan", &scenario, "--json"];
        arguments.extend(case.flags);
        let planned = run(&arguments);
        assert_eq!(
            planned.code, case.code,
            "{:?}: {}",
            case.flags, planned.stderr
        );
        let plan: Value = serde_json::from_str(&planned.stdout).expect("JSON");
        let utilisation: [Option<f64>; 2] = numbers(&plan["services"], "utilisation_after");
        let admitted: [Option<f64>; 2] = numbers(&plan["request_kinds"], "admitted");
        for (found, expected) in utilisation.iter().zip(case.utilisation) {
            let difference = found
                .zip(expected)
                .map(|(found, expected)| (found - expected).abs());
            assert_eq!(found.is_some(), expected.is_some(), "{:?}", case.flags);
            assert!(
                difference.unwrap_or_default() < 1e-9,
                "{:?}: {found:?}",
                case.flags
            );
        }
        for (found, expected) in admitted.iter().zip(case.admitted) {
            let difference = (found.expect("a share") - expected).abs();
            assert!(difference < 1e-9, "{:?}: {found:?}", case.flags);
        }
    }
}

#[test]
fn drains_of_a_file_are_planned() {
    let directory = TestDirectory::new("plan-file");
    let drains = directory.file(
        "drains.toml",
        b"[[drain]]\nname = \"d\"\ntarget = { zone = \"ikeja\" }\n",
    );
    let by_file = run(&["plan", "lagos", "--file", &drains]);
    let by_flag = run(&["plan", "lagos", "--drain", "zone=ikeja"]);
    assert_eq!(by_file.stdout, by_flag.stdout);
    assert!(
        by_file.stdout.contains("booking      5 -> 3"),
        "{}",
        by_file.stdout
    );
}

/// Flags after `plan lagos`, and a part of the expected message.
const INVALID_FLAGS: &[(&[&str], &str)] = &[
    (&["--factor", "nan"], "7005: --factor"),
    (&["--factor", "-1"], "7005: --factor"),
    (&["--rate", "none=1"], "unknown request kind"),
    (&["--rate", "look_up_slots=inf"], "not a rate"),
    (&["--rate", "look_up_slots"], "not a kind and a number"),
    (
        &["--drain", "ikeja"],
        "allowed: zone=NAME, service=NAME or backend=ID",
    ),
    (
        &["--lose-zone", "ikja"],
        "no backend is covered (allowed: apapa, ikeja, lekki, yaba)",
    ),
];

#[test]
fn invalid_flags_are_reported_with_the_allowed_values() {
    for (flags, message) in INVALID_FLAGS {
        let mut arguments = vec!["plan", "lagos"];
        arguments.extend(*flags);
        let planned = run(&arguments);
        assert_eq!(planned.code, 2, "{flags:?}");
        assert!(
            planned.stderr.contains(message),
            "{flags:?}: {}",
            planned.stderr
        );
        assert_eq!(planned.stdout, "");
    }
    let unknown = run(&["plan", "/nonexistent.toml"]);
    assert_eq!(unknown.code, 2);
    assert!(
        unknown.stderr.contains("7014: scenario: /nonexistent.toml"),
        "{}",
        unknown.stderr
    );
}
