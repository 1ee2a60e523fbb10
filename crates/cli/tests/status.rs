//! `status` from the platform's objects and from the status pages of daemons.

mod support;

use serde_json::{Value, json};
use support::{TestDaemon, TestDirectory, TestPlatform, closed_address, run};
use wharfquay_platform::wire::ObjectKey;
use wharfquay_resources::snapshot::Revision;

fn daemon_page(id: &str, zone: &str, level: u16) -> Value {
    json!({
        "id": id, "zone": zone, "service": "slot", "ready": true, "leaving": false,
        "revision": 12, "calls_in_flight": 3, "unknown_field": 1,
        "admission": {"level": level, "in_flight": 2, "limit": 8, "queued": 1},
    })
}

#[test]
fn resources_are_shown_with_their_verdict_and_zones() {
    let platform = TestPlatform::start();
    let directory = TestDirectory::new("status");
    let path = directory.file(
        "services.toml",
        b"[[service]]\nname = \"a\"\nslots = 1\n[[service]]\nname = \"b\"\nslots = 1\n[[service]]\nname = \"c\"\nslots = 1\n",
    );
    assert_eq!(platform.run(&["apply", &path, "--author", "first"]).code, 0);
    let put_status = |name: &str, status: Value| {
        let client = platform.client();
        let key = ObjectKey::new("service", name);
        let write = client.put_status(key, Revision::ZERO, "reader", status);
        platform.block_on(write).expect("the status is written");
    };
    put_status(
        "a",
        json!({"observed_version": 1, "verdict": {"state": "accepted"},
        "zones": {"ikeja": {"revision": 3, "daemons": 5, "reported": 4}}}),
    );
    put_status(
        "b",
        json!({"observed_version": 2, "verdict": {"state": "rejected", "code": 5102,
        "reason": "unknown service", "last_good_in_force": true}}),
    );
    let shown = platform.run(&["status"]);
    let expected = "\
store version: 3
RESOURCE   VERSION  AUTHOR  VERDICT                               IN FORCE
service/a  1        first   accepted                              ikeja 3 (4/5)
service/b  2        first   REJECTED, last good version in force
service/c  3        first   unknown
service/b: unknown service
";
    assert_eq!(shown.stdout, expected);
    assert_eq!(shown.code, 1);
}

#[test]
fn daemons_are_shown_with_limits_and_levels() {
    let first = TestDaemon::start(&daemon_page("slot-1", "ikeja", 32_768));
    let second = TestDaemon::start(&daemon_page("slot-2", "yaba", 10_240));
    let addresses = format!("{},{}", first.address(), second.address());
    let shown = run(&["status", "--daemon", &addresses]);
    assert_eq!(shown.code, 0, "{}", shown.stderr);
    let expected = "\
DAEMON  ZONE   SERVICE  STATE  REVISION  IN FLIGHT  LIMIT  QUEUED  LEVEL
slot-1  ikeja  slot     ready  12        3          8      1       open
slot-2  yaba   slot     ready  12        3          8      1       0-1, 2 at 50%

SERVICE  DAEMONS  LEAVING  REVISION  IN FLIGHT  LIMIT  QUEUED  LEVEL
slot     2        0        12        4          16     2       0-1, 2 at 50%
";
    assert_eq!(shown.stdout, expected);
}

#[test]
fn unreachable_daemon_is_reported() {
    let daemon = TestDaemon::start(&daemon_page("slot-1", "ikeja", 0));
    let closed = closed_address();
    let shown = run(&[
        "status",
        "--daemon",
        &daemon.address(),
        "--daemon",
        &closed,
        "--json",
    ]);
    assert_eq!(shown.code, 1);
    let report: Value = serde_json::from_str(&shown.stdout).expect("JSON");
    assert_eq!(report["daemons"][0]["status"]["admission"]["level"], 0);
    let error = report["daemons"][1]["error"].as_str().expect("an error");
    assert!(error.starts_with("no connection"), "{error}");
}

#[test]
fn malformed_page_is_reported() {
    let daemon = TestDaemon::start(&json!(["not", "a", "status"]));
    let shown = run(&["status", "--daemon", &daemon.address()]);
    assert_eq!(shown.code, 1);
    assert!(shown.stdout.contains("malformed page"), "{}", shown.stdout);
}

#[test]
fn watch_shows_the_status_repeatedly() {
    let daemon = TestDaemon::start(&daemon_page("slot-1", "ikeja", 0));
    let address = daemon.address();
    let shown = run(&[
        "status",
        "--daemon",
        &address,
        "--watch",
        "--count",
        "3",
        "--interval-ms",
        "100",
        "--json",
    ]);
    assert_eq!(shown.code, 0, "{}", shown.stderr);
    assert_eq!(shown.stdout.lines().count(), 3);
}

#[test]
fn source_is_required_and_the_platform_must_respond() {
    let none = run(&["status"]);
    assert_eq!(none.code, 2);
    assert!(
        none.stderr
            .contains("7006: --platform or --daemon is required"),
        "{}",
        none.stderr
    );
    let closed = run(&[
        "status",
        "--platform",
        &closed_address(),
        "--timeout-ms",
        "500",
    ]);
    assert_eq!(closed.code, 3);
}
