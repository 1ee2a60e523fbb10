//! Tests that under overload, requests of high priority are refused only after those of lower
//! priority.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use http::Method;
use support::client::{self, Call};
use support::deployment::{Deployment, request_kind, service};
use wharfquay_core::outcome::{OutcomeClass, ResultCode};
use wharfquay_resources::kinds::Resource;

const HIGH_PRIORITY: u8 = 0;
const LOW_PRIORITY: u8 = 6;
/// Number of low-priority requests that are sent concurrently.
const FLOOD: usize = 200;
/// Number of high-priority requests that are sent in sequence during the flood.
const HIGH_PRIORITY_REQUESTS: usize = 10;

/// One service with two slots; PUT has high priority, POST low priority.
fn resources() -> Vec<Resource> {
    let Resource::Service(mut booking) = service("booking", &[]) else {
        unreachable!("a service was made");
    };
    booking.slots = 2;
    booking.connections = 3;
    let kind = |method, priority| {
        let Resource::RequestKind(mut kind) = request_kind("booking", method, false) else {
            unreachable!("a request kind was made");
        };
        kind.priority = priority;
        Resource::RequestKind(kind)
    };
    vec![
        Resource::Service(booking),
        kind("PUT", HIGH_PRIORITY),
        kind("POST", LOW_PRIORITY),
    ]
}

#[tokio::test(flavor = "multi_thread")]
async fn a_flood_of_low_priority_requests_causes_no_refusal_of_high_priority_ones() {
    let deployment = Deployment::start_with(&["booking"], &resources()).await;
    let edge = deployment.edge_address();
    let flood: Vec<_> = (0..FLOOD)
        .map(|_| tokio::spawn(client::send(edge, Call::post("booking", "/slow/20", ""))))
        .collect();
    for number in 0..HIGH_PRIORITY_REQUESTS {
        let mut call = Call::post("booking", "/slow/5", "");
        call.method = Method::PUT;
        let response = deployment.send(call).await;
        assert_eq!(
            response.code(),
            Some(ResultCode::Answered),
            "request {number}"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let mut results = BTreeMap::new();
    for request in flood {
        let code = request.await.unwrap().unwrap().code().unwrap();
        *results.entry(code).or_insert(0) += 1;
    }
    let answered = results[&ResultCode::Answered];
    assert!(
        results
            .keys()
            .all(|code| code.outcome() != OutcomeClass::Unknown),
        "{results:?}"
    );
    assert!(answered < FLOOD, "{results:?}");
    assert_eq!(
        deployment.members[0].backend.executions("/slow/20"),
        answered
    );
}
