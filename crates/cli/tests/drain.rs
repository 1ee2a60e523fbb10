//! `drain` and `undrain`: the intention, the estimate and the following.

mod support;

use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use support::{Run, TestDaemon, TestDirectory, TestPlatform, run};
use wharfquay_platform::wire::{Machine, MachineState, ObjectKey};
use wharfquay_resources::snapshot::Revision;

const PATIENCE: Duration = Duration::from_secs(10);

/// A platform with one service of two back ends in two zones.
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

/// Runs the program beside the test.
fn run_beside(platform: &TestPlatform, arguments: &[&str]) -> JoinHandle<Run> {
    let mut all: Vec<String> = arguments.iter().map(|&word| word.to_owned()).collect();
    all.extend(["--platform".to_owned(), platform.address()]);
    std::thread::spawn(move || {
        let all: Vec<&str> = all.iter().map(String::as_str).collect();
        run(&all)
    })
}

fn wait_for_drain(platform: &TestPlatform) {
    let give_up_at = Instant::now() + PATIENCE;
    while drains(platform).is_empty() {
        assert!(Instant::now() < give_up_at, "the drain is not written");
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn the_intention_is_written_and_withdrawn() {
    let platform = platform_with_machines("drain-write");
    let drained = platform.run(&["drain", "zone", "ikeja", "--no-wait", "--limit-ms", "500"]);
    assert_eq!(drained.code, 0, "{}", drained.stderr);
    let expected = "\
SERVICE  LIVE BACK ENDS  LEFT  LOAD AFTER
slot     2 -> 1          50%   unknown
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
            .contains("7009: zone yaba: a drain of it does not exist"),
        "{}",
        other.stderr
    );
    let shown = platform.run(&["undrain", "zone", "ikeja", "--dry-run"]);
    assert_eq!(shown.stdout, "drain/zone-ikeja: would be deleted\n");
    let withdrawn = platform.run(&["undrain", "zone", "ikeja"]);
    assert_eq!(
        withdrawn.stdout, "drain/zone-ikeja: deleted\n",
        "{}",
        withdrawn.stderr
    );
    assert_eq!(drains(&platform), Vec::<Value>::new());
}

#[test]
fn a_drain_that_leaves_nothing_needs_force() {
    let platform = platform_with_machines("drain-force");
    let refused = platform.run(&["drain", "service", "slot", "--no-wait"]);
    assert_eq!(refused.code, 1);
    assert!(
        refused
            .stderr
            .contains("7019: no back end of slot would be left (allowed: with --force)"),
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

/// Calls of the two back ends, the limit of the one that stays, and whether the drain is written.
#[test]
fn a_drain_that_the_rest_cannot_carry_needs_force() {
    let platform = platform_with_machines("drain-load");
    let cases = [
        ([4, 3], 8, "88%", true),
        ([6, 3], 8, "112%", false),
        ([1, 0], 0, "none left", false),
    ];
    for ([leaving, staying], limit, share, is_written) in cases {
        let page = |id: &str, zone: &str, calls: u32, limit: u32| {
            json!({"id": id, "zone": zone, "service": "slot",
                "admission": {"level": 32_768, "in_flight": calls, "limit": limit, "queued": 0}})
        };
        let first = TestDaemon::start(&page("slot-1", "ikeja", leaving, 8));
        let second = TestDaemon::start(&page("slot-2", "yaba", staying, limit));
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
            i32::from(!is_written),
            "{share}: {}",
            drained.stderr
        );
        assert_eq!(
            drained.stderr.contains("7022: the rest of slot"),
            !is_written,
            "{}",
            drained.stderr
        );
    }
}

#[test]
fn a_second_drain_counts_only_what_the_first_left() {
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
            .contains("slot     1 -> 0          0%    unknown"),
        "{}",
        refused.stdout
    );
}

#[test]
fn the_drain_is_followed_by_its_status() {
    let platform = platform_with_machines("drain-status");
    let running = run_beside(&platform, &["drain", "zone", "ikeja"]);
    wait_for_drain(&platform);
    let status = |in_flight: u64, reported: u32| {
        json!({"observed_version": 2, "verdict": {"state": "accepted"}, "zones": {
            "ikeja": {"revision": 2, "daemons": 1, "reported": reported, "in_flight": in_flight},
            "yaba": {"revision": 2, "daemons": 1, "reported": 1}}})
    };
    let version = put_drain_status(&platform, 0, status(0, 0));
    let version = put_drain_status(&platform, version, status(3, 1));
    put_drain_status(&platform, version, status(0, 1));
    let drained = running.join().expect("the run ends");
    assert_eq!(drained.code, 0, "{}", drained.stderr);
    assert!(drained.stdout.contains("empty after"), "{}", drained.stdout);
}

#[test]
fn a_rejected_drain_ends_the_following() {
    let platform = platform_with_machines("drain-rejected");
    let running = run_beside(&platform, &["drain", "zone", "ikeja"]);
    wait_for_drain(&platform);
    let rejected = json!({"observed_version": 2, "verdict": {"state": "rejected", "code": 5102, "reason": "not this one", "last_good_in_force": false}});
    put_drain_status(&platform, 0, rejected);
    let drained = running.join().expect("the run ends");
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
fn the_drain_is_followed_by_its_daemons() {
    let platform = platform_with_machines("drain-daemons");
    let page = |leaving: bool, calls: u32| json!({"id": "slot-1", "zone": "ikeja", "service": "slot", "leaving": leaving, "calls_in_flight": calls});
    let other = TestDaemon::start(
        &json!({"id": "slot-2", "zone": "yaba", "service": "slot", "calls_in_flight": 9}),
    );
    let daemon = TestDaemon::start(&page(false, 5));
    let addresses = format!("{},{}", daemon.address(), other.address());
    let running = run_beside(
        &platform,
        &["drain", "zone", "ikeja", "--daemon", &addresses],
    );
    wait_for_drain(&platform);
    daemon.show_page(&page(true, 2), 2);
    assert!(!running.is_finished(), "calls are in flight");
    daemon.set_page(&page(true, 0));
    let drained = running.join().expect("the run ends");
    assert_eq!(drained.code, 0, "{}", drained.stderr);
    assert!(drained.stdout.contains("empty after"), "{}", drained.stdout);
}

#[test]
fn bad_targets_are_named_with_what_is_allowed() {
    for (arguments, message) in [
        (
            ["drain", "zones", "ikeja"],
            "7005: target: \"zones ikeja\" is not valid: no target (allowed: zone NAME, service NAME or backend ID)",
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
        let refused = run(&all);
        assert_eq!(refused.code, 2, "{arguments:?}");
        assert!(
            refused.stderr.contains(message),
            "{arguments:?}: {}",
            refused.stderr
        );
    }
}
