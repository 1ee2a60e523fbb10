//! Tests of the validation of settings and its error messages.

use wharfquay_daemon::settings::parse;

const MEMBER: &str = r#"
id = "booking-1"
zone = "north"
[backend]
service = "booking"
address = "127.0.0.1:9000"
[inbound]
listen = "127.0.0.1:7001"
[admin]
listen = "127.0.0.1:7002"
[platform]
addresses = ["127.0.0.1:6000"]
"#;

#[test]
fn valid_settings_pass_with_defaults() {
    let settings = parse("member.toml", MEMBER, &[]).unwrap();
    assert_eq!(settings.log.level, "info");
    assert_eq!(settings.limits.drain_limit_ms, 30_000);
    assert!(settings.edge.is_none());
}

#[test]
fn overrides_are_applied() {
    let overrides = [
        "log.level=debug".to_owned(),
        "limits.drain_limit_ms=5".to_owned(),
        "id=\"other\"".to_owned(),
    ];
    let settings = parse("member.toml", MEMBER, &overrides).unwrap();
    assert_eq!(settings.log.level, "debug");
    assert_eq!(settings.limits.drain_limit_ms, 5);
    assert_eq!(settings.id, "other");
}

/// Invalid overrides and the texts that the error must contain.
const BAD: &[(&str, &[&str])] = &[
    (
        "colour=1",
        &["member.toml:", "colour", "unknown field", "expected one of"],
    ),
    ("log.colour=1", &["log.colour", "unknown field"]),
    ("id=", &["id", "given \"\"", "1 to 128"]),
    ("id=a b", &["id", "a b", "without spaces"]),
    ("zone=7", &["zone", "integer", "string"]),
    (
        "backend.address=here",
        &["backend.address", "here", "ip:port"],
    ),
    (
        "backend.address=localhost:80",
        &["backend.address", "localhost:80", "ip:port"],
    ),
    (
        "inbound.listen=1.2.3.4:99999",
        &["inbound.listen", "99999", "ip:port"],
    ),
    (
        "platform.addresses=[]",
        &["platform.addresses", "0 entries", "1 to 16"],
    ),
    (
        "platform.poll_interval_ms=1",
        &["platform.poll_interval_ms", "given 1", "50 to 60000"],
    ),
    ("log.level=loud", &["log.level", "loud", "off, error, warn"]),
    (
        "limits.header_bytes=1",
        &["limits.header_bytes", "given 1", "8192 to 1048576"],
    ),
    ("limits.header_bytes=-1", &["limits.header_bytes", "-1"]),
    (
        "limits.connect_timeout_ms=0",
        &["limits.connect_timeout_ms", "given 0", "1 to 60000"],
    ),
    (
        "limits.drain_limit_ms=99999999",
        &["limits.drain_limit_ms", "0 to 3600000"],
    ),
    (
        "limits.streams_per_peer=0",
        &["limits.streams_per_peer", "1 to 100000"],
    ),
    (
        "backend.health_path=health",
        &["backend.health_path", "health", "empty, or a path"],
    ),
    (
        "backend.health_interval_ms=1",
        &["backend.health_interval_ms", "given 1", "50 to 60000"],
    ),
    (
        "limits.worker_threads=0",
        &["limits.worker_threads", "given 0", "1 to 256"],
    ),
    (
        "admin.decision_records=100001",
        &["admin.decision_records", "given 100001", "0 to 100000"],
    ),
    ("nonsense", &["--set nonsense", "key=value"]),
    ("id.part=1", &["--set id.part=1", "key=value"]),
];

#[test]
fn errors_name_the_invalid_setting() {
    for (given, expected) in BAD {
        let error = parse("member.toml", MEMBER, &[(*given).to_owned()]);
        let error = error.expect_err(given).to_string();
        for part in *expected {
            assert!(error.contains(part), "{given}: {part:?} not in {error:?}");
        }
    }
}

/// Settings whose tables contradict each other, and the field that the error must name.
const CONTRADICTIONS: &[(&str, &str)] = &[
    (
        "[backend]\nservice = \"a\"\naddress = \"127.0.0.1:1\"",
        "inbound",
    ),
    ("[inbound]\nlisten = \"127.0.0.1:1\"", "backend"),
    ("[outbound]\nlisten = \"127.0.0.1:1\"", "backend"),
    ("", "edge"),
];

#[test]
fn errors_name_contradicting_settings() {
    let rest = "[admin]\nlisten = \"127.0.0.1:2\"\n[platform]\naddresses = [\"127.0.0.1:3\"]";
    for (sides, field) in CONTRADICTIONS {
        let text = format!("id = \"a\"\nzone = \"b\"\n{sides}\n{rest}\n");
        let error = parse("x.toml", &text, &[]).expect_err(sides).to_string();
        assert!(error.starts_with(&format!("x.toml: {field}:")), "{error}");
    }
}

#[test]
fn a_syntax_error_names_file_and_line() {
    let error = parse("x.toml", "id = \"a\"\nzone = = 1\n", &[]).unwrap_err();
    assert!(error.to_string().starts_with("x.toml:2: zone:"), "{error}");
}
