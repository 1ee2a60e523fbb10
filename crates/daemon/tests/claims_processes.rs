//! Tests that repeat an idempotency key with daemons in separate processes: through two edges, and
//! while replicas are killed, replaced and paused.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::json;
use support::backend::BackendStub;
use support::client::{self, Call, ClientResponse};
use support::deployment::{machine, member_text, standard_resources};
use support::platform::PlatformStub;
use support::process::Process;
use uuid::Uuid;
use wharfquay_core::outcome::ResultCode;
use wharfquay_resources::kinds::{ClaimGroup, Resource};

const REPLICAS: usize = 3;
const CLOCK_SKEW_MS: u32 = 100;
const ANY_PORT: &str = "127.0.0.1:0";

/// Two edges, one backend with its daemon, and three daemons that hold the claim replicas.
struct Mesh {
    name: &'static str,
    platform: PlatformStub,
    backend: BackendStub,
    replica_backend: BackendStub,
    _member: Process,
    replicas: Vec<Process>,
    edges: Vec<Process>,
}

impl Mesh {
    async fn start(name: &'static str) -> Self {
        let platform = PlatformStub::start().await;
        for resource in standard_resources(&["booking", "ledger"]) {
            platform.put(&resource);
        }
        platform.put(&claim_group(0));
        let backend = BackendStub::start().await;
        let text = member_text(
            platform.address,
            "booking-0",
            "booking",
            backend.address,
            ANY_PORT,
        );
        let member = Process::start(&format!("{name}-member"), &text);
        let inbound = member.address("inbound");
        platform.put_machine(machine("booking-0", "booking", inbound, "live"));
        let edges = (0..2).map(|number| start_edge(name, number, platform.address));
        let mut mesh = Self {
            name,
            edges: edges.collect(),
            backend,
            replica_backend: BackendStub::start().await,
            _member: member,
            replicas: Vec::new(),
            platform,
        };
        for number in 0..REPLICAS {
            let replica = mesh.start_replica(number);
            mesh.replicas.push(replica);
        }
        mesh.wait_until_any_two_replicas_suffice().await;
        mesh
    }

    /// Waits until claims succeed at both edges with any one replica paused, which shows that every
    /// replica votes and is reachable.
    async fn wait_until_any_two_replicas_suffice(&self) {
        for replica in &self.replicas {
            replica.pause().await;
            self.wait_until_claims_succeed().await;
            replica.resume();
        }
    }

    /// Starts the daemon of a replica and adds it to the machine list.
    fn start_replica(&self, number: usize) -> Process {
        let id = replica_id(number);
        let backend = self.replica_backend.address;
        let text = member_text(self.platform.address, &id, "ledger", backend, ANY_PORT);
        let text = format!("{text}[control]\nlisten = \"{ANY_PORT}\"\n");
        let process = Process::start(&format!("{}-{id}", self.name), &text);
        let mut entry = machine(&id, "ledger", process.address("inbound"), "live");
        entry["control_address"] = json!(process.address("control").to_string());
        self.platform.put_machine(entry);
        process
    }

    fn replace_replica(&mut self, number: usize) {
        self.replicas[number].kill();
        self.replicas[number] = self.start_replica(number);
    }

    /// Waits until calls with new keys succeed at both edges.
    async fn wait_until_claims_succeed(&self) {
        for edge in 0..self.edges.len() {
            support::eventually("claims succeed", async || {
                let response = self.send(edge, &fresh_key(), "/ready").await;
                response.code() == Some(ResultCode::Answered)
            })
            .await;
        }
    }

    fn edge(&self, edge: usize) -> SocketAddr {
        self.edges[edge].address("edge")
    }

    /// Returns true if a replica votes in an epoch.
    async fn votes_in(&self, number: usize, epoch: u64) -> bool {
        let admin = self.replicas[number].address("admin");
        let status = client::send(admin, Call::get("admin", "/status")).await;
        let text = status.map(|status| status.text()).unwrap_or_default();
        let status: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
        status["claims"]["epoch"] == epoch && status["claims"]["voting"] == true
    }

    async fn send(&self, edge: usize, key: &str, path: &str) -> ClientResponse {
        client::send(self.edge(edge), keyed(key, path))
            .await
            .unwrap()
    }

    async fn assert_answered(&self, edge: usize, key: &str, path: &str, step: &str) {
        let response = self.send(edge, key, path).await;
        assert_eq!(response.code(), Some(ResultCode::Answered), "{step}");
        assert_eq!(response.text(), format!("response to {path}"), "{step}");
        assert_eq!(self.backend.executions(path), 1, "{step}");
    }

    async fn assert_refused(&self, edge: usize, key: &str, path: &str, expected: ResultCode) {
        let response = self.send(edge, key, path).await;
        assert_eq!(response.code(), Some(expected), "{path}");
        assert_eq!(response.status, expected.http_status(), "{path}");
        let wants_retry = expected.wants_retry_after();
        assert_eq!(
            response.header("retry-after").is_some(),
            wants_retry,
            "{path}"
        );
    }
}

