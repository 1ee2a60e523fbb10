//! `docs/CONFIGURATION.md` lists the fields, ranges and defaults of the daemon's settings.

mod support;

use std::collections::BTreeSet;

use support::{repository_file, run};
use wharfquay_daemon::settings::parse;

/// Settings with every table, and only the fields that have no default.
const MINIMAL: &str = r#"
id = "a"
zone = "z"
[backend]
service = "s"
address = "127.0.0.1:1"
[edge]
listen = "127.0.0.1:1"
[inbound]
listen = "127.0.0.1:1"
[outbound]
listen = "127.0.0.1:1"
[admin]
listen = "127.0.0.1:1"
[control]
listen = "127.0.0.1:1"
[platform]
addresses = ["127.0.0.1:1"]
"#;
const UNKNOWN_KEY: &str = "no_such_field";

/// A row of the page's table.
struct Row {
    field: String,
    field_type: String,
    allowed: String,
    default: String,
}

fn rows() -> Vec<Row> {
    let page = std::fs::read_to_string(repository_file("docs/CONFIGURATION.md")).expect("the page");
    let (_, section) = page.split_once("## Daemon settings").expect("the section");
    let lines = section.lines().filter(|line| line.starts_with("| `"));
    lines
        .map(|line| {
            let cells: Vec<&str> = line.split('|').map(str::trim).collect();
            let text = |index: usize| cells[index].trim_matches('`').to_owned();
            Row {
                field: text(1),
                field_type: text(2),
                allowed: text(4),
                default: text(5),
            }
        })
        .collect()
}

/// Parses the minimal settings with one override; returns their debug form or the error message.
fn with_override(field: &str, value: &str) -> Result<String, String> {
    let overrides = [format!("{field}={value}")];
    let settings = parse("settings", MINIMAL, &overrides);
    settings
        .map(|settings| format!("{settings:?}"))
        .map_err(|error| error.to_string())
}

/// Returns the keys that the error message for an unknown key lists.
fn known_keys(table: &str) -> Vec<String> {
    let field = if table.is_empty() {
        UNKNOWN_KEY.to_owned()
    } else {
        format!("{table}.{UNKNOWN_KEY}")
    };
    let message = with_override(&field, "1").expect_err("an unknown key is rejected");
    let (_, expected) = message.split_once("expected ").expect("the known keys");
    expected
        .split('`')
        .skip(1)
        .step_by(2)
        .map(str::to_owned)
        .collect()
}

#[test]
fn page_lists_exactly_the_fields_of_the_daemon() {
    let listed: BTreeSet<String> = rows().into_iter().map(|row| row.field).collect();
    let mut known = BTreeSet::new();
    for name in known_keys("") {
        if matches!(name.as_str(), "id" | "zone") {
            known.insert(name);
            continue;
        }
        known.extend(known_keys(&name).iter().map(|key| format!("{name}.{key}")));
    }
    assert_eq!(listed, known);
}

#[test]
fn ranges_on_the_page_match_the_daemon() {
    let numbers: Vec<Row> = rows()
        .into_iter()
        .filter(|row| row.field_type == "integer")
        .collect();
    assert!(!numbers.is_empty());
    for row in numbers {
        let (low, high) = row.allowed.split_once(" to ").expect("a range");
        let low: i64 = low.parse().expect("a number");
        let high: i64 = high.parse().expect("a number");
        for (value, is_allowed) in [
            (low - 1, false),
            (low, true),
            (high, true),
            (high + 1, false),
        ] {
            let result = with_override(&row.field, &value.to_string());
            assert_eq!(
                result.is_ok(),
                is_allowed,
                "{} = {value}: {result:?}",
                row.field
            );
        }
    }
}

#[test]
fn defaults_on_the_page_match_the_daemon() {
    let without = format!(
        "{:?}",
        parse("settings", MINIMAL, &[]).expect("valid settings")
    );
    for row in rows() {
        let is_required = row.default == "required" || row.default.starts_with("with ");
        if !is_required {
            let with = with_override(&row.field, &row.default);
            assert_eq!(with.as_deref(), Ok(without.as_str()), "{}", row.field);
        }
    }
}

#[test]
fn example_settings_and_scenarios_pass_the_check() {
    let files = [
        "examples/lagos/booking-1.daemon.toml",
        "examples/lagos/edge-ikeja.daemon.toml",
        "examples/gujarat/payment-1.daemon.toml",
        "examples/gujarat/edge-ahd-hall.daemon.toml",
        "scenarios/lagos.toml",
        "scenarios/gujarat.toml",
    ];
    let paths: Vec<String> = files.iter().map(|file| repository_file(file)).collect();
    let mut arguments = vec!["check", "--strict"];
    arguments.extend(paths.iter().map(String::as_str));
    let checked = run(&arguments);
    assert_eq!(checked.code, 0, "{}", checked.stdout);
    assert_eq!(
        checked.stdout,
        "6 files, 0 resources: 0 errors, 0 warnings\n"
    );
}
