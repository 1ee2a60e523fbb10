//! Tests of the CI script with a stand-in for cargo: which failures it lets pass.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicU32, Ordering};

const SCRIPT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../.ci/run");
/// Prints the messages of `cargo test --no-run` for two programs, and the log of the run.
const STAND_IN: &str = r#"#!/usr/bin/env bash
root=$PWD
case "$*" in
*--no-run*)
    for program in "first soak" "second soak"; do
        set -- $program
        echo "{\"reason\":\"compiler-artifact\",\"package_id\":\"path+file://$root/crates/$1#wharfquay-$1@0.1.0\",\"target\":{\"kind\":[\"test\"],\"name\":\"$2\"},\"executable\":\"$root/target/debug/deps/$2-$1\"}"
    done
    ;;
*--release*) cat release-log; exit 0 ;;
test*) cat log; exit "$(cat exit-code)" ;;
esac
"#;

const RELEASE_LOG: &str = "     Running tests/soak.rs (target/release/deps/soak-release)\n\
                           test seed_9 ... ok\ntest result: ok. 1 passed; 0 failed\n";

/// A folder with the script, a list of known failures and the log of a test run.
struct Workspace(PathBuf);

impl Workspace {
    fn new(known_red: Option<&str>, log: &str, exit_code: u8) -> Self {
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("wharfquay-ci-script-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(folder.join(".ci")).unwrap();
        fs::create_dir_all(folder.join("bin")).unwrap();
        fs::copy(SCRIPT, folder.join(".ci/run")).unwrap();
        write_program(&folder.join("bin/cargo"), STAND_IN);
        fs::write(folder.join("log"), log).unwrap();
        fs::write(folder.join("release-log"), RELEASE_LOG).unwrap();
        fs::write(folder.join("exit-code"), exit_code.to_string()).unwrap();
        if let Some(known_red) = known_red {
            fs::write(folder.join("KNOWN-RED.txt"), known_red).unwrap();
        }
        Self(folder)
    }

    /// Returns whether the script succeeds, and its output.
    fn run(&self) -> (bool, String) {
        let path = std::env::var("PATH").unwrap();
        let bin = self.0.join("bin");
        let output = Command::new("bash")
            .arg(self.0.join(".ci/run"))
            .env("PATH", format!("{}:{path}", bin.display()))
            .output()
            .unwrap();
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        (output.status.success(), text)
    }
}

impl Drop for Workspace {
    fn drop(&mut self) {
        fs::remove_dir_all(&self.0).unwrap();
    }
}

fn write_program(path: &Path, text: &str) {
    fs::write(path, text).unwrap();
    fs::set_permissions(path, fs::Permissions::from_mode(0o755)).unwrap();
}

/// Returns the log of two programs with the same name, each with one test.
fn log(first: &str, second: &str) -> String {
    let program = |package: &str, lines: &str| {
        format!("     Running tests/soak.rs (target/debug/deps/soak-{package})\n{lines}\n")
    };
    program("first", first) + &program("second", second)
}

const PASSED: &str = "test rig::seed_7 ... ok\ntest result: ok. 1 passed; 0 failed";
const FAILED: &str = "test rig::seed_7 ... FAILED\ntest result: FAILED. 0 passed; 1 failed";
const ENTRY: &str =
    "# entries\nwharfquay-second/soak rig::seed_7, `cargo test`, Recovery, issue 1\n";

/// Guards against a script that runs no test because its list has no entries.
#[test]
fn a_list_without_entries_runs_all_tests() {
    for known_red in [None, Some(""), Some("# test, command, cause, issue\n\n")] {
        let (succeeded, output) = Workspace::new(known_red, &log(PASSED, PASSED), 0).run();
        assert!(succeeded, "{known_red:?}: {output}");
        assert!(output.contains("seed_7 ... ok"), "{output}");
        assert!(!Workspace::new(known_red, &log(PASSED, FAILED), 101).run().0);
    }
}

/// Guards against an entry that also excuses a test of the same name in another package, or another
/// test of the same program.
#[test]
fn an_entry_excuses_exactly_its_test() {
    let passes = |first: &str, second: &str| {
        let workspace = Workspace::new(Some(ENTRY), &log(first, second), 101);
        workspace.run().0
    };
    assert!(passes(PASSED, FAILED));
    assert!(!passes(FAILED, PASSED));
    assert!(!passes(FAILED, FAILED));
    assert!(!passes(PASSED, &FAILED.replace("seed_7", "seed_70")));
    assert!(!passes(PASSED, &FAILED.replace("rig::seed_7", "seed_7")));
}

/// Guards against an entry that no test can fail.
#[test]
fn an_entry_must_name_a_test_that_runs() {
    let entry = "wharfquay-second/soak no_such_test, `cargo test`, Recovery, issue 1\n";
    let (succeeded, output) = Workspace::new(Some(entry), &log(PASSED, PASSED), 0).run();
    assert!(!succeeded, "{output}");
}

/// Guards against a test program that exits in the middle of a test: nothing shows what its tests
/// would have found.
#[test]
fn a_program_without_a_verdict_fails_the_run() {
    let silent = "running 2 tests\ntest other ... ok";
    for exit_code in [0, 101] {
        let workspace = Workspace::new(Some(ENTRY), &log(silent, FAILED), exit_code);
        let (succeeded, output) = workspace.run();
        assert!(!succeeded, "{output}");
        assert!(output.contains("without a verdict"), "{output}");
        let workspace = Workspace::new(None, &log(PASSED, silent), exit_code);
        assert!(!workspace.run().0);
    }
}

/// Guards against a program that is terminated by a signal after its last test.
#[test]
fn a_program_that_ends_abnormally_fails_the_run() {
    let aborted =
        format!("{PASSED}\n  process didn't exit successfully: `target/soak` (signal: 6, SIGABRT)");
    let workspace = Workspace::new(Some(ENTRY), &log(&aborted, FAILED), 101);
    assert!(!workspace.run().0);
}

/// Guards against failures of the compiler or of cargo itself that no test shows.
#[test]
fn a_failure_without_a_failed_test_fails_the_run() {
    for known_red in [None, Some(ENTRY)] {
        let (succeeded, output) = Workspace::new(known_red, &log(PASSED, PASSED), 101).run();
        assert!(!succeeded, "{output}");
    }
}
