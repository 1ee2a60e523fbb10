//! Single decisions of the claim protocol, by fault.

use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg64;
use wharfquay_core::call::IdempotencyKey;
use wharfquay_core::idempotency::claim::coordinator::{
    ClaimedRequest, Coordinator, CoordinatorEffect, CoordinatorSettings, ExecutionOutcome,
};
use wharfquay_core::idempotency::claim::group::{Epoch, Group, Predecessor, ReplicaId};
use wharfquay_core::idempotency::claim::message::{
    Abandon, Abstention, Claim, ClaimId, Fetch, Fingerprint, HandoverStatus, OutcomeRecord,
    RecordedOutcome, RecordedResponse, ReplicaReply, ReplicaRequest, Store, Vote, VoteReply,
};
use wharfquay_core::idempotency::claim::replica::{PeerRequest, Replica, ReplicaSettings};
use wharfquay_core::idempotency::clock::{KeyWindow, UnixMillis};
use wharfquay_core::outcome::ResultCode;
use wharfquay_core::time::Timestamp;

const SKEW: u64 = 400;
const RETENTION: u64 = 6_000;
const START: u64 = 100_000;
/// A time at which a replica that started at [`START`] votes on keys created then.
const READY: u64 = START + 10 * SKEW;
const REQUEST: Fingerprint = Fingerprint::from_u128(1);
const OTHER_REQUEST: Fingerprint = Fingerprint::from_u128(2);

fn key_created_at(millis: u64) -> IdempotencyKey {
    IdempotencyKey::from_u128(u128::from(millis) << 80)
}

fn claim_id(number: u128) -> ClaimId {
    ClaimId::from_u128(number)
}

fn group(epoch: u64, members: &[&str], predecessor: Predecessor) -> Group {
    Group {
        epoch: Epoch::new(epoch),
        replicas: members.iter().copied().map(ReplicaId::new).collect(),
        predecessor,
        window: KeyWindow {
            clock_skew: Duration::from_millis(SKEW),
            retention: Duration::from_millis(RETENTION),
        },
    }
}

fn first_group() -> Group {
    group(1, &["a", "b", "c"], Predecessor::None)
}

fn replacing(epoch: u64, members: &[&str], previous: &[&str]) -> Group {
    let previous = previous.iter().copied().map(ReplicaId::new).collect();
    group(epoch, members, Predecessor::Members(previous))
}

fn replica(id: &str, started: u64, group: Group) -> Replica {
    let settings = ReplicaSettings {
        maximum_records: 2,
        maximum_content_bytes: 8,
        page_records: 1,
        ..ReplicaSettings::default()
    };
    let mut replica = Replica::new(ReplicaId::new(id), settings, UnixMillis::new(started));
    replica.configure(Timestamp::ZERO, group);
    replica
}

fn claim(replica: &mut Replica, wall: u64, claim: &Claim) -> Vote {
    let reply = replica.handle(UnixMillis::new(wall), ReplicaRequest::Claim(*claim));
    let ReplicaReply::Vote(VoteReply { vote, .. }) = reply else {
        panic!("the reply to a claim is a vote");
    };
    vote
}

fn claim_on(key: IdempotencyKey, number: u128) -> Claim {
    Claim {
        epoch: Epoch::FIRST,
        key,
        claim: claim_id(number),
        fingerprint: REQUEST,
    }
}

fn outcome(content: &[u8]) -> OutcomeRecord {
    OutcomeRecord {
        fingerprint: REQUEST,
        outcome: RecordedOutcome::Responded(RecordedResponse {
            status: 201,
            content: Some(content.to_vec().into()),
        }),
    }
}

fn store(replica: &mut Replica, wall: u64, key: IdempotencyKey, content: &[u8]) {
    let store = Store {
        key,
        claim: claim_id(1),
        record: outcome(content),
    };
    replica.handle(UnixMillis::new(wall), ReplicaRequest::Store(store));
}

fn abandon(replica: &mut Replica, key: IdempotencyKey, number: u128) {
    let claim = claim_id(number);
    let abandon = ReplicaRequest::Abandon(Abandon { key, claim });
    replica.handle(UnixMillis::new(READY), abandon);
}

