//! An admission gate at the end of call trees, behind edges that apply its level with a delay.
//! Trees that an edge admits must complete, and requests sent directly to the gate must get their
//! share.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use wharfquay_core::admission::{
    AdmissionController, AdmissionEffect, AdmissionSettings, CallTicket, Completion, OfferedCall,
    RequestProgress,
};
use wharfquay_core::call::OriginId;
use wharfquay_core::outcome::ResultCode;
use wharfquay_core::priority::{AdmissionKey, AdmissionLevel, Priority, Rank};
use wharfquay_core::time::Timestamp;

const SLOTS: u32 = 18;
/// Execution time of a call, in milliseconds.
const EXECUTION: u64 = 22;
/// Sequential calls of a tree at the gate.
const CALLS: u8 = 4;
/// Time between the edge's decision and the first call at the gate, in milliseconds.
const UPSTREAM_DELAY: u64 = 200;
/// Age of the level that the edges apply, in milliseconds.
const LEVEL_AGE: u64 = 60;
/// Simulated time, and the initial part that is not evaluated, in milliseconds.
const DURATION: u64 = 20_000;
const WARM_UP: u64 = 3_000;
const MAX_WAIT_IN_PROGRESS: Duration = Duration::from_millis(400);
const MAX_WAIT_NEW: Duration = Duration::from_millis(100);

/// A request in flight.
#[derive(Clone, Copy)]
struct Request {
    key: AdmissionKey,
    admitted_below: AdmissionLevel,
    calls_left: u8,
    is_tree: bool,
    is_counted: bool,
}

#[derive(Default)]
struct Counts {
    offered: u32,
    admitted: u32,
    served: u32,
}

struct Simulation {
    gate: AdmissionController,
    requests: BTreeMap<u64, Request>,
    running: VecDeque<(u64, u64)>,
    arriving: VecDeque<(u64, u64)>,
    levels: VecDeque<AdmissionLevel>,
    trees: Counts,
    direct: Counts,
}

impl Simulation {
    fn new() -> Self {
        let settings = AdmissionSettings {
            initial_limit: SLOTS,
            maximum_limit: SLOTS,
            queue_capacity: SLOTS as usize * 4,
            ..AdmissionSettings::default()
        };
        Self {
            gate: AdmissionController::new(settings, Timestamp::ZERO),
            requests: BTreeMap::new(),
            running: VecDeque::new(),
            arriving: VecDeque::new(),
            levels: VecDeque::new(),
            trees: Counts::default(),
            direct: Counts::default(),
        }
    }

    fn counts(&mut self, is_tree: bool) -> &mut Counts {
        if is_tree {
            &mut self.trees
        } else {
            &mut self.direct
        }
    }

    /// Decides on a request that arrives at an edge.
    fn arrive(&mut self, now: u64, number: u64, is_tree: bool) {
        let rank = Rank::of(OriginId::from_u128(u128::from(number) << 17));
        let key = AdmissionKey::new(Priority::new(2).unwrap(), rank);
        let edge_level = self.levels.front().copied().unwrap_or(AdmissionLevel::OPEN);
        let is_counted = now >= WARM_UP;
        self.counts(is_tree).offered += u32::from(is_counted);
        if !edge_level.admits(key) {
            return;
        }
        self.counts(is_tree).admitted += u32::from(is_counted);
        let request = Request {
            key,
            admitted_below: edge_level,
            calls_left: if is_tree { CALLS } else { 1 },
            is_tree,
            is_counted,
        };
        self.requests.insert(number, request);
        let delay = if is_tree { UPSTREAM_DELAY } else { 1 };
        self.arriving.push_back((now + delay, number));
    }

    fn call(&mut self, now: u64, number: u64) {
        let request = self.requests[&number];
        let (progress, max_wait) = if request.is_tree {
            (RequestProgress::InProgress, MAX_WAIT_IN_PROGRESS)
        } else {
            (RequestProgress::New, MAX_WAIT_NEW)
        };
        let call = OfferedCall {
            ticket: CallTicket(number * 8 + u64::from(request.calls_left)),
            key: request.key,
            deadline: Timestamp::from_millis(now + 700),
            progress,
            admitted_below: request.admitted_below,
        };
        let at = Timestamp::from_millis(now);
        let effects = self.gate.offer_within(at, call, max_wait);
        self.apply_effects(now, effects);
    }

