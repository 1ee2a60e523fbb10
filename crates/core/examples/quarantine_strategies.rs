//! Compares strategies to keep a request that terminates backends away from further backends.
//!
//! A model in steps of a millisecond: the backends of one service execute look-ups that all differ,
//! and among them one request that terminates its backend 30 to 115 ms after its start and is sent
//! repeatedly. Prints for each strategy and size how often the request reaches backends after the
//! third termination, how many harmless requests are refused, and the cost.
//!
//! `cargo run --release -p wharfquay-core --example quarantine_strategies`

use std::collections::HashMap;

use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use wharfquay_core::quarantine::{
    QuarantineState, RequestFingerprint, RequestTermination, TerminatedInstance, TerminationLedger,
};
use wharfquay_core::time::Timestamp;

/// The request that terminates backends.
const CRASHING: RequestFingerprint = RequestFingerprint::new(0);
/// Duration of a run, in milliseconds.
const DURATION: u64 = 60_000;
/// Mean execution time of a look-up, in milliseconds.
const EXECUTION: u64 = 160;
/// Time until a terminated backend is available again, in milliseconds.
const RESTART_TIME: u64 = 3_000;
/// Interval at which the crashing request is sent, in milliseconds.
const CRASHING_INTERVAL: u64 = 250;
/// Time until a decision of an owner is known to all sidecars, in milliseconds (measured on
/// sockets: under 100 ms with nine sidecars).
const DECISION_DELAY: u64 = 100;
/// Attempts per request.
const ATTEMPTS: u32 = 2;
/// Mean number of look-ups in execution at each backend.
const MEAN_IN_EXECUTION: f64 = 15.0;
/// Bytes of a report on one request between sidecars, including datagram, IPv4 and UDP headers.
const REPORT_BYTES: u64 = 100;
/// Bytes that each further request in the same message adds.
const FURTHER_REQUEST_BYTES: u64 = 12;
/// Owners of each request.
const OWNERS: u64 = 4;
/// Messages by which gossip delivers a decision to one sidecar: four peers, three rounds.
const GOSSIP_MESSAGES: u64 = 12;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Strategy {
    /// Nothing is remembered beyond a request's attempts.
    Nothing,
    /// The first sidecar of a request keeps its own count.
    FirstSidecar,
    /// Owners count; suspects are not isolated, and three terminations quarantine.
    OwnersOnly,
    /// Owners count; suspects are isolated, and one termination must happen in isolation.
    OwnersAndIsolation,
    /// As above, but each termination is reported to all sidecars instead of owners.
    AllAndIsolation,
}

#[derive(Clone, Copy, Debug)]
struct Job {
    request: RequestFingerprint,
    completes_at: u64,
    attempts: u32,
    terminations: u8,
    is_isolated: bool,
    /// First sidecar of the request.
    sidecar: usize,
}

#[derive(Debug, Default)]
struct Backend {
    jobs: Vec<Job>,
    waiting: Vec<Job>,
    down_until: u64,
    starts: u64,
}

#[derive(Debug, Default)]
struct Results {
    backend_terminations: u64,
    after_third_termination: u64,
    harmless_refused: u64,
    harmless_quarantined: u64,
    total_bytes: u64,
    most_requests_counted: usize,
}

struct Simulation {
    strategy: Strategy,
    sidecars: u64,
    random: Pcg64Mcg,
    backends: Vec<Backend>,
    ledgers: HashMap<usize, TerminationLedger>,
    /// Decisions and the time from which all sidecars know them.
    known: HashMap<RequestFingerprint, (QuarantineState, u64)>,
    third_termination: Option<u64>,
    results: Results,
}

impl Simulation {
    fn state(&self, now: u64, sidecar: usize, request: RequestFingerprint) -> QuarantineState {
        if self.strategy == Strategy::FirstSidecar {
            let known = self.known.get(&key_at(sidecar, request));
            return known.map_or(QuarantineState::Unsuspected, |(state, _)| *state);
        }
        match self.known.get(&request) {
            Some((state, from)) if *from <= now => *state,
            _ => QuarantineState::Unsuspected,
        }
    }

    fn send(&mut self, now: u64, mut job: Job) {
        let state = self.state(now, job.sidecar, job.request);
        if state == QuarantineState::Quarantined {
            self.results.harmless_refused += u64::from(job.request != CRASHING);
            return;
        }
        let up: Vec<usize> = (0..self.backends.len())
            .filter(|index| self.backends[*index].down_until <= now)
            .collect();
        if up.is_empty() {
            return;
        }
        let index = up[self.random.random_range(0..up.len())];
        let isolates = matches!(
            self.strategy,
            Strategy::OwnersAndIsolation | Strategy::AllAndIsolation
        );
        if isolates && (job.terminations > 0 || state == QuarantineState::Suspect) {
            job.is_isolated = true;
            let backend = &mut self.backends[index];
            if backend.jobs.iter().any(|other| other.is_isolated) {
                backend.waiting.push(job);
                return;
            }
        }
        self.start(now, index, job);
    }