#[test]
fn a_replica_votes_only_inside_the_key_window() {
    let horizon = START + 2 * SKEW;
    let abstained = Vote::Abstained;
    let cases = [
        ("after the horizon", horizon + 1, READY, Vote::Granted),
        (
            "at the horizon",
            horizon,
            READY,
            abstained(Abstention::BeforeHorizon),
        ),
        (
            "before the start",
            START - 1,
            READY,
            abstained(Abstention::BeforeHorizon),
        ),
        ("one skew ahead", READY + SKEW, READY, Vote::Granted),
        (
            "further ahead",
            READY + SKEW + 1,
            READY,
            abstained(Abstention::TooEarly),
        ),
        ("at the retention", READY, READY + RETENTION, Vote::Granted),
        (
            "past the retention",
            READY,
            READY + RETENTION + 1,
            abstained(Abstention::Expired),
        ),
    ];
    for (name, created_at, wall, expected) in cases {
        let mut replica = replica("a", START, first_group());
        let vote = claim(&mut replica, wall, &claim_on(key_created_at(created_at), 1));
        assert_eq!(vote, expected, "{name}");
    }
}

/// The vote was granted on a machine whose clock is ahead by the skew, on a key that is ahead of
/// that clock by another skew.
#[test]
fn a_restarted_replica_with_a_slower_clock_abstains_on_earlier_votes() {
    let restart = READY;
    let key = key_created_at(restart + 2 * SKEW);
    let mut previous = replica("a", START, first_group());
    let vote = claim(&mut previous, restart + SKEW, &claim_on(key, 1));
    assert_eq!(vote, Vote::Granted);
    let mut successor = replica("a", restart, first_group());
    for wall in [restart + SKEW, restart + 2 * SKEW, restart + 3 * SKEW] {
        let vote = claim(&mut successor, wall, &claim_on(key, 2));
        assert_ne!(vote, Vote::Granted, "at {wall}");
    }
}

#[test]
fn a_replica_votes_for_one_claim_per_key() {
    let key = key_created_at(READY);
    let mut replica = replica("a", START, first_group());
    assert_eq!(claim(&mut replica, READY, &claim_on(key, 1)), Vote::Granted);
    assert_eq!(
        claim(&mut replica, READY, &claim_on(key, 1)),
        Vote::Granted,
        "repeated"
    );
    let held = |same_request| Vote::Held {
        by: claim_id(1),
        same_request,
    };
    let competing = claim_on(key, 2);
    let other_request = Claim {
        fingerprint: OTHER_REQUEST,
        ..competing
    };
    assert_eq!(claim(&mut replica, READY, &competing), held(true));
    assert_eq!(claim(&mut replica, READY, &other_request), held(false));
    abandon(&mut replica, key, 2);
    assert_eq!(
        claim(&mut replica, READY, &claim_on(key, 3)),
        held(true),
        "withdrawal of another claim"
    );
    abandon(&mut replica, key, 1);
    let delayed = claim(&mut replica, READY, &claim_on(key, 1));
    assert_eq!(
        delayed,
        Vote::Abstained(Abstention::Abandoned),
        "delayed message"
    );
    assert_eq!(claim(&mut replica, READY, &claim_on(key, 3)), Vote::Granted);
}

#[test]
fn a_replica_keeps_outcomes_until_the_key_has_expired() {
    let key = key_created_at(READY);
    let mut replica = replica("a", START, first_group());
    claim(&mut replica, READY, &claim_on(key, 1));
    store(&mut replica, READY, key, b"ok");
    let repeat = claim_on(key, 2);
    for wall in [READY, READY + RETENTION / 2, READY + RETENTION + 2 * SKEW] {
        let vote = claim(&mut replica, wall, &repeat);
        assert_eq!(vote, Vote::Recorded(outcome(b"ok")), "at {wall}");
    }
    let forgotten = READY + RETENTION + 2 * SKEW + 1;
    let vote = claim(&mut replica, forgotten, &repeat);
    assert_eq!(vote, Vote::Abstained(Abstention::BeforeHorizon));
    let set_back = claim(&mut replica, forgotten - SKEW, &repeat);
    assert_eq!(set_back, Vote::Abstained(Abstention::BeforeHorizon));
    assert!(replica.store().is_empty());
}

