//! Tests of log events: their format, and the events that a daemon in a separate process logs.

mod support;

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use support::client::{self, Call};
use support::deployment::{machine, member_text, standard_resources};
use support::platform::PlatformStub;
use wharfquay_core::outcome::ResultCode;
use wharfquay_daemon::events::{Event, PlatformHealth, Quoted, RateLimit};
use wharfquay_daemon::logging::line;

#[test]
fn a_line_begins_with_its_event_and_stays_one_line() {
    let time = "2026-01-02T03:04:05Z";
    let head = format!("time={time} level=INFO");
    for (message, expected) in [
        ("event=ready", format!("event=ready {head}")),
        (
            "event=ready revision=3",
            format!("event=ready {head} revision=3"),
        ),
        (
            "two\nlines \"quoted\"",
            format!(r#"event=library_message {head} target=lib message="two\nlines \"quoted\"""#),
        ),
    ] {
        assert_eq!(line(time, log::Level::Info, "lib", message), expected);
    }
    assert_eq!(Quoted("a\r\n\"b").to_string(), r#""a\r\n\"b""#);
}

#[test]
fn a_rate_limited_event_reports_how_many_were_suppressed() {
    let limit = RateLimit::default();
    let start = Instant::now();
    let at = |millis| limit.allow(start + Duration::from_millis(millis));
    let allowed: Vec<Option<u64>> = [0, 1, 500, 999, 1_000, 1_999, 5_000].map(at).to_vec();
    let expected = [Some(0), None, None, None, Some(3), None, Some(1)];
    assert_eq!(allowed, expected);
}

#[test]
fn the_platform_is_available_until_a_read_fails() {
    let health = PlatformHealth::default();
    assert!(health.is_available());
    for _ in 0..2 {
        health.record_failure(&"no response");
        assert!(!health.is_available());
    }
    for _ in 0..2 {
        health.record_success();
        assert!(health.is_available());
    }
}

/// Collects the names after `event=` in the sources of a crate.
fn names_in_sources(directory: &Path, names: &mut BTreeSet<String>) {
    for entry in std::fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            names_in_sources(&path, names);
            continue;
        }
        let text = std::fs::read_to_string(&path).unwrap();
        for rest in text.split("\"event=").skip(1) {
            let name: String = rest
                .chars()
                .take_while(|character| character.is_ascii_lowercase() || *character == '_')
                .collect();
            names.insert(name);
        }
    }
}

/// Crates and modules that log without the catalogue must use only event names of the catalogue.
#[test]
fn every_event_in_the_sources_is_in_the_catalogue() {
    let mut names = BTreeSet::new();
    for name in ["daemon", "membership", "platform"] {
        let crates = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
        names_in_sources(&crates.join(name).join("src"), &mut names);
    }
    names.remove("");
    let known: BTreeSet<String> = Event::ALL
        .iter()
        .map(|event| event.name().to_owned())
        .collect();
    assert_eq!(known.len(), Event::ALL.len(), "duplicate event name");
    let unknown: Vec<&String> = names.difference(&known).collect();
    assert!(
        unknown.is_empty(),
        "add to events/catalogue.rs: {unknown:?}"
    );
}

/// A daemon in a separate process and the log lines that it has written.
struct LoggedDaemon {
    child: Child,
    lines: Arc<Mutex<Vec<String>>>,
}

impl LoggedDaemon {
    fn start(name: &str, text: &str) -> Self {
        let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let file = file.join(format!("events-{name}-{}.toml", std::process::id()));
        std::fs::write(&file, text).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_wharfquayd"))
            .arg("--config")
            .arg(file)
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let log = BufReader::new(child.stderr.take().unwrap());
        let lines = Arc::new(Mutex::new(Vec::new()));
        let written = Arc::clone(&lines);
        std::thread::spawn(move || {
            for line in log.lines().map_while(Result::ok) {
                written.lock().unwrap().push(line);
            }
        });
        Self { child, lines }
    }

    /// Returns the lines of one event.
    fn of(&self, event: Event) -> Vec<String> {
        let prefix = format!("event={} ", event.name());
        let lines = self.lines.lock().unwrap();
        let found = lines.iter().filter(|line| line.starts_with(&prefix));
        found.cloned().collect()
    }

