//! Weighs ways to keep a request that ends back ends from more of them.
//!
//! A model in steps of a millisecond: back ends of one service execute look-ups that are all different and, among them,
//! one request that ends its back end 30 to 115 ms after its begin and is sent again and again. Prints for each way and
//! size what reaches back ends after the third end, how many innocent requests are refused, and what it costs.
//!
//! `cargo run --release -p wharfquay-core --example quarantine_ways`

use std::collections::HashMap;

use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use wharfquay_core::quarantine::{
    EndLedger, EndedInstance, RequestEnd, RequestFingerprint, Standing,
};
use wharfquay_core::time::Timestamp;

/// The request that ends back ends.
const ENDING: RequestFingerprint = RequestFingerprint::new(0);
/// Length of a run, in milliseconds.
const DURATION: u64 = 60_000;
/// Work of a look-up.
const WORK: u64 = 160;
/// Time until a back end that ended is back.
const DOWN: u64 = 3_000;
/// Pause between two tries of the request.
const ENDING_PAUSE: u64 = 250;
/// Time until a decision of an owner is known to all sidecars (measured on sockets: under 100 ms with nine).
const KNOWN_AFTER: u64 = 100;
/// Attempts of each try.
const ATTEMPTS: u32 = 2;
/// Look-ups in execution at each back end, on average.
const BUSY: f64 = 15.0;
/// Bytes of a report of one request from sidecar to sidecar: datagram, IPv4 and UDP headers included.
const BYTES_OF_REPORT: u64 = 100;
/// Bytes that each further request of the same message adds.
const BYTES_OF_FURTHER: u64 = 12;
/// Owners of each request.
const OWNERS: u64 = 4;
/// Messages by which gossip brings a decision to one sidecar: four peers, three rounds.
const GOSSIPED: u64 = 12;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// Nothing is remembered beyond a try.
    Nothing,
    /// The first sidecar of a try counts for itself.
    FirstSidecar,
    /// Owners count; no turns, three ends quarantine.
    OwnersOnly,
    /// Owners count; suspects take turns, and one end has to be in isolation.
    OwnersAndTurns,
    /// As above, and each end is told to all sidecars in place of owners.
    AllAndTurns,
}

#[derive(Clone, Copy, Debug)]
struct Job {
    request: RequestFingerprint,
    ends_at: u64,
    attempts: u32,
    ended: u8,
    is_isolated: bool,
    /// Its first sidecar.
    sidecar: usize,
}

#[derive(Debug, Default)]
struct BackEnd {
    jobs: Vec<Job>,
    waiting: Vec<Job>,
    down_until: u64,
    lives: u64,
}

#[derive(Debug, Default)]
struct Figures {
    ends: u64,
    after_third: u64,
    innocent_refused: u64,
    innocent_quarantined: u64,
    bytes_in_all: u64,
    most_counted: usize,
}

struct World {
    way: Way,
    sidecars: u64,
    random: Pcg64Mcg,
    back_ends: Vec<BackEnd>,
    ledgers: HashMap<usize, EndLedger>,
    /// Decisions and when all know them.
    known: HashMap<RequestFingerprint, (Standing, u64)>,
    third_end: Option<u64>,
    figures: Figures,
}

impl World {
    fn standing(&self, now: u64, sidecar: usize, request: RequestFingerprint) -> Standing {
        if self.way == Way::FirstSidecar {
            let known = self.known.get(&key_at(sidecar, request));
            return known.map_or(Standing::Unsuspected, |(standing, _)| *standing);
        }
        match self.known.get(&request) {
            Some((standing, from)) if *from <= now => *standing,
            _ => Standing::Unsuspected,
        }
    }

    fn send(&mut self, now: u64, mut job: Job) {
        let standing = self.standing(now, job.sidecar, job.request);
        if standing == Standing::Quarantined {
            self.figures.innocent_refused += u64::from(job.request != ENDING);
            return;
        }
        let up: Vec<usize> = (0..self.back_ends.len())
            .filter(|index| self.back_ends[*index].down_until <= now)
            .collect();
        if up.is_empty() {
            return;
        }
        let index = up[self.random.random_range(0..up.len())];
        let takes_turns = matches!(self.way, Way::OwnersAndTurns | Way::AllAndTurns);
        if takes_turns && (job.ended > 0 || standing == Standing::Suspect) {
            job.is_isolated = true;
            let back_end = &mut self.back_ends[index];
            if back_end.jobs.iter().any(|other| other.is_isolated) {
                back_end.waiting.push(job);
                return;
            }
        }
        self.begin(now, index, job);
    }

