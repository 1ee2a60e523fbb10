//! `explain` with a configuration from files and from the platform.

mod support;

use serde_json::{Value, json};
use support::{TestDaemon, TestPlatform, closed_address, repository_file, run};
use wharfquay_platform::wire::{Machine, MachineState};

fn lagos() -> String {
    repository_file("scenarios/lagos.resources.toml")
}

#[test]
fn request_is_explained_from_a_file() {
    let file = lagos();
    let explained = run(&[
        "explain",
        "GET /slots/12?day=3 HTTP/1.1",
        "--header",
        "Host: slot:80",
        "--header",
        "wharfquay-deadline-ms: 250",
        "--file",
        &file,
    ]);
    assert_eq!(explained.code, 0, "{}", explained.stderr);
    let expected = "\
service: slot
request kind look_up_slots: chosen: longest matching path prefix (/slots)
priority: 2
deadline: 250 ms
retries: 3 in the whole chain (retry budget default)
execution: may be executed again
longest chain: slot -> record
decision: admitted
backends: not known without --platform
";
    assert_eq!(explained.stdout, expected);
}

/// Request line, headers, level, exit code, and the expected decision or error.
type Case = (
    &'static str,
    &'static [&'static str],
    &'static str,
    i32,
    &'static str,
);

const CASES: &[Case] = &[
    ("POST /appointments", &["host: booking"], "1", 0, "admitted"),
    (
        "POST /appointments",
        &["host: booking"],
        "0",
        1,
        "3001 RefusedByLevel",
    ),
    (
        "GET /exports",
        &["host: export"],
        "24576",
        1,
        "3001 RefusedByLevel",
    ),
    ("GET /exports", &["host: export"], "24577", 0, "admitted"),
    (
        "GET /appointments",
        &["host: booking"],
        "32768",
        1,
        "2003 UnknownService",
    ),
    (
        "GET /slots",
        &["host: none"],
        "32768",
        1,
        "2003 UnknownService",
    ),
    ("GET", &["host: slot"], "32768", 2, "7005: request line"),
    (
        "GET slots",
        &["host: slot"],
        "32768",
        2,
        "7005: request line",
    ),
    ("GET /slots", &["host"], "32768", 2, "7005: --header"),
    ("GET /slots", &[], "32768", 2, "7006: --header is required"),
    (
        "GET /slots",
        &["host: slot", "wharfquay-deadline-ms: soon"],
        "32768",
        2,
        "7005: wharfquay-deadline-ms",
    ),
    (
        "GET /slots",
        &["host: slot", "idempotency-key: 1"],
        "32768",
        2,
        "7005: idempotency-key",
    ),
    (
        "GET /slots",
        &[
            "host: slot",
            "idempotency-key: 3d813cbb-47fb-42ba-91df-831e1593ac29",
        ],
        "32768",
        2,
        "wrong UUID version",
    ),
];

#[test]
fn decision_depends_on_match_and_level() {
    let file = lagos();
    for (line, headers, level, code, expected) in CASES {
        let mut arguments = vec!["explain", *line, "--file", &file, "--level", *level];
        for header in *headers {
            arguments.extend(["--header", *header]);
        }
        let explained = run(&arguments);
        let output = format!("{}{}", explained.stdout, explained.stderr);
        assert_eq!(explained.code, *code, "{line}: {output}");
        assert!(output.contains(expected), "{line}: {output}");
    }
}

fn machine(id: &str, zone: &str, state: MachineState) -> Machine {
    Machine {
        id: id.to_owned(),
        zone: zone.to_owned(),
        service: Some("slot".to_owned()),
        state,
        call_address: "127.0.0.1:9001".parse().expect("an address"),
        control_address: "127.0.0.1:9002".parse().expect("an address"),
    }
}

#[test]
fn candidates_are_listed_with_reasons() {
    let platform = TestPlatform::start();
    let applied = platform.run(&["apply", &lagos()]);
    assert_eq!(applied.code, 0, "{}", applied.stderr);
    let client = platform.client();
    let machines = [
        machine("slot-1", "ikeja", MachineState::Live),
        machine("slot-2", "yaba", MachineState::Live),
        machine("slot-3", "yaba", MachineState::Leaving),
        machine("slot-4", "lekki", MachineState::Live),
    ];
    for machine in machines {
        platform
            .block_on(client.put_machine(&machine))
            .expect("the machine is added");
    }
    let directory = support::TestDirectory::new("explain");
    let drain = directory.file(
        "drain.toml",
        b"[[drain]]\nname = \"lekki-works\"\ntarget = { zone = \"lekki\" }\n",
    );
    assert_eq!(platform.run(&["apply", &drain]).code, 0);
    let explained = platform.run(&[
        "explain",
        "GET /slots",
        "--header",
        "host: slot",
        "--zone",
        "yaba",
        "--json",
    ]);
    assert_eq!(explained.code, 0, "{}", explained.stderr);
    let explanation: Value = serde_json::from_str(&explained.stdout).expect("JSON");
    let candidates = explanation["candidates"].as_array().expect("candidates");
    let shown: Vec<(&str, bool, &str)> = candidates
        .iter()
        .map(|candidate| {
            let text = |field: &str| candidate[field].as_str().expect("text");
            (text("id"), candidate["usable"] == true, text("reason"))
        })
        .collect();
    let expected = [
        ("slot-2", true, "in the edge's zone, preferred"),
        (
            "slot-1",
            true,
            "in another zone, used when the edge's zone is loaded",
        ),
        ("slot-3", false, "leaving by the machine list"),
        ("slot-4", false, "leaving by drain lekki-works"),
    ];
    assert_eq!(shown, expected);
}

/// Guards against an explanation that calls a backend usable although it announces its leaving, or hides
/// the announced rate limit by which it refuses calls.
#[test]
fn announcements_of_the_backends_are_explained() {
    let platform = TestPlatform::start();
    assert_eq!(platform.run(&["apply", &lagos()]).code, 0);
    let mut addresses = vec![closed_address()];
    for (id, leaving, rate_limit) in [("slot-1", false, Some(5.8)), ("slot-2", true, None)] {
        let machine = machine(id, "ikeja", MachineState::Live);
        let client = platform.client();
        platform
            .block_on(client.put_machine(&machine))
            .expect("the machine is added");
        let page = json!({
            "id": id, "zone": "ikeja", "service": "slot", "ready": true, "leaving": leaving,
            "admission": {"level": 32_768, "rate_limit": rate_limit},
        });
        let daemon = TestDaemon::start(&page);
        addresses.push(daemon.address());
    }
    let explained = platform.run(&[
        "explain",
        "GET /slots",
        "--header",
        "host: slot",
        "--daemon",
        &addresses.join(","),
        "--json",
    ]);
    assert_eq!(explained.code, 0, "{}", explained.stderr);
    let explanation: Value = serde_json::from_str(&explained.stdout).expect("JSON");
    let candidates = &explanation["candidates"];
    assert_eq!(candidates[0]["id"], "slot-1");
    assert_eq!(candidates[0]["usable"], true);
    let reason = candidates[0]["reason"].as_str().expect("a reason");
    assert!(
        reason.contains("limit of 5.8 requests a second"),
        "{reason}"
    );
    assert_eq!(candidates[1]["usable"], false);
    assert_eq!(candidates[1]["reason"], "leaving by its daemon");
    let unread = explanation["unread_daemons"][0].as_str().expect("a daemon");
    assert!(unread.starts_with(&addresses[0]), "{unread}");
}
