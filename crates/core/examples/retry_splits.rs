//! Compares the rules by which a ledger divides its allowance, over call trees with faults.
//!
//! Usage: `cargo run --release -p wharfquay-core --example retry_splits [SEED]`

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use wharfquay_core::call::{Repeatability, RetryAllowance};
use wharfquay_core::outcome::ResultCode;
use wharfquay_core::retry::{
    AllowanceSplit, FailureLocation, Grant, Ledger, RetryDecision, RetryInput, decide,
};
use wharfquay_core::time::Timestamp;

const REQUESTS: u32 = 5_000;
const MEAN_WORK_MICROS: u64 = 10_000;
const REFUSAL_MICROS: u64 = 1_000;

/// Child calls that a call makes.
#[derive(Clone, Default)]
struct Plan {
    children: Vec<Plan>,
    concurrent: bool,
}

impl Plan {
    fn sequential(children: Vec<Plan>) -> Self {
        Self {
            children,
            concurrent: false,
        }
    }

    fn concurrent(children: Vec<Plan>) -> Self {
        Self {
            children,
            concurrent: true,
        }
    }

    fn chain(depth: u32) -> Self {
        (0..depth).fold(Self::default(), |below, _| Self::sequential(vec![below]))
    }
}

/// Number of concurrent children that a hop passes to its ledger.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Hint {
    /// Exactly those that have not yet received a grant.
    Exact,
    /// The number of services that it calls, as declared in its resource, whether sequentially or
    /// concurrently.
    Declared,
    /// Always one.
    One,
    /// Always two.
    Two,
}

/// Fault probabilities per attempt.
#[derive(Clone, Copy)]
struct Faults {
    /// Refused before execution.
    refused: f64,
    /// The connection is lost, in half of the cases before the subtree runs and in the other half
    /// after.
    lost: f64,
}

struct Call<'plan> {
    parent: Option<ReplyTarget>,
    plan: &'plan Plan,
    ledger: Ledger,
    next_child: usize,
    running: usize,
    failed: bool,
    response_lost: bool,
}

/// Caller, child index and grant of an attempt, to which its response is delivered.
#[derive(Clone, Copy)]
struct ReplyTarget {
    caller: usize,
    child: usize,
    grant: Grant,
}

enum Event {
    WorkDone(usize),
    Response {
        target: ReplyTarget,
        returned: RetryAllowance,
        code: ResultCode,
        failed: bool,
    },
    Lost(ReplyTarget),
}

#[derive(Clone, Copy, Default)]
struct Totals {
    succeeded: u32,
    most_retries: u32,
}

/// Parameters of one row of the table.
#[derive(Clone, Copy)]
struct Rules {
    allowance: u16,
    split: AllowanceSplit,
    hint: Hint,
    faults: Faults,
}

/// One originating request.
struct Request<'plan, 'rng> {
    rng: &'rng mut Pcg64Mcg,
    rules: Rules,
    calls: Vec<Call<'plan>>,
    events: Vec<Event>,
    queue: BinaryHeap<Reverse<(u64, usize)>>,
    now: u64,
    retries: u32,
    succeeded: bool,
}

impl<'plan, 'rng> Request<'plan, 'rng> {
    fn run(plan: &'plan Plan, rules: Rules, rng: &'rng mut Pcg64Mcg) -> Self {
        let mut request = Self {
            rng,
            rules,
            calls: Vec::new(),
            events: Vec::new(),
            queue: BinaryHeap::new(),
            now: 0,
            retries: 0,
            succeeded: false,
        };
        request.start(None, plan, RetryAllowance::new(rules.allowance), false);
        while let Some(Reverse((at, event))) = request.queue.pop() {
            request.now = at;
            request.handle(event);
        }
        request
    }

    fn schedule(&mut self, after: u64, event: Event) {
        self.queue
            .push(Reverse((self.now + after, self.events.len())));
        self.events.push(event);
    }

    fn start(
        &mut self,
        parent: Option<ReplyTarget>,
        plan: &'plan Plan,
        allowance: RetryAllowance,
        response_lost: bool,
    ) {
        self.calls.push(Call {
            parent,
            plan,
            ledger: Ledger::with_split(allowance, self.rules.split),
            next_child: 0,
            running: 0,
            failed: false,
            response_lost,
        });
        let work = self.rng.random_range(0..=2 * MEAN_WORK_MICROS);
        self.schedule(work, Event::WorkDone(self.calls.len() - 1));
    }

    fn handle(&mut self, event: usize) {
        match self.events[event] {
            Event::WorkDone(call) => self.advance(call),
            Event::Response {
                target,
                returned,
                code,
                failed,
            } => {
                self.calls[target.caller]
                    .ledger
                    .settle(target.grant, returned);
                self.child_completed(target, code, failed);
            }
            Event::Lost(target) => {
                self.calls[target.caller].ledger.settle_lost(target.grant);
                self.child_completed(target, ResultCode::ConnectionLost, true);
            }
        }
    }

    fn child_completed(&mut self, target: ReplyTarget, code: ResultCode, failed: bool) {
        let call = &mut self.calls[target.caller];
        call.running -= 1;
        if failed && self.may_retry(target.caller, code) {
            self.retries += 1;
            self.attempt(target.caller, target.child);
            return;
        }
        self.calls[target.caller].failed |= failed;
        self.advance(target.caller);
    }

