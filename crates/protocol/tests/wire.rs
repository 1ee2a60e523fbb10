//! Wire formats: encoded values decode to the same values, and bad input is rejected with a
//! specific error.

use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use proptest::prelude::*;
use serde::{Deserialize, Serialize};
use wharfquay_core::backend_load::{ReportedExecution, Slowdown};
use wharfquay_core::call::{
    AttemptId, CallContext, IdempotencyKey, OriginId, Repeatability, RetryAllowance,
};
use wharfquay_core::priority::{AdmissionLevel, Priority, Rank};
use wharfquay_core::quarantine::RequestFingerprint;
use wharfquay_core::time::Timestamp;
use wharfquay_protocol::context::{Callee, DecodeError, MAX_ENCODED_LENGTH, WireContext};
use wharfquay_protocol::envelope;
use wharfquay_protocol::response::{ResponseMetadata, execution_fields};

fn any_context() -> impl Strategy<Value = CallContext> {
    (
        any::<u128>(),
        any::<u64>(),
        "[a-z_]{1,40}",
        0..=Priority::LOWEST.number(),
        0..600_000_000_u64,
        any::<u16>(),
        any::<bool>(),
        any::<Option<u128>>(),
        any::<u8>(),
        any::<u16>(),
    )
        .prop_map(
            |(
                origin,
                attempt,
                kind,
                priority,
                deadline,
                allowance,
                repeatable,
                key,
                depth,
                level,
            )| {
                CallContext {
                    origin: OriginId::from_u128(origin),
                    attempt: AttemptId::new(attempt),
                    request_kind: kind,
                    priority: Priority::new(priority).unwrap_or(Priority::LOWEST),
                    deadline: Timestamp::from_micros(deadline),
                    allowance: RetryAllowance::new(allowance),
                    repeatability: if repeatable {
                        Repeatability::Repeatable
                    } else {
                        Repeatability::AtMostOnce
                    },
                    idempotency_key: key.map(IdempotencyKey::from_u128),
                    depth,
                    admitted_below: AdmissionLevel::new(level),
                    is_repeat: level.is_multiple_of(2),
                    fingerprint: level
                        .is_multiple_of(3)
                        .then_some(RequestFingerprint::new(attempt)),
                    terminated_backends: depth,
                    rank: level.is_multiple_of(5).then_some(Rank::from_number(level)),
                }
            },
        )
}

/// The context as processes of the earlier version encode and decode it.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct EarlierContext {
    o: OriginId,
    a: AttemptId,
    k: String,
    p: u8,
    t: u64,
    r: RetryAllowance,
    s: Repeatability,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    i: Option<IdempotencyKey>,
    d: u8,
    #[serde(default, skip_serializing_if = "is_open")]
    l: AdmissionLevel,
    #[serde(default, skip_serializing_if = "is_default")]
    x: bool,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    f: Option<RequestFingerprint>,
    #[serde(default, skip_serializing_if = "is_default")]
    e: u8,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    c: Option<EarlierCallee>,
}

#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct EarlierCallee {
    s: String,
    n: String,
}

fn is_open(level: &AdmissionLevel) -> bool {
    *level == AdmissionLevel::OPEN
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

impl EarlierContext {
    fn from_context(context: &CallContext, now: Timestamp) -> Self {
        Self {
            o: context.origin,
            a: context.attempt,
            k: context.request_kind.clone(),
            p: context.priority.number(),
            t: u64::try_from(context.remaining(now).as_micros()).unwrap(),
            r: context.allowance,
            s: context.repeatability,
            i: context.idempotency_key,
            d: context.depth,
            l: context.admitted_below,
            x: context.is_repeat,
            f: context.fingerprint,
            e: context.terminated_backends,
            c: Some(EarlierCallee {
                s: "shelf".to_owned(),
                n: "machine-b".to_owned(),
            }),
        }
    }

    fn encode(&self) -> String {
        let mut bytes = Vec::new();
        ciborium::into_writer(self, &mut bytes).unwrap();
        URL_SAFE_NO_PAD.encode(bytes)
    }

    fn decode(text: &[u8]) -> Self {
        let bytes = URL_SAFE_NO_PAD.decode(text).unwrap();
        ciborium::from_reader(bytes.as_slice()).unwrap()
    }
}

fn callee() -> Callee<'static> {
    Callee {
        service: "shelf".into(),
        sidecar: "machine-b".into(),
    }
}