#[test]
fn a_full_replica_refuses_new_keys_and_keeps_its_records() {
    let keys = [READY, READY + 1, READY + 2].map(key_created_at);
    let mut replica = replica("a", START, first_group());
    for key in &keys[..2] {
        assert_eq!(
            claim(&mut replica, READY, &claim_on(*key, 1)),
            Vote::Granted
        );
    }
    assert_eq!(
        claim(&mut replica, READY, &claim_on(keys[2], 1)),
        Vote::Full
    );
    abandon(&mut replica, keys[1], 1);
    let third = claim(&mut replica, READY, &claim_on(keys[2], 1));
    assert_eq!(third, Vote::Granted, "a withdrawn claim makes room");
    abandon(&mut replica, keys[2], 1);
    assert_eq!(
        claim(&mut replica, READY, &claim_on(keys[1], 2)),
        Vote::Granted
    );
    assert_eq!(
        claim(&mut replica, READY, &claim_on(keys[2], 2)),
        Vote::Full
    );
    store(&mut replica, READY, keys[0], b"12345");
    store(&mut replica, READY, keys[1], b"12345");
    assert_eq!(
        replica.store().content_bytes(),
        5,
        "there is no room for the second response"
    );
    let vote = claim(&mut replica, READY, &claim_on(keys[1], 3));
    let Vote::Recorded(record) = vote else {
        panic!("the outcome itself is kept, got {vote:?}");
    };
    let without_content = RecordedResponse {
        status: 201,
        content: None,
    };
    assert_eq!(record.outcome, RecordedOutcome::Responded(without_content));
    let later = READY + RETENTION + 2 * SKEW + 2;
    let fresh = claim_on(key_created_at(later), 1);
    assert_eq!(
        claim(&mut replica, later, &fresh),
        Vote::Granted,
        "expired records make room"
    );
}

/// Delivers the fetches of one replica to the others until it has none left.
fn hand_over(joining: &mut Replica, others: &mut [(&str, &mut Replica)], wall: u64) {
    let mut requests: Vec<PeerRequest> = joining.advance(Timestamp::from_millis(wall));
    while let Some(PeerRequest { to, fetch }) = requests.pop() {
        let found = others.iter_mut().find(|(id, _)| *id == to.as_str());
        let Some((_, peer)) = found else {
            continue;
        };
        let reply = peer.handle(UnixMillis::new(wall), ReplicaRequest::Fetch(fetch));
        let ReplicaReply::Page(page) = reply else {
            panic!("the reply to a fetch is a page");
        };
        requests.extend(joining.receive_page(Timestamp::from_millis(wall), &to, page));
    }
}

fn second_group() -> Group {
    replacing(2, &["b", "c", "d"], &["a", "b", "c"])
}

fn in_second_epoch(claim: Claim) -> Claim {
    Claim {
        epoch: Epoch::new(2),
        ..claim
    }
}

#[test]
fn a_new_member_takes_over_the_decisions_of_the_previous_group() {
    let key = key_created_at(READY);
    let mut a = replica("a", START, first_group());
    let mut b = replica("b", START, first_group());
    let mut d = replica("d", START, second_group());
    assert_eq!(claim(&mut a, READY, &claim_on(key, 1)), Vote::Granted);
    assert_eq!(claim(&mut b, READY, &claim_on(key, 1)), Vote::Granted);
    hand_over(&mut d, &mut [("b", &mut b)], READY);
    assert!(!d.is_voting(), "one of three is not a majority");
    hand_over(&mut d, &mut [("a", &mut a), ("b", &mut b)], READY + 1_000);
    assert!(d.is_voting());
    let competing = in_second_epoch(claim_on(key, 2));
    let held = Vote::Held {
        by: claim_id(1),
        same_request: true,
    };
    assert_eq!(claim(&mut d, READY, &competing), held);
    let sealed = Vote::Abstained(Abstention::OtherEpoch);
    let delayed = claim_on(key_created_at(READY + 1), 3);
    for old in [&mut a, &mut b] {
        assert_eq!(claim(old, READY, &delayed), sealed, "sealed by the fetch");
    }
    let fresh = in_second_epoch(claim_on(key_created_at(READY + 1), 3));
    assert_eq!(claim(&mut d, READY, &fresh), Vote::Granted);
}

/// Two of the old members lost their votes, and the votes of the third alone are no majority.
#[test]
fn a_new_member_abstains_if_the_old_majority_lost_its_votes() {
    let key = key_created_at(READY);
    let restart = READY + SKEW;
    let mut a = replica("a", START, first_group());
    let mut b = replica("b", restart, first_group());
    let mut d = replica("d", START, second_group());
    hand_over(&mut d, &mut [("a", &mut a), ("b", &mut b)], restart);
    assert!(d.is_voting());
    let vote = claim(&mut d, restart, &in_second_epoch(claim_on(key, 2)));
    assert_eq!(vote, Vote::Abstained(Abstention::BeforeHorizon));
}

