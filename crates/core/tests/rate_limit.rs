//! The limit on arrivals at a backend that announces a rate.

use std::time::Duration;

use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use wharfquay_core::admission::RequestProgress;
use wharfquay_core::priority::{AdmissionKey, Priority, Rank};
use wharfquay_core::rate_limit::{ArrivalLimit, WINDOW};
use wharfquay_core::time::Timestamp;

/// Rates of the tests, in calls per second.
const RATES: [f64; 5] = [0.5, 1.0, 5.8, 20.0, 100.0];
/// Tolerance for rounding errors.
const ROUNDING: f64 = 1e-6;

fn at(seconds: f64) -> Timestamp {
    Timestamp::from_micros((seconds * 1e6) as u64)
}

fn key(priority: u8, rank: u16) -> AdmissionKey {
    let priority = Priority::new(priority).unwrap();
    AdmissionKey::new(priority, Rank::from_number(rank))
}

/// Calls of one priority that arrive at random times, and how many of them were admitted.
struct Stream {
    priority: u8,
    per_second: f64,
    next: f64,
    offered: usize,
    admitted: Vec<f64>,
}

impl Stream {
    fn new(priority: u8, per_second: f64) -> Self {
        Self {
            priority,
            per_second,
            next: 0.0,
            offered: 0,
            admitted: Vec::new(),
        }
    }

    fn admitted_share(&self) -> f64 {
        self.admitted.len() as f64 / self.offered as f64
    }
}

/// Offers the calls of the streams for a time in seconds.
fn offer(limit: &mut ArrivalLimit, streams: &mut [Stream], seconds: f64, seed: u64) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    loop {
        for stream in &mut *streams {
            if stream.next <= 0.0 {
                stream.next = pause(stream.per_second, &mut random);
            }
        }
        let stream = streams
            .iter_mut()
            .min_by(|one, other| one.next.total_cmp(&other.next))
            .unwrap();
        let now = stream.next;
        if now > seconds {
            return;
        }
        stream.next += pause(stream.per_second, &mut random);
        stream.offered += 1;
        let key = key(stream.priority, random.random());
        if limit.admit(at(now), key, RequestProgress::New) {
            stream.admitted.push(at(now).as_micros() as f64 / 1e6);
        } else {
            limit.refuse(at(now), key, random.random());
        }
    }
}

fn pause(per_second: f64, random: &mut Pcg64Mcg) -> f64 {
    -(1.0 - random.random::<f64>()).ln() / per_second
}

/// Guards against a backend in need that gets more calls than it announced.
#[test]
fn arrivals_in_any_window_exceed_the_rate_by_one_at_most() {
    for rate in RATES {
        let mut limit = ArrivalLimit::new(at(0.0), rate);
        let mut streams = [Stream::new(0, rate * 2.0), Stream::new(2, rate * 4.0)];
        offer(&mut limit, &mut streams, 60.0 + 100.0 / rate, 1);
        let mut admitted: Vec<f64> = streams
            .iter()
            .flat_map(|one| one.admitted.clone())
            .collect();
        admitted.sort_by(f64::total_cmp);
        let window = WINDOW.as_secs_f64();
        for (number, last) in admitted.iter().enumerate() {
            let inside = admitted[..=number]
                .iter()
                .filter(|at| last - **at < window - ROUNDING);
            let count = inside.count() as f64;
            assert!(count <= rate * window + 1.0, "{count} at {rate} a second");
        }
    }
}

/// Guards against a limit that wastes a part of the rate although calls wait for it.
#[test]
fn nine_tenths_of_the_rate_are_used_while_more_is_wanted() {
    for rate in RATES {
        for priority in [0, 1, 2] {
            let mut limit = ArrivalLimit::new(at(0.0), rate);
            let mut streams = [Stream::new(priority, rate * 5.0)];
            let seconds = 100.0 + 1_000.0 / rate;
            offer(&mut limit, &mut streams, seconds, 2);
            let used = streams[0].admitted.len() as f64 / seconds / rate;
            assert!(
                used >= 0.9,
                "{used} of {rate} a second, priority {priority}"
            );
        }
    }
}

/// Guards against refusals of important calls while less important ones are admitted.
#[test]
fn important_calls_are_refused_last() {
    for rate in [5.8, 20.0, 100.0] {
        let mut limit = ArrivalLimit::new(at(0.0), rate);
        let mut streams = [Stream::new(0, rate * 0.5), Stream::new(2, rate * 4.0)];
        offer(&mut limit, &mut streams, 400.0, 3);
        let [important, other] = &streams;
        let shares = (important.admitted_share(), other.admitted_share());
        assert!(
            shares.0 > 0.75 && shares.0 > 4.0 * shares.1,
            "{rate}: {shares:?}"
        );
    }
}