proptest! {
    /// Guards against a change of the bytes on the wire, which processes of the earlier version
    /// would not understand.
    #[test]
    fn contexts_are_exchanged_with_the_earlier_version(context in any_context()) {
        // The earlier version has no ranks.
        let context = CallContext { rank: None, ..context };
        let now = Timestamp::ZERO;
        let earlier = EarlierContext::from_context(&context, now);
        let wire = WireContext::from_context(&context, now).addressed_to(callee());
        prop_assert_eq!(wire.encode(), earlier.encode());
        prop_assert_eq!(wire.header_value(), earlier.encode());
        prop_assert_eq!(EarlierContext::decode(wire.header_value().as_bytes()), earlier);

        let sent = EarlierContext::from_context(&context, now).encode();
        let received = WireContext::decode(sent.as_bytes()).expect("the earlier version's context decodes");
        prop_assert_eq!(received.callee(), Some(&callee()));
        let received = received.into_context(now).expect("the priority is in range");
        prop_assert_eq!(received, context);
    }

    /// Guards against a metadata value that differs from the text encoding, or from the earlier
    /// version's CBOR.
    #[test]
    fn metadata_is_exchanged_with_the_earlier_version(numbers in any::<[u32; 4]>(), levels in any::<[u16; 2]>(), incarnation in any::<u64>()) {
        let metadata = ResponseMetadata {
            attempt: None,
            unused_retries: RetryAllowance::new(levels[0]),
            level: AdmissionLevel::new(levels[0]),
            folded_level: AdmissionLevel::new(levels[1]),
            incarnation,
            in_flight: numbers[0],
            limit: numbers[1],
            queued: numbers[2],
            rate_limited_ms: numbers[3],
            slowdown_percent: None,
            expected_execution_ms: None,
            completed_permille: None,
        };
        let mut bytes = Vec::new();
        ciborium::into_writer(&metadata, &mut bytes).unwrap();
        let earlier = URL_SAFE_NO_PAD.encode(bytes);
        prop_assert_eq!(metadata.encode(), earlier.clone());
        prop_assert_eq!(metadata.header_value(), earlier.clone());
        prop_assert_eq!(ResponseMetadata::decode(earlier.as_bytes()), Ok(metadata));
    }

    #[test]
    fn context_keeps_its_remaining_time_across_a_hop(context in any_context(), sent in 0..600_000_000_u64) {
        let sent_at = Timestamp::from_micros(sent);
        let received_at = Timestamp::from_micros(42);
        let remaining = context.remaining(sent_at);
        let value = WireContext::from_context(&context, sent_at).encode();
        let received = WireContext::decode(value.as_bytes())
            .and_then(|wire| wire.into_context(received_at))
            .expect("an encoded context decodes");
        prop_assert_eq!(received.remaining(received_at), remaining);
        prop_assert_eq!(CallContext { deadline: context.deadline, ..received }, context);
    }

    #[test]
    fn arbitrary_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..2_000)) {
        let _ = WireContext::decode(&bytes);
        let _ = ResponseMetadata::decode(&bytes);
        let _ = envelope::decode::<ResponseMetadata>(&bytes, envelope::MAX_DATAGRAM);
    }
}

#[test]
fn largest_context_fits_a_header() {
    let context = CallContext {
        origin: OriginId::from_u128(u128::MAX),
        attempt: AttemptId::new(u64::MAX),
        request_kind: "k".repeat(63),
        priority: Priority::LOWEST,
        deadline: Timestamp::ZERO + Duration::from_secs(600),
        allowance: RetryAllowance::new(u16::MAX),
        repeatability: Repeatability::AtMostOnce,
        idempotency_key: Some(IdempotencyKey::from_u128(u128::MAX)),
        depth: u8::MAX,
        admitted_below: AdmissionLevel::CLOSED,
        is_repeat: true,
        fingerprint: Some(RequestFingerprint::new(u64::MAX)),
        terminated_backends: u8::MAX,
        rank: Some(Rank::LAST),
    };
    let value = WireContext::from_context(&context, Timestamp::ZERO).encode();
    assert!(value.len() <= MAX_ENCODED_LENGTH, "{} bytes", value.len());
}