    async fn wait_for(&self, event: Event) -> String {
        self.wait_for_lines(event, 1).await.remove(0)
    }

    async fn wait_for_lines(&self, event: Event, count: usize) -> Vec<String> {
        support::eventually(event.name(), async || self.of(event).len() >= count).await;
        self.of(event)
    }

    /// Checks that every line has the name, the level and the fields of an event in the catalogue.
    fn check_lines(&self) {
        for line in self.lines.lock().unwrap().iter() {
            check_line(line);
        }
    }
}

impl Drop for LoggedDaemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn field<'a>(line: &'a str, key: &str) -> &'a str {
    let mut pairs = line
        .split_whitespace()
        .filter_map(|pair| pair.split_once('='));
    pairs.find(|(name, _)| *name == key).unwrap().1
}

/// Returns the keys of a line; quoted values may contain any character.
fn keys(line: &str) -> Vec<String> {
    let mut keys = Vec::new();
    let mut rest = line;
    while let Some((key, value)) = rest.split_once('=') {
        keys.push(key.to_owned());
        let end = if let Some(quoted) = value.strip_prefix('"') {
            let closing = quoted.match_indices('"');
            let mut closing = closing.filter(|(index, _)| !quoted[..*index].ends_with('\\'));
            closing.next().unwrap().0 + 2
        } else {
            value.find(' ').unwrap_or(value.len())
        };
        rest = value[end..].trim_start();
    }
    keys
}

