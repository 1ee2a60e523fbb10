//! Compares rules for balancing calls over endpoints, one of which may be slow or misreport its
//! load.
//!
//! Usage: `cargo run --release -p wharfquay-core --example routing_balance [SEED]`

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use wharfquay_core::outcome::OutcomeClass;
use wharfquay_core::priority::{AdmissionKey, Priority, Rank};
use wharfquay_core::routing::{
    Endpoint, EndpointId, EndpointState, Observation, Pick, PickRequest, ReportedLoad, Router,
    RouterSettings, Zone,
};
use wharfquay_core::time::Timestamp;

const ENDPOINTS: usize = 8;
const CALLERS: usize = 4;
const SLOTS: usize = 8;
const QUEUE: usize = 16;
const MEAN_SERVICE_MICROS: f64 = 10_000.0;
const SLOW_FACTOR: f64 = 5.0;
/// Arrival rate as a share of the capacity of the healthy endpoints.
const UTILISATION: f64 = 0.75;
const IN_TIME: Duration = Duration::from_millis(100);
const WARM_UP: Duration = Duration::from_secs(5);
const DURATION: Duration = Duration::from_secs(65);

/// Difference of the first endpoint from the others.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    Slow,
    SlowReportsIdle,
    RefusesReportsIdle,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Rule {
    Random,
    LeastReported,
    TwoChoicesReported,
    RouterTrusting,
    Router,
}

struct Server {
    busy: usize,
    queue: VecDeque<usize>,
}

struct Call {
    caller: usize,
    server: usize,
    started: u64,
}

#[derive(Clone, Copy)]
enum Event {
    Arrival,
    Done(usize),
}

struct Caller {
    router: Router,
    reported: [f64; ENDPOINTS],
}

#[derive(Default)]
struct Totals {
    latencies: Vec<u64>,
    refused: u32,
    calls: u32,
    to_first: u32,
}

struct Simulation {
    rng: Pcg64Mcg,
    rule: Rule,
    fault: Fault,
    ids: Vec<EndpointId>,
    servers: Vec<Server>,
    callers: Vec<Caller>,
    calls: Vec<Call>,
    queue: BinaryHeap<Reverse<(u64, usize)>>,
    events: Vec<Event>,
    now: u64,
    totals: Totals,
}

