//! Hollow daemons over real sockets: they join, adopt what the store accepts and see one leave.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use lexopt::Parser;
use wharfquay_emulator::arguments::Command;
use wharfquay_emulator::hollow::arguments::parse;
use wharfquay_emulator::hollow::report::HollowReport;
use wharfquay_emulator::hollow::{HollowSettings, RunningHollow, WatchedMember};
use wharfquay_emulator::platform::{self, PlatformSettings, RunningPlatform};
use wharfquay_platform::{Client, ClientSettings, WriteRequest};
use wharfquay_resources::parse::{SourceFile, parse as parse_resources};
use wharfquay_resources::snapshot::Revision;

const DAEMONS: u16 = 12;
const PORT: u16 = 21_000;
const LIMIT: Duration = Duration::from_secs(15);
const POLL: Duration = Duration::from_millis(50);
const RESOURCES: &str = "[[service]]\nname = \"booking\"\nslots = 8\n";

/// A loopback address that no other test process uses.
fn own_host() -> String {
    let [.., high, low] = std::process::id().to_be_bytes();
    format!("127.77.{high}.{}", low.clamp(1, 254))
}

fn settings(platform: SocketAddr) -> HollowSettings {
    let listen: SocketAddr = format!("{}:{PORT}", own_host()).parse().expect("valid");
    HollowSettings {
        daemons: DAEMONS,
        zones: vec!["north".to_owned(), "south".to_owned()],
        listen,
        prefix: "hollow".to_owned(),
        seeds: vec![listen],
        platform: vec![platform],
        watched: Some(WatchedMember {
            zone: "north".to_owned(),
            id: "hollow-00000".to_owned(),
        }),
    }
}

async fn start_platform() -> RunningPlatform {
    let file = SourceFile {
        name: "test.resources.toml".to_owned(),
        text: RESOURCES.to_owned(),
    };
    let settings = PlatformSettings {
        resources: parse_resources(&[file]).resources,
        ..PlatformSettings::new("127.0.0.1:0".parse().expect("valid"))
    };
    platform::start(settings).await.expect("starts")
}

async fn until(
    running: &RunningHollow,
    what: &str,
    holds: impl Fn(&HollowReport) -> bool,
) -> HollowReport {
    let limit = Instant::now() + LIMIT;
    loop {
        let report = running.report().await;
        if holds(&report) {
            return report;
        }
        assert!(Instant::now() < limit, "not in time: {what}: {report:?}");
        tokio::time::sleep(POLL).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn daemons_join_adopt_changes_and_see_one_leave() {
    let platform = start_platform().await;
    let running = RunningHollow::start(&settings(platform.address()))
        .await
        .expect("starts");
    let all = usize::from(DAEMONS);
    let joined = until(&running, "all ready and known", |report| {
        let joined = |daemon: &wharfquay_emulator::hollow::report::DaemonReport| {
            daemon.ready && daemon.members == all
        };
        report.daemons.iter().all(joined)
    })
    .await;
    let accepted = change_service(platform.address()).await;
    let changed = until(&running, "the change in force everywhere", |report| {
        let in_force = |revision: u64| revision >= accepted;
        report
            .daemons
            .iter()
            .all(|daemon| in_force(daemon.revision))
    })
    .await;
    running.leave_first().await;
    let left = until(&running, "the leaving mark known everywhere", |report| {
        let mut times = report
            .daemons
            .iter()
            .map(|daemon| daemon.watched_leaving_at_ms);
        times.all(|time| time.is_some())
    })
    .await;
    assert_eq!(joined.daemons.len(), all);
    for daemon in &left.daemons {
        assert_eq!(daemon.undecodable, 0, "{daemon:?}");
        assert_eq!(daemon.dropped, 0, "{daemon:?}");
        assert_eq!(daemon.declared_dead, 0, "{daemon:?}");
    }
    let datagrams = |report: &HollowReport| -> (u64, u64) {
        let sent = report
            .daemons
            .iter()
            .map(|daemon| daemon.datagrams_sent)
            .sum();
        let received = report
            .daemons
            .iter()
            .map(|daemon| daemon.datagrams_received)
            .sum();
        (sent, received)
    };
    assert!(datagrams(&changed).0 > 0 && datagrams(&changed).1 > 0);
    assert!(left.resident_bytes > 0);
    platform.shutdown().await;
}

/// Changes one object and returns the accepted revision.
async fn change_service(platform: SocketAddr) -> u64 {
    let client = Client::new(vec![platform], ClientSettings::default());
    let list = client.list().await.expect("lists");
    let object = list.objects.first().expect("one object").clone();
    let mut spec = object.spec;
    spec["slots"] = 9.into();
    let request = WriteRequest::put(object.key, object.version, "test", spec);
    let receipt = client.write_with_retry(&request).await.expect("writes");
    let accepted = receipt.version.expect("a put tells it");
    assert!(accepted > Revision::new(1));
    accepted.number()
}

#[tokio::test]
async fn taken_address_is_named() {
    let socket = std::net::UdpSocket::bind(format!("{}:0", own_host())).expect("binds");
    let address = socket.local_addr().expect("bound");
    let settings = HollowSettings {
        daemons: 1,
        listen: address,
        ..settings(address)
    };
    let error = RunningHollow::start(&settings).await.expect_err("is taken");
    assert!(error.contains(&address.to_string()), "{error}");
}

#[test]
fn bad_arguments_name_option_value_and_what_is_allowed() {
    let cases: &[(&[&str], &str)] = &[
        (&["--listen", "127.0.0.2:20000"], "--daemons is missing"),
        (&["--daemons", "5"], "--listen is missing"),
        (&["--daemons", "0"], "1 to 20000"),
        (&["--daemons", "many"], "--daemons: can't use \"many\""),
        (&["--zones", "101"], "1 to 100"),
        (
            &["--daemons", "5", "--listen", "10.0.0.1:20000"],
            "not a loopback address",
        ),
        (
            &["--daemons", "5", "--listen", "127.0.0.2:65533"],
            "no room for the ports",
        ),
        (
            &["--daemons", "5", "--listen", "127.0.0.2:80"],
            "no room for the ports",
        ),
        (&["--watch", "hollow-1"], "ZONE/ID"),
        (&["--seeds", "here"], "ip:port"),
        (&["--depth", "5"], "--depth"),
    ];
    for (arguments, expected) in cases {
        let error = parse(Parser::from_args(arguments.iter())).expect_err("is refused");
        let text = error.to_string();
        assert!(text.contains(expected), "{arguments:?}: {text}");
    }
    let given = [
        "--daemons",
        "5",
        "--zones",
        "2",
        "--listen",
        "127.0.0.2:20000",
    ];
    let Ok(Command::Run(settings)) = parse(Parser::from_args(given)) else {
        panic!("is accepted");
    };
    assert_eq!(settings.zones, ["zone-0", "zone-1"]);
}