    fn start(&mut self, now: u64, index: usize, mut job: Job) {
        let length = match job.request == CRASHING {
            true => self.random.random_range(30..=115),
            false => self.random.random_range(EXECUTION / 2..=EXECUTION * 3 / 2),
        };
        job.completes_at = now + length;
        if job.request == CRASHING && self.third_termination.is_some_and(|third| now > third) {
            self.results.after_third_termination += 1;
        }
        self.backends[index].jobs.push(job);
    }

    fn step(&mut self, now: u64) {
        for index in 0..self.backends.len() {
            let due = |job: &Job| job.completes_at <= now;
            if self.backends[index]
                .jobs
                .iter()
                .any(|job| due(job) && job.request == CRASHING)
            {
                self.terminate_backend(now, index);
                continue;
            }
            let jobs = std::mem::take(&mut self.backends[index].jobs);
            let (done, running): (Vec<Job>, Vec<Job>) = jobs.into_iter().partition(due);
            self.backends[index].jobs = running;
            let responded = done
                .iter()
                .filter(|job| job.terminations > 0 || job.is_isolated);
            for request in responded.map(|job| job.request).collect::<Vec<_>>() {
                self.known.remove(&request);
                for ledger in self.ledgers.values_mut() {
                    ledger.clear(request);
                }
            }
            let backend = &mut self.backends[index];
            let is_free = !backend.jobs.iter().any(|job| job.is_isolated);
            if is_free && !backend.waiting.is_empty() {
                let next = backend.waiting.remove(0);
                if self.state(now, next.sidecar, next.request) == QuarantineState::Quarantined {
                    self.results.harmless_refused += u64::from(next.request != CRASHING);
                } else {
                    self.start(now, index, next);
                }
            }
        }
    }

    fn terminate_backend(&mut self, now: u64, index: usize) {
        let backend = &mut self.backends[index];
        backend.starts += 1;
        backend.down_until = now + RESTART_TIME;
        let instance = TerminatedInstance::new((index as u64) << 32 | backend.starts);
        let jobs = std::mem::take(&mut backend.jobs);
        let waiting = std::mem::take(&mut backend.waiting);
        self.results.backend_terminations += 1;
        if self.results.backend_terminations == 3 {
            self.third_termination = Some(now);
        }
        for job in &jobs {
            self.count_termination(now, job, instance);
        }
        self.count_bytes(jobs.len() as u64);
        for mut job in jobs {
            job.terminations += 1;
            job.attempts += 1;
            if job.attempts < ATTEMPTS {
                self.send(now, job);
            } else if job.request != CRASHING {
                // Its caller repeats it once.
                let repeated = Job {
                    attempts: 0,
                    terminations: 0,
                    ..job
                };
                if job.attempts == ATTEMPTS {
                    self.send(
                        now,
                        Job {
                            attempts: ATTEMPTS + 1,
                            ..repeated
                        },
                    );
                }
            }
        }
        for job in waiting {
            self.send(now, job);
        }
    }

    fn count_termination(&mut self, now: u64, job: &Job, instance: TerminatedInstance) {
        let at = Timestamp::from_millis(now);
        let (owner, request) = match self.strategy {
            Strategy::Nothing => return,
            Strategy::FirstSidecar => (job.sidecar + 1, key_at(job.sidecar, job.request)),
            _ => (0, job.request),
        };
        let isolates = matches!(
            self.strategy,
            Strategy::OwnersAndIsolation | Strategy::AllAndIsolation
        );
        let termination = RequestTermination {
            fingerprint: request,
            instance,
            was_isolated: job.is_isolated || !isolates,
        };
        let ledger = self.ledgers.entry(owner).or_default();
        let state = ledger.record(at, termination);
        self.results.most_requests_counted = self.results.most_requests_counted.max(ledger.len());
        if state != QuarantineState::Unsuspected {
            let from = self
                .known
                .get(&request)
                .map_or(now + DECISION_DELAY, |(known, from)| {
                    if *known == state {
                        *from
                    } else {
                        now + DECISION_DELAY
                    }
                });
            let is_new = self.known.insert(request, (state, from)) != Some((state, from));
            if is_new && state == QuarantineState::Quarantined && job.request != CRASHING {
                self.results.harmless_quarantined += 1;
            }
            if is_new && self.strategy != Strategy::FirstSidecar {
                self.results.total_bytes += self.sidecars * GOSSIP_MESSAGES * FURTHER_REQUEST_BYTES;
            }
        }
    }

    fn count_bytes(&mut self, requests: u64) {
        let message = REPORT_BYTES + requests * FURTHER_REQUEST_BYTES;
        self.results.total_bytes += match self.strategy {
            Strategy::Nothing | Strategy::FirstSidecar => 0,
            Strategy::OwnersOnly | Strategy::OwnersAndIsolation => requests * OWNERS * REPORT_BYTES,
            Strategy::AllAndIsolation => self.sidecars * GOSSIP_MESSAGES * message,
        };
    }
}

