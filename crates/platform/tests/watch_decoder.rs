//! Tests that the watch decoder accepts lines in pieces of any size and reports invalid lines.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use wharfquay_platform::watch::EventDecoder;
use wharfquay_platform::wire::WatchEvent;
use wharfquay_resources::snapshot::Revision;

fn bookmark(number: u64) -> WatchEvent {
    WatchEvent::Bookmark {
        version: Revision::new(number),
    }
}

fn decode_all(decoder: &mut EventDecoder) -> Vec<WatchEvent> {
    std::iter::from_fn(|| decoder.pop()).collect()
}

const SEED: u64 = 11;

fn configuration() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(configuration())]

    #[test]
    fn pieces_of_any_size_decode_to_the_same_events(
        numbers in proptest::collection::vec(any::<u64>(), 0..20),
        cuts in proptest::collection::vec(1_usize..60, 1..80),
    ) {
        let events: Vec<WatchEvent> = numbers.into_iter().map(bookmark).collect();
        let mut bytes = Vec::new();
        for event in &events {
            serde_json::to_writer(&mut bytes, event).expect("serializes");
            bytes.extend_from_slice(b"\r\n\n");
        }
        let mut decoder = EventDecoder::default();
        let mut decoded = Vec::new();
        let mut rest = bytes.as_slice();
        for cut in cuts.iter().cycle() {
            let (piece, after) = rest.split_at((*cut).min(rest.len()));
            decoder.push(piece).expect("a valid event");
            decoded.extend(decode_all(&mut decoder));
            rest = after;
            if rest.is_empty() {
                break;
            }
        }
        prop_assert_eq!(decoded, events);
    }
}

#[test]
fn an_invalid_line_is_an_error_and_earlier_events_are_kept() {
    let overlong = vec![b'x'; 5 * 1024 * 1024];
    let rows: [(&[u8], &str); 4] = [
        (
            b"{\"type\":\"patch\",\"version\":1}\n",
            "unknown variant `patch`",
        ),
        (
            b"{\"type\":\"put\",\"version\":1}\n",
            "missing field `object`",
        ),
        (b"not json\n", "expected ident"),
        (&overlong, "line of more than 4194304 bytes"),
    ];
    for (bytes, expected) in rows {
        let mut decoder = EventDecoder::default();
        decoder
            .push(b"{\"type\":\"bookmark\",\"version\":7}\n")
            .expect("a valid event");
        let error = decoder.push(bytes).expect_err(expected);
        assert!(error.contains(expected), "{error}");
        assert_eq!(decode_all(&mut decoder), [bookmark(7)]);
    }
}
