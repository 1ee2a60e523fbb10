//! `trace` of a request from logs that are interleaved, damaged and incomplete.

use std::process::{Command, Output};

const EDGE_LOG: &str = "\
event=started time=2026-12-02T10:00:00.000+00:00 level=INFO id=a
event=configuration_in_force time=2026-12-02T10:00:01.000+00:00 level=INFO version=6 routes=2 previous=0
event=configuration_in_force time=2026-12-02T10:00:02.000+00:00 level=INFO version=7 routes=2 previous=6
event=request_ended time=2026-12-02T10:00:05.300+00:00 level=INFO request=77aa origin=1 route=r result=1000 name=Answered status=500 attempts=b:1000:300.0
event=request_ended time=2026-12-02T10:00:06.000+00:00 level=INFO request=77ab origin=2 route=r result=3001 name=RefusedByLevel status=503 attempts=none
event=configuration_in_force time=2026-12-02T10:00:09.000+00:00 level=INFO version=8 routes=2 previous=7
event=log_dropped time=2026-12-02T10:00:09.000+00:00 level=WARN lines=12
";
const BACKEND_LOG: &str = "\
  4.0 machine-b event=rate_limit_announced time=2026-12-02T10:00:04.000+00:00 level=WARN instance=i per_second=9 previous=none
  4.5 machine-b event=rate_limit_announced time=2026-12-02T10:00:04.500+00:00 level=WARN instance=i per_second=5.8 previous=9
  5.1 machine-b event=request_ended time=2026-12-02T10:00:05.200+00:00 level=INFO request=77aa.01 origin=1 route=inner result=3006 name=NoBackend status=503 attempts=none
  5.3 machine-b event=call_ended time=2026-12-02T10:00:05.290+00:00 level=INFO request=77aa origin=1 instance=i result=1000 name=Answered status=500
  5.3 machine-b event=call_ended time=2026-12-02T10:00
no event at all
";

fn trace(name: &str, request: &str) -> Output {
    let directory =
        std::env::temp_dir().join(format!("wharfquay-trace-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    let files = [("edge.log", EDGE_LOG), ("back.log", BACKEND_LOG)];
    let paths = files.map(|(name, text)| {
        let path = directory.join(name);
        std::fs::write(&path, text).unwrap();
        path
    });
    let output = Command::new(env!("CARGO_BIN_EXE_wharfquay"))
        .arg("trace")
        .arg(request)
        .args(paths)
        .output()
        .unwrap();
    std::fs::remove_dir_all(directory).unwrap();
    output
}

#[test]
fn calls_of_a_request_are_shown_with_the_prior_state() {
    let output = trace("found", "77aa");
    assert_eq!(output.status.code(), Some(0));
    let text = String::from_utf8(output.stdout).unwrap();
    let position = |part: &str| {
        text.find(part)
            .unwrap_or_else(|| panic!("{part} in {text}"))
    };
    assert!(position("name=NoBackend") < position("attempts=b:1000:300.0"));
    assert!(position("version=7") < position("name=NoBackend"));
    assert!(position("per_second=5.8") < position("name=NoBackend"));
    for absent in ["77ab", "version=6", "version=8", "per_second=9 "] {
        assert!(!text.contains(absent), "{absent} in {text}");
    }
    assert!(text.contains("edge.log: 12 lines were dropped"), "{text}");
    assert!(text.contains("2 damaged lines were skipped"), "{text}");
}

#[test]
fn request_without_a_log_line_is_a_problem() {
    let output = trace("absent", "99");
    assert_eq!(output.status.code(), Some(1));
}
