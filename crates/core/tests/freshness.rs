//! A configuration is never considered newer than it is, under delay, loss and duplication.

use proptest::prelude::*;
use wharfquay_core::freshness::Freshness;
use wharfquay_core::time::Timestamp;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

#[test]
fn a_confirmation_of_a_later_version_applies_once_it_is_in_force() {
    let mut freshness = Freshness::default();
    assert_eq!(freshness.confirmed_at(3), None);
    freshness.confirm(3, at(10), 3);
    freshness.confirm(4, at(20), 3);
    assert_eq!(freshness.confirmed_at(3), Some(at(10)));
    assert_eq!(freshness.confirmed_at(4), Some(at(20)));
}

#[test]
fn an_older_confirmation_changes_nothing() {
    let mut freshness = Freshness::default();
    freshness.confirm(3, at(30), 3);
    freshness.confirm(2, at(10), 3);
    assert_eq!(freshness.confirmed_at(3), Some(at(30)));
}

/// One step of a deployment in which each process has its own clock.
#[derive(Clone, Debug)]
enum Step {
    /// The operator publishes a version.
    Publish,
    /// A process queries the store, which replies after the first delay; the reply arrives after
    /// the second.
    Read(usize, u64, u64),
    /// A process queries another process, with the same two delays.
    Query(usize, usize, u64, u64),
    /// A process adopts the newest version, or one that is this many versions older.
    Adopt(usize, u64),
    /// A process restarts and loses its state.
    Restart(usize),
    Pass(u64),
}

const PROCESSES: usize = 4;
/// Time at which the deployment starts, in milliseconds. A confirmation can be older than the run
/// by its age at each of up to 200 queries, below 5.5 s each; it is never before time zero.
const START: u64 = 2_000_000;
/// Offset between the clocks of two processes, in milliseconds.
const CLOCK_OFFSET: u64 = 100_000;

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let process = 0..PROCESSES;
    let delay = 0_u64..4_000;
    let step = prop_oneof![
        1 => Just(Step::Publish),
        2 => (process.clone(), delay.clone(), delay.clone())
            .prop_map(|(requester, request_delay, reply_delay)| {
                Step::Read(requester, request_delay, reply_delay)
            }),
        4 => (process.clone(), process.clone(), delay.clone(), delay.clone())
            .prop_map(|(requester, responder, request_delay, reply_delay)| {
                Step::Query(requester, responder, request_delay, reply_delay)
            }),
        3 => (process.clone(), 0_u64..3).prop_map(|(process, behind)| Step::Adopt(process, behind)),
        1 => process.prop_map(Step::Restart),
        6 => (1_u64..1_500).prop_map(Step::Pass),
    ];
    prop::collection::vec(step, 1..200)
}

#[derive(Clone, Copy, Debug, Default)]
struct Process {
    freshness: Freshness,
    in_force: u64,
    incarnation: u32,
}

/// A message in flight: first a request, then the reply to it.
#[derive(Clone, Copy, Debug)]
struct Message {
    requester: usize,
    incarnation: u32,
    sent_at: u64,
    responder: Option<usize>,
    replied_at: u64,
    arrives_at: u64,
}

/// Returns the time on a process's clock. Each clock has a different offset, so no two can be
/// compared.
fn clock(process: usize, now: u64) -> Timestamp {
    at(now + CLOCK_OFFSET * process as u64)
}

proptest! {
    #[test]
    fn a_confirmed_version_was_the_newest_at_that_time(steps in steps()) {
        let mut now = START;
        let mut published = vec![(0, 1_u64)];
        let mut processes = [Process { in_force: 1, ..Process::default() }; PROCESSES];
        let mut requests: Vec<Message> = Vec::new();
        let mut replies: Vec<(Message, u64, Timestamp)> = Vec::new();
        for step in steps {
            match step {
                Step::Publish => {
                    let version = published.last().unwrap().1 + 1;
                    published.push((now, version));
                }
                Step::Read(requester, request_delay, reply_delay) => requests.push(Message {
                    requester, incarnation: processes[requester].incarnation, sent_at: now, responder: None,
                    replied_at: now + request_delay, arrives_at: now + request_delay + reply_delay,
                }),
                Step::Query(requester, responder, request_delay, reply_delay) => requests.push(Message {
                    requester, incarnation: processes[requester].incarnation, sent_at: now, responder: Some(responder),
                    replied_at: now + request_delay, arrives_at: now + request_delay + reply_delay,
                }),
                Step::Adopt(process, behind) => {
                    let version = published.last().unwrap().1.saturating_sub(behind).max(1);
                    let process = &mut processes[process];
                    process.in_force = process.in_force.max(version);
                }
                Step::Restart(process) => {
                    let incarnation = processes[process].incarnation + 1;
                    processes[process] = Process { in_force: 1, incarnation, ..Process::default() };
                }
                Step::Pass(millis) => now += millis,
            }
            let newest = published.last().unwrap().1;
            let due: Vec<Message> = requests.iter().copied().filter(|q| q.replied_at <= now).collect();
            requests.retain(|request| request.replied_at > now);
            for request in due {
                let sent_at = clock(request.requester, request.sent_at);
                match request.responder {
                    None => replies.push((request, newest, sent_at)),
                    Some(responder) => {
                        let process = &mut processes[responder];
                        if let Some(confirmed) = process.freshness.confirmed_at(process.in_force) {
                            let age = clock(responder, now).saturating_since(confirmed);
                            replies.push((request, process.in_force, sent_at - age));
                        }
                    }
                }
            }
            let arrived: Vec<_> = replies.iter().copied().filter(|(q, ..)| q.arrives_at <= now).collect();
            replies.retain(|(request, ..)| request.arrives_at > now);
            for (request, version, confirmed_at) in arrived {
                let process = &mut processes[request.requester];
                if process.incarnation == request.incarnation {
                    process.freshness.confirm(version, confirmed_at, process.in_force);
                }
            }
            for (number, process) in processes.iter_mut().enumerate() {
                if let Some(confirmed) = process.freshness.confirmed_at(process.in_force) {
                    let then = confirmed.as_micros() / 1_000 - CLOCK_OFFSET * number as u64;
                    let newest_then = published.iter().rfind(|(time, _)| *time < then);
                    let newest_then = newest_then.map_or(0, |(_, version)| *version);
                    prop_assert!(process.in_force >= newest_then, "process {number} at {now}");
                }
            }
        }
    }
}
