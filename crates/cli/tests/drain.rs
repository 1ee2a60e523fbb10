//! `drain` and `undrain`: the written resource, the estimate, and following the progress.

mod support;

use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use support::{Run, TestDaemon, TestDirectory, TestPlatform, run};
use wharfquay_platform::wire::{Machine, MachineState, ObjectKey};
use wharfquay_resources::snapshot::Revision;

const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts a platform with one service of two backends in two zones.
fn platform_with_machines(name: &str) -> TestPlatform {
    let platform = TestPlatform::start();
    let directory = TestDirectory::new(name);
    let path = directory.file("service.toml", b"[[service]]\nname = \"slot\"\nslots = 1\n");
    assert_eq!(platform.run(&["apply", &path]).code, 0);
    for (id, zone) in [("slot-1", "ikeja"), ("slot-2", "yaba")] {
        let machine = Machine {
            id: id.to_owned(),
            zone: zone.to_owned(),
            service: Some("slot".to_owned()),
            state: MachineState::Live,
            call_address: "127.0.0.1:9001".parse().expect("an address"),
            control_address: "127.0.0.1:9002".parse().expect("an address"),
        };
        let client = platform.client();
        platform
            .block_on(client.put_machine(&machine))
            .expect("the machine is added");
    }
    platform
}

fn drains(platform: &TestPlatform) -> Vec<Value> {
    let listed = platform.run(&["get", "drain", "--json"]);
    serde_json::from_str(&listed.stdout).expect("JSON")
}

fn put_drain_status(platform: &TestPlatform, expected: u64, status: Value) -> u64 {
    let client = platform.client();
    let key = ObjectKey::new("drain", "zone-ikeja");
    let write = client.put_status(key, Revision::new(expected), "reader", status);
    let receipt = platform.block_on(write).expect("the status is written");
    receipt.version.expect("a version").number()
}

/// Runs the program concurrently with the test.
fn run_in_background(platform: &TestPlatform, arguments: &[&str]) -> JoinHandle<Run> {
    let mut all: Vec<String> = arguments.iter().map(|&word| word.to_owned()).collect();
    all.extend(["--platform".to_owned(), platform.address()]);
    std::thread::spawn(move || {
        let all: Vec<&str> = all.iter().map(String::as_str).collect();
        run(&all)
    })
}