    fn apply_effects(&mut self, now: u64, effects: Vec<AdmissionEffect>) {
        for effect in effects {
            match effect {
                AdmissionEffect::Dispatch(ticket) => {
                    self.running.push_back((now + EXECUTION, ticket.0))
                }
                AdmissionEffect::Refuse { ticket, code, .. } => {
                    assert_ne!(code, ResultCode::Draining);
                    self.requests.remove(&(ticket.0 / 8));
                }
            }
        }
    }

    fn complete_executions(&mut self, now: u64) {
        while let Some(&(end, ticket)) = self.running.front()
            && end <= now
        {
            self.running.pop_front();
            let at = Timestamp::from_millis(now);
            let effects = self
                .gate
                .complete(at, CallTicket(ticket), Completion::Succeeded);
            self.apply_effects(now, effects);
            self.complete_call(now, ticket / 8);
        }
    }

    fn complete_call(&mut self, now: u64, number: u64) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        request.calls_left -= 1;
        if request.calls_left > 0 {
            self.arriving.push_back((now + 1, number));
            return;
        }
        let request = *request;
        self.requests.remove(&number);
        self.counts(request.is_tree).served += u32::from(request.is_counted);
    }

    fn step(&mut self, now: u64) {
        self.complete_executions(now);
        let effects = self.gate.advance(Timestamp::from_millis(now));
        self.apply_effects(now, effects);
        let due: Vec<u64> = self
            .arriving
            .iter()
            .filter(|(at, _)| *at <= now)
            .map(|(_, number)| *number)
            .collect();
        self.arriving.retain(|(at, _)| *at > now);
        for number in due {
            self.call(now, number);
        }
        self.levels.push_back(self.gate.level());
        if self.levels.len() > LEVEL_AGE as usize {
            self.levels.pop_front();
        }
    }
}

/// Simulates trees that request `overload` times the capacity of the gate, and a tenth as many
/// direct requests.
fn simulate(overload: f64) -> Simulation {
    let mut simulation = Simulation::new();
    let capacity = f64::from(SLOTS) / EXECUTION as f64 / f64::from(CALLS);
    let (mut due, mut number) = (0.0, 0);
    for now in 0..DURATION {
        simulation.step(now);
        due += capacity * overload;
        while due >= 1.0 {
            due -= 1.0;
            number += 1;
            simulation.arrive(now, number, true);
            if number % 10 == 0 {
                simulation.arrive(now, 10_000_000 + number, false);
            }
        }
    }
    simulation
}

#[test]
fn trees_admitted_by_an_edge_are_served_under_sustained_overload() {
    for overload in [1.5, 2.0, 3.0, 6.0] {
        let simulation = simulate(overload);
        let trees = &simulation.trees;
        let wasted = 1.0 - f64::from(trees.served) / f64::from(trees.admitted);
        assert!(
            wasted < 0.25,
            "overload {overload}: {wasted:.2} of the admitted trees fail"
        );
        let possible = f64::from(trees.offered) / overload;
        let used = f64::from(trees.served) / possible;
        assert!(
            used > 0.9,
            "overload {overload}: {used:.2} of the capacity serves trees"
        );
    }
}

#[test]
fn direct_requests_get_a_fair_share_beside_trees() {
    for overload in [1.5, 2.0, 3.0] {
        let simulation = simulate(overload);
        let share = |counts: &Counts| f64::from(counts.served) / f64::from(counts.offered);
        let (trees, direct) = (share(&simulation.trees), share(&simulation.direct));
        assert!(
            direct > trees * 0.5,
            "overload {overload}: {direct:.2} of the direct requests beside {trees:.2} of the trees"
        );
    }
}
