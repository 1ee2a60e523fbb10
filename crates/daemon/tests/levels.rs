//! Tests of the load and admission levels in responses and of their effect on later calls.

mod support;

use support::client::{self, Call};
use support::deployment::{
    Deployment, edge_settings, request_kind, service, standard_resources, wait_for_endpoints,
};
use support::peer::{PeerResponse, PeerStub, start_peers};
use support::platform::PlatformStub;
use wharfquay_core::outcome::ResultCode;
use wharfquay_core::priority::AdmissionLevel;
use wharfquay_daemon::{Daemon, RunningDaemon};

/// Number of calls after the response that reported a level; they complete long before the level
/// reopens.
const CALLS: usize = 20;

const BUSY: PeerResponse = PeerResponse {
    code: ResultCode::Answered,
    status: 200,
    level: AdmissionLevel::CLOSED,
    folded_level: AdmissionLevel::CLOSED,
    incarnation: 0,
};

const BUSY_BELOW: PeerResponse = PeerResponse {
    level: AdmissionLevel::OPEN,
    ..BUSY
};

/// An edge in front of peers of one service.
struct Edge {
    peers: Vec<PeerStub>,
    daemon: RunningDaemon,
    _platform: PlatformStub,
}

impl Edge {
    async fn start(responses: &[PeerResponse]) -> Self {
        let platform = PlatformStub::start().await;
        for resource in standard_resources(&["booking"]) {
            platform.put(&resource);
        }
        let peers = start_peers(&platform, "booking", responses).await;
        let daemon = Daemon::start(edge_settings(&platform, "")).await.unwrap();
        let admin = daemon.addresses().admin.unwrap();
        wait_for_endpoints(admin, responses.len()).await;
        Self {
            peers,
            daemon,
            _platform: platform,
        }
    }

    async fn send(&self) -> Option<ResultCode> {
        let address = self.daemon.addresses().edge.unwrap();
        let response = client::send(address, Call::get("booking", "/work")).await;
        response.unwrap().code()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_busy_backend_does_not_close_the_service_while_a_sibling_admits() {
    let edge = Edge::start(&[BUSY, PeerResponse::default()]).await;
    support::eventually("the busy backend has responded", async || {
        assert_eq!(edge.send().await, Some(ResultCode::Answered));
        edge.peers[0].calls() > 0
    })
    .await;
    for call in 0..CALLS {
        assert_eq!(edge.send().await, Some(ResultCode::Answered), "call {call}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_edge_refuses_early_what_every_backend_or_the_path_below_would_refuse() {
    for response in [BUSY, BUSY_BELOW] {
        let edge = Edge::start(&[response]).await;
        assert_eq!(
            edge.send().await,
            Some(ResultCode::Answered),
            "{response:?}"
        );
        let refused = edge.send().await;
        assert_eq!(refused, Some(ResultCode::RefusedByLevel), "{response:?}");
        assert_eq!(edge.peers[0].calls(), 1, "{response:?}");
    }
}

/// The edge does not call the downstream service itself, so it can only learn its level from the
/// folded level of the upstream one.
#[tokio::test(flavor = "multi_thread")]
async fn the_level_of_all_downstream_backends_is_folded_up_to_the_edge() {
    let resources = [
        service("booking", &["slot"]),
        service("slot", &[]),
        request_kind("booking", "GET", true),
    ];
    let deployment = Deployment::start_with(&["booking"], &resources).await;
    let peers = start_peers(&deployment.platform, "slot", &[BUSY, BUSY]).await;
    for admin in deployment.admin_addresses() {
        wait_for_endpoints(admin, 1 + peers.len()).await;
    }
    let backend = &deployment.members[0].backend;
    support::eventually("the edge refuses early", async || {
        let executed = backend.executions("/call/slot/work");
        let response = deployment
            .send(Call::get("booking", "/call/slot/work"))
            .await;
        response.code() == Some(ResultCode::RefusedByLevel)
            && backend.executions("/call/slot/work") == executed
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_backend_that_fails_fast_does_not_attract_calls() {
    let failing = PeerResponse {
        status: 500,
        ..PeerResponse::default()
    };
    let edge = Edge::start(&[failing, PeerResponse::default()]).await;
    support::eventually("the failing backend has responded", async || {
        edge.send().await;
        edge.peers[0].calls() > 0
    })
    .await;
    let before = edge.peers[0].calls();
    for _ in 0..CALLS * 10 {
        assert_eq!(edge.send().await, Some(ResultCode::Answered));
    }
    let failed = edge.peers[0].calls() - before;
    assert!(failed <= CALLS, "{failed} of {} calls failed", CALLS * 10);
}
