//! Tests that `docs/OPERATIONS.md` lists exactly the log events and metrics of the daemon.
//!
//! `UPDATE_PAGES=1 cargo test -p wharfquay-daemon --test operations_page` regenerates its tables.

mod support;

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::PathBuf;

use support::client::{self, Call};
use support::deployment::Deployment;
use wharfquay_daemon::events::Event;
use wharfquay_daemon::metrics::{Metric, Presence};
use wharfquay_daemon::status::DaemonStatus;

fn page_path() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs/OPERATIONS.md")
}

fn page() -> String {
    std::fs::read_to_string(page_path()).unwrap()
}

/// Splits the page into the text before, within and after the generated part of a section.
fn section<'a>(page: &'a str, name: &str) -> (&'a str, &'a str, &'a str) {
    let begin = format!("<!-- begin generated: {name} -->\n");
    let end = format!("<!-- end generated: {name} -->");
    let start = page.find(&begin).expect("the section") + begin.len();
    let length = page[start..].find(&end).expect("the section ends");
    (
        &page[..start],
        &page[start..start + length],
        &page[start + length..],
    )
}

fn check_section(name: &str, expected: &str) {
    let page = page();
    let (head, current, tail) = section(&page, name);
    if std::env::var_os("UPDATE_PAGES").is_some() {
        std::fs::write(page_path(), format!("{head}{expected}{tail}")).unwrap();
        return;
    }
    assert_eq!(
        current, expected,
        "run with UPDATE_PAGES=1 to update the page"
    );
}

fn codes<'a>(words: impl Iterator<Item = &'a str>) -> String {
    let words: Vec<String> = words.map(|word| format!("`{word}`")).collect();
    words.join(" ")
}

fn event_table() -> String {
    let mut text = "\n| Event | Level | Fields | Meaning |\n|---|---|---|---|\n".to_owned();
    for event in Event::ALL {
        let level = event.level().as_str().to_lowercase();
        let fields = codes(event.fields().iter().copied());
        let (name, meaning) = (event.name(), event.meaning());
        writeln!(text, "| `{name}` | {level} | {fields} | {meaning} |").unwrap();
    }
    text.push('\n');
    text
}

fn metric_table() -> String {
    let mut text =
        "\n| Metric | Kind | Unit | Labels | At | Meaning |\n|---|---|---|---|---|---|\n"
            .to_owned();
    for metric in Metric::ALL {
        let at = match metric.presence() {
            Presence::Always => "every daemon",
            Presence::BesideBackend => "back ends",
        };
        let labels = codes(metric.labels().split_whitespace());
        let (name, kind, unit) = (metric.name(), metric.kind().as_str(), metric.unit());
        let help = metric.help();
        writeln!(
            text,
            "| `{name}` | {kind} | {unit} | {labels} | {at} | {help} |"
        )
        .unwrap();
    }
    text.push('\n');
    text
}

/// A single test for both tables, because both are in one file that an update rewrites.
#[test]
fn the_tables_are_up_to_date() {
    check_section("events", &event_table());
    check_section("metrics", &metric_table());
}

/// Returns the metrics of a `/metrics` page with their types.
fn served(text: &str) -> BTreeMap<String, String> {
    let types = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let pairs = types.map(|line| line.split_once(' ').unwrap());
    pairs
        .map(|(name, kind)| (name.to_owned(), kind.to_owned()))
        .collect()
}

async fn fetch(admin: SocketAddr, path: &str) -> String {
    let response = client::send(admin, Call::get("admin", path)).await.unwrap();
    response.text()
}

/// Checks that every sample belongs to a metric of the catalogue and has its labels.
fn check_samples(text: &str) {
    for line in text.lines().filter(|line| !line.starts_with('#')) {
        let (name, _value) = line.rsplit_once(' ').unwrap();
        let (name, labels) = name.split_once('{').unwrap_or((name, ""));
        let metric = Metric::ALL.iter().find(|metric| metric.name() == name);
        let metric = metric.unwrap_or_else(|| panic!("not in the catalogue: {line}"));
        let labels = labels.trim_end_matches('}').split(',');
        let names: Vec<&str> = labels
            .filter_map(|pair| Some(pair.split_once('=')?.0))
            .collect();
        assert_eq!(names.join(" "), metric.labels(), "{line}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_page_lists_what_the_daemons_serve() {
    let deployment = Deployment::start(&["booking"]).await;
    deployment.send(Call::get("booking", "/work")).await;
    deployment.send(Call::get("nobody", "/work")).await;
    let page = page();
    let (_, table, _) = section(&page, "metrics");
    let rows: Vec<Vec<&str>> = table
        .lines()
        .filter(|line| line.starts_with("| `"))
        .map(|line| line.split('|').map(str::trim).collect())
        .collect();
    let listed = |at: &[&str]| -> BTreeMap<String, String> {
        let rows = rows.iter().filter(|row| at.contains(&row[5]));
        rows.map(|row| (row[1].trim_matches('`').to_owned(), row[2].to_owned()))
            .collect()
    };
    let addresses = deployment.admin_addresses();
    let beside_backend = fetch(addresses[0], "/metrics").await;
    assert_eq!(
        served(&beside_backend),
        listed(&["every daemon", "back ends"])
    );
    let edge = fetch(addresses[1], "/metrics").await;
    assert_eq!(served(&edge), listed(&["every daemon"]));
    for text in [&beside_backend, &edge] {
        check_samples(text);
    }
    for (text, sample) in [
        (
            &beside_backend,
            "wharfquay_admissions_total{side=\"inbound\",priority=\"2\",decision=\"admitted\"} 1",
        ),
        (
            &edge,
            "wharfquay_admissions_total{side=\"edge\",priority=\"2\",decision=\"admitted\"} 1",
        ),
        (
            &edge,
            "wharfquay_calls_total{side=\"edge\",result=\"2003\",name=\"UnknownService\",outcome=\"not-run\"} 1",
        ),
        (&edge, "wharfquay_endpoints{state=\"live\"} 1"),
        (&edge, "wharfquay_platform_available 1"),
        (&edge, "wharfquay_ready 1"),
    ] {
        assert!(text.lines().any(|line| line == sample), "{sample}\n{text}");
    }
}

/// The `/status` page has the fields of its type, and `docs/OPERATIONS.md` describes each of them.
#[tokio::test(flavor = "multi_thread")]
async fn the_status_fields_are_documented() {
    let deployment = Deployment::start(&["booking"]).await;
    let address = deployment.admin_addresses()[0];
    let text = fetch(address, "/status").await;
    let status: DaemonStatus = serde_json::from_str(&text).unwrap();
    assert!(status.ready && status.platform_available && status.unready_reason.is_none());
    let json: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert_eq!(json, serde_json::to_value(&status).unwrap());
    let page = page();
    let (_, after) = page.split_once("## Status page").expect("the section");
    let described = after.split("\n## ").next().unwrap();
    let fields = json.as_object().unwrap().keys();
    let nested = ["endpoints", "admission", "claims"].map(|key| {
        let value = &json[key];
        value.get(0).unwrap_or(value).as_object().unwrap().clone()
    });
    let nested = nested.iter().flat_map(serde_json::Map::keys);
    let drain = ["drains", "limit_ms", "calls_left"].map(str::to_owned);
    for field in fields.chain(nested).chain(&drain) {
        assert!(described.contains(&format!("`{field}`")), "{field}");
    }
}