/// The votes that a member granted in its new group before a restart are not part of the records
/// that it copies from a peer.
#[test]
fn a_restarted_member_keeps_its_own_horizon() {
    let restart = READY + RETENTION / 2;
    let key = key_created_at(restart);
    let mut a = replica("a", START, first_group());
    let mut b = replica("b", START, first_group());
    let mut d = replica("d", START, second_group());
    hand_over(&mut d, &mut [("a", &mut a), ("b", &mut b)], READY);
    let mut c = replica("c", restart, second_group());
    hand_over(&mut c, &mut [("d", &mut d)], restart);
    assert!(
        c.is_voting(),
        "one peer that votes in the group is sufficient"
    );
    let vote = claim(&mut c, restart, &in_second_epoch(claim_on(key, 2)));
    assert_eq!(vote, Vote::Abstained(Abstention::BeforeHorizon));
}

/// Records of a handover beyond the capacity are dropped, and the replica never votes on their
/// keys.
#[test]
fn a_new_member_abstains_on_records_beyond_its_capacity() {
    let keys = [1, 2, 3, 4].map(|offset| key_created_at(READY + offset));
    let mut a = replica("a", START, first_group());
    let mut b = replica("b", START, first_group());
    for pair in keys.chunks(2) {
        claim(&mut a, READY, &claim_on(pair[0], 1));
        claim(&mut b, READY, &claim_on(pair[1], 1));
    }
    let mut d = replica("d", START, second_group());
    hand_over(&mut d, &mut [("a", &mut a), ("b", &mut b)], READY);
    assert_eq!(d.store().len(), 2);
    let votes = keys.map(|key| claim(&mut d, READY, &in_second_epoch(claim_on(key, 2))));
    let forgotten = Vote::Abstained(Abstention::BeforeHorizon);
    let held = Vote::Held {
        by: claim_id(1),
        same_request: true,
    };
    assert_eq!(votes, [forgotten.clone(), forgotten, held.clone(), held]);
}

#[test]
fn a_split_vote_is_resolved_or_contested_at_handover() {
    let key = key_created_at(READY);
    // Votes of the three old members, members that reply, vote of the new member.
    let contested = Vote::Abstained(Abstention::Contested);
    let held = |number| Vote::Held {
        by: claim_id(number),
        same_request: true,
    };
    let cases = [
        (
            "no claim can have won",
            [0, 0, 1],
            vec!["a", "b"],
            Vote::Granted,
        ),
        ("either may have won", [1, 2, 1], vec!["a", "b"], contested),
        ("one may have won", [1, 0, 1], vec!["a", "b"], held(1)),
        ("one has won", [2, 2, 1], vec!["a", "b"], held(2)),
    ];
    for (name, votes, replying, expected) in cases {
        let mut old = ["a", "b", "c"].map(|id| replica(id, START, first_group()));
        for (replica, number) in old.iter_mut().zip(votes) {
            if number > 0 {
                claim(replica, READY, &claim_on(key, number));
            }
        }
        let mut joining = replica("d", START, second_group());
        let [a, b, c] = &mut old;
        let mut all = [("a", a), ("b", b), ("c", c)];
        let mut others: Vec<_> = all
            .iter_mut()
            .filter(|(id, _)| replying.contains(id))
            .map(|(id, replica)| (*id, &mut **replica))
            .collect();
        hand_over(&mut joining, &mut others, READY);
        assert!(joining.is_voting(), "{name}");
        let vote = claim(&mut joining, READY, &in_second_epoch(claim_on(key, 9)));
        assert_eq!(vote, expected, "{name}");
    }
}

#[test]
fn a_replica_stops_voting_on_other_members_with_the_same_epoch() {
    let key = key_created_at(READY);
    let mut a = replica("a", START, first_group());
    a.configure(Timestamp::ZERO, first_group());
    assert!(a.is_voting(), "the same group again");
    a.configure(
        Timestamp::ZERO,
        group(1, &["a", "d", "e"], Predecessor::None),
    );
    let vote = claim(&mut a, READY, &claim_on(key, 1));
    assert_eq!(vote, Vote::Abstained(Abstention::OtherEpoch));
    a.configure(Timestamp::ZERO, first_group());
    assert!(
        !a.is_voting(),
        "not even if the first group is configured again"
    );
}