/// The context that earlier versions send and decode, reduced to the fields that they require.
#[derive(Serialize, Deserialize)]
struct RequiredFields {
    o: u128,
    a: u64,
    k: String,
    p: u8,
    t: u64,
    r: u16,
    s: String,
    d: u8,
}

/// Guards against a rolling update in which two versions can't decode each other's contexts, or
/// rank the same request differently at the hops of one version.
#[test]
fn the_rank_is_optional_in_both_directions() {
    let earlier = RequiredFields {
        o: 7,
        a: 1,
        k: "kind".to_owned(),
        p: 2,
        t: 1_000_000,
        r: 0,
        s: "repeatable".to_owned(),
        d: 1,
    };
    let mut bytes = Vec::new();
    ciborium::into_writer(&earlier, &mut bytes).unwrap();
    let received = WireContext::decode(URL_SAFE_NO_PAD.encode(bytes).as_bytes())
        .and_then(|wire| wire.into_context(Timestamp::ZERO))
        .unwrap();
    assert_eq!(received.rank, None);
    assert_eq!(received.admission_key().rank(), Rank::of(received.origin));

    let ranked = CallContext {
        rank: Some(Rank::from_number(17)),
        ..received
    };
    assert_eq!(ranked.admission_key().rank().number(), 17);
    let value = WireContext::from_context(&ranked, Timestamp::ZERO).encode();
    let bytes = URL_SAFE_NO_PAD.decode(value).unwrap();
    let decoded: RequiredFields = ciborium::from_reader(bytes.as_slice()).unwrap();
    assert_eq!((decoded.o, decoded.p), (7, 2));
}

/// Guards against a buffer that keeps bytes of the previous value.
#[test]
fn a_value_is_independent_of_the_one_encoded_before() {
    let metadata = |incarnation| ResponseMetadata {
        attempt: None,
        unused_retries: RetryAllowance::NONE,
        level: AdmissionLevel::OPEN,
        folded_level: AdmissionLevel::OPEN,
        incarnation,
        in_flight: 0,
        limit: 0,
        queued: 0,
        rate_limited_ms: 0,
        slowdown_percent: None,
        expected_execution_ms: None,
        completed_permille: None,
    };
    let first = metadata(0).encode();
    let longer = metadata(u64::MAX).encode();
    assert!(longer.len() > first.len());
    assert_eq!(metadata(0).encode(), first);
}

#[test]
fn bad_header_values_are_rejected_with_specific_errors() {
    let too_long = vec![b'A'; MAX_ENCODED_LENGTH + 1];
    assert_eq!(
        WireContext::decode(&too_long),
        Err(DecodeError::TooLong(MAX_ENCODED_LENGTH + 1))
    );
    assert!(matches!(
        WireContext::decode(b"not base64!"),
        Err(DecodeError::Base64(_))
    ));
    assert!(matches!(
        WireContext::decode(b"AAAA"),
        Err(DecodeError::Cbor(_))
    ));
}

/// Guards against processes of an earlier version that can't read responses, or whose responses
/// can't be read.
#[test]
fn response_metadata_without_a_completed_share_has_its_earlier_form() {
    let metadata = ResponseMetadata {
        attempt: None,
        unused_retries: RetryAllowance::NONE,
        level: AdmissionLevel::OPEN,
        folded_level: AdmissionLevel::OPEN,
        incarnation: 0,
        in_flight: 0,
        limit: 0,
        queued: 0,
        rate_limited_ms: 0,
        slowdown_percent: None,
        expected_execution_ms: None,
        completed_permille: None,
    };
    let earlier = "p2FyAGFsGYAAYWYZgABhaQBhbgBhYwBhcQA";
    assert_eq!(metadata.encode(), earlier);
    assert_eq!(ResponseMetadata::decode(earlier.as_bytes()), Ok(metadata));
    let reporting = ResponseMetadata {
        attempt: None,
        completed_permille: Some(450),
        ..metadata
    };
    let encoded = reporting.encode();
    assert_eq!(ResponseMetadata::decode(encoded.as_bytes()), Ok(reporting));
}

