//! Tests of decision records: `/decisions` serves them, and the decision function reproduces them.

mod support;

use std::convert::Infallible;
use std::net::SocketAddr;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use support::body::TestBody;
use support::client::{self, Call, ClientResponse};
use support::deployment::{edge_settings, machine, request_kind, standard_resources};
use support::platform::PlatformStub;
use tokio::net::TcpListener;
use wharfquay_core::call::RetryAllowance;
use wharfquay_core::outcome::ResultCode;
use wharfquay_core::priority::AdmissionLevel;
use wharfquay_daemon::{Daemon, RunningDaemon};
use wharfquay_protocol::response::ResponseMetadata;
use wharfquay_resources::decision::{DecisionRecord, replay};
use wharfquay_resources::kinds::{ClaimGroup, Resource};
use wharfquay_resources::snapshot::Snapshot;

/// An admission level that admits only priority 0.
const STRICT_LEVEL: u16 = 4_096;

/// Priority of every request kind: after a strict level was received, this priority is admitted
/// again last.
const LOWEST_PRIORITY: u8 = 7;

/// Starts an emulated daemon beside a backend that responds and reports a strict admission level.
async fn start_peer() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            let service = service_fn(|_request: Request<Incoming>| async {
                Ok::<_, Infallible>(response_with_strict_level())
            });
            tokio::spawn(async move {
                let _ = hyper::server::conn::http2::Builder::new(TokioExecutor::new())
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    });
    address
}

fn response_with_strict_level() -> Response<TestBody> {
    let level = AdmissionLevel::new(STRICT_LEVEL);
    let metadata = ResponseMetadata {
        attempt: None,
        unused_retries: RetryAllowance::NONE,
        level,
        folded_level: level,
        in_flight: 1,
        limit: 1,
        queued: 0,
        rate_limited_ms: 0,
        slowdown_percent: None,
        expected_execution_ms: None,
        completed_permille: None,
        incarnation: 1,
    };
    Response::builder()
        .header("wharfquay-result", ResultCode::Answered.number())
        .header("wharfquay-answer", metadata.encode())
        .body(TestBody::complete("ok".to_owned()))
        .unwrap()
}

/// Returns services, request kinds and a kind that requires an idempotency key.
fn resources() -> Vec<Resource> {
    let mut resources = standard_resources(&["booking"]);
    for resource in &mut resources {
        if let Resource::RequestKind(kind) = resource {
            kind.priority = LOWEST_PRIORITY;
        }
    }
    let Resource::RequestKind(mut keyed) = request_kind("booking", "PUT", false) else {
        unreachable!("a request kind");
    };
    keyed.idempotency_key_required = true;
    resources.push(Resource::RequestKind(keyed));
    resources.push(Resource::ClaimGroup(ClaimGroup {
        name: "default".to_owned(),
        epoch: 1,
        replicas: vec!["booking-1".to_owned()],
        previous_replicas: None,
        clock_skew_ms: 0,
        retention_ms: 60_000,
    }));
    resources
}

fn snapshot(resources: &[Resource]) -> Snapshot {
    let mut snapshot = Snapshot::default();
    for resource in resources {
        snapshot.insert(resource.clone());
    }
    snapshot
}

struct Edge {
    daemon: RunningDaemon,
    _platform: PlatformStub,
}

impl Edge {
    async fn start(records: u32) -> Self {
        let platform = PlatformStub::start().await;
        for resource in resources() {
            platform.put(&resource);
        }
        platform.put_machine(machine("booking-1", "booking", start_peer().await, "live"));
        let mut settings = edge_settings(&platform, "");
        settings.admin.decision_records = records;
        let daemon = Daemon::start(settings).await.unwrap();
        let edge = Self {
            daemon,
            _platform: platform,
        };
        support::eventually("configuration and endpoint are applied", async || {
            let status = edge.page("/status").await.text();
            status.contains("\"ready\":true") && status.contains("booking-1")
        })
        .await;
        edge
    }

    async fn page(&self, path: &str) -> ClientResponse {
        let admin = self.daemon.addresses().admin.unwrap();
        client::send(admin, Call::get("admin", path)).await.unwrap()
    }

