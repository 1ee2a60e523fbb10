//! What answers tell of their back ends, and what it does to later calls.

mod support;

use support::client::{self, Call};
use support::deployment::{
    Deployment, edge_settings, request_kind, service, standard_resources, wait_for_endpoints,
};
use support::peer::{PeerAnswer, PeerStub, start_peers};
use support::platform::PlatformStub;
use wharfquay_core::outcome::ResultCode;
use wharfquay_core::priority::AdmissionLevel;
use wharfquay_daemon::{Daemon, RunningDaemon};

/// Calls after the one that told of a level; they end well before it has reopened.
const CALLS: usize = 20;

const BUSY: PeerAnswer = PeerAnswer {
    code: ResultCode::Answered,
    status: 200,
    level: AdmissionLevel::CLOSED,
    folded_level: AdmissionLevel::CLOSED,
    incarnation: 0,
};

const BUSY_BELOW: PeerAnswer = PeerAnswer {
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
    async fn start(answers: &[PeerAnswer]) -> Self {
        let platform = PlatformStub::start().await;
        for resource in standard_resources(&["booking"]) {
            platform.put(&resource);
        }
        let peers = start_peers(&platform, "booking", answers).await;
        let daemon = Daemon::start(edge_settings(&platform, "")).await.unwrap();
        let admin = daemon.addresses().admin.unwrap();
        wait_for_endpoints(admin, answers.len()).await;
        Self {
            peers,
            daemon,
            _platform: platform,
        }
    }

    async fn send(&self) -> Option<ResultCode> {
        let address = self.daemon.addresses().edge.unwrap();
        let answer = client::send(address, Call::get("booking", "/work")).await;
        answer.unwrap().code()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_busy_back_end_does_not_close_the_service_while_a_sibling_admits() {
    let edge = Edge::start(&[BUSY, PeerAnswer::default()]).await;
    support::eventually("the busy back end was heard", async || {
        assert_eq!(edge.send().await, Some(ResultCode::Answered));
        edge.peers[0].calls() > 0
    })
    .await;
    for call in 0..CALLS {
        assert_eq!(edge.send().await, Some(ResultCode::Answered), "call {call}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_edge_refuses_early_what_every_back_end_or_the_path_below_would_refuse() {
    for answer in [BUSY, BUSY_BELOW] {
        let edge = Edge::start(&[answer]).await;
        assert_eq!(edge.send().await, Some(ResultCode::Answered), "{answer:?}");
        let refused = edge.send().await;
        assert_eq!(refused, Some(ResultCode::RefusedByLevel), "{answer:?}");
        assert_eq!(edge.peers[0].calls(), 1, "{answer:?}");
    }
}

/// The edge does not call the deep service itself: only the folded level can tell it.
#[tokio::test(flavor = "multi_thread")]
async fn a_level_that_every_deep_back_end_has_is_folded_up_to_the_edge() {
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
        let answer = deployment
            .send(Call::get("booking", "/call/slot/work"))
            .await;
        answer.code() == Some(ResultCode::RefusedByLevel)
            && backend.executions("/call/slot/work") == executed
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_back_end_that_fails_fast_does_not_attract_calls() {
    let failing = PeerAnswer {
        status: 500,
        ..PeerAnswer::default()
    };
    let edge = Edge::start(&[failing, PeerAnswer::default()]).await;
    support::eventually("the failing back end was heard", async || {
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