    fn begin(&mut self, now: u64, index: usize, mut job: Job) {
        let length = match job.request == ENDING {
            true => self.random.random_range(30..=115),
            false => self.random.random_range(WORK / 2..=WORK * 3 / 2),
        };
        job.ends_at = now + length;
        if job.request == ENDING && self.third_end.is_some_and(|third| now > third) {
            self.figures.after_third += 1;
        }
        self.back_ends[index].jobs.push(job);
    }

    fn step(&mut self, now: u64) {
        for index in 0..self.back_ends.len() {
            let due = |job: &Job| job.ends_at <= now;
            if self.back_ends[index]
                .jobs
                .iter()
                .any(|job| due(job) && job.request == ENDING)
            {
                self.end_back_end(now, index);
                continue;
            }
            let jobs = std::mem::take(&mut self.back_ends[index].jobs);
            let (done, running): (Vec<Job>, Vec<Job>) = jobs.into_iter().partition(due);
            self.back_ends[index].jobs = running;
            let answered = done.iter().filter(|job| job.ended > 0 || job.is_isolated);
            for request in answered.map(|job| job.request).collect::<Vec<_>>() {
                self.known.remove(&request);
                for ledger in self.ledgers.values_mut() {
                    ledger.answered(request);
                }
            }
            let back_end = &mut self.back_ends[index];
            let is_free = !back_end.jobs.iter().any(|job| job.is_isolated);
            if is_free && !back_end.waiting.is_empty() {
                let next = back_end.waiting.remove(0);
                if self.standing(now, next.sidecar, next.request) == Standing::Quarantined {
                    self.figures.innocent_refused += u64::from(next.request != ENDING);
                } else {
                    self.begin(now, index, next);
                }
            }
        }
    }

    fn end_back_end(&mut self, now: u64, index: usize) {
        let back_end = &mut self.back_ends[index];
        back_end.lives += 1;
        back_end.down_until = now + DOWN;
        let instance = EndedInstance::new((index as u64) << 32 | back_end.lives);
        let jobs = std::mem::take(&mut back_end.jobs);
        let waiting = std::mem::take(&mut back_end.waiting);
        self.figures.ends += 1;
        if self.figures.ends == 3 {
            self.third_end = Some(now);
        }
        for job in &jobs {
            self.count_end(now, job, instance);
        }
        self.count_bytes(jobs.len() as u64);
        for mut job in jobs {
            job.ended += 1;
            job.attempts += 1;
            if job.attempts < ATTEMPTS {
                self.send(now, job);
            } else if job.request != ENDING {
                // Its caller sends it again, once.
                let again = Job {
                    attempts: 0,
                    ended: 0,
                    ..job
                };
                if job.attempts == ATTEMPTS {
                    self.send(
                        now,
                        Job {
                            attempts: ATTEMPTS + 1,
                            ..again
                        },
                    );
                }
            }
        }
        for job in waiting {
            self.send(now, job);
        }
    }

    fn count_end(&mut self, now: u64, job: &Job, instance: EndedInstance) {
        let at = Timestamp::from_millis(now);
        let (owner, request) = match self.way {
            Way::Nothing => return,
            Way::FirstSidecar => (job.sidecar + 1, key_at(job.sidecar, job.request)),
            _ => (0, job.request),
        };
        let has_turns = matches!(self.way, Way::OwnersAndTurns | Way::AllAndTurns);
        let end = RequestEnd {
            fingerprint: request,
            instance,
            was_isolated: job.is_isolated || !has_turns,
        };
        let ledger = self.ledgers.entry(owner).or_default();
        let standing = ledger.note(at, end);
        self.figures.most_counted = self.figures.most_counted.max(ledger.len());
        if standing != Standing::Unsuspected {
            let from = self
                .known
                .get(&request)
                .map_or(now + KNOWN_AFTER, |(known, from)| {
                    if *known == standing {
                        *from
                    } else {
                        now + KNOWN_AFTER
                    }
                });
            let is_new = self.known.insert(request, (standing, from)) != Some((standing, from));
            if is_new && standing == Standing::Quarantined && job.request != ENDING {
                self.figures.innocent_quarantined += 1;
            }
            if is_new && self.way != Way::FirstSidecar {
                self.figures.bytes_in_all += self.sidecars * GOSSIPED * BYTES_OF_FURTHER;
            }
        }
    }

