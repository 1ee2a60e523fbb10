//! A tree of calls whose attempts, responses, losses and crashes happen in any order.

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use wharfquay_core::call::{Repeatability, RetryAllowance};
use wharfquay_core::outcome::ResultCode;
use wharfquay_core::retry::{
    AllowanceSplit, BudgetSettings, DestinationBudget, FailureLocation, Grant, Ledger,
    RetryDecision, RetryInput, authorize,
};
use wharfquay_core::time::Timestamp;

/// Steps after which a run is aborted; a tree that is still running then is a fault.
const MAX_STEPS: usize = 20_000;

/// Shape and faults of one tree.
#[derive(Clone, Debug)]
pub(crate) struct TreeSettings {
    pub(crate) allowance: u16,
    pub(crate) split: AllowanceSplit,
    pub(crate) depth: usize,
    pub(crate) fan_out: usize,
    /// Percentage of attempts that are refused before execution.
    pub(crate) refused: u32,
    /// Percentage of responses that are lost, although the attempt was executed.
    pub(crate) lost: u32,
    /// Percentage of responses that are delivered twice.
    pub(crate) duplicated: u32,
    /// Percentage of scheduler steps in which a running call crashes without a response.
    pub(crate) crashed: u32,
    /// Percentage of scheduler steps in which a caller stops waiting for an attempt that still
    /// runs.
    pub(crate) timed_out: u32,
}

/// Results of one run of a tree.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct TreeReport {
    pub(crate) attempts: usize,
    pub(crate) retries: usize,
    /// Maximum number of units that existed at any time: spent on retries, held by ledgers or in
    /// flight in responses.
    pub(crate) most_units: usize,
}

struct Call {
    parent: Option<(usize, Grant)>,
    ledger: Ledger,
    height: usize,
    children_to_start: usize,
    waiting: Vec<Grant>,
    running: bool,
}

struct Response {
    to: usize,
    grant: Grant,
    returned: RetryAllowance,
    code: ResultCode,
}

/// The tree with every call that was ever made and every response in flight.
pub(crate) struct CallTree {
    settings: TreeSettings,
    rng: Pcg64Mcg,
    budget: DestinationBudget,
    calls: Vec<Call>,
    responses: Vec<Response>,
    report: TreeReport,
}

impl CallTree {
    pub(crate) fn new(settings: TreeSettings, rng: Pcg64Mcg) -> Self {
        let unlimited = BudgetSettings {
            ratio: 1.0,
            floor_per_second: 1e6,
            capacity: 1_000_000,
        };
        let budget = DestinationBudget::with_settings(unlimited, Timestamp::ZERO);
        let allowance = RetryAllowance::new(settings.allowance);
        let mut tree = Self {
            rng,
            budget,
            calls: Vec::new(),
            responses: Vec::new(),
            report: TreeReport::default(),
            settings,
        };
        let height = tree.settings.depth;
        tree.start_call(None, allowance, height);
        tree
    }

    /// Runs the tree until no call runs and no response is in flight.
    pub(crate) fn run(mut self) -> TreeReport {
        for _ in 0..MAX_STEPS {
            self.check_units();
            if !self.step() {
                return self.report;
            }
        }
        panic!("still running after {MAX_STEPS} steps: {:?}", self.report);
    }

    fn step(&mut self) -> bool {
        let running: Vec<usize> = self.indexes(|call| call.running);
        if running.is_empty() && self.responses.is_empty() {
            return false;
        }
        if self.happens(self.settings.crashed) && !running.is_empty() {
            let crashed = self.one_of(&running);
            self.crash(crashed);
            return true;
        }
        let waiting: Vec<usize> = self.indexes(|call| call.running && !call.waiting.is_empty());
        if self.happens(self.settings.timed_out) && !waiting.is_empty() {
            let caller = self.one_of(&waiting);
            self.time_out(caller);
            return true;
        }
        let deliver = !self.responses.is_empty() && (running.is_empty() || self.happens(50));
        if deliver {
            let chosen = self.rng.random_range(0..self.responses.len());
            let response = self.responses.swap_remove(chosen);
            self.deliver(response);
            return true;
        }
        let call = self.one_of(&running);
        self.advance(call);
        true
    }

    /// Starts a child, finishes the call, or waits for children.
    fn advance(&mut self, index: usize) {
        let call = &self.calls[index];
        if call.children_to_start > 0 {
            self.calls[index].children_to_start -= 1;
            self.attempt_child(index);
            return;
        }
        if call.waiting.is_empty() {
            self.finish(index);
            return;
        }
        if self.responses.is_empty() && !self.progress_possible() {
            self.time_out(index);
        }
    }

    /// Returns true if some call can make progress without a response that will never arrive.
    fn progress_possible(&self) -> bool {
        let can_act = |call: &Call| call.children_to_start > 0 || call.waiting.is_empty();
        self.calls.iter().any(|call| call.running && can_act(call))
    }

