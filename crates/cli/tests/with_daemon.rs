//! The commands with a running daemon.

mod support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use serde_json::Value;
use support::{TestPlatform, closed_address, repository_file, run};
use wharfquay_daemon::settings::parse;
use wharfquay_daemon::{Daemon, RunningDaemon};
use wharfquay_platform::wire::{Machine, MachineState};

const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts a daemon whose backend does not run, and adds it to the platform's machine list.
fn start_daemon(platform: &TestPlatform) -> RunningDaemon {
    let text = format!(
        "id = \"booking-1\"\nzone = \"ikeja\"\n\
         [backend]\nservice = \"booking\"\naddress = \"{}\"\n\
         [inbound]\nlisten = \"127.0.0.1:0\"\n\
         [outbound]\nlisten = \"127.0.0.1:0\"\n\
         [admin]\nlisten = \"127.0.0.1:0\"\n\
         [control]\nlisten = \"127.0.0.1:0\"\n\
         [platform]\naddresses = [\"{}\"]\npoll_interval_ms = 50\n",
        closed_address(),
        platform.address()
    );
    let settings = parse("settings", &text, &[]).expect("valid settings");
    let daemon = platform
        .block_on(Daemon::start(settings))
        .expect("the daemon starts");
    let address = daemon.addresses().inbound.expect("an address");
    for (id, zone) in [("booking-1", "ikeja"), ("booking-2", "yaba")] {
        let machine = Machine {
            id: id.to_owned(),
            zone: zone.to_owned(),
            service: Some("booking".to_owned()),
            state: MachineState::Live,
            call_address: address,
            control_address: address,
        };
        let client = platform.client();
        platform
            .block_on(client.put_machine(&machine))
            .expect("the machine is added");
    }
    daemon
}

fn wait_until_ready(admin: &str) -> String {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        let shown = run(&["status", "--daemon", admin]);
        if shown.stdout.contains("ready  ") && !shown.stdout.contains("not ready") {
            return shown.stdout;
        }
        assert!(Instant::now() < deadline, "not ready: {}", shown.stdout);
    }
}

/// Checks that every field that the command reads has the same name and value on the status page.
fn check_status_fields(admin: &str) {
    let shown = run(&["status", "--daemon", admin, "--json"]);
    let report: Value = serde_json::from_str(&shown.stdout).expect("JSON");
    let read = &report["daemons"][0]["status"];
    let read = read.as_object().expect("a status");
    let page: Value = serde_json::from_str(&page(admin)).expect("JSON");
    assert_eq!(page["members_live"], 1, "gossip counts the daemon itself");
    for (key, value) in read {
        let Some(fields) = value.as_object() else {
            assert_eq!(&page[key], value, "{key}");
            continue;
        };
        for (field, value) in fields {
            assert_eq!(&page[key][field], value, "{key}.{field}");
        }
    }
}

/// Returns the status page as the daemon serves it.
fn page(admin: &str) -> String {
    let mut stream = TcpStream::connect(admin).expect("a connection");
    let request = "GET /status HTTP/1.1\r\nhost: admin\r\nconnection: close\r\n\r\n";
    stream
        .write_all(request.as_bytes())
        .expect("the request is sent");
    let mut response = String::new();
    stream.read_to_string(&mut response).expect("a response");
    let (_, body) = response.split_once("\r\n\r\n").expect("a head");
    body.to_owned()
}

#[test]
fn running_daemon_is_shown_drained_and_undrained() {
    let platform = TestPlatform::start();
    let resources = repository_file("scenarios/lagos.resources.toml");
    assert_eq!(platform.run(&["apply", &resources]).code, 0);
    let daemon = start_daemon(&platform);
    let admin = daemon.addresses().admin.expect("an address").to_string();

    let shown = wait_until_ready(&admin);
    let row = shown.lines().nth(1).expect("a row");
    let cells: Vec<&str> = row.split_whitespace().collect();
    assert_eq!(
        cells[..4],
        ["booking-1", "ikeja", "booking", "ready"],
        "{row}"
    );
    assert_eq!(cells[8], "open", "{row}");
    check_status_fields(&admin);

    let drained = platform.run(&["drain", "zone", "ikeja", "--daemon", &admin]);
    assert_eq!(drained.code, 0, "{}", drained.stderr);
    assert!(drained.stdout.contains("empty after"), "{}", drained.stdout);
    let leaving = run(&["status", "--daemon", &admin]);
    assert!(leaving.stdout.contains("leaving"), "{}", leaving.stdout);

    let back = platform.run(&["undrain", "zone", "ikeja", "--daemon", &admin]);
    assert_eq!(back.code, 0, "{}{}", back.stdout, back.stderr);
    assert!(
        back.stdout.contains("serving again after"),
        "{}",
        back.stdout
    );
    platform.block_on(daemon.shutdown());
}