/// Guards against a request kind that gets nothing while a more important one wants everything.
#[test]
fn no_priority_gets_less_than_a_quarter_of_the_mean() {
    for rate in [5.8, 20.0, 100.0] {
        let mut limit = ArrivalLimit::new(at(0.0), rate);
        let mut streams = [0, 1, 2].map(|priority| Stream::new(priority, rate * 3.0));
        offer(&mut limit, &mut streams, 400.0, 4);
        let admitted: usize = streams.iter().map(|one| one.admitted.len()).sum();
        let offered: usize = streams.iter().map(|one| one.offered).sum();
        let mean = admitted as f64 / offered as f64;
        for stream in &streams {
            let share = stream.admitted_share();
            assert!(share > mean / 4.0, "{rate}: {share} of {mean}");
        }
    }
}

/// Guards against a limit that never sends another call, so that nobody learns when it is lifted.
#[test]
fn the_lowest_rates_still_admit_a_call_of_every_priority() {
    for rate in [1e-300, 0.001, 0.1, 0.24] {
        for priority in [0, 2, 7] {
            let mut limit = ArrivalLimit::new(at(0.0), rate);
            let key = key(priority, Rank::COUNT - 1);
            let wait = limit.wait(at(0.0), key, RequestProgress::New);
            assert!(wait <= Duration::from_secs(15), "{rate}: {wait:?}");
            assert!(limit.admit(at(0.0) + wait, key, RequestProgress::New));
            let again = limit.wait(at(0.0) + wait, key, RequestProgress::New);
            assert!(again <= Duration::from_secs(15), "{rate}: {again:?}");
        }
    }
}

/// Guards against refused calls that return together.
#[test]
fn refused_calls_return_over_the_time_that_the_rate_needs() {
    const RATE: f64 = 10.0;
    const REFUSED: u32 = 20;
    let mut limit = ArrivalLimit::new(at(0.0), RATE);
    let needed = Duration::from_secs_f64(f64::from(REFUSED) / RATE);
    let last = (1..=REFUSED)
        .map(|_| limit.refuse(at(0.001), key(0, 0), 1.0))
        .last()
        .unwrap();
    assert!(last <= needed && last >= needed.mul_f64(0.9), "{last:?}");
    let middle = limit.refuse(at(0.001), key(0, 0), 0.5);
    assert!(middle <= needed.mul_f64(0.6) && middle >= needed.mul_f64(0.4));
}

/// Guards against a raised limit that takes effect late.
#[test]
fn a_raised_rate_is_used_within_a_second() {
    let (low, high) = (6.0, 60.0);
    let mut limit = ArrivalLimit::new(at(0.0), low);
    let mut streams = [Stream::new(2, 200.0)];
    offer(&mut limit, &mut streams, 10.0, 5);
    limit.set_rate(at(10.0), high);
    let before = streams[0].admitted.len();
    offer(&mut limit, &mut streams, 12.0, 6);
    let after = streams[0].admitted.len() - before;
    assert!(after as f64 >= high, "{after} in two seconds");
}

proptest! {
    /// Guards against a change of the rate that admits more than both rates allow.
    #[test]
    fn changed_rates_are_kept_in_every_window(
        changes in prop::collection::vec((25_u64..2_000, 0.2_f64..60.0), 1..30),
        offers in prop::collection::vec((1_u64..120, 0_u8..8, 0_u16..4_096), 50..600),
    ) {
        let mut periods = vec![(0_u64, changes[0].1)];
        for (length, rate) in &changes {
            let start = periods.last().unwrap().0 + length * 1_000;
            periods.push((start, *rate));
        }
        let mut limit = ArrivalLimit::new(Timestamp::ZERO, periods[0].1);
        let mut next = 1;
        let mut now = 0;
        let mut arrivals: Vec<u64> = Vec::new();
        for (pause, priority, rank) in offers {
            now += pause * 1_000;
            while next < periods.len() && periods[next].0 <= now {
                limit.set_rate(Timestamp::from_micros(periods[next].0), periods[next].1);
                next += 1;
            }
            let key = key(priority, rank);
            if limit.admit(Timestamp::from_micros(now), key, RequestProgress::New) {
                arrivals.push(now);
            }
        }
        for last in &arrivals {
            let start = last.saturating_sub(WINDOW.as_micros() as u64);
            let is_inside = |arrival: &&u64| **arrival <= *last && (start == 0 || **arrival > start);
            let count = arrivals.iter().filter(is_inside).count() as f64;
            let allowed = allowed(&periods, start, *last);
            prop_assert!(count <= allowed + 1.0 + ROUNDING, "{count} of {allowed} until {last}");
        }
    }
}

/// Returns how many calls the rates allow between two times in microseconds.
fn allowed(periods: &[(u64, f64)], start: u64, end: u64) -> f64 {
    let ends = periods
        .iter()
        .skip(1)
        .map(|period| period.0)
        .chain([u64::MAX]);
    let parts = periods.iter().zip(ends).map(|((since, rate), until)| {
        let length = until.min(end).saturating_sub((*since).max(start));
        length as f64 / 1e6 * rate
    });
    parts.sum()
}