fn start_edge(name: &str, number: usize, platform: SocketAddr) -> Process {
    let text = format!(
        "id = \"edge-{number}\"\nzone = \"north\"\n\
         [edge]\nlisten = \"{ANY_PORT}\"\n\
         [admin]\nlisten = \"{ANY_PORT}\"\n\
         [platform]\naddresses = [\"{platform}\"]\npoll_interval_ms = 50\n"
    );
    Process::start(&format!("{name}-edge-{number}"), &text)
}

fn replica_id(number: usize) -> String {
    format!("replica-{number}")
}

fn replica_ids(first: usize) -> Vec<String> {
    (first..first + REPLICAS).map(replica_id).collect()
}

/// Returns the claim group of the replicas from number `first` on, whose predecessor is the group
/// that starts one number earlier.
fn claim_group(first: usize) -> Resource {
    Resource::ClaimGroup(ClaimGroup {
        name: "default".to_owned(),
        epoch: first as u64 + 1,
        replicas: replica_ids(first),
        previous_replicas: first.checked_sub(1).map(replica_ids),
        clock_skew_ms: CLOCK_SKEW_MS,
        retention_ms: 60_000,
    })
}

fn fresh_key() -> String {
    Uuid::now_v7().to_string()
}

fn keyed(key: &str, path: &str) -> Call {
    Call::post("booking", path, "body").header("idempotency-key", key)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_takes_effect_once_through_two_edges() {
    let mesh = Mesh::start("edges").await;
    for round in 0..20 {
        let (key, path) = (fresh_key(), format!("/pay/{round}"));
        let (first, second) = tokio::join!(mesh.send(0, &key, &path), mesh.send(1, &key, &path));
        for response in [first, second] {
            assert_eq!(response.code(), Some(ResultCode::Answered), "round {round}");
            assert_eq!(response.text(), format!("response to {path}"));
        }
        assert_eq!(mesh.backend.executions(&path), 1, "round {round}");
        mesh.assert_answered(round % 2, &key, &path, "repeat").await;
    }
    let key = fresh_key();
    mesh.assert_answered(0, &key, "/first", "first").await;
    mesh.assert_refused(1, &key, "/other", ResultCode::IdempotencyKeyReused)
        .await;
    assert_eq!(mesh.backend.executions("/other"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_takes_effect_once_while_replicas_fail() {
    let mut mesh = Mesh::start("replicas").await;
    let (old, path) = (fresh_key(), "/old");
    mesh.assert_answered(0, &old, path, "first").await;

    mesh.replicas[0].pause().await;
    mesh.assert_answered(1, &old, path, "repeat, one replica paused")
        .await;
    let key = fresh_key();
    mesh.assert_answered(0, &key, "/paused", "fresh key, one replica paused")
        .await;
    mesh.assert_answered(1, &key, "/paused", "its repeat").await;
    mesh.replicas[0].resume();

    mesh.replace_replica(1);
    mesh.wait_until_claims_succeed().await;
    mesh.assert_answered(1, &old, path, "repeat, one replica replaced")
        .await;
    mesh.replace_replica(2);
    mesh.wait_until_claims_succeed().await;
    mesh.assert_answered(0, &old, path, "repeat, two replicas replaced")
        .await;

    // Only the two restarted replicas respond. They have lost their records and must not vote on
    // keys from before their restart.
    mesh.replicas[0].pause().await;
    mesh.assert_refused(1, &old, path, ResultCode::ClaimUndetermined)
        .await;
    assert_eq!(mesh.backend.executions(path), 1);
    mesh.assert_answered(0, &fresh_key(), "/restarted", "fresh key")
        .await;

    mesh.replicas[1].kill();
    mesh.assert_refused(0, &fresh_key(), "/alone", ResultCode::ClaimUndetermined)
        .await;
    assert_eq!(mesh.backend.executions("/alone"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_claim_group_takes_over_the_records_of_the_previous_one() {
    let mut mesh = Mesh::start("regroup").await;
    let (answered, lost) = (fresh_key(), fresh_key());
    mesh.assert_answered(0, &answered, "/before", "first").await;
    mesh.assert_refused(0, &lost, "/drop", ResultCode::ConnectionLost)
        .await;
    let added = mesh.start_replica(REPLICAS);
    mesh.replicas.push(added);
    mesh.replicas[0].kill();
    mesh.platform.put(&claim_group(1));
    for number in 1..=REPLICAS {
        support::eventually("the new group votes", async || {
            mesh.votes_in(number, 2).await
        })
        .await;
    }
    mesh.assert_answered(1, &answered, "/before", "repeat in the new group")
        .await;
    mesh.assert_refused(1, &lost, "/drop", ResultCode::ClaimUncertain)
        .await;
    assert_eq!(mesh.backend.executions("/drop"), 1);
    mesh.wait_until_claims_succeed().await;

    // Only the added replica is left; it replays a record that it received in the handover.
    mesh.replicas[1].kill();
    mesh.replicas[2].kill();
    mesh.assert_answered(0, &answered, "/before", "repeat at the added replica")
        .await;
    mesh.assert_refused(0, &fresh_key(), "/none", ResultCode::ClaimUndetermined)
        .await;
}

/// Sends a key concurrently through both edges until one of them relays a response, at most five
/// times, and returns the result codes.
async fn send_until_answered(edges: [SocketAddr; 2], path: String) -> Vec<Option<ResultCode>> {
    let key = fresh_key();
    let send = |edge| client::send(edge, keyed(&key, &path));
    let mut codes = Vec::new();
    while codes.len() < 10 && !codes.contains(&Some(ResultCode::Answered)) {
        let (first, second) = tokio::join!(send(edges[0]), send(edges[1]));
        codes.extend([first, second].map(|response| response.unwrap().code()));
    }
    codes
}

#[tokio::test(flavor = "multi_thread")]
async fn many_keys_take_effect_once_while_replicas_pause_and_restart() {
    let mut mesh = Mesh::start("many").await;
    let edges = [mesh.edge(0), mesh.edge(1)];
    let mut callers = tokio::task::JoinSet::new();
    for round in 0..9 {
        let replica = round % REPLICAS;
        for number in 0..20 {
            let path = format!("/many/{round}/{number}");
            callers.spawn(async move { (path.clone(), send_until_answered(edges, path).await) });
        }
        if round % 2 == 0 {
            mesh.replicas[replica].pause().await;
            tokio::time::sleep(Duration::from_millis(100)).await;
            mesh.replicas[replica].resume();
        } else {
            mesh.replace_replica(replica);
            mesh.wait_until_claims_succeed().await;
        }
    }
    let mut answered = 0;
    while let Some(ended) = callers.join_next().await {
        let (path, codes) = ended.unwrap();
        let executions = mesh.backend.executions(&path);
        assert!(
            executions <= 1,
            "{path}: {executions} executions, result codes {codes:?}"
        );
        if codes.contains(&Some(ResultCode::Answered)) {
            assert_eq!(executions, 1, "{path}");
            answered += 1;
        }
    }
    println!("answered={answered}");
    assert!(answered > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_attempt_with_unknown_outcome_is_never_executed_again() {
    let mesh = Mesh::start("uncertain").await;
    let (key, path) = (fresh_key(), "/slow/300");
    let call = keyed(&key, path);
    let first = tokio::spawn(client::send(mesh.edge(0), call));
    support::eventually("the request runs", async || {
        mesh.backend.executions(path) == 1
    })
    .await;
    mesh.edges[0].pause().await;
    mesh.assert_refused(1, &key, path, ResultCode::ClaimUncertain)
        .await;
    mesh.edges[0].resume();
    let _ = first.await.unwrap();
    assert_eq!(mesh.backend.executions(path), 1);

    let (key, path) = (fresh_key(), "/drop");
    mesh.assert_refused(0, &key, path, ResultCode::ConnectionLost)
        .await;
    mesh.assert_refused(1, &key, path, ResultCode::ClaimUncertain)
        .await;
    assert_eq!(mesh.backend.executions(path), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_outcome_is_recorded_without_the_caller_and_a_refusal_releases_the_key() {
    let mesh = Mesh::start("outcome").await;
    let (key, path) = (fresh_key(), "/slow/200");
    let call = tokio::time::timeout(
        Duration::from_millis(100),
        client::send(mesh.edge(0), keyed(&key, path)),
    );
    assert!(call.await.is_err(), "the caller disconnects");
    let repeat = mesh.send(1, &key, path).await;
    assert_eq!(repeat.text(), "slow response");
    assert_eq!(mesh.backend.executions(path), 1);

    let (key, path) = (fresh_key(), "/refuse");
    mesh.assert_refused(0, &key, path, ResultCode::RefusedByBackend)
        .await;
    mesh.assert_refused(1, &key, path, ResultCode::RefusedByBackend)
        .await;
    assert_eq!(mesh.backend.executions(path), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_large_response_is_relayed_once_and_not_replayed() {
    let mesh = Mesh::start("large").await;
    let key = fresh_key();
    let body = "x".repeat(20_000);
    let call = |body: &str| {
        Call::post("booking", "/echo", body.to_owned()).header("idempotency-key", &key)
    };
    let response = client::send(mesh.edge(0), call(&body)).await.unwrap();
    assert_eq!(response.text(), format!("POST /echo {body}"));
    let repeat = client::send(mesh.edge(1), call(&body)).await.unwrap();
    assert_eq!(repeat.code(), Some(ResultCode::AnsweredEarlier));
    assert_eq!(repeat.status, 409);
    let other = client::send(mesh.edge(1), call("other body"))
        .await
        .unwrap();
    assert_eq!(other.code(), Some(ResultCode::IdempotencyKeyReused));
    assert_eq!(mesh.backend.executions("/echo"), 1);
}