    fn count_bytes(&mut self, requests: u64) {
        let message = BYTES_OF_REPORT + requests * BYTES_OF_FURTHER;
        self.figures.bytes_in_all += match self.way {
            Way::Nothing | Way::FirstSidecar => 0,
            Way::OwnersOnly | Way::OwnersAndTurns => requests * OWNERS * BYTES_OF_REPORT,
            Way::AllAndTurns => self.sidecars * GOSSIPED * message,
        };
    }
}

/// A request as one sidecar alone counts it.
fn key_at(sidecar: usize, request: RequestFingerprint) -> RequestFingerprint {
    RequestFingerprint::new(request.bits() ^ ((sidecar as u64 + 1) << 40))
}

fn play(way: Way, sidecars: u64, back_ends: usize, seed: u64) -> Figures {
    let mut world = World {
        way,
        sidecars,
        random: Pcg64Mcg::seed_from_u64(seed),
        back_ends: (0..back_ends).map(|_| BackEnd::default()).collect(),
        ledgers: HashMap::new(),
        known: HashMap::new(),
        third_end: None,
        figures: Figures::default(),
    };
    let rate = BUSY * back_ends as f64 / WORK as f64;
    let mut next = 1;
    let mut arrivals = 0.0;
    for now in 0..DURATION {
        world.step(now);
        arrivals += rate;
        while arrivals >= 1.0 {
            arrivals -= 1.0;
            next += 1;
            let job = new_job(RequestFingerprint::new(next), sidecars, &mut world.random);
            world.send(now, job);
        }
        if now % ENDING_PAUSE == 0 {
            let job = new_job(ENDING, sidecars, &mut world.random);
            world.send(now, job);
        }
    }
    world.figures
}

fn new_job(request: RequestFingerprint, sidecars: u64, random: &mut impl Rng) -> Job {
    Job {
        request,
        ends_at: 0,
        attempts: 0,
        ended: 0,
        is_isolated: false,
        sidecar: random.random_range(0..sidecars) as usize,
    }
}

/// Time until gossip has reached all sidecars and 99% of them, in milliseconds, and messages for each.
fn spread(sidecars: usize, seed: u64) -> (u64, u64, f64) {
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
        "{missed} wait for the next question"
    );
    let most = known_at[sidecars * 99 / 100];
    (most, *last.unwrap_or(&0), messages as f64 / sidecars as f64)
}

fn main() {
    const SEEDS: u64 = 20;
    println!(
        "way, sidecars, back ends of the service: ends; arrivals after the third; innocent requests quarantined; refused for it; bytes a sidecar; requests counted at most (means of {SEEDS} seeds)"
    );
    for (sidecars, back_ends) in [(15, 5), (71, 20), (13_000, 141)] {
        for way in [
            Way::Nothing,
            Way::FirstSidecar,
            Way::OwnersOnly,
            Way::OwnersAndTurns,
            Way::AllAndTurns,
        ] {
            let plays: Vec<Figures> = (0..SEEDS)
                .map(|seed| play(way, sidecars, back_ends, seed))
                .collect();
            let mean = |figure: fn(&Figures) -> u64| {
                plays.iter().map(figure).sum::<u64>() as f64 / SEEDS as f64
            };
            println!(
                "{way:?}, {sidecars}, {back_ends}: {:.1}; {:.1}; {:.2}; {:.2}; {:.0}; {:.0}",
                mean(|figures| figures.ends),
                mean(|figures| figures.after_third),
                mean(|figures| figures.innocent_quarantined),
                mean(|figures| figures.innocent_refused),
                mean(|figures| figures.bytes_in_all) / sidecars as f64,
                mean(|figures| figures.most_counted as u64),
            );
        }
    }
    println!("gossip, sidecars: 99% know after ms; all that it reaches; messages a sidecar");
    for sidecars in [15, 71, 295, 13_000] {
        let (most, all, messages) = spread(sidecars, 1);
        println!("{sidecars}: {most}; {all}; {messages:.1}");
    }
}