impl Simulation {
    fn new(rule: Rule, fault: Fault, seed: u64) -> Self {
        let ids: Vec<EndpointId> = (0..ENDPOINTS)
            .map(|number| EndpointId::from(format!("endpoint-{number}")))
            .collect();
        let endpoints: Vec<Endpoint> = ids.iter().map(endpoint).collect();
        let settings = RouterSettings {
            distrust_threshold: if rule == Rule::RouterTrusting {
                2.0
            } else {
                0.3
            },
            ..RouterSettings::default()
        };
        let callers = (0..CALLERS).map(|_| {
            let mut router = Router::new(settings.clone(), Zone::from("zone"));
            router.set_endpoints(Timestamp::ZERO, endpoints.clone());
            Caller {
                router,
                reported: [0.0; ENDPOINTS],
            }
        });
        let servers = (0..ENDPOINTS).map(|_| Server {
            busy: 0,
            queue: VecDeque::new(),
        });
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            rule,
            fault,
            callers: callers.collect(),
            servers: servers.collect(),
            ids,
            calls: Vec::new(),
            queue: BinaryHeap::new(),
            events: Vec::new(),
            now: 0,
            totals: Totals::default(),
        }
    }

    fn run(mut self) -> Totals {
        self.schedule(0, Event::Arrival);
        let end = DURATION.as_micros() as u64;
        while let Some(Reverse((at, event))) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            match self.events[event] {
                Event::Arrival => self.arrive(),
                Event::Done(call) => self.complete(call),
            }
        }
        self.totals
    }

    fn schedule(&mut self, after: u64, event: Event) {
        self.queue
            .push(Reverse((self.now + after, self.events.len())));
        self.events.push(event);
    }

    fn exponential(&mut self, mean: f64) -> u64 {
        let uniform: f64 = self.rng.random();
        (-(1.0 - uniform).ln() * mean) as u64
    }

    fn arrive(&mut self) {
        let healthy = if self.fault == Fault::None {
            ENDPOINTS
        } else {
            ENDPOINTS - 1
        };
        let capacity = (healthy * SLOTS) as f64 / MEAN_SERVICE_MICROS;
        let next = self.exponential(1.0 / (capacity * UTILISATION));
        self.schedule(next, Event::Arrival);
        let caller = self.rng.random_range(0..CALLERS);
        let server = self.choose(caller);
        let id = self.ids[server].clone();
        let now = Timestamp::from_micros(self.now);
        self.callers[caller].router.dispatched(now, &id);
        self.calls.push(Call {
            caller,
            server,
            started: self.now,
        });
        if self.is_counted(self.now) {
            self.totals.calls += 1;
            self.totals.to_first += u32::from(server == 0);
        }
        self.offer(self.calls.len() - 1);
    }

    fn choose(&mut self, caller: usize) -> usize {
        let first = self.rng.random_range(0..ENDPOINTS);
        let second = self.rng.random_range(0..ENDPOINTS);
        let reported = &self.callers[caller].reported;
        match self.rule {
            Rule::Random => first,
            Rule::TwoChoicesReported if reported[second] < reported[first] => second,
            Rule::TwoChoicesReported => first,
            Rule::LeastReported => {
                let from_first = (0..ENDPOINTS).map(|step| (first + step) % ENDPOINTS);
                from_first
                    .min_by(|left, right| reported[*left].total_cmp(&reported[*right]))
                    .unwrap_or(first)
            }
            Rule::RouterTrusting | Rule::Router => self.pick_by_router(caller),
        }
    }

    fn pick_by_router(&mut self, caller: usize) -> usize {
        let request = PickRequest {
            key: AdmissionKey::new(Priority::HIGHEST, Rank::from_number(0)),
            excluded: &[],
        };
        let now = Timestamp::from_micros(self.now);
        match self.callers[caller]
            .router
            .pick(now, &mut self.rng, &request)
        {
            Pick::Endpoint(id) => self.ids.iter().position(|known| *known == id).unwrap_or(0),
            Pick::None { .. } => 0,
        }
    }

    fn offer(&mut self, call: usize) {
        let server_index = self.calls[call].server;
        let refuses = self.fault == Fault::RefusesReportsIdle && server_index == 0;
        let server = &mut self.servers[server_index];
        if refuses || server.queue.len() >= QUEUE {
            self.record(call, false);
        } else if server.busy < SLOTS {
            server.busy += 1;
            self.serve(call);
        } else {
            server.queue.push_back(call);
        }
    }

    fn serve(&mut self, call: usize) {
        let slow = matches!(self.fault, Fault::Slow | Fault::SlowReportsIdle);
        let factor = if slow && self.calls[call].server == 0 {
            SLOW_FACTOR
        } else {
            1.0
        };
        let service = self.exponential(MEAN_SERVICE_MICROS * factor);
        self.schedule(service, Event::Done(call));
    }

    fn complete(&mut self, call: usize) {
        let server = &mut self.servers[self.calls[call].server];
        match server.queue.pop_front() {
            Some(next) => self.serve(next),
            None => server.busy -= 1,
        }
        self.record(call, true);
    }

    fn record(&mut self, call: usize, executed: bool) {
        let Call {
            caller,
            server,
            started,
        } = self.calls[call];
        let latency = self.now - started;
        if self.is_counted(started) {
            if executed {
                self.totals.latencies.push(latency);
            } else {
                self.totals.refused += 1;
            }
        }
        let load = self.report(server);
        let caller = &mut self.callers[caller];
        caller.reported[server] = load.utilisation();
        let observation = Observation {
            error_response: false,
            latency: Duration::from_micros(latency),
            outcome: if executed {
                OutcomeClass::Run
            } else {
                OutcomeClass::NotRun
            },
            overloaded: !executed,
            load: Some(load),
            level: None,
        };
        let now = Timestamp::from_micros(self.now);
        caller.router.observe(now, &self.ids[server], observation);
    }

    fn report(&self, server: usize) -> ReportedLoad {
        let misreports = matches!(
            self.fault,
            Fault::SlowReportsIdle | Fault::RefusesReportsIdle
        );
        let server_state = &self.servers[server];
        let (busy, queued) = match misreports && server == 0 {
            true => (0, 0),
            false => (server_state.busy, server_state.queue.len()),
        };
        ReportedLoad {
            in_flight: busy as u32,
            limit: SLOTS as u32,
            queued: queued as u32,
            execution: None,
        }
    }

    fn is_counted(&self, started: u64) -> bool {
        started >= WARM_UP.as_micros() as u64
    }
}

fn endpoint(id: &EndpointId) -> Endpoint {
    Endpoint {
        id: id.clone(),
        zone: Zone::from("zone"),
        incarnation: 1,
        state: EndpointState::Live,
        started_at: None,
        slots: SLOTS as u32,
        connections: 120,
    }
}

fn percentile(sorted: &[u64], share: f64) -> f64 {
    let index = ((sorted.len() as f64 * share) as usize).min(sorted.len().saturating_sub(1));
    sorted
        .get(index)
        .map_or(0.0, |micros| *micros as f64 / 1_000.0)
}

fn main() {
    let seed = std::env::args().nth(1);
    let seed: u64 = seed.and_then(|text| text.parse().ok()).unwrap_or(1);
    let rules = [
        Rule::Random,
        Rule::LeastReported,
        Rule::TwoChoicesReported,
        Rule::RouterTrusting,
        Rule::Router,
    ];
    println!("seed {seed}, {ENDPOINTS} endpoints of {SLOTS} slots, {CALLERS} callers");
    println!(
        "| first endpoint | rule | share of calls to it | in time | refused | p50 ms | p99 ms |"
    );
    println!("|---|---|---|---|---|---|---|");
    for fault in [
        Fault::None,
        Fault::Slow,
        Fault::SlowReportsIdle,
        Fault::RefusesReportsIdle,
    ] {
        for rule in rules {
            let mut totals = Simulation::new(rule, fault, seed).run();
            totals.latencies.sort_unstable();
            let calls = f64::from(totals.calls);
            let limit = IN_TIME.as_micros() as u64;
            let in_time = totals
                .latencies
                .partition_point(|latency| *latency <= limit);
            println!(
                "| {fault:?} | {rule:?} | {:.3} | {:.4} | {:.4} | {:.1} | {:.1} |",
                f64::from(totals.to_first) / calls,
                in_time as f64 / calls,
                f64::from(totals.refused) / calls,
                percentile(&totals.latencies, 0.5),
                percentile(&totals.latencies, 0.99),
            );
        }
    }
}
