//! Tests of leaving backends: calls in flight complete, and no new calls arrive.

mod support;

use std::time::Duration;

use support::client::{self, Call};
use support::deployment::{Deployment, machine};
use wharfquay_core::outcome::ResultCode;
use wharfquay_resources::kinds::{Drain, DrainTarget, Resource};

#[tokio::test(flavor = "multi_thread")]
async fn a_stop_lets_calls_in_flight_complete_and_refuses_new_ones() {
    let mut deployment = Deployment::start(&["booking"]).await;
    let edge = deployment.edge_address();
    let call = Call::post("booking", "/slow/300", "");
    let in_flight = tokio::spawn(client::send(edge, call));
    let member = deployment.members.remove(0);
    support::eventually("the call runs", async || {
        member.backend.executions("/slow/300") == 1
    })
    .await;
    let stop = tokio::spawn(member.daemon.shutdown());
    support::eventually("new calls are refused", async || {
        let response = deployment.send(Call::post("booking", "/new", "")).await;
        response.code() != Some(ResultCode::Answered)
    })
    .await;
    let executed = member.backend.executions("/new");
    for _ in 0..10 {
        let response = deployment.send(Call::post("booking", "/new", "")).await;
        let code = response.code().unwrap();
        assert_eq!(code.outcome().as_str(), "not-run", "{code:?}");
    }
    assert_eq!(member.backend.executions("/new"), executed);
    let response = in_flight.await.unwrap().unwrap();
    assert_eq!(response.text(), "slow response");
    stop.await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_daemon_reports_that_it_is_leaving() {
    let mut deployment = Deployment::start(&["booking"]).await;
    let edge = deployment.edge_address();
    let in_flight = tokio::spawn(client::send(edge, Call::post("booking", "/slow/300", "")));
    let member = deployment.members.remove(0);
    support::eventually("the call runs", async || {
        member.backend.executions("/slow/300") == 1
    })
    .await;
    let admin = member.daemon.addresses().admin.unwrap();
    let stop = tokio::spawn(member.daemon.shutdown());
    support::eventually("the daemon is leaving", async || {
        let status = client::send(admin, Call::get("admin", "/status")).await;
        let text = status.map(|status| status.text()).unwrap_or_default();
        let status: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
        status["leaving"] == true && status["endpoints"][0]["leaving"] == true
    })
    .await;
    assert_eq!(in_flight.await.unwrap().unwrap().text(), "slow response");
    stop.await.unwrap();
}

/// A call in flight must still be able to make downstream calls while the daemon of its backend
/// stops.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_lets_calls_in_flight_make_downstream_calls() {
    let mut deployment = Deployment::start(&["booking", "slot"]).await;
    let edge = deployment.edge_address();
    let call = Call::post("booking", "/call/slot/slow/300", "");
    let in_flight = tokio::spawn(client::send(edge, call));
    let slot = deployment.members[1].backend.clone();
    support::eventually("the deeper call runs", async || {
        slot.executions("/slow/300") == 1
    })
    .await;
    let booking = deployment.members.remove(0);
    tokio::join!(booking.daemon.shutdown(), async {
        assert_eq!(in_flight.await.unwrap().unwrap().text(), "slow response");
    });
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_edge_refuses_new_requests_and_completes_those_in_flight() {
    let deployment = Deployment::start(&["booking"]).await;
    let edge = deployment.edge_address();
    let slow = Call::post("booking", "/slow/300", "");
    let in_flight = tokio::spawn(client::send(edge, slow));
    support::eventually("the call runs", async || {
        deployment.members[0].backend.executions("/slow/300") == 1
    })
    .await;
    let stop = tokio::spawn(deployment.edge.shutdown());
    support::eventually("new requests are refused", async || {
        let response = client::send(edge, Call::post("booking", "/new", "")).await;
        response.is_ok_and(|response| response.code() == Some(ResultCode::Draining))
    })
    .await;
    assert_eq!(in_flight.await.unwrap().unwrap().text(), "slow response");
    stop.await.unwrap();
}

#[derive(Clone, Copy, Debug)]
enum Source {
    MachineList,
    BackendDrain,
    Health,
    Stop,
}

/// If any source marks one of two backends as leaving, all calls go to the other one.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_backend_gets_no_new_calls_and_no_call_fails() {
    let sources = [
        Source::MachineList,
        Source::BackendDrain,
        Source::Health,
        Source::Stop,
    ];
    for source in sources {
        let mut deployment = Deployment::start(&["booking", "booking"]).await;
        let leaving = deployment.members.remove(0);
        let inbound = leaving.daemon.addresses().inbound.unwrap();
        let mut stop = None;
        match source {
            Source::MachineList => {
                let entry = machine(&leaving.id, "booking", inbound, "leaving");
                deployment.platform.put_machine(entry);
            }
            Source::BackendDrain => deployment.platform.put(&Resource::Drain(Drain {
                name: "maintenance".to_owned(),
                target: DrainTarget::Backend(leaving.id.clone()),
                limit_ms: 1_000,
            })),
            Source::Health => leaving.backend.set_health("leaving"),
            Source::Stop => stop = Some(tokio::spawn(leaving.daemon.shutdown())),
        }
        let mut last = leaving.backend.executions("/work");
        let mut quiet_rounds = 0;
        let mut rounds = 0;
        while quiet_rounds < 20 {
            let response = deployment.send(Call::post("booking", "/work", "")).await;
            assert_eq!(response.code(), Some(ResultCode::Answered), "{source:?}");
            let executed = leaving.backend.executions("/work");
            quiet_rounds = if executed == last {
                quiet_rounds + 1
            } else {
                0
            };
            last = executed;
            rounds += 1;
            assert!(rounds < 2_000, "{source:?}: still gets work");
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        if let Some(stop) = stop {
            stop.await.unwrap();
        }
    }
}
