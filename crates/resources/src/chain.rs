//! Analysis of the service call graph: cycles and longest call chains.
//!
//! The searches use explicit stacks, since recursion over a long chain in a file could overflow the
//! thread's stack.

use std::collections::BTreeMap;

use crate::snapshot::Snapshot;

/// Services that call each other in a cycle.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cycle {
    /// The services on the cycle in call order; the last one calls the first.
    pub services: Vec<String>,
}

/// Returns every cycle that a depth-first search finds, starting from the services in order of
/// names.
#[must_use]
pub fn find_cycles(snapshot: &Snapshot) -> Vec<Cycle> {
    let mut search = CycleSearch {
        snapshot,
        progress: BTreeMap::new(),
        open: Vec::new(),
        cycles: Vec::new(),
    };
    for name in snapshot.services.keys() {
        search.run_from(name);
    }
    search.cycles
}

/// A service on the current search path and the number of its calls that were followed.
struct OpenService<'a> {
    name: &'a str,
    followed: usize,
}

/// Search state of a visited service.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// The service is on the current search path.
    Open,
    /// Every call of the service was followed.
    Finished,
}

struct CycleSearch<'a> {
    snapshot: &'a Snapshot,
    progress: BTreeMap<&'a str, Progress>,
    open: Vec<OpenService<'a>>,
    cycles: Vec<Cycle>,
}

impl<'a> CycleSearch<'a> {
    fn run_from(&mut self, start: &'a str) {
        self.enter(start);
        while let Some(current) = self.open.last_mut() {
            let called = calls_of(self.snapshot, current.name).get(current.followed);
            current.followed += 1;
            match called {
                Some(called) => self.enter(called),
                None => self.leave(),
            }
        }
    }

    fn enter(&mut self, name: &'a str) {
        match self.progress.get(name) {
            Some(Progress::Finished) => {}
            Some(Progress::Open) => self.record_cycle(name),
            None => {
                self.progress.insert(name, Progress::Open);
                self.open.push(OpenService { name, followed: 0 });
            }
        }
    }

    fn leave(&mut self) {
        if let Some(service) = self.open.pop() {
            self.progress.insert(service.name, Progress::Finished);
        }
    }

    fn record_cycle(&mut self, first: &str) {
        let before = |service: &&OpenService<'_>| service.name != first;
        let services = self.open.iter().skip_while(before);
        self.cycles.push(Cycle {
            services: services.map(|service| service.name.to_owned()).collect(),
        });
    }
}

/// Returns the call chain from `entry` with the largest sum of weights, in call order; `None` when
/// `entry` reaches a cycle and there is no longest chain.
#[must_use]
pub fn heaviest_chain(
    snapshot: &Snapshot,
    entry: &str,
    weight: impl Fn(&str) -> u64,
) -> Option<Vec<String>> {
    let order = callers_first(snapshot, entry)?;
    let mut best: BTreeMap<&str, HeaviestBelow<'_>> = BTreeMap::new();
    for name in order.into_iter().rev() {
        let weight_of = |called: &str| best.get(called).map_or(0, |below| below.weight);
        let calls = calls_of(snapshot, name).iter().map(String::as_str);
        let next = calls.rev().max_by_key(|called| weight_of(called));
        let weight = weight(name).saturating_add(next.map_or(0, weight_of));
        best.insert(name, HeaviestBelow { weight, next });
    }
    let mut chain = vec![entry.to_owned()];
    let mut current = entry;
    while let Some(next) = best.get(current).and_then(|below| below.next) {
        chain.push(next.to_owned());
        current = next;
    }
    Some(chain)
}

/// The heaviest chain that starts at a service: its total weight and its second service.
struct HeaviestBelow<'a> {
    weight: u64,
    next: Option<&'a str>,
}

/// Returns the services that `entry` reaches in topological order, callers first; `None` when there
/// is a cycle.
fn callers_first<'a>(snapshot: &'a Snapshot, entry: &'a str) -> Option<Vec<&'a str>> {
    let mut caller_counts = count_callers(snapshot, entry);
    let mut order = Vec::with_capacity(caller_counts.len());
    let mut ready = vec![entry];
    if caller_counts.get(entry) != Some(&0) {
        return None;
    }
    while let Some(name) = ready.pop() {
        order.push(name);
        for called in calls_of(snapshot, name) {
            if let Some(count) = caller_counts.get_mut(called.as_str()) {
                *count -= 1;
                if *count == 0 {
                    ready.push(called);
                }
            }
        }
    }
    (order.len() == caller_counts.len()).then_some(order)
}

/// Counts the callers of each service that `entry` reaches.
fn count_callers<'a>(snapshot: &'a Snapshot, entry: &'a str) -> BTreeMap<&'a str, usize> {
    let mut counts = BTreeMap::from([(entry, 0)]);
    let mut pending = vec![entry];
    while let Some(name) = pending.pop() {
        for called in calls_of(snapshot, name) {
            let is_new = !counts.contains_key(called.as_str());
            *counts.entry(called.as_str()).or_default() += 1;
            if is_new {
                pending.push(called);
            }
        }
    }
    counts
}

fn calls_of<'a>(snapshot: &'a Snapshot, name: &str) -> &'a [String] {
    snapshot
        .services
        .get(name)
        .map_or(&[], |service| service.calls.as_slice())
}