fn check_line(line: &str) {
    let name = field(line, "event");
    let event = Event::ALL.iter().find(|event| event.name() == name);
    let event = event.unwrap_or_else(|| panic!("not in the catalogue: {line}"));
    let mut expected = vec!["event", "time", "level"];
    expected.extend(event.fields());
    assert_eq!(keys(line), expected, "{line}");
    assert_eq!(field(line, "level"), event.level().as_str(), "{line}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_edge_logs_the_events_from_start_to_stop() {
    let platform = PlatformStub::start().await;
    for resource in standard_resources(&["booking"]) {
        platform.put(&resource);
    }
    let mut daemon = LoggedDaemon::start(
        "edge",
        &format!(
            "id = \"edge\"\nzone = \"north\"\n\
         [edge]\nlisten = \"127.0.0.1:0\"\n\
         [admin]\nlisten = \"127.0.0.1:0\"\n\
         [platform]\naddresses = [\"{}\"]\npoll_interval_ms = 50\n",
            platform.address
        ),
    );
    let started = daemon.wait_for(Event::Started).await;
    daemon.wait_for(Event::Ready).await;
    daemon.wait_for(Event::ConfigurationAdopted).await;
    let call_address = "127.0.0.1:9".parse().unwrap();
    for (state, event) in [
        ("live", Event::EndpointAdded),
        ("leaving", Event::EndpointLeaving),
        ("live", Event::EndpointReturned),
    ] {
        platform.put_machine(machine("booking-1", "booking", call_address, state));
        let line = daemon.wait_for(event).await;
        assert_eq!(field(&line, "id"), "booking-1");
    }
    // Whatever part of these changes one poll sees, at least one poll sees more than 32.
    for number in 0..80 {
        platform.put_machine(machine(
            &format!("more-{number}"),
            "booking",
            call_address,
            "live",
        ));
    }
    daemon.wait_for(Event::EndpointsChanged).await;
    let edge = field(&started, "edge").parse().unwrap();
    let begun = Instant::now();
    for _ in 0..20 {
        let call = Call::get("booking", "/").header("wharfquay-deadline-ms", "soon");
        let response = client::send(edge, call).await.unwrap();
        assert_eq!(response.code(), Some(ResultCode::MalformedRequest));
    }
    daemon.wait_for(Event::RequestMalformed).await;
    let written = daemon.of(Event::RequestMalformed).len();
    let seconds = usize::try_from(begun.elapsed().as_secs()).unwrap();
    assert!(written <= 1 + seconds, "{written} lines in {seconds} s");
    let process = daemon.child.id().to_string();
    let killed = Command::new("kill").args(["-TERM", &process]).status();
    assert!(killed.unwrap().success());
    daemon.wait_for(Event::Stopping).await;
    daemon.wait_for(Event::Stopped).await;
    assert!(daemon.child.wait().unwrap().success());
    daemon.check_lines();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drain_is_logged_from_start_to_withdrawal() {
    let platform = PlatformStub::start().await;
    for resource in standard_resources(&["booking"]) {
        platform.put(&resource);
    }
    let unused_address: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let text = member_text(
        platform.address,
        "booking-1",
        "booking",
        unused_address,
        "127.0.0.1:0",
    );
    let daemon = LoggedDaemon::start("member", &text);
    let started = daemon.wait_for(Event::Started).await;
    let inbound = field(&started, "inbound").parse().unwrap();
    for (state, event) in [
        ("leaving", Event::DrainStarted),
        ("leaving", Event::DrainFinished),
        ("live", Event::DrainWithdrawn),
    ] {
        platform.put_machine(machine("booking-1", "booking", inbound, state));
        daemon.wait_for(event).await;
    }
    daemon.check_lines();
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unavailable_platform_is_logged_once() {
    let text = member_text(
        "127.0.0.1:9".parse().unwrap(),
        "booking-1",
        "booking",
        "127.0.0.1:9".parse().unwrap(),
        "127.0.0.1:0",
    );
    let daemon = LoggedDaemon::start("alone", &text);
    // The log events of the configuration reader show that attempts continue.
    daemon
        .wait_for_lines(Event::ConfigurationReadFailed, 3)
        .await;
    assert_eq!(daemon.of(Event::PlatformUnavailable).len(), 1);
    assert!(daemon.of(Event::Ready).is_empty());
    daemon.check_lines();
}

/// Guards against a stop that cuts calls and reports only their number.
#[tokio::test(flavor = "multi_thread")]
async fn each_call_that_a_stop_cuts_is_logged() {
    let platform = PlatformStub::start().await;
    for resource in standard_resources(&["booking"]) {
        platform.put(&resource);
    }
    // Accepts connections and never responds.
    let silent = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let silent_address = silent.local_addr().unwrap();
    platform.put_machine(machine("booking-1", "booking", silent_address, "live"));
    let mut daemon = LoggedDaemon::start(
        "cut",
        &format!(
            "id = \"edge\"\nzone = \"north\"\n\
         [edge]\nlisten = \"127.0.0.1:0\"\n\
         [admin]\nlisten = \"127.0.0.1:0\"\n\
         [limits]\ndrain_limit_ms = 100\n\
         [platform]\naddresses = [\"{}\"]\npoll_interval_ms = 50\n",
            platform.address
        ),
    );
    let started = daemon.wait_for(Event::Started).await;
    daemon.wait_for(Event::EndpointAdded).await;
    let edge = field(&started, "edge").parse().unwrap();
    let held = ["/held/1", "/held/2"].map(|path| {
        let call = Call::get("booking", path).header("wharfquay-deadline-ms", "20000");
        tokio::spawn(client::send(edge, call))
    });
    let admin = field(&started, "admin").parse().unwrap();
    support::eventually("both calls are in flight", async || {
        let status = client::send(admin, Call::get("admin", "/status")).await;
        let text = status.map(|status| status.text()).unwrap_or_default();
        let status: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
        status["calls_in_flight"] == 2
    })
    .await;
    let process = daemon.child.id().to_string();
    let killed = Command::new("kill").args(["-TERM", &process]).status();
    assert!(killed.unwrap().success());
    let stopped = daemon.wait_for(Event::Stopped).await;
    assert_eq!(field(&stopped, "calls_cut"), "2");
    let cut = daemon.of(Event::CallCut);
    for path in ["/held/1", "/held/2"] {
        let lines = cut.iter().filter(|line| line.contains(path));
        assert_eq!(lines.count(), 1, "{cut:?}");
    }
    daemon.check_lines();
    for call in held {
        call.abort();
    }
    assert!(daemon.child.wait().unwrap().success());
}