#[test]
fn a_replica_reports_its_handover_status() {
    let fetch = |target| {
        ReplicaRequest::Fetch(Fetch {
            target: Epoch::new(target),
            after: None,
        })
    };
    let unstated = || group(2, &["a", "b", "c"], Predecessor::Unknown);
    let cases = [
        (
            "voted in the previous epoch",
            first_group(),
            2,
            HandoverStatus::Sealed,
        ),
        (
            "votes in the target",
            first_group(),
            1,
            HandoverStatus::Current,
        ),
        (
            "two epochs behind",
            first_group(),
            3,
            HandoverStatus::Unready,
        ),
        (
            "started after the change",
            second_group(),
            2,
            HandoverStatus::Fresh,
        ),
        (
            "joins an earlier group",
            second_group(),
            3,
            HandoverStatus::Unready,
        ),
        ("predecessor unknown", unstated(), 2, HandoverStatus::Fresh),
    ];
    for (name, group, target, expected) in cases {
        let mut replica = replica("b", START, group);
        let reply = replica.handle(UnixMillis::new(READY), fetch(target));
        let ReplicaReply::Page(page) = reply else {
            panic!("the reply to a fetch is a page");
        };
        assert_eq!(page.status, expected, "{name}");
    }
}

#[test]
fn a_handover_from_restarted_members_only_does_not_complete() {
    let mut b = replica("b", START, second_group());
    let mut c = replica("c", START, second_group());
    let mut d = replica("d", START, second_group());
    hand_over(&mut d, &mut [("b", &mut b), ("c", &mut c)], READY);
    assert!(!d.is_voting());
    let stated = group(3, &["b", "c", "d"], Predecessor::None);
    d.configure(Timestamp::from_millis(READY), stated);
    assert!(
        d.is_voting(),
        "the operator asserts that no earlier replica runs"
    );
}

struct Claimant {
    coordinator: Coordinator,
    rng: Pcg64,
    sent: ClaimId,
}

impl Claimant {
    fn start() -> Self {
        let mut rng = Pcg64::seed_from_u64(1);
        let request = ClaimedRequest {
            key: key_created_at(READY),
            fingerprint: REQUEST,
            give_up_at: Timestamp::from_millis(1_000),
        };
        let (coordinator, effects) = Coordinator::start(
            CoordinatorSettings::default(),
            first_group(),
            request,
            Timestamp::ZERO,
            UnixMillis::new(READY),
            &mut rng,
        );
        let sent = sent_claim(&effects).expect("a claim is sent immediately");
        Self {
            coordinator,
            rng,
            sent,
        }
    }

    fn receive(&mut self, millis: u64, from: &str, vote: Vote) -> Vec<CoordinatorEffect> {
        let reply = ReplicaReply::Vote(VoteReply {
            epoch: Epoch::FIRST,
            claim: self.sent,
            vote,
        });
        let now = Timestamp::from_millis(millis);
        let from = ReplicaId::new(from);
        self.coordinator.receive(now, &from, reply, &mut self.rng)
    }

    /// Advances the time up to the caller's deadline and returns the code of the first refusal.
    fn wait_for_refusal(&mut self) -> Option<ResultCode> {
        (0..=1_000).step_by(10).find_map(|millis| {
            let now = Timestamp::from_millis(millis);
            refusal(&self.coordinator.advance(now, &mut self.rng))
        })
    }
}

fn sent_claim(effects: &[CoordinatorEffect]) -> Option<ClaimId> {
    effects.iter().find_map(|effect| match effect {
        CoordinatorEffect::Send {
            request: ReplicaRequest::Claim(claim),
            ..
        } => Some(claim.claim),
        _ => None,
    })
}

fn refusal(effects: &[CoordinatorEffect]) -> Option<ResultCode> {
    effects.iter().find_map(|effect| match effect {
        CoordinatorEffect::Refuse { code, .. } => Some(*code),
        _ => None,
    })
}