fn wait_for_drain(platform: &TestPlatform) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while drains(platform).is_empty() {
        assert!(Instant::now() < deadline, "the drain is not written");
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn drain_is_written_and_deleted() {
    let platform = platform_with_machines("drain-write");
    let drained = platform.run(&["drain", "zone", "ikeja", "--no-wait", "--limit-ms", "500"]);
    assert_eq!(drained.code, 0, "{}", drained.stderr);
    let expected = "\
SERVICE  LIVE BACKENDS  LEFT  LOAD AFTER
slot     2 -> 1         50%   unknown
drain/zone-ikeja: written, version 2
";
    assert_eq!(drained.stdout, expected);
    let spec = &drains(&platform)[0]["spec"];
    assert_eq!(
        *spec,
        json!({"name": "zone-ikeja", "target": {"zone": "ikeja"}, "limit_ms": 500})
    );

    let other = platform.run(&["undrain", "zone", "yaba"]);
    assert_eq!(other.code, 1);
    assert!(
        other
            .stderr
            .contains("7009: zone yaba: a drain with this target does not exist"),
        "{}",
        other.stderr
    );
    let shown = platform.run(&["undrain", "zone", "ikeja", "--dry-run"]);
    assert_eq!(shown.stdout, "drain/zone-ikeja: would be deleted\n");
    let deleted = platform.run(&["undrain", "zone", "ikeja"]);
    assert_eq!(
        deleted.stdout, "drain/zone-ikeja: deleted\n",
        "{}",
        deleted.stderr
    );
    assert_eq!(drains(&platform), Vec::<Value>::new());
}

#[test]
fn drain_that_leaves_no_backend_needs_force() {
    let platform = platform_with_machines("drain-force");
    let refused = platform.run(&["drain", "service", "slot", "--no-wait"]);
    assert_eq!(refused.code, 1);
    assert!(
        refused
            .stderr
            .contains("7019: no backend of slot would be left (allowed: with --force)"),
        "{}",
        refused.stderr
    );
    let unknown = platform.run(&["drain", "service", "slt", "--no-wait", "--force"]);
    assert_eq!(unknown.code, 1);
    assert!(
        unknown
            .stderr
            .contains("unknown service \"slt\", did you mean \"slot\"?"),
        "{}",
        unknown.stderr
    );
    let shown = platform.run(&["drain", "zone", "ikeja", "--dry-run"]);
    assert_eq!(shown.code, 0);
    assert_eq!(drains(&platform), Vec::<Value>::new());
    let forced = platform.run(&["drain", "service", "slot", "--no-wait", "--force"]);
    assert_eq!(forced.code, 0, "{}", forced.stderr);
}

/// Cases: calls of the two backends, limit of the remaining one, its load after the drain, and
/// whether the drain is accepted.
#[test]
fn drain_that_overloads_the_remaining_backends_needs_force() {
    let platform = platform_with_machines("drain-load");
    let cases = [
        ([4, 3], 8, "88%", true),
        ([6, 3], 8, "112%", false),
        ([1, 0], 0, "none left", false),
    ];
    for ([leaving, remaining], limit, share, is_accepted) in cases {
        let page = |id: &str, zone: &str, calls: u32, limit: u32| {
            json!({"id": id, "zone": zone, "service": "slot",
                "admission": {"level": 32_768, "in_flight": calls, "limit": limit, "queued": 0}})
        };
        let first = TestDaemon::start(&page("slot-1", "ikeja", leaving, 8));
        let second = TestDaemon::start(&page("slot-2", "yaba", remaining, limit));
        let addresses = format!("{},{}", first.address(), second.address());
        let drained = platform.run(&[
            "drain",
            "zone",
            "ikeja",
            "--dry-run",
            "--daemon",
            &addresses,
        ]);
        assert!(drained.stdout.contains(share), "{}", drained.stdout);
        assert_eq!(
            drained.code,
            i32::from(!is_accepted),
            "{share}: {}",
            drained.stderr
        );
        assert_eq!(
            drained
                .stderr
                .contains("7022: the remaining backends of slot"),
            !is_accepted,
            "{}",
            drained.stderr
        );
    }
}

#[test]
fn second_drain_counts_only_backends_that_the_first_left() {
    let platform = platform_with_machines("drain-second");
    assert_eq!(
        platform.run(&["drain", "zone", "ikeja", "--no-wait"]).code,
        0
    );
    let refused = platform.run(&["drain", "backend", "slot-2", "--no-wait"]);
    assert_eq!(refused.code, 1);
    assert!(
        refused
            .stdout
            .contains("slot     1 -> 0         0%    unknown"),
        "{}",
        refused.stdout
    );
}

#[test]
fn drain_is_followed_through_its_status() {
    let platform = platform_with_machines("drain-status");
    let running = run_in_background(&platform, &["drain", "zone", "ikeja"]);
    wait_for_drain(&platform);
    let status = |in_flight: u64, reported: u32| {
        json!({"observed_version": 2, "verdict": {"state": "accepted"}, "zones": {
            "ikeja": {"revision": 2, "daemons": 1, "reported": reported, "in_flight": in_flight},
            "yaba": {"revision": 2, "daemons": 1, "reported": 1}}})
    };
    let version = put_drain_status(&platform, 0, status(0, 0));
    let version = put_drain_status(&platform, version, status(3, 1));
    put_drain_status(&platform, version, status(0, 1));
    let drained = running.join().expect("the run completes");
    assert_eq!(drained.code, 0, "{}", drained.stderr);
    assert!(drained.stdout.contains("empty after"), "{}", drained.stdout);
}

#[test]
fn rejected_drain_stops_following() {
    let platform = platform_with_machines("drain-rejected");
    let running = run_in_background(&platform, &["drain", "zone", "ikeja"]);
    wait_for_drain(&platform);
    let rejected = json!({"observed_version": 2, "verdict": {"state": "rejected", "code": 5102, "reason": "not this one", "last_good_in_force": false}});
    put_drain_status(&platform, 0, rejected);
    let drained = running.join().expect("the run completes");
    assert_eq!(drained.code, 1);
    assert!(
        drained
            .stderr
            .contains("7016: the drain is rejected: not this one"),
        "{}",
        drained.stderr
    );
}

#[test]
fn drain_is_followed_through_status_pages_of_daemons() {
    let platform = platform_with_machines("drain-daemons");
    let page = |leaving: bool, calls: u32| json!({"id": "slot-1", "zone": "ikeja", "service": "slot", "leaving": leaving, "calls_in_flight": calls});
    let other = TestDaemon::start(
        &json!({"id": "slot-2", "zone": "yaba", "service": "slot", "calls_in_flight": 9}),
    );
    let daemon = TestDaemon::start(&page(false, 5));
    let addresses = format!("{},{}", daemon.address(), other.address());
    let running = run_in_background(
        &platform,
        &["drain", "zone", "ikeja", "--daemon", &addresses],
    );
    wait_for_drain(&platform);
    daemon.show_page(&page(true, 2), 2);
    assert!(!running.is_finished(), "calls are in flight");
    daemon.set_page(&page(true, 0));
    let drained = running.join().expect("the run completes");
    assert_eq!(drained.code, 0, "{}", drained.stderr);
    assert!(drained.stdout.contains("empty after"), "{}", drained.stdout);
}

#[test]
fn invalid_targets_are_reported_with_the_allowed_values() {
    for (arguments, message) in [
        (
            ["drain", "zones", "ikeja"],
            "7005: target: \"zones ikeja\" is not valid: not a drain target (allowed: zone NAME, service NAME or backend ID)",
        ),
        (["drain", "zone", ""], "7005: target"),
        (
            ["drain", "backend", "a b"],
            "7018: drain.backend-a-b.target.backend: \"a b\" is not valid",
        ),
        (["undrain", "host", "x"], "7005: target"),
    ] {
        let mut all = arguments.to_vec();
        all.extend(["--platform", "127.0.0.1:1"]);
        let rejected = run(&all);
        assert_eq!(rejected.code, 2, "{arguments:?}");
        assert!(
            rejected.stderr.contains(message),
            "{arguments:?}: {}",
            rejected.stderr
        );
    }
}