    fn may_retry(&mut self, caller: usize, code: ResultCode) -> bool {
        let ledger = &mut self.calls[caller].ledger;
        let input = RetryInput {
            now: Timestamp::ZERO,
            deadline: Timestamp::from_millis(1),
            code,
            location: FailureLocation::ThisHop,
            repeatability: Repeatability::Repeatable,
            sibling_available: true,
            allowance: ledger.remaining(),
            budget_available: true,
            backoff: Duration::ZERO,
            expected_latency: Duration::ZERO,
        };
        matches!(decide(&input), RetryDecision::Retry { .. }) && ledger.try_spend_retry()
    }

    /// Starts the next children, or responds if nothing is left to do.
    fn advance(&mut self, index: usize) {
        loop {
            let call = &self.calls[index];
            let more = call.next_child < call.plan.children.len() && !call.failed;
            if !more || (call.running > 0 && !call.plan.concurrent) {
                break;
            }
            let child = call.next_child;
            self.calls[index].next_child += 1;
            self.attempt(index, child);
        }
        if self.calls[index].running == 0 {
            self.respond(index);
        }
    }

    fn attempt(&mut self, caller: usize, child: usize) {
        let call = &mut self.calls[caller];
        let remaining_children = call.plan.children.len() - call.next_child;
        let hint = match self.rules.hint {
            Hint::Exact if call.plan.concurrent => remaining_children + 1,
            Hint::Declared => call.plan.children.len(),
            Hint::Two => 2,
            Hint::Exact | Hint::One => 1,
        };
        let grant = call.ledger.grant(hint);
        call.running += 1;
        let plan = &call.plan.children[child];
        let target = ReplyTarget {
            caller,
            child,
            grant,
        };
        if self.rng.random::<f64>() < self.rules.faults.refused {
            let refusal = Event::Response {
                target,
                returned: grant.allowance(),
                code: ResultCode::RefusedByLevel,
                failed: true,
            };
            self.schedule(REFUSAL_MICROS, refusal);
            return;
        }
        let lost = self.rng.random::<f64>() < self.rules.faults.lost;
        if lost && self.rng.random::<bool>() {
            self.schedule(MEAN_WORK_MICROS, Event::Lost(target));
            return;
        }
        self.start(Some(target), plan, grant.allowance(), lost);
    }

    fn respond(&mut self, index: usize) {
        let call = &mut self.calls[index];
        let returned = call.ledger.close();
        let failed = call.failed;
        let Some(target) = call.parent else {
            self.succeeded = !failed;
            return;
        };
        if call.response_lost {
            self.schedule(0, Event::Lost(target));
            return;
        }
        let response = Event::Response {
            target,
            returned,
            code: ResultCode::Answered,
            failed,
        };
        self.schedule(0, response);
    }
}

fn measure(plan: &Plan, rules: Rules, seed: u64) -> Totals {
    let mut totals = Totals::default();
    for number in 0..REQUESTS {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ (u64::from(number) << 20));
        let request = Request::run(plan, rules, &mut rng);
        totals.succeeded += u32::from(request.succeeded);
        totals.most_retries = totals.most_retries.max(request.retries);
    }
    totals
}

/// Prints one row: the share of successful requests for each split.
fn print_row(name: &str, plan: &Plan, rules: Rules, seed: u64) {
    let mut most_retries = 0;
    print!("| {name} | {} | {:?} |", rules.allowance, rules.hint);
    for split in AllowanceSplit::ALL {
        let totals = measure(plan, Rules { split, ..rules }, seed);
        print!(
            " {:.4} |",
            f64::from(totals.succeeded) / f64::from(REQUESTS)
        );
        most_retries = most_retries.max(totals.most_retries);
    }
    println!(" {most_retries} |");
}

fn main() {
    let seed = std::env::args().nth(1);
    let seed: u64 = seed.and_then(|text| text.parse().ok()).unwrap_or(1);
    let leaf = Plan::default;
    let eligibility = || Plan::sequential(vec![leaf()]);
    let pair = || Plan::sequential(vec![leaf(), leaf()]);
    let shapes = [
        (
            "booking",
            Plan::sequential(vec![leaf(), eligibility(), leaf()]),
        ),
        (
            "export, concurrent",
            Plan::concurrent(vec![leaf(), eligibility()]),
        ),
        ("chain of 6", Plan::chain(6)),
        ("chain of 18", Plan::chain(18)),
        ("6 concurrent", Plan::concurrent(vec![pair(); 6])),
    ];
    let faults = [
        (
            "5% refused",
            Faults {
                refused: 0.05,
                lost: 0.0,
            },
        ),
        (
            "3% lost",
            Faults {
                refused: 0.0,
                lost: 0.03,
            },
        ),
        (
            "5% refused, 1% lost",
            Faults {
                refused: 0.05,
                lost: 0.01,
            },
        ),
        (
            "25% refused",
            Faults {
                refused: 0.25,
                lost: 0.0,
            },
        ),
    ];
    let splits: Vec<String> = AllowanceSplit::ALL.map(|split| format!("{split:?}")).into();
    println!("seed {seed}, {REQUESTS} requests a cell, share of requests with a complete response");
    println!(
        "| call tree, faults | R | hint | {} | most retries |",
        splits.join(" | ")
    );
    println!("|---|---|---|{}---|", "---|".repeat(splits.len()));
    for (shape, plan) in &shapes {
        for (fault, faults) in faults {
            for allowance in [3, 8] {
                for hint in [Hint::Exact, Hint::Declared, Hint::One, Hint::Two] {
                    let split = AllowanceSplit::default();
                    let rules = Rules {
                        allowance,
                        split,
                        hint,
                        faults,
                    };
                    print_row(&format!("{shape}, {fault}"), plan, rules, seed);
                }
            }
        }
    }
}
