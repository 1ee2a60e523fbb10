use http::HeaderValue;

use super::*;

fn dialect() -> Dialect {
    let name = http::HeaderName::from_static;
    Dialect {
        request_id: name("id"),
        deadline_ms: name("deadline"),
        target_instance: name("target"),
        caller_service: name("caller"),
        tenant: name("tenant"),
        not_executed: name("not-executed"),
        signature: name("signature"),
        instance: name("instance"),
        rate_limit: name("rate-limit"),
        leaving: name("leaving"),
        load_report: name("load"),
    }
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// Reads a response with this announced rate to a request sent at `sent_at`.
fn read(announcements: &Announcements, sent_at: u64, received_at: u64, rate: Option<&str>) {
    let source = ResponseSource::Call;
    read_from(source, announcements, (sent_at, received_at), rate);
}

/// Reads a response of the health endpoint to a check at `sent_at`.
fn read_health(announcements: &Announcements, sent_at: u64, received_at: u64, rate: Option<&str>) {
    let source = ResponseSource::HealthEndpoint;
    read_from(source, announcements, (sent_at, received_at), rate);
}

fn read_from(
    source: ResponseSource,
    announcements: &Announcements,
    (sent_at, received_at): (u64, u64),
    rate: Option<&str>,
) {
    let mut headers = HeaderMap::new();
    if let Some(rate) = rate {
        headers.insert("rate-limit", HeaderValue::from_str(rate).unwrap());
    }
    let times = ExchangeTimes {
        sent_at: at(sent_at),
        received_at: at(received_at),
    };
    announcements.read(source, times, &dialect(), &headers);
}

/// Guards against a limit that a response lifts although the backend sent it before the limit.
#[test]
fn a_response_to_an_earlier_request_does_not_loosen_a_limit() {
    let announcements = Announcements::none(InstanceId::from("i-1"));
    read(&announcements, 10, 20, Some("5"));
    read(&announcements, 15, 30, None);
    read(&announcements, 15, 30, Some("50"));
    assert_eq!(announcements.rate_limit(), Some(5.0));
    read(&announcements, 21, 40, Some("50"));
    assert_eq!(announcements.rate_limit(), Some(50.0));
    read(&announcements, 41, 50, None);
    assert_eq!(announcements.rate_limit(), None);
}

/// Guards against a stricter limit that applies late.
#[test]
fn a_response_to_an_earlier_request_tightens_a_limit() {
    let announcements = Announcements::none(InstanceId::from("i-1"));
    read(&announcements, 10, 20, Some("50"));
    read(&announcements, 5, 30, Some("5"));
    assert_eq!(announcements.rate_limit(), Some(5.0));
}

/// Guards against a garbled value that lifts a limit.
#[test]
fn a_malformed_rate_keeps_the_last_valid_one() {
    let announcements = Announcements::none(InstanceId::from("i-1"));
    read(&announcements, 10, 20, Some("5"));
    read(&announcements, 30, 40, Some("1e400"));
    assert_eq!(announcements.rate_limit(), Some(5.0));
    read(&announcements, 50, 60, None);
    read(&announcements, 70, 80, Some("-3"));
    assert_eq!(announcements.rate_limit(), None);
}

/// Guards against a burst at a backend whose limit an earlier process knew.
#[test]
fn an_instance_with_unknown_announcements_gets_few_calls_until_its_first_response() {
    let announcements = Announcements::unknown(InstanceId::from("i-1"), at(0));
    let admitted = |until: u64| {
        let times = (0..until).step_by(10);
        times
            .filter(|now| announcements.admit(at(*now), AdmissionKey::FIRST, RequestProgress::New))
            .count()
    };
    assert!(admitted(1_000) <= 4);
    read(&announcements, 990, 1_000, None);
    assert_eq!(admitted(1_000), 100);
}

/// Guards against a garbled value in the first response after a restart that counts as no limit, and
/// against one that keeps calls away for good.
#[test]
fn a_malformed_rate_leaves_unknown_announcements_unknown_for_a_while() {
    let announcements = Announcements::unknown(InstanceId::from("i-1"), at(0));
    let admitted = |from: u64| {
        let times = (from..from + 1_000).step_by(10);
        times
            .filter(|now| announcements.admit(at(*now), AdmissionKey::FIRST, RequestProgress::New))
            .count()
    };
    read_health(&announcements, 0, 1, Some("1e400"));
    assert!(admitted(0) <= 4);
    read(&announcements, 1_000, 1_010, Some("NaN"));
    assert!(admitted(1_010) <= 4);
    read(&announcements, 4_000, 4_010, Some("NaN"));
    assert_eq!(admitted(4_010), 100);
}

/// Guards against a burst on top of what an earlier process sent within the rate.
#[test]
fn a_rate_that_is_learned_after_a_restart_starts_without_a_burst() {
    let announcements = Announcements::unknown(InstanceId::from("i-1"), at(0));
    read_health(&announcements, 0, 1, Some("5"));
    let times = (1..=4_001).step_by(10);
    let admitted = times
        .filter(|now| announcements.admit(at(*now), AdmissionKey::FIRST, RequestProgress::New))
        .count();
    assert!((18..=20).contains(&admitted), "{admitted} in 4 s");
}

/// Guards against a limit that is lifted by a health endpoint which announces no limits.
#[test]
fn a_health_endpoint_that_announced_no_limit_lifts_none() {
    let announcements = Announcements::none(InstanceId::from("i-1"));
    read(&announcements, 10, 20, Some("5"));
    read_health(&announcements, 30, 40, None);
    assert_eq!(announcements.rate_limit(), Some(5.0));
    read_health(&announcements, 50, 60, Some("7"));
    assert_eq!(announcements.rate_limit(), Some(7.0));
    read_health(&announcements, 70, 80, None);
    assert_eq!(announcements.rate_limit(), None);
}

/// Guards against a health check for every refused call.
#[test]
fn a_limit_is_confirmed_only_after_a_time_without_responses() {
    let announcements = Announcements::none(InstanceId::from("i-1"));
    assert!(!announcements.begin_confirmation(at(5_000)), "no limit");
    read(&announcements, 5_000, 5_010, Some("0.5"));
    let asked = (5_010..7_010)
        .step_by(10)
        .filter(|now| announcements.begin_confirmation(at(*now)));
    assert_eq!(asked.count(), 4);
}
