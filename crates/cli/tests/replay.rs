//! `replay` over decision records.

mod support;

use serde_json::{Value, json};
use support::{TestDirectory, repository_file, run};

fn record(rank: u16, level: u16, refused: Option<u16>) -> String {
    let mut record = json!({
        "at_unix_ms": 1, "daemon": "edge-ikeja", "origin": "0a", "revision": 3,
        "request": {"service": "slot", "method": "GET", "path": "/slots", "rank": rank},
        "circumstances": {"level": level, "endpoint": {"id": "slot-1", "zone": "ikeja"}},
        "decision": {"treatment": {"request_kind": "look_up_slots", "priority": 2, "deadline_ms": 600, "retries": 3, "repeatable": true}},
    });
    if let Some(code) = refused {
        record["decision"]["refused"] = json!(code);
    }
    record.to_string()
}

#[test]
fn same_configuration_makes_the_same_decisions() {
    let directory = TestDirectory::new("replay-same");
    let lines = [record(0, 32_768, None), record(9, 8_000, Some(3001))].join("\n");
    let records = directory.file("records.jsonl", lines.as_bytes());
    let file = repository_file("scenarios/lagos.resources.toml");
    let replayed = run(&["replay", &records, "--file", &file]);
    assert_eq!(replayed.code, 0, "{}{}", replayed.stdout, replayed.stderr);
    assert_eq!(replayed.stdout, "2 records: 0 differ, 0 malformed\n");
}

#[test]
fn differing_decisions_are_printed_and_counted() {
    let directory = TestDirectory::new("replay-differs");
    let file = repository_file("scenarios/lagos.resources.toml");
    let text = std::fs::read_to_string(file).expect("the example can be read");
    let changed = text.replacen("priority = 2", "priority = 1", 1);
    let file = directory.file("changed.toml", changed.as_bytes());
    let lines = [record(0, 32_768, None), record(9, 8_000, Some(3001))].join("\n");
    let records = directory.file("records.jsonl", lines.as_bytes());
    let replayed = run(&["replay", &records, "--file", &file]);
    assert_eq!(replayed.code, 1);
    let expected = "\
LINE  REQUEST          PART      RECORDED             REPLAYED
1     slot GET /slots  priority  2                    1
2     slot GET /slots  priority  2                    1
2     slot GET /slots  refused   3001 RefusedByLevel  none
2 records: 2 differ, 0 malformed
  priority: 2
  refused: 1
";
    assert_eq!(replayed.stdout, expected);

    let limited = run(&[
        "replay", &records, "--file", &file, "--limit", "1", "--json",
    ]);
    let report: Value = serde_json::from_str(&limited.stdout).expect("JSON");
    assert_eq!(report["differing"], 2);
    assert_eq!(report["decisions"].as_array().map(Vec::len), Some(1));
}

#[test]
fn malformed_lines_are_reported_and_the_others_replayed() {
    let directory = TestDirectory::new("replay-malformed");
    let unknown = record(0, 32_768, None).replacen("{", "{\"speed\":1,", 1);
    let lines = ["{", "\u{fffd}", &unknown, &record(0, 32_768, None), ""].join("\n");
    let mut content = lines.into_bytes();
    content.extend(b"\xff\xff\n");
    let records = directory.file("records.jsonl", &content);
    let file = repository_file("scenarios/lagos.resources.toml");
    let replayed = run(&["replay", &records, "--file", &file]);
    assert_eq!(replayed.code, 1);
    assert_eq!(replayed.stdout, "1 records: 0 differ, 4 malformed\n");
    for line in [1, 2, 3, 5] {
        let position = format!("{records}:{line}: record: ");
        assert!(replayed.stderr.contains(&position), "{}", replayed.stderr);
    }
    let missing = run(&["replay", "/nonexistent.jsonl", "--file", &file]);
    assert_eq!(missing.code, 2);
    assert!(
        missing.stderr.contains("7012: /nonexistent.jsonl"),
        "{}",
        missing.stderr
    );
}

#[test]
fn invalid_configuration_is_rejected_with_its_problems() {
    let directory = TestDirectory::new("replay-invalid");
    let records = directory.file("records.jsonl", record(0, 1, None).as_bytes());
    let invalid = directory.file("invalid.toml", b"[[service]]\nname = \"a\"\nslots = 0\n");
    let replayed = run(&["replay", &records, "--file", &invalid]);
    assert_eq!(replayed.code, 1);
    assert!(
        replayed
            .stderr
            .contains("service.a.slots: 0 is out of range"),
        "{}",
        replayed.stderr
    );
    let none = run(&["replay", &records]);
    assert_eq!(none.code, 2);
    assert!(
        none.stderr
            .contains("7006: --file or --platform is required"),
        "{}",
        none.stderr
    );
}
