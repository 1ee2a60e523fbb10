//! Measures the cost of an idempotency claim: messages and bytes per request, and memory per key at
//! a replica.
//!
//! `cargo run --release -p wharfquay-protocol --example claim_costs`

use std::error::Error;
use std::time::{Duration, Instant};

use rand_pcg::Pcg64;
use rand_pcg::rand_core::SeedableRng;
use wharfquay_core::call::IdempotencyKey;
use wharfquay_core::idempotency::claim::coordinator::{
    ClaimedRequest, Coordinator, CoordinatorEffect, CoordinatorSettings, ExecutionOutcome,
};
use wharfquay_core::idempotency::claim::group::{Epoch, Group, Predecessor, ReplicaId};
use wharfquay_core::idempotency::claim::message::{
    Claim, ClaimId, Fingerprint, RecordedResponse, ReplicaRequest, Store,
};
use wharfquay_core::idempotency::claim::replica::{Replica, ReplicaSettings};
use wharfquay_core::idempotency::clock::{KeyWindow, UnixMillis};
use wharfquay_core::time::Timestamp;
use wharfquay_protocol::envelope;

const START: u64 = 1_800_000_000_000;
const NOW: UnixMillis = UnixMillis::new(START + 10_000);
const KEYS: u64 = 200_000;
const PAGE_BYTES: usize = 4_096;
const RESPONSE_BYTES: usize = 256;

fn main() -> Result<(), Box<dyn Error>> {
    println!("replicas outcome messages bytes");
    for replicas in [3, 5] {
        for (name, outcome) in [
            ("run", run_outcome()),
            ("not_run", ExecutionOutcome::NotRun),
        ] {
            let (messages, bytes) = exchange_cost(replicas, outcome)?;
            println!("{replicas} {name} {messages} {bytes}");
        }
    }
    println!("keys answer_bytes bytes_per_key nanoseconds_per_claim");
    for response in [None, Some(RESPONSE_BYTES)] {
        let (bytes, nanoseconds) = memory_per_key(response)?;
        println!("{KEYS} {} {bytes} {nanoseconds}", response.unwrap_or(0));
    }
    Ok(())
}

fn run_outcome() -> ExecutionOutcome {
    ExecutionOutcome::Run(response(RESPONSE_BYTES))
}

fn response(bytes: usize) -> RecordedResponse {
    RecordedResponse {
        status: 201,
        content: Some(vec![7; bytes].into()),
    }
}

fn key(number: u64) -> IdempotencyKey {
    let timestamp_bits = u128::from(NOW.as_millis()) << 80;
    IdempotencyKey::from_u128(timestamp_bits | (7 << 76) | u128::from(number))
}

fn group(replicas: usize) -> Group {
    Group {
        epoch: Epoch::FIRST,
        replicas: (0..replicas)
            .map(|number| ReplicaId::new(number.to_string()))
            .collect(),
        predecessor: Predecessor::None,
        window: KeyWindow {
            clock_skew: Duration::from_secs(1),
            retention: Duration::from_secs(600),
        },
    }
}

fn replica(number: usize, group: &Group) -> Replica {
    let id = ReplicaId::new(number.to_string());
    let mut replica = Replica::new(id, ReplicaSettings::default(), UnixMillis::new(START));
    replica.configure(Timestamp::ZERO, group.clone());
    replica
}

/// Returns the messages and bytes, requests and replies included, of one request without faults.
fn exchange_cost(
    count: usize,
    outcome: ExecutionOutcome,
) -> Result<(usize, usize), Box<dyn Error>> {
    let group = group(count);
    let mut replicas: Vec<Replica> = (0..count).map(|number| replica(number, &group)).collect();
    let mut rng = Pcg64::seed_from_u64(1);
    let request = ClaimedRequest {
        key: key(0),
        fingerprint: Fingerprint::from_u128(u128::MAX),
        give_up_at: Timestamp::from_millis(1_000),
    };
    let settings = CoordinatorSettings::default();
    let now = Timestamp::ZERO;
    let (mut coordinator, mut effects) =
        Coordinator::start(settings, group, request, now, NOW, &mut rng);
    let (mut messages, mut bytes) = (0, 0);
    while let Some(effect) = effects.pop() {
        match effect {
            CoordinatorEffect::Send { to, request } => {
                let number: usize = to.as_str().parse()?;
                bytes += envelope::encode(&request)?.len();
                let reply = replicas[number].handle(NOW, request);
                bytes += envelope::encode(&reply)?.len();
                messages += 2;
                effects.extend(coordinator.receive(now, &to, reply, &mut rng));
            }
            CoordinatorEffect::Dispatch => {
                effects.extend(coordinator.complete(now, outcome.clone()));
            }
            CoordinatorEffect::Replay(_) | CoordinatorEffect::Refuse { .. } => {}
        }
    }
    Ok((messages, bytes))
}

/// Returns the resident memory of a full replica per key in bytes, and the time for one claim in
/// nanoseconds.
fn memory_per_key(response_bytes: Option<usize>) -> Result<(u64, u64), Box<dyn Error>> {
    let mut replica = replica(0, &group(1));
    let before = resident_bytes()?;
    let started = Instant::now();
    for number in 0..KEYS {
        replica.handle(NOW, ReplicaRequest::Claim(claim(number)));
    }
    let elapsed = started.elapsed().as_nanos() / u128::from(KEYS);
    if let Some(bytes) = response_bytes {
        for number in 0..KEYS {
            replica.handle(NOW, ReplicaRequest::Store(store(number, bytes)));
        }
    }
    let growth = resident_bytes()?.saturating_sub(before);
    Ok((
        growth / replica.store().len() as u64,
        u64::try_from(elapsed)?,
    ))
}

fn claim(number: u64) -> Claim {
    Claim {
        epoch: Epoch::FIRST,
        key: key(number),
        claim: ClaimId::from_u128(number.into()),
        fingerprint: Fingerprint::from_u128(1),
    }
}

fn store(number: u64, bytes: usize) -> Store {
    use wharfquay_core::idempotency::claim::message::{OutcomeRecord, RecordedOutcome};
    Store {
        key: key(number),
        claim: ClaimId::from_u128(number.into()),
        record: OutcomeRecord {
            fingerprint: Fingerprint::from_u128(1),
            outcome: RecordedOutcome::Responded(response(bytes)),
        },
    }
}

fn resident_bytes() -> Result<u64, Box<dyn Error>> {
    let statm = std::fs::read_to_string("/proc/self/statm")?;
    let pages = statm.split_whitespace().nth(1).ok_or("no resident size")?;
    Ok(pages.parse::<u64>()? * PAGE_BYTES as u64)
}
