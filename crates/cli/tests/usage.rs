//! Help, version, completion and usage errors of every command.

mod support;

use support::run;

const COMMANDS: &[&str] = &[
    "check",
    "apply",
    "get",
    "watch",
    "delete",
    "explain",
    "replay",
    "completion",
];

#[test]
fn every_command_has_help_with_examples() {
    let overview = run(&["--help"]);
    assert_eq!(overview.code, 0);
    for command in COMMANDS {
        assert!(
            overview.stdout.contains(&format!("  {command} ")),
            "{command}"
        );
        let help = run(&[command, "--help"]);
        assert_eq!(help.code, 0);
        assert!(
            help.stdout.contains(&format!("Usage: wharfquay {command}")),
            "{command}"
        );
        assert!(help.stdout.contains("Examples:\n  "), "{command}");
        assert!(help.stdout.contains("3  platform unreachable"), "{command}");
    }
}

#[test]
fn version_is_printed() {
    let version = run(&["--version"]);
    assert_eq!(
        version.stdout,
        format!("wharfquay {}\n", env!("CARGO_PKG_VERSION"))
    );
    assert_eq!(version.code, 0);
}

#[test]
fn completion_scripts_have_every_command_and_its_flags() {
    for shell in ["bash", "zsh", "fish"] {
        let script = run(&["completion", shell]);
        assert_eq!(script.code, 0);
        for command in COMMANDS {
            assert!(script.stdout.contains(command), "{shell}: {command}");
        }
        assert!(script.stdout.contains("dry-run"), "{shell}");
    }
}

/// Arguments, and the start of the only line on the standard error.
const USAGE_ERRORS: &[(&[&str], &str)] = &[
    (
        &["chek"],
        "wharfquay: 7001: unknown command \"chek\", did you mean \"check\"? (allowed: check, ",
    ),
    (
        &["check"],
        "wharfquay: 7004: check: 0 arguments (allowed: FILE…)",
    ),
    (
        &["check", "--jsn", "f"],
        "wharfquay: 7002: check: unknown flag \"--jsn\", did you mean \"json\"? (allowed: --strict, --json, --help)",
    ),
    (
        &["check", "-x", "f"],
        "wharfquay: 7002: check: unknown flag \"-x\" (allowed: --strict, --json, --help)",
    ),
    (
        &["check", "--json=yes", "f"],
        "wharfquay: 7003: unexpected argument for option '--json': \"yes\"",
    ),
    (
        &["apply", "--platform"],
        "wharfquay: 7003: missing argument for option '--platform'",
    ),
    (
        &["get"],
        "wharfquay: 7006: --platform is required (allowed: ip:port, several separated by commas)",
    ),
    (
        &["get", "--platform", "localhost"],
        "wharfquay: 7005: --platform: \"localhost\" is not valid: invalid socket address syntax (allowed: ip:port, several separated by commas)",
    ),
    (
        &["get", "servce", "--platform", "127.0.0.1:1"],
        "wharfquay: 7005: KIND: \"servce\" is not valid: unknown resource kind (allowed: service, request_kind, retry_budget, drain, claim_group)",
    ),
    (
        &["get", "--timeout-ms", "0", "--platform", "127.0.0.1:1"],
        "wharfquay: 7005: --timeout-ms: \"0\" is not valid: out of range (allowed: 1 to 3600000, in milliseconds)",
    ),
    (
        &["watch", "--from", "x", "--platform", "127.0.0.1:1"],
        "wharfquay: 7005: --from: \"x\" is not valid: invalid digit found in string (allowed: a version of the store, 0 or more)",
    ),
    (
        &["delete", "service"],
        "wharfquay: 7004: delete: 1 arguments (allowed: KIND NAME)",
    ),
    (
        &["completion", "tcsh"],
        "wharfquay: 7005: shell: \"tcsh\" is not valid: unknown shell (allowed: bash, zsh, fish)",
    ),
];

#[test]
fn usage_errors_are_reported_with_the_allowed_values() {
    for (arguments, message) in USAGE_ERRORS {
        let run = run(arguments);
        assert_eq!(run.code, 2, "{arguments:?}: {}", run.stderr);
        assert!(
            run.stderr.starts_with(message),
            "{arguments:?}: {}",
            run.stderr
        );
        assert_eq!(
            run.stderr.lines().count(),
            1,
            "{arguments:?}: {}",
            run.stderr
        );
        assert_eq!(run.stdout, "", "{arguments:?}");
    }
}
