//! `docs/OPERATIONS.md` lists exactly the log events and the metrics of a sidecar.
//!
//! `UPDATE_PAGES=1 cargo test -p wharfquay-sidecar --test operations_page` regenerates its tables.

use std::fmt::Write;
use std::path::PathBuf;

use wharfquay_sidecar::events::Event;
use wharfquay_sidecar::metrics::{CATALOGUE, Gauges, Metrics};

fn check_section(name: &str, expected: &str) {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs/OPERATIONS.md");
    let page = std::fs::read_to_string(&path).unwrap();
    let begin = format!("<!-- begin generated: {name} -->\n");
    let end = format!("<!-- end generated: {name} -->");
    let start = page.find(&begin).expect("the section begins") + begin.len();
    let length = page[start..].find(&end).expect("the section ends");
    if std::env::var_os("UPDATE_PAGES").is_some() {
        let (head, tail) = (&page[..start], &page[start + length..]);
        std::fs::write(path, format!("{head}{expected}{tail}")).unwrap();
        return;
    }
    assert_eq!(
        &page[start..start + length],
        expected,
        "run with UPDATE_PAGES=1 to update the page"
    );
}

/// One test checks both tables, because concurrent updates of the page would conflict.
#[test]
fn the_page_lists_every_event_and_metric() {
    let mut events = "| Event | Level | Fields | Meaning |\n|---|---|---|---|\n".to_owned();
    for event in Event::ALL {
        let fields = event.fields().iter().map(|field| format!("`{field}`"));
        let fields: Vec<String> = fields.collect();
        let level = event.level().as_str().to_lowercase();
        let (name, meaning) = (event.name(), event.meaning());
        writeln!(
            events,
            "| `{name}` | {level} | {} | {meaning} |",
            fields.join(" ")
        )
        .unwrap();
    }
    check_section("sidecar events", &events);
    let mut metrics = "| Metric | Meaning |\n|---|---|\n".to_owned();
    for (name, meaning) in CATALOGUE {
        writeln!(metrics, "| `{name}` | {meaning} |").unwrap();
    }
    check_section("sidecar metrics", &metrics);
}

#[test]
fn every_metric_without_labels_is_rendered_with_its_help() {
    let text = Metrics::new().unwrap().render(&Gauges::default());
    for (name, meaning) in CATALOGUE {
        let help = format!("# HELP {name} {meaning}");
        let has_labels = !text.contains(&format!("\n# TYPE {name} "));
        assert!(has_labels || text.contains(&help), "{name}");
    }
}
