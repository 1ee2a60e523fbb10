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
    }
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// Reads a response with this announced rate to a request sent at `sent_at`.
fn read(announcements: &Announcements, sent_at: u64, received_at: u64, rate: Option<&str>) {
    let mut headers = HeaderMap::new();
    if let Some(rate) = rate {
        headers.insert("rate-limit", HeaderValue::from_str(rate).unwrap());
    }
    let times = ExchangeTimes {
        sent_at: at(sent_at),
        received_at: at(received_at),
    };
    announcements.read(times, &dialect(), &headers);
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
