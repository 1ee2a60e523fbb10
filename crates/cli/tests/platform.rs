//! The commands that read and write the platform, with an emulated platform.

mod support;

use serde_json::Value;
use support::{TestDirectory, TestPlatform, closed_address, run};
use wharfquay_emulator::platform::FaultSwitches;

const TWO_SERVICES: &[u8] =
    b"[[service]]\nname = \"front\"\nslots = 10\ncalls = [\"back\"]\n[[service]]\nname = \"back\"\nslots = 4\n";

/// Starts a platform with two services, and returns it with a directory and the path of the
/// services' file.
fn platform_with_services(name: &str) -> (TestPlatform, TestDirectory, String) {
    let platform = TestPlatform::start();
    let directory = TestDirectory::new(name);
    let path = directory.file("services.toml", TWO_SERVICES);
    let applied = platform.run(&["apply", &path, "--author", "first"]);
    assert_eq!(applied.code, 0, "{}", applied.stderr);
    (platform, directory, path)
}

fn objects(platform: &TestPlatform) -> Vec<Value> {
    let listed = platform.run(&["get", "--json"]);
    assert_eq!(listed.code, 0, "{}", listed.stderr);
    serde_json::from_str(&listed.stdout).expect("JSON")
}

fn versions(platform: &TestPlatform) -> Vec<(String, u64)> {
    let objects = objects(platform);
    let named = objects.iter().map(|object| {
        let name = object["name"].as_str().expect("a name").to_owned();
        (name, object["version"].as_u64().expect("a version"))
    });
    named.collect()
}

#[test]
fn applied_resources_can_be_read_and_reapplied() {
    let (platform, directory, path) = platform_with_services("apply");
    let listed = platform.run(&["get"]);
    let expected = "KIND     NAME   VERSION  AUTHOR\nservice  back   2        first\nservice  front  1        first\n";
    assert_eq!(listed.stdout, expected);

    let again = platform.run(&["apply", &path]);
    assert_eq!(
        again.stdout,
        "service/front: unchanged\nservice/back: unchanged\n"
    );

    let saved = platform.run(&["get", "--toml"]);
    let copy = directory.file("copy.toml", saved.stdout.as_bytes());
    let same = platform.run(&["apply", &copy]);
    assert_eq!(
        same.stdout,
        "service/back: unchanged\nservice/front: unchanged\n"
    );
}

#[test]
fn dry_run_shows_the_differences_and_writes_nothing() {
    let (platform, directory, _) = platform_with_services("dry-run");
    let changed = directory.file(
        "changed.toml",
        b"[[service]]\nname = \"back\"\nslots = 5\n[[retry_budget]]\nname = \"default\"\nretries_per_request = 1\n",
    );
    let before = objects(&platform);
    let shown = platform.run(&["apply", &changed, "--dry-run"]);
    assert_eq!(shown.code, 0, "{}", shown.stderr);
    let expected = "\
service/back: would be written
  ~ slots: 4 -> 5
retry_budget/default: would be written
  + retries_per_request: 1
  + ratio: 0.1
  + backoff_base_ms: 5
  + backoff_max_ms: 100
";
    assert_eq!(shown.stdout, expected);
    assert_eq!(objects(&platform), before);
}

#[test]
fn nothing_is_written_when_any_file_has_an_error() {
    let (platform, directory, _) = platform_with_services("all-or-nothing");
    let good = directory.file("good.toml", b"[[service]]\nname = \"new\"\nslots = 5\n");
    let bad = directory.file(
        "bad.toml",
        b"[[drain]]\nname = \"d\"\ntarget = { service = \"frnt\" }\n",
    );
    let before = objects(&platform);
    let refused = platform.run(&["apply", &good, &bad]);
    assert_eq!(refused.code, 1);
    assert!(
        refused
            .stderr
            .contains("unknown service \"frnt\", did you mean \"front\"?"),
        "{}",
        refused.stderr
    );
    let unreadable = platform.run(&["apply", &good, "/nonexistent.toml"]);
    assert_eq!(unreadable.code, 1);
    assert_eq!(objects(&platform), before);
}

#[test]
fn conflict_reports_author_and_changes_and_stops() {
    let (platform, directory, _) = platform_with_services("conflict");
    let theirs = directory.file("theirs.toml", b"[[service]]\nname = \"back\"\nslots = 6\n");
    let written = platform.run(&["apply", &theirs, "--author", "second"]);
    assert_eq!(written.code, 0, "{}", written.stderr);
    // The program reads the state before the other operator's write.
    platform.set_faults(FaultSwitches {
        serve_older_version: Some(2),
        ..FaultSwitches::default()
    });
    let ours = directory.file(
        "ours.toml",
        b"[[service]]\nname = \"back\"\nslots = 8\n[[service]]\nname = \"late\"\nslots = 1\n",
    );
    let refused = platform.run(&["apply", &ours]);
    platform.set_faults(FaultSwitches::default());
    assert_eq!(refused.code, 1);
    let expected =
        "conflict: service/back was changed by \"second\" (version 3)\n  slots: 4 -> 6\n";
    assert!(refused.stderr.starts_with(expected), "{}", refused.stderr);
    assert!(
        refused.stdout.starts_with("service/back: conflict\n"),
        "{}",
        refused.stdout
    );
    assert!(
        refused.stdout.contains("service/late: not written\n"),
        "{}",
        refused.stdout
    );
    let versions = versions(&platform);
    assert_eq!(versions, [("back".to_owned(), 3), ("front".to_owned(), 1)]);
}