    fn attempt_child(&mut self, caller: usize) {
        let call = &mut self.calls[caller];
        let grant = call.ledger.grant(call.children_to_start + 1);
        call.waiting.push(grant);
        let height = call.height - 1;
        if self.happens(self.settings.refused) {
            self.report.attempts += 1;
            self.send(Response {
                to: caller,
                grant,
                returned: grant.allowance(),
                code: ResultCode::RefusedByLevel,
            });
            return;
        }
        self.start_call(Some((caller, grant)), grant.allowance(), height);
    }

    fn start_call(
        &mut self,
        parent: Option<(usize, Grant)>,
        allowance: RetryAllowance,
        height: usize,
    ) {
        self.report.attempts += 1;
        let children = match height {
            0 => 0,
            _ => self.rng.random_range(1..=self.settings.fan_out),
        };
        self.calls.push(Call {
            parent,
            ledger: Ledger::with_split(allowance, self.settings.split),
            height,
            children_to_start: children,
            waiting: Vec::new(),
            running: true,
        });
    }

    fn finish(&mut self, index: usize) {
        let call = &mut self.calls[index];
        call.running = false;
        let returned = call.ledger.close();
        let Some((to, grant)) = call.parent else {
            return;
        };
        self.send(Response {
            to,
            grant,
            returned,
            code: ResultCode::Answered,
        });
    }

    fn send(&mut self, response: Response) {
        if self.happens(self.settings.lost) {
            return;
        }
        if self.happens(self.settings.duplicated) {
            self.responses.push(Response { ..response });
        }
        self.responses.push(response);
    }

    fn deliver(&mut self, response: Response) {
        let call = &mut self.calls[response.to];
        call.ledger.settle(response.grant, response.returned);
        if !stop_waiting(&mut call.waiting, response.grant) || !call.running {
            return;
        }
        self.consider_retry(response.to, response.code);
    }

    fn time_out(&mut self, caller: usize) {
        let call = &mut self.calls[caller];
        let chosen = self.rng.random_range(0..call.waiting.len());
        let grant = call.waiting.swap_remove(chosen);
        call.ledger.settle_lost(grant);
        self.consider_retry(caller, ResultCode::ConnectionLost);
    }

    fn crash(&mut self, index: usize) {
        self.calls[index].running = false;
        // The units held by the process are lost; its children keep their grants.
        self.calls[index].ledger = Ledger::new(RetryAllowance::NONE);
    }

    fn consider_retry(&mut self, caller: usize, code: ResultCode) {
        let input = RetryInput {
            now: Timestamp::ZERO,
            deadline: Timestamp::from_millis(1_000_000),
            code,
            location: FailureLocation::ThisHop,
            repeatability: Repeatability::Repeatable,
            sibling_available: true,
            allowance: RetryAllowance::NONE,
            budget_available: true,
            backoff: Duration::ZERO,
            expected_latency: Duration::ZERO,
        };
        let ledger = &mut self.calls[caller].ledger;
        if let RetryDecision::Retry { .. } = authorize(&input, ledger, &mut self.budget) {
            self.report.retries += 1;
            self.attempt_child(caller);
        }
    }

    /// Counts every unit that was spent or can still be spent.
    fn check_units(&mut self) {
        let held: usize = self
            .calls
            .iter()
            .map(|call| usize::from(call.ledger.remaining().count()))
            .sum();
        let mut in_flight: Vec<(usize, Grant, u16)> = self
            .responses
            .iter()
            .filter(|response| self.calls[response.to].waiting.contains(&response.grant))
            .map(|response| (response.to, response.grant, response.returned.count()))
            .collect();
        in_flight.sort_unstable_by_key(|(to, grant, _)| (*to, format!("{grant:?}")));
        in_flight.dedup_by_key(|(to, grant, _)| (*to, *grant));
        let returning: usize = in_flight
            .iter()
            .map(|response| usize::from(response.2))
            .sum();
        let units = self.report.retries + held + returning;
        self.report.most_units = self.report.most_units.max(units);
    }

    fn indexes(&self, wanted: impl Fn(&Call) -> bool) -> Vec<usize> {
        let calls = self.calls.iter().enumerate();
        calls
            .filter(|(_, call)| wanted(call))
            .map(|(index, _)| index)
            .collect()
    }

    fn one_of(&mut self, indexes: &[usize]) -> usize {
        indexes[self.rng.random_range(0..indexes.len())]
    }

    fn happens(&mut self, out_of_100: u32) -> bool {
        self.rng.random_range(0..100) < out_of_100
    }
}

fn stop_waiting(waiting: &mut Vec<Grant>, grant: Grant) -> bool {
    let Some(position) = waiting.iter().position(|open| *open == grant) else {
        return false;
    };
    waiting.swap_remove(position);
    true
}
