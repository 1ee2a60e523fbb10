//! Decision records end to end: the page of a running edge, saved and replayed under another
//! configuration.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use support::{TestDirectory, TestPlatform, repository_file, run};
use wharfquay_daemon::settings::parse;
use wharfquay_daemon::{Daemon, RunningDaemon};

const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

fn start_edge(platform: &TestPlatform) -> RunningDaemon {
    let text = format!(
        "id = \"edge-ikeja\"\nzone = \"ikeja\"\n\
         [edge]\nlisten = \"127.0.0.1:0\"\n\
         [admin]\nlisten = \"127.0.0.1:0\"\ndecision_records = 10\n\
         [platform]\naddresses = [\"{}\"]\npoll_interval_ms = 50\n",
        platform.address()
    );
    let settings = parse("settings", &text, &[]).expect("valid settings");
    let daemon = platform.block_on(Daemon::start(settings));
    daemon.expect("the daemon starts")
}

/// Sends a request and returns the head and the body of the response.
fn fetch(address: SocketAddr, service: &str, path: &str) -> (String, String) {
    let mut stream = TcpStream::connect(address).expect("a connection");
    let request = format!("GET {path} HTTP/1.1\r\nhost: {service}\r\nconnection: close\r\n\r\n");
    stream
        .write_all(request.as_bytes())
        .expect("the request is sent");
    let mut response = String::new();
    stream.read_to_string(&mut response).expect("a response");
    let (head, body) = response.split_once("\r\n\r\n").expect("a head");
    (head.to_owned(), body.to_owned())
}

fn wait_until_ready(admin: SocketAddr) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !fetch(admin, "admin", "/readyz").0.contains("200 OK") {
        assert!(Instant::now() < deadline, "the edge is not ready");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn decisions_of_a_running_edge_are_replayed_under_a_changed_configuration() {
    let platform = TestPlatform::start();
    let resources = repository_file("scenarios/lagos.resources.toml");
    assert_eq!(platform.run(&["apply", &resources]).code, 0);
    let daemon = start_edge(&platform);
    let admin = daemon.addresses().admin.expect("an address");
    let edge = daemon.addresses().edge.expect("an address");
    wait_until_ready(admin);
    // No backend runs. The edge still decides what the configuration determines.
    for (service, path) in [
        ("slot", "/slots/7"),
        ("eligibility", "/eligibility/7"),
        ("nobody", "/x"),
    ] {
        fetch(edge, service, path);
    }
    let (head, page) = fetch(admin, "admin", "/decisions");
    assert!(head.contains("application/x-ndjson"), "{head}");
    assert_eq!(page.lines().count(), 3, "{page}");

    let directory = TestDirectory::new("replay-of-daemon");
    let records = directory.file("decisions.jsonl", page.as_bytes());
    let same = platform.run(&["replay", &records]);
    assert_eq!(
        same.stdout, "3 records: 0 differ, 0 malformed\n",
        "{}",
        same.stderr
    );
    assert_eq!(same.code, 0);

    let text = std::fs::read_to_string(&resources).expect("the resources can be read");
    let changed = text.replacen("deadline_ms = 600", "deadline_ms = 500", 1);
    assert_ne!(changed, text);
    let changed = directory.file("changed.toml", changed.as_bytes());
    let replayed = run(&["replay", &records, "--file", &changed]);
    let expected = "\
LINE  REQUEST            PART         RECORDED  REPLAYED
1     slot GET /slots/7  deadline_ms  600       500
3 records: 1 differ, 0 malformed
  deadline_ms: 1
";
    assert_eq!(replayed.stdout, expected, "{}", replayed.stderr);
    assert_eq!(replayed.code, 1);
    platform.block_on(daemon.shutdown());
}