#[test]
fn write_with_a_lost_reply_is_recognised() {
    let (platform, directory, _) = platform_with_services("lost-answer");
    platform.set_faults(FaultSwitches {
        lose_answers: 1,
        ..FaultSwitches::default()
    });
    let changed = directory.file("changed.toml", b"[[service]]\nname = \"back\"\nslots = 5\n");
    let applied = platform.run(&["apply", &changed, "--timeout-ms", "1000"]);
    assert_eq!(applied.code, 0, "{}", applied.stderr);
    assert!(
        applied
            .stdout
            .starts_with("service/back: written, version 3\n"),
        "{}",
        applied.stdout
    );
    assert_eq!(versions(&platform)[0], ("back".to_owned(), 3));
}

#[test]
fn deletion_needs_the_expected_version_and_no_reference() {
    let (platform, _directory, _) = platform_with_services("delete");
    let referenced = platform.run(&["delete", "service", "back"]);
    assert_eq!(referenced.code, 1);
    assert!(
        referenced
            .stderr
            .contains("7010: service/back is not deleted"),
        "{}",
        referenced.stderr
    );

    let missing = platform.run(&["delete", "drain", "none"]);
    assert_eq!(missing.code, 1);
    assert!(
        missing.stderr.contains("7009: drain/none does not exist"),
        "{}",
        missing.stderr
    );

    let stale = platform.run(&["delete", "service", "front", "--expected-version", "9"]);
    assert_eq!(stale.code, 1);
    assert!(
        stale.stderr.contains("conflict: service/front"),
        "{}",
        stale.stderr
    );

    let shown = platform.run(&["delete", "service", "front", "--dry-run"]);
    assert_eq!(
        shown.stdout,
        "service/front: would be deleted: version 1 by \"first\"\n"
    );
    assert_eq!(objects(&platform).len(), 2);

    let deleted = platform.run(&["delete", "service", "front"]);
    assert_eq!(
        deleted.stdout, "service/front: deleted\n",
        "{}",
        deleted.stderr
    );
    assert_eq!(objects(&platform).len(), 1);
}

#[test]
fn claim_group_is_deleted_only_with_force() {
    let (platform, directory, _) = platform_with_services("claim-group");
    let group = b"[[claim_group]]\nname = \"default\"\nepoch = 1\nreplicas = [\"a\"]\n";
    let path = directory.file("group.toml", group);
    assert_eq!(platform.run(&["apply", &path]).code, 0);
    let refused = platform.run(&["delete", "claim_group", "default"]);
    assert_eq!(refused.code, 1);
    assert!(
        refused.stderr.contains("7023: claim_group/default"),
        "{}",
        refused.stderr
    );
    let other = b"[[claim_group]]\nname = \"default\"\nepoch = 1\nreplicas = [\"b\"]\n";
    let changed = platform.run(&["apply", &directory.file("other.toml", other)]);
    assert_eq!(changed.code, 1);
    assert!(
        changed
            .stderr
            .contains("epoch: 1 does not follow on epoch 1"),
        "{}",
        changed.stderr
    );
    let forced = platform.run(&["delete", "claim_group", "default", "--force"]);
    assert_eq!(forced.code, 0, "{}", forced.stderr);
}

#[test]
fn watch_prints_each_change_once() {
    let (platform, _directory, _) = platform_with_services("watch");
    let watched = platform.run(&["watch", "service", "--from", "0", "--count", "2", "--json"]);
    assert_eq!(watched.code, 0, "{}", watched.stderr);
    let lines: Vec<Value> = watched
        .stdout
        .lines()
        .map(|line| serde_json::from_str(line).expect("JSON"))
        .collect();
    assert_eq!(lines[0]["object"]["name"], "front");
    assert_eq!(lines[1]["object"]["name"], "back");
    assert_eq!(lines[1]["version"], 2);
}

#[test]
fn unreachable_platform_exits_with_code_three() {
    let directory = TestDirectory::new("unreachable");
    let path = directory.file("services.toml", TWO_SERVICES);
    let address = closed_address();
    let commands: &[&[&str]] = &[
        &["get"],
        &["apply", &path],
        &["delete", "service", "front"],
        &["watch", "--from", "0"],
    ];
    for arguments in commands {
        let mut all = arguments.to_vec();
        all.extend(["--timeout-ms", "500", "--platform", &address]);
        let run = run(&all);
        assert_eq!(run.code, 3, "{arguments:?}: {}", run.stderr);
        assert!(
            run.stderr.contains("6002: "),
            "{arguments:?}: {}",
            run.stderr
        );
    }
}
