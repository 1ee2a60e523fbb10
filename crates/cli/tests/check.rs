//! `check` with valid and invalid files.

mod support;

use support::{TestDirectory, repository_file, run};

#[test]
fn example_resource_files_pass() {
    for name in ["lagos", "gujarat"] {
        let path = repository_file(&format!("scenarios/{name}.resources.toml"));
        let run = run(&["check", &path]);
        assert_eq!(run.code, 0, "{}", run.stdout);
        assert!(run.stdout.contains(" 0 errors"), "{}", run.stdout);
    }
}

#[test]
fn every_problem_of_every_file_is_printed() {
    let directory = TestDirectory::new("check-all");
    let first = directory.file(
        "a.toml",
        b"[[service]]\nname = \"a\"\nslots = 0\nspeed = 2\n",
    );
    let second = directory.file(
        "b.toml",
        b"[[drain]]\nname = \"d\"\ntarget = { service = \"b\" }\n",
    );
    let missing = format!("{first}.missing");
    let run = run(&["check", &first, &second, &missing]);
    assert_eq!(run.code, 1);
    let lines: Vec<&str> = run.stdout.lines().collect();
    let expected = [
        format!(
            "{missing}:1: file: can't be read: No such file or directory (os error 2) (allowed: a readable file of UTF-8 text) [5010]"
        ),
        format!("{first}:3: service.a.slots: 0 is out of range (allowed: 1 to 10000) [5006]"),
        format!(
            "{first}:4: service.a.speed: unknown field (allowed: name, slots, connections, queue_wait_ms, warm_up_ms, calls) [5003]"
        ),
        format!("{second}:3: drain.d.target.service: unknown service \"b\" (allowed: a) [5102]"),
        format!(
            "{second}:3: drain.d.target: warning: no backend of \"b\" is left (allowed: a drain of some backends or of a zone) [5203]"
        ),
        "3 files, 1 resources: 4 errors, 1 warnings".to_owned(),
    ];
    assert_eq!(lines, expected);
}

/// File contents that must be rejected.
const INVALID_CONTENT: &[&[u8]] = &[
    b"\xff\xfe\x00",
    b"[[service]]\nname = \"a\"\nslots = 99999999999999999999999999\n",
    b"service = 3\n",
    b"service = [1, 2]\n",
    b"[[service]]\n",
    b"[[service]]\nname = { a = 1 }\nslots = [[]]\ncalls = [1]\n",
    b"[[service]]\nname = \"\"\nslots = 1\n",
    b"[[service]]\nname = \"a\"\nname = \"b\"\nslots = 1\n",
    b"[[drain]]\nname = \"a\"\ntarget = {}\n",
    b"[[request_kind]]\nname = \"a\"\nservice = \"s\"\npriority = 8\ndeadline_ms = 1\n",
    b"[[request_kind]]\nname = \"a\"\nservice = \"s\"\npriority = 1\ndeadline_ms = 1\nmethod = \"get\"\n",
    b"[[request_kind]]\nname = \"a\"\nservice = \"s\"\npriority = 1\ndeadline_ms = 1\npath_prefix = \"x\"\n",
    b"[[claim_group]]\nname = \"default\"\nepoch = -1\nreplicas = []\n",
    b"[[retry_budget]]\nname = \"a\"\nretries_per_request = 1\nratio = inf\n",
    b"[[retry_budget]]\nname = \"a\"\nretries_per_request = 1979-05-27\n",
];

#[test]
fn invalid_content_is_rejected_with_a_numbered_problem() {
    let directory = TestDirectory::new("check-bad");
    for (index, content) in INVALID_CONTENT.iter().enumerate() {
        let path = directory.file(&format!("{index}.toml"), content);
        let run = run(&["check", &path]);
        assert_eq!(run.code, 1, "{index}: {}", run.stdout);
        let problem = run.stdout.lines().next().expect("a problem");
        assert!(
            problem.starts_with(&format!("{path}:")),
            "{index}: {problem}"
        );
        assert!(problem.contains("(allowed: "), "{index}: {problem}");
        assert!(problem.contains(" [5"), "{index}: {problem}");
    }
}

#[test]
fn warnings_fail_only_a_strict_check() {
    let directory = TestDirectory::new("check-strict");
    let path = directory.file(
        "ring.toml",
        b"[[service]]\nname = \"a\"\nslots = 1\ncalls = [\"a\"]\n",
    );
    assert_eq!(run(&["check", &path]).code, 0);
    let strict = run(&["check", "--strict", "--json", &path]);
    assert_eq!(strict.code, 1);
    let report: serde_json::Value = serde_json::from_str(&strict.stdout).expect("JSON");
    assert_eq!(report["warnings"], 1);
    assert_eq!(report["errors"], 0);
    assert_eq!(report["problems"][0]["code"], 5201);
    assert_eq!(report["problems"][0]["line"], 4);
}

#[test]
fn closed_output_is_not_an_error() {
    let mut child = support::command(&["check", "--help"])
        .stdout(std::process::Stdio::piped())
        .spawn()
        .expect("the program runs");
    drop(child.stdout.take());
    assert!(child.wait().expect("the program exits").success());
}

#[test]
fn problems_of_settings_and_scenarios_have_a_line_and_a_code() {
    let directory = TestDirectory::new("check-sorts");
    let settings = "id = \"a\"\nzone = \"z\"\n[edge]\nlisten = \"127.0.0.1:1\"\n[admin]\nlisten = \"127.0.0.1:1\"\n[platform]\naddresses = [\"127.0.0.1:1\"]\n";
    let cases = [
        (
            format!("{settings}[limits]\nheader_bytes = 1\n"),
            ":10: limits.header_bytes: 1 is not valid (allowed: 8192 to 1048576) [5301]",
        ),
        (
            format!("{settings}speed = 1\n"),
            ":9: platform.speed: unknown field `speed`",
        ),
        ("name = \"x\"\nzones = []\n".to_owned(), ":1: file: "),
    ];
    for (index, (content, message)) in cases.iter().enumerate() {
        let path = directory.file(&format!("{index}.toml"), content.as_bytes());
        let checked = run(&["check", &path]);
        assert_eq!(checked.code, 1, "{content}: {}", checked.stdout);
        let expected = format!("{path}{message}");
        assert!(
            checked.stdout.starts_with(&expected),
            "{expected}: {}",
            checked.stdout
        );
    }
}