    async fn send(&self, call: Call) -> Option<ResultCode> {
        let edge = self.daemon.addresses().edge.unwrap();
        client::send(edge, call).await.unwrap().code()
    }

    async fn decisions(&self, path: &str) -> Vec<DecisionRecord> {
        let text = self.page(path).await.text();
        text.lines()
            .map(|line| serde_json::from_str(line).unwrap())
            .collect()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn every_decision_is_recorded_as_the_decision_function_computes_it() {
    let edge = Edge::start(100).await;
    let calls = [
        (Call::get("booking", "/a?x=1"), ResultCode::Answered),
        // The response reported a level that does not admit the priority. It applies first to the
        // path of this request kind and then, for the next kind, to every endpoint of the service.
        (
            Call::get("booking", "/b").header("wharfquay-deadline-ms", "900"),
            ResultCode::RefusedByLevel,
        ),
        (
            Call::post("booking", "/c", "body").header("wharfquay-deadline-ms", "9000"),
            ResultCode::RefusedByLevel,
        ),
        (Call::get("nobody", "/d"), ResultCode::UnknownService),
        (
            Call {
                method: http::Method::PUT,
                ..Call::get("booking", "/e")
            },
            ResultCode::MissingIdempotencyKey,
        ),
        // Rejected before the configuration is consulted, so not recorded.
        (
            Call::get("booking", "/f").header("wharfquay-deadline-ms", "soon"),
            ResultCode::MalformedRequest,
        ),
    ];
    for (call, expected) in calls {
        let path = call.path.clone();
        assert_eq!(edge.send(call).await, Some(expected), "{path}");
    }
    let records = edge.decisions("/decisions").await;
    let recorded: Vec<(&str, Option<u16>, bool)> = records
        .iter()
        .map(|record| {
            (
                record.request.path.as_str(),
                record.decision.refused,
                record.circumstances.endpoint.is_some(),
            )
        })
        .collect();
    let refused = |code: ResultCode| Some(code.number());
    assert_eq!(
        recorded,
        [
            ("/a", None, true),
            ("/b", refused(ResultCode::RefusedByLevel), false),
            ("/c", refused(ResultCode::RefusedByLevel), false),
            ("/d", refused(ResultCode::UnknownService), false),
            ("/e", refused(ResultCode::MissingIdempotencyKey), false),
        ]
    );
    assert_eq!(records[1].request.deadline_ms, Some(900));
    let level = records[1].circumstances.level.number();
    assert!((STRICT_LEVEL..32_768).contains(&level), "{level}");
    let endpoint = records[0].circumstances.endpoint.as_ref().unwrap();
    assert_eq!(
        (endpoint.id.as_str(), endpoint.zone.as_str()),
        ("booking-1", "north")
    );
    for record in &records {
        let differences = replay(&snapshot(&resources()), record);
        assert_eq!(differences, [], "{}", record.request.path);
    }
    edge.daemon.shutdown().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_newest_records_are_kept_and_served() {
    let edge = Edge::start(3).await;
    for number in 0..5 {
        let path = format!("/{number}");
        edge.send(Call::post("booking", &path, "")).await;
    }
    for (page, expected) in [
        ("/decisions", &["/2", "/3", "/4"][..]),
        ("/decisions?limit=2", &["/3", "/4"]),
        ("/decisions?limit=0", &[]),
        ("/decisions?limit=9", &["/2", "/3", "/4"]),
    ] {
        let records = edge.decisions(page).await;
        let paths: Vec<&str> = records
            .iter()
            .map(|record| record.request.path.as_str())
            .collect();
        assert_eq!(paths, expected, "{page}");
    }
    for limit in ["-1", "x", ""] {
        let response = edge.page(&format!("/decisions?limit={limit}")).await;
        assert_eq!(response.status, http::StatusCode::BAD_REQUEST, "{limit}");
        assert!(response.text().contains("allowed"), "{}", response.text());
    }
    edge.daemon.shutdown().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn without_records_the_page_responds_with_not_found() {
    let edge = Edge::start(0).await;
    edge.send(Call::get("booking", "/a")).await;
    let response = edge.page("/decisions").await;
    assert_eq!(response.status, http::StatusCode::NOT_FOUND);
    assert!(response.text().contains("admin.decision_records"));
    edge.daemon.shutdown().await;
}
