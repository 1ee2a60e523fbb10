//! The commands while the platform is down, slow or unresponsive, and while several operators
//! write.

mod support;

use std::io::{BufRead, BufReader};
use std::process::Stdio;
use std::time::{Duration, Instant};

use support::{Run, TestDirectory, TestPlatform, command, run};
use wharfquay_emulator::platform::FaultSwitches;

struct Case {
    name: &'static str,
    faults: FaultSwitches,
    arguments: &'static [&'static str],
    code: i32,
    /// Expected parts of the standard error.
    messages: &'static [&'static str],
}

fn cases() -> Vec<Case> {
    let faults = FaultSwitches::default;
    vec![
        Case {
            name: "down",
            faults: FaultSwitches {
                down: true,
                ..faults()
            },
            arguments: &["get"],
            code: 3,
            messages: &["6005: ", "503"],
        },
        Case {
            name: "unresponsive to a read",
            faults: FaultSwitches {
                hang: true,
                ..faults()
            },
            arguments: &["get", "--timeout-ms", "300"],
            code: 3,
            messages: &["6003: "],
        },
        Case {
            name: "unresponsive to a watch",
            faults: FaultSwitches {
                hang: true,
                ..faults()
            },
            arguments: &["watch", "--from", "0", "--timeout-ms", "300"],
            code: 3,
            messages: &["6003: "],
        },
        Case {
            name: "slow, so that progress is shown",
            faults: FaultSwitches {
                delay_ms: 2_300,
                ..faults()
            },
            arguments: &["get"],
            code: 0,
            messages: &["wharfquay: reading the platform's objects: 2 s"],
        },
        Case {
            name: "serving an older version",
            faults: FaultSwitches {
                serve_older_version: Some(0),
                ..faults()
            },
            arguments: &["get", "service", "slot"],
            code: 1,
            messages: &["7009: service/slot does not exist"],
        },
    ]
}

#[test]
fn platform_faults_are_reported() {
    let platform = TestPlatform::start();
    let directory = TestDirectory::new("platform-faults");
    let path = directory.file("slot.toml", b"[[service]]\nname = \"slot\"\nslots = 1\n");
    assert_eq!(platform.run(&["apply", &path]).code, 0);
    for case in cases() {
        platform.set_faults(case.faults);
        let run = platform.run(case.arguments);
        assert_eq!(run.code, case.code, "{}: {}", case.name, run.stderr);
        for message in case.messages {
            assert!(
                run.stderr.contains(message),
                "{}: {}",
                case.name,
                run.stderr
            );
        }
    }
}

#[test]
fn watch_resumes_after_an_outage() {
    let platform = TestPlatform::start();
    let directory = TestDirectory::new("watch-outage");
    let path = |slots: u32| {
        let text = format!("[[service]]\nname = \"slot\"\nslots = {slots}\n");
        directory.file(&format!("{slots}.toml"), text.as_bytes())
    };
    assert_eq!(platform.run(&["apply", &path(1)]).code, 0);
    let address = platform.address();
    let mut watch = command(&[
        "watch",
        "--from",
        "0",
        "--count",
        "2",
        "--platform",
        &address,
    ])
    .stdout(Stdio::piped())
    .stderr(Stdio::piped())
    .spawn()
    .expect("the program runs");
    let mut output = BufReader::new(watch.stdout.take().expect("a pipe"));
    let mut messages = BufReader::new(watch.stderr.take().expect("a pipe"));
    assert!(next_line(&mut output).starts_with("1 put service/slot"));
    platform.set_faults(FaultSwitches {
        down: true,
        ..FaultSwitches::default()
    });
    let message = next_line(&mut messages);
    assert!(message.contains("reopening"), "{message}");
    platform.set_faults(FaultSwitches::default());
    assert_eq!(platform.run(&["apply", &path(2)]).code, 0);
    assert!(next_line(&mut output).starts_with("2 put service/slot"));
    assert!(watch.wait().expect("the watch exits").success());
}

fn next_line(reader: &mut impl BufRead) -> String {
    let mut line = String::new();
    reader.read_line(&mut line).expect("a line");
    line
}

#[test]
fn no_write_of_several_operators_is_lost() {
    const OPERATORS: u32 = 6;
    let platform = TestPlatform::start();
    let directory = TestDirectory::new("operators");
    let first = directory.file("first.toml", b"[[service]]\nname = \"slot\"\nslots = 1\n");
    assert_eq!(platform.run(&["apply", &first]).code, 0);
    platform.set_faults(FaultSwitches {
        delay_ms: 100,
        ..FaultSwitches::default()
    });
    let writers: Vec<_> = (0..OPERATORS)
        .map(|operator| {
            let text = format!("[[service]]\nname = \"slot\"\nslots = {}\n", operator + 2);
            let path = directory.file(&format!("{operator}.toml"), text.as_bytes());
            let address = platform.address();
            let author = format!("operator-{operator}");
            std::thread::spawn(move || {
                run(&["apply", &path, "--author", &author, "--platform", &address])
            })
        })
        .collect();
    let runs: Vec<Run> = writers
        .into_iter()
        .map(|writer| writer.join().expect("the run completes"))
        .collect();
    platform.set_faults(FaultSwitches::default());
    let (written, refused): (Vec<&Run>, Vec<&Run>) = runs.iter().partition(|run| run.code == 0);
    for run in &refused {
        assert_eq!(run.code, 1, "{}", run.stderr);
        assert!(
            run.stderr
                .starts_with("conflict: service/slot was changed by \"operator-"),
            "{}",
            run.stderr
        );
    }
    let listed = platform.run(&["get", "service", "slot", "--json"]);
    let objects: serde_json::Value = serde_json::from_str(&listed.stdout).expect("JSON");
    // Each successful write increments the version by one.
    assert_eq!(objects[0]["version"], 1 + written.len());
    assert!(!written.is_empty());
}

#[test]
fn unresponsive_platform_does_not_block_a_command() {
    let platform = TestPlatform::start();
    platform.set_faults(FaultSwitches {
        hang: true,
        ..FaultSwitches::default()
    });
    let started = Instant::now();
    let run = platform.run(&["status", "--timeout-ms", "400"]);
    assert_eq!(run.code, 3, "{}", run.stderr);
    assert!(started.elapsed() < Duration::from_secs(5));
}
