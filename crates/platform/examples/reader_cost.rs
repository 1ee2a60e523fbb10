//! Measures the time and memory of a configuration reader per object and per change, without
//! sockets.
//!
//! Run with `cargo run --release -p wharfquay-platform --example reader_cost -- OBJECTS`. Each size
//! needs its own process: memory that the allocator retains from an earlier size would be reused and
//! not counted.

use std::time::{Duration, Instant};

use serde_json::json;
use wharfquay_core::time::Timestamp;
use wharfquay_platform::source::{SourceEffect, SourceInput};
use wharfquay_platform::watch::EventDecoder;
use wharfquay_platform::wire::{Object, ObjectKey, ObjectList, OperationId, WatchEvent};
use wharfquay_platform::{ConfigurationSource, SourceSettings};
use wharfquay_resources::snapshot::Revision;

const DEFAULT_OBJECTS: u64 = 3_000;
const CHANGES: u64 = 20_000;
/// Total number of objects in the reader copies whose memory is measured; large enough to make
/// memory retained by the allocator insignificant.
const COPIED_OBJECTS: u64 = 2_000_000;
/// Page size, the unit of the resident set in `/proc/self/statm`.
const PAGE_BYTES: u64 = 4_096;

fn main() {
    let argument = std::env::args().nth(1);
    let objects = argument.and_then(|argument| argument.parse().ok());
    println!("objects  list_kb  list_ms  bytes_per_change  us_per_change  reader_kb");
    print_row(objects.unwrap_or(DEFAULT_OBJECTS).clamp(1, COPIED_OBJECTS));
}

fn print_row(objects: u64) {
    let list = list_of(objects);
    let body = serde_json::to_vec(&list).expect("serializes");
    let (mut source, list_time) = read_list(&body);
    let watch = watch_body(objects);
    let change_time = read_changes(&mut source, &watch);
    println!(
        "{objects:>7}  {:>7}  {:>7.2}  {:>16}  {:>13.2}  {:>9}",
        body.len() / 1_024,
        list_time.as_secs_f64() * 1e3,
        watch.len() as u64 / CHANGES,
        change_time.as_secs_f64() * 1e6 / CHANGES as f64,
        reader_bytes(&source, objects) / 1_024,
    );
}

fn list_of(objects: u64) -> ObjectList {
    ObjectList {
        version: Revision::new(objects),
        objects: (1..=objects).map(|number| object(number, number)).collect(),
    }
}

fn object(number: u64, version: u64) -> Object {
    let name = format!("service-{number:05}");
    let calls = [format!("service-{:05}", number + 1), "records".to_owned()];
    let spec = json!({
        "name": name, "slots": 8, "connections": 120, "queue_wait_ms": 50, "calls": calls,
    });
    Object {
        key: ObjectKey::new("service", name),
        version: Revision::new(version),
        operation: OperationId::unique(),
        author: "operator@example.org".to_owned(),
        spec,
    }
}

fn read_list(body: &[u8]) -> (ConfigurationSource, Duration) {
    let mut source = ConfigurationSource::new(SourceSettings::default());
    source.start(Timestamp::ZERO);
    let began = Instant::now();
    let list = serde_json::from_slice(body).expect("reads");
    let effects = handle(&mut source, SourceInput::Listed(list));
    let took = began.elapsed();
    assert_eq!(effects, 2, "a snapshot and a watch");
    handle(&mut source, SourceInput::WatchOpened);
    (source, took)
}

fn watch_body(objects: u64) -> Vec<u8> {
    let mut body = Vec::new();
    for change in 0..CHANGES {
        let version = objects + change + 1;
        let event = WatchEvent::Put {
            version: Revision::new(version),
            object: object(change % objects + 1, version),
        };
        serde_json::to_writer(&mut body, &event).expect("serializes");
        body.push(b'\n');
    }
    body
}

fn read_changes(source: &mut ConfigurationSource, body: &[u8]) -> Duration {
    const PIECE_BYTES: usize = 16 * 1_024;
    let began = Instant::now();
    let mut decoder = EventDecoder::default();
    let mut changes = 0;
    for piece in body.chunks(PIECE_BYTES) {
        decoder.push(piece).expect("a valid event");
        while let Some(event) = decoder.pop() {
            changes += handle(source, SourceInput::WatchEvent(event));
        }
    }
    let took = began.elapsed();
    assert_eq!(changes as u64, CHANGES, "every change is delivered");
    took
}

/// Passes an input to the reader and returns the number of its effects, except closed watches.
fn handle(source: &mut ConfigurationSource, input: SourceInput) -> usize {
    let effects = source.handle(Timestamp::ZERO, input, &mut rand::rng());
    effects
        .iter()
        .filter(|effect| !matches!(effect, SourceEffect::CloseWatch))
        .count()
}

/// Returns the resident bytes per additional reader, without the memory of its consumer.
fn reader_bytes(source: &ConfigurationSource, objects: u64) -> u64 {
    let readers = COPIED_OBJECTS / objects;
    let before = resident_bytes();
    let copies: Vec<ConfigurationSource> = (0..readers).map(|_| source.clone()).collect();
    let after = resident_bytes();
    drop(copies);
    after.saturating_sub(before) / readers
}

fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages
        .and_then(|pages| pages.parse::<u64>().ok())
        .unwrap_or(0)
        * PAGE_BYTES
}
