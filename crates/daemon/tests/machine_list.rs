//! Tests of polling the platform's machine list, which may lag.

mod support;

use support::client::{self, Call};
use support::deployment::{Deployment, machine};

/// Number of reads after which every daemon has processed the served list: each of the two daemons
/// reads it once per interval.
const READS: usize = 12;

async fn leaving(deployment: &Deployment) -> bool {
    let admin = deployment.edge.addresses().admin.unwrap();
    let status = client::send(admin, Call::get("admin", "/status")).await;
    let status: serde_json::Value = serde_json::from_str(&status.unwrap().text()).unwrap();
    status["endpoints"][0]["leaving"] == true
}

#[tokio::test(flavor = "multi_thread")]
async fn an_older_list_is_ignored() {
    let deployment = Deployment::start(&["booking"]).await;
    let platform = &deployment.platform;
    let live = platform.machines_version();
    let member = &deployment.members[0];
    let inbound = member.daemon.addresses().inbound.unwrap();
    platform.put_machine(machine(&member.id, "booking", inbound, "leaving"));
    support::eventually("the machine is leaving", async || {
        leaving(&deployment).await
    })
    .await;
    platform.serve_machines_of(live);
    let (before, _) = platform.machine_reads();
    support::eventually("the older list was read", async || {
        assert!(leaving(&deployment).await, "the older list is in force");
        platform.machine_reads().0 >= before + READS
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_list_that_has_not_changed_is_not_sent_again() {
    let deployment = Deployment::start(&["booking"]).await;
    let platform = &deployment.platform;
    let (read, sent) = platform.machine_reads();
    support::eventually("the list was read again", async || {
        platform.machine_reads().0 >= read + READS
    })
    .await;
    // Each daemon may have had a read in flight.
    let daemons = deployment.members.len() + 1;
    let sent_since = platform.machine_reads().1 - sent;
    assert!(sent_since <= daemons, "{sent_since}");
}
