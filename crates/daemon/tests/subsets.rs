//! Tests of the number of backends of a service that one daemon calls.

mod support;

use support::client::{self, Call};
use support::deployment::{edge_settings, request_kind, wait_for_endpoints};
use support::peer::{PeerResponse, start_peers};
use support::platform::PlatformStub;
use wharfquay_core::outcome::ResultCode;
use wharfquay_daemon::Daemon;
use wharfquay_resources::kinds::{Resource, Service};

const PEERS: usize = 5;
const CALLS: usize = 100;

/// An edge that is the only caller holds one connection to the daemon of each backend in its
/// subset, which is planned for 60% of the connection limit.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_calls_as_many_backends_as_their_connections_allow() {
    // Connection limit of the service, minimum and maximum number of backends that are called. A
    // backend whose first call was slow may be avoided for seconds, so not all of a subset need to
    // be called.
    for (connections, fewest, most) in [(1, 2, 3), (2, 4, PEERS)] {
        let platform = PlatformStub::start().await;
        platform.put(&Resource::Service(Service {
            name: "booking".to_owned(),
            slots: 1,
            connections,
            queue_wait_ms: 200,
            warm_up_ms: 0,
            calls: Vec::new(),
        }));
        platform.put(&request_kind("booking", "GET", true));
        let responses = [PeerResponse::default(); PEERS];
        let peers = start_peers(&platform, "booking", &responses).await;
        let edge = Daemon::start(edge_settings(&platform, "")).await.unwrap();
        wait_for_endpoints(edge.addresses().admin.unwrap(), PEERS).await;
        let address = edge.addresses().edge.unwrap();
        let called = || peers.iter().filter(|peer| peer.calls() > 0).count();
        let call = async || {
            let response = client::send(address, Call::get("booking", "/work")).await;
            assert_eq!(response.unwrap().code(), Some(ResultCode::Answered));
        };
        support::eventually("enough backends are called", async || {
            call().await;
            called() >= fewest
        })
        .await;
        for _ in 0..CALLS {
            call().await;
        }
        assert!(called() <= most, "{connections}: {} called", called());
    }
}