#[test]
fn envelope_rejects_other_versions_and_sizes() {
    let metadata = ResponseMetadata {
        attempt: None,
        unused_retries: RetryAllowance::new(2),
        level: AdmissionLevel::OPEN,
        folded_level: AdmissionLevel::CLOSED,
        incarnation: 1_764_662_400_000,
        in_flight: 1,
        limit: 2,
        queued: 3,
        rate_limited_ms: 0,
        slowdown_percent: None,
        expected_execution_ms: None,
        completed_permille: None,
    };
    let bytes = envelope::encode(&metadata).expect("CBOR can express the message");
    assert_eq!(
        envelope::decode::<ResponseMetadata>(&bytes, envelope::MAX_DATAGRAM),
        Ok(metadata)
    );

    let mut other_version = bytes.clone();
    other_version[0] = 99;
    assert_eq!(
        envelope::decode::<ResponseMetadata>(&other_version, envelope::MAX_DATAGRAM),
        Err(DecodeError::Version {
            found: 99,
            expected: envelope::VERSION
        })
    );
    assert_eq!(
        envelope::decode::<ResponseMetadata>(&bytes, 3),
        Err(DecodeError::TooLong(bytes.len()))
    );
    assert!(envelope::decode::<ResponseMetadata>(&[], envelope::MAX_DATAGRAM).is_err());
}

/// Response metadata of versions that know no load reports.
#[derive(serde::Serialize, serde::Deserialize)]
struct EarlierMetadata {
    r: RetryAllowance,
    l: AdmissionLevel,
    f: AdmissionLevel,
    i: u64,
    n: u32,
    c: u32,
    q: u32,
}

/// Guards against metadata that only one of two versions can decode, and against a slowdown that is
/// taken as usual because the peer does not know the field.
#[test]
fn metadata_of_an_earlier_version_has_no_slowdown_and_the_reverse_decodes() {
    let earlier = EarlierMetadata {
        r: RetryAllowance::NONE,
        l: AdmissionLevel::OPEN,
        f: AdmissionLevel::OPEN,
        i: 7,
        n: 1,
        c: 2,
        q: 3,
    };
    let bytes = envelope::encode(&earlier).expect("CBOR can express the message");
    let metadata = envelope::decode::<ResponseMetadata>(&bytes, envelope::MAX_DATAGRAM)
        .expect("metadata of an earlier version decodes");
    assert_eq!(metadata.execution(), None);

    let (slowdown_percent, expected_execution_ms) = execution_fields(Some(ReportedExecution {
        slowdown: Slowdown::from_percent(250).expect("valid"),
        expected: Duration::from_micros(110_200),
    }));
    let reported = ResponseMetadata {
        attempt: None,
        slowdown_percent,
        expected_execution_ms,
        ..metadata
    };
    let decoded = ResponseMetadata::decode(reported.encode().as_bytes()).expect("decodes");
    let execution = decoded.execution().expect("a slowdown and a time");
    assert_eq!(execution.slowdown.percent(), 250);
    assert_eq!(execution.expected, Duration::from_millis(111));
    let bytes = envelope::encode(&reported).expect("CBOR can express the message");
    envelope::decode::<EarlierMetadata>(&bytes, envelope::MAX_DATAGRAM)
        .expect("an earlier version decodes the metadata");
}

/// Guards against a peer that sends a time of zero, which would compare as free.
#[test]
fn invalid_execution_fields_count_as_unknown() {
    let mut metadata = ResponseMetadata {
        attempt: None,
        unused_retries: RetryAllowance::NONE,
        level: AdmissionLevel::OPEN,
        folded_level: AdmissionLevel::OPEN,
        incarnation: 0,
        in_flight: 0,
        limit: 1,
        queued: 0,
        rate_limited_ms: 0,
        completed_permille: None,
        slowdown_percent: Some(100),
        expected_execution_ms: Some(0),
    };
    assert_eq!(metadata.execution(), None);
    metadata.expected_execution_ms = Some(5);
    assert!(metadata.execution().is_some());
    for percent in [0, 10_001] {
        metadata.slowdown_percent = Some(percent);
        assert_eq!(metadata.execution(), None);
    }
}