#[test]
fn a_coordinator_without_a_majority_refuses_with_the_matching_code() {
    let held = |number, same_request| {
        Some(Vote::Held {
            by: claim_id(number),
            same_request,
        })
    };
    let abstained = Some(Vote::Abstained(Abstention::BeforeHorizon));
    let recorded = Some(Vote::Recorded(OutcomeRecord {
        fingerprint: OTHER_REQUEST,
        outcome: RecordedOutcome::Lost,
    }));
    let lost = Some(Vote::Recorded(OutcomeRecord {
        fingerprint: REQUEST,
        outcome: RecordedOutcome::Lost,
    }));
    let full = || Some(Vote::Full);
    let cases = [
        (
            "no reply",
            [None, None, None],
            ResultCode::ClaimUndetermined,
        ),
        (
            "one reply",
            [full(), None, None],
            ResultCode::ClaimUndetermined,
        ),
        (
            "two abstain",
            [full(), abstained.clone(), abstained],
            ResultCode::ClaimUndetermined,
        ),
        (
            "all full",
            [full(), full(), full()],
            ResultCode::ClaimUnavailable,
        ),
        (
            "two full",
            [full(), full(), None],
            ResultCode::ClaimUnavailable,
        ),
        (
            "another claim may win",
            [held(9, true), full(), None],
            ResultCode::ClaimUncertain,
        ),
        (
            "another claim can't have won",
            [held(9, true), full(), full()],
            ResultCode::ClaimUnavailable,
        ),
        (
            "another claim won",
            [held(9, true), held(9, true), None],
            ResultCode::ClaimUncertain,
        ),
        (
            "another request won",
            [held(9, false), held(9, false), None],
            ResultCode::IdempotencyKeyReused,
        ),
        (
            "another request may win",
            [held(9, false), None, None],
            ResultCode::ClaimUncertain,
        ),
        (
            "outcome lost",
            [lost, None, None],
            ResultCode::ClaimUncertain,
        ),
        (
            "another request is recorded",
            [recorded, None, None],
            ResultCode::IdempotencyKeyReused,
        ),
    ];
    for (name, votes, expected) in cases {
        let mut claimant = Claimant::start();
        let mut code = None;
        for (from, vote) in ["a", "b", "c"].into_iter().zip(votes) {
            let effects = vote.map(|vote| claimant.receive(1, from, vote));
            code = code.or_else(|| refusal(&effects.unwrap_or_default()));
        }
        let code = code.or_else(|| claimant.wait_for_refusal());
        assert_eq!(code, Some(expected), "{name}");
    }
}

#[test]
fn a_coordinator_that_wakes_too_late_does_not_dispatch() {
    let mut claimant = Claimant::start();
    assert_eq!(claimant.receive(1, "a", Vote::Granted), []);
    let effects = claimant.receive(1_000, "b", Vote::Granted);
    assert_eq!(refusal(&effects), Some(ResultCode::DeadlineUnreachable));
    assert!(!effects.contains(&CoordinatorEffect::Dispatch));
}

#[test]
fn a_majority_dispatches_once_and_delivers_the_outcome() {
    let response = RecordedResponse {
        status: 200,
        content: None,
    };
    let cases = [
        ("run", ExecutionOutcome::Run(response), "store"),
        ("unknown", ExecutionOutcome::Unknown, "store"),
        ("not run", ExecutionOutcome::NotRun, "abandon"),
    ];
    for (name, outcome, expected) in cases {
        let mut claimant = Claimant::start();
        claimant.receive(1, "a", Vote::Granted);
        assert_eq!(
            claimant.receive(1, "a", Vote::Granted),
            [],
            "{name}: repeated vote"
        );
        let won = claimant.receive(1, "b", Vote::Granted);
        assert_eq!(won, [CoordinatorEffect::Dispatch], "{name}");
        assert_eq!(
            claimant.receive(1, "c", Vote::Granted),
            [],
            "{name}: third vote"
        );
        let now = Timestamp::from_millis(5);
        let delivered = claimant.coordinator.complete(now, outcome.clone());
        let sent: Vec<&str> = delivered.iter().map(delivery_name).collect();
        assert_eq!(sent, [expected; 3], "{name}");
        assert_eq!(
            claimant.coordinator.complete(now, outcome),
            [],
            "{name}: again"
        );
        for from in ["a", "b", "c"].map(ReplicaId::new) {
            assert!(!claimant.coordinator.is_finished(), "{name}");
            let acknowledged = ReplicaReply::Acknowledged(claimant.sent);
            claimant
                .coordinator
                .receive(now, &from, acknowledged, &mut claimant.rng);
        }
        assert!(claimant.coordinator.is_finished(), "{name}");
    }
}

fn delivery_name(effect: &CoordinatorEffect) -> &'static str {
    match effect {
        CoordinatorEffect::Send {
            request: ReplicaRequest::Store(_),
            ..
        } => "store",
        CoordinatorEffect::Send {
            request: ReplicaRequest::Abandon(_),
            ..
        } => "abandon",
        _ => "other",
    }
}