/// Returns the key under which one sidecar alone counts a request.
fn key_at(sidecar: usize, request: RequestFingerprint) -> RequestFingerprint {
    RequestFingerprint::new(request.bits() ^ ((sidecar as u64 + 1) << 40))
}

fn simulate(strategy: Strategy, sidecars: u64, backends: usize, seed: u64) -> Results {
    let mut simulation = Simulation {
        strategy,
        sidecars,
        random: Pcg64Mcg::seed_from_u64(seed),
        backends: (0..backends).map(|_| Backend::default()).collect(),
        ledgers: HashMap::new(),
        known: HashMap::new(),
        third_termination: None,
        results: Results::default(),
    };
    let rate = MEAN_IN_EXECUTION * backends as f64 / EXECUTION as f64;
    let mut next = 1;
    let mut arrivals = 0.0;
    for now in 0..DURATION {
        simulation.step(now);
        arrivals += rate;
        while arrivals >= 1.0 {
            arrivals -= 1.0;
            next += 1;
            let job = new_job(
                RequestFingerprint::new(next),
                sidecars,
                &mut simulation.random,
            );
            simulation.send(now, job);
        }
        if now % CRASHING_INTERVAL == 0 {
            let job = new_job(CRASHING, sidecars, &mut simulation.random);
            simulation.send(now, job);
        }
    }
    simulation.results
}

fn new_job(request: RequestFingerprint, sidecars: u64, random: &mut impl Rng) -> Job {
    Job {
        request,
        completes_at: 0,
        attempts: 0,
        terminations: 0,
        is_isolated: false,
        sidecar: random.random_range(0..sidecars) as usize,
    }
}

/// Returns the time until gossip has reached 99% of the sidecars and all that it reaches, in
/// milliseconds, and the number of messages per sidecar.
fn measure_gossip(sidecars: usize, seed: u64) -> (u64, u64, f64) {
    const FANOUT: usize = 4;
    const ROUNDS: [u64; 3] = [0, 50, 200];
    const LOSS: f64 = 0.03;
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut known_at = vec![u64::MAX; sidecars];
    known_at[..OWNERS as usize].fill(0);
    let mut due: std::collections::BTreeMap<u64, Vec<usize>> = std::collections::BTreeMap::new();
    due.insert(0, (0..OWNERS as usize).collect());
    let mut messages = 0_u64;
    while let Some((now, senders)) = due.pop_first() {
        for _ in senders.iter().flat_map(|_| 0..FANOUT) {
            messages += 1;
            let to = random.random_range(0..sidecars);
            if random.random_bool(LOSS) || known_at[to] <= now {
                continue;
            }
            let arrives = now + random.random_range(1..=8);
            if known_at[to] == u64::MAX {
                for round in ROUNDS {
                    due.entry(arrives + round).or_default().push(to);
                }
            }
            known_at[to] = known_at[to].min(arrives);
        }
        if now == 0 {
            for round in &ROUNDS[1..] {
                due.entry(*round).or_default().extend(0..OWNERS as usize);
            }
        }
    }
    known_at.sort_unstable();
    let last = known_at.iter().rev().find(|at| **at < u64::MAX);
    let missed = known_at.iter().filter(|at| **at == u64::MAX).count();
    assert!(
        missed * 1_000 <= sidecars,
        "{missed} wait for the next digest exchange"
    );
    let most = known_at[sidecars * 99 / 100];
    (most, *last.unwrap_or(&0), messages as f64 / sidecars as f64)
}

fn main() {
    const SEEDS: u64 = 20;
    println!(
        "strategy, sidecars, backends of the service: terminations; arrivals after the third; harmless requests quarantined; harmless requests refused; bytes per sidecar; most requests counted (means of {SEEDS} seeds)"
    );
    for (sidecars, backends) in [(15, 5), (71, 20), (13_000, 141)] {
        for strategy in [
            Strategy::Nothing,
            Strategy::FirstSidecar,
            Strategy::OwnersOnly,
            Strategy::OwnersAndIsolation,
            Strategy::AllAndIsolation,
        ] {
            let runs: Vec<Results> = (0..SEEDS)
                .map(|seed| simulate(strategy, sidecars, backends, seed))
                .collect();
            let mean = |result: fn(&Results) -> u64| {
                runs.iter().map(result).sum::<u64>() as f64 / SEEDS as f64
            };
            println!(
                "{strategy:?}, {sidecars}, {backends}: {:.1}; {:.1}; {:.2}; {:.2}; {:.0}; {:.0}",
                mean(|results| results.backend_terminations),
                mean(|results| results.after_third_termination),
                mean(|results| results.harmless_quarantined),
                mean(|results| results.harmless_refused),
                mean(|results| results.total_bytes) / sidecars as f64,
                mean(|results| results.most_requests_counted as u64),
            );
        }
    }
    println!("gossip, sidecars: 99% know after ms; all that it reaches; messages per sidecar");
    for sidecars in [15, 71, 295, 13_000] {
        let (most, all, messages) = measure_gossip(sidecars, 1);
        println!("{sidecars}: {most}; {all}; {messages:.1}");
    }
}
