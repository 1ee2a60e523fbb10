//! Leases that limit the number of configuration readers, on a virtual clock.

use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use wharfquay_core::time::Timestamp;
use wharfquay_emulator::platform::leases::Leases;
use wharfquay_platform::client::LeaseOutcome;
use wharfquay_platform::lease::LeaseRequest;
use wharfquay_platform::wire::LeaseReply;
use wharfquay_platform::{ReaderLease, ReaderLeaseSettings};

const SEED: u64 = 7;
const TICK: Duration = Duration::from_millis(100);
const CANDIDATES: usize = 8;
const SLOTS: u32 = 3;

/// Faults during a case.
#[derive(Clone, Copy, Debug, Default)]
struct Fault {
    /// Every request to the store fails without effect.
    down: bool,
    /// Requests take effect and their replies are lost.
    replies_lost: bool,
    /// The first candidate that holds a slot is paused.
    holder_paused: bool,
}

struct Case {
    name: &'static str,
    fault: Fault,
    fault_ticks: u32,
    /// Minimum number of readers at the end of the fault.
    min_readers_during_fault: usize,
}

fn cases() -> Vec<Case> {
    let case = |name, fault, fault_ticks, min_readers_during_fault| Case {
        name,
        fault,
        fault_ticks,
        min_readers_during_fault,
    };
    let down = Fault {
        down: true,
        ..Fault::default()
    };
    let replies_lost = Fault {
        replies_lost: true,
        ..Fault::default()
    };
    let paused = Fault {
        holder_paused: true,
        ..Fault::default()
    };
    let paused_and_down = Fault {
        down: true,
        ..paused
    };
    let paused_and_replies_lost = Fault {
        replies_lost: true,
        ..paused
    };
    vec![
        case("no fault", Fault::default(), 300, 3),
        case("down for less than a lease", down, 80, 3),
        case("down for longer than a lease", down, 400, 0),
        case("replies lost", replies_lost, 400, 0),
        case("holder paused past its lease", paused, 600, 2),
        case("holder paused, store down", paused_and_down, 600, 0),
        case(
            "holder paused, replies lost",
            paused_and_replies_lost,
            600,
            0,
        ),
    ]
}

struct Zone {
    random: Pcg64Mcg,
    now: Timestamp,
    store: Leases,
    candidates: Vec<ReaderLease>,
    fault: Fault,
    paused: Option<usize>,
}

impl Zone {
    fn new() -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(SEED);
        let candidate = |number| {
            let settings = ReaderLeaseSettings {
                slots: SLOTS,
                ..ReaderLeaseSettings::new("ikeja", format!("daemon-{number}"))
            };
            ReaderLease::new(settings, Timestamp::ZERO, &mut random)
        };
        let candidates = (0..CANDIDATES).map(candidate).collect();
        Self {
            random,
            now: Timestamp::ZERO,
            store: Leases::default(),
            candidates,
            fault: Fault::default(),
            paused: None,
        }
    }

    fn set_fault(&mut self, fault: Fault) {
        self.fault = fault;
        let holder = self
            .candidates
            .iter()
            .position(|lease| lease.may_read(self.now));
        self.paused = holder.filter(|_| fault.holder_paused);
    }

    fn tick(&mut self, ticks: u32) {
        for _ in 0..ticks {
            self.now = self.now + TICK;
            for number in 0..self.candidates.len() {
                if self.paused != Some(number) {
                    self.run_candidate(number);
                }
            }
            self.check_reader_limit();
        }
    }

    fn run_candidate(&mut self, number: usize) {
        if let Some(request) = self.candidates[number].advance(self.now) {
            let reply = self.reply_to(&request);
            self.candidates[number].handle_result(self.now, reply.as_ref(), &mut self.random);
        }
    }

    fn reply_to(&mut self, request: &LeaseRequest) -> Option<LeaseOutcome> {
        if self.fault.down {
            return None;
        }
        let now = self.now;
        let result = self
            .store
            .acquire(now, &request.name, &request.holder, request.ttl);
        if self.fault.replies_lost {
            return None;
        }
        Some(match result {
            Ok(lease) => LeaseOutcome::Granted(lease.expires_at.saturating_since(now)),
            Err(held) => LeaseOutcome::HeldBy(LeaseReply {
                expires_in_ms: held.expires_at.saturating_since(now).as_millis() as u64,
                holder: held.holder,
            }),
        })
    }

    fn readers(&self) -> usize {
        let reading = |lease: &&ReaderLease| lease.may_read(self.now);
        self.candidates.iter().filter(reading).count()
    }

    /// Checks that no more candidates may read than there are slots: each, also a paused holder, must
    /// consider its lease expired no later than the store does.
    fn check_reader_limit(&self) {
        assert!(
            self.readers() <= SLOTS as usize,
            "{} readers",
            self.readers()
        );
    }
}

#[test]
fn slots_limit_the_readers_and_are_reacquired_after_each_fault() {
    const SETTLING_TICKS: u32 = 600;
    for case in cases() {
        let mut zone = Zone::new();
        zone.tick(SETTLING_TICKS);
        assert_eq!(
            zone.readers(),
            SLOTS as usize,
            "{}: at the start",
            case.name
        );
        zone.set_fault(case.fault);
        zone.tick(case.fault_ticks);
        let readers = zone.readers();
        assert!(
            readers >= case.min_readers_during_fault,
            "{}: {readers} readers",
            case.name
        );
        zone.set_fault(Fault::default());
        zone.tick(SETTLING_TICKS);
        assert_eq!(zone.readers(), SLOTS as usize, "{}: at the end", case.name);
    }
}

#[test]
fn a_holder_paused_beyond_its_lease_may_not_read_when_it_resumes() {
    let mut zone = Zone::new();
    zone.tick(600);
    zone.set_fault(Fault {
        holder_paused: true,
        ..Fault::default()
    });
    let paused = zone.paused.expect("a candidate holds a slot");
    zone.tick(600);
    assert!(!zone.candidates[paused].may_read(zone.now));
    // The others have taken the slot, so the first request after the pause is refused.
    zone.run_candidate(paused);
    assert!(!zone.candidates[paused].may_read(zone.now));
    assert_eq!(zone.readers(), SLOTS as usize);
}

#[test]
fn a_reply_that_took_longer_than_the_lease_grants_nothing() {
    let mut random = Pcg64Mcg::seed_from_u64(SEED);
    let settings = ReaderLeaseSettings::new("ikeja", "daemon-1");
    let ttl = settings.ttl;
    let mut lease = ReaderLease::new(settings, Timestamp::ZERO, &mut random);
    lease
        .advance(Timestamp::ZERO)
        .expect("the first request is immediate");
    let late = Timestamp::ZERO + ttl;
    lease.handle_result(late, Some(&LeaseOutcome::Granted(ttl)), &mut random);
    assert!(!lease.may_read(late));
    assert!(
        lease.advance(late).is_some(),
        "the lease must be requested again"
    );
}
