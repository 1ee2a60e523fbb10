//! Load that a scenario's requests put on each service.

use std::collections::BTreeMap;
use std::time::Duration;

use wharfquay_emulator::scenario::{RequestModel, Scenario, StepModel};

/// Slots that one request per second of a kind keeps busy on average, by service.
pub(super) type SlotsByService = BTreeMap<String, f64>;

/// Slots that one request per second keeps busy at each service of its chain.
///
/// A slot is held for the service's own work and for the calls that it waits for, with their network
/// time inside a zone, but without any wait in a queue.
pub(super) fn slots_per_request(scenario: &Scenario, request: &RequestModel) -> SlotsByService {
    let round_trip = Duration::from_micros(scenario.latency.same_zone_us) * 2;
    let mut chain = Chain {
        request,
        round_trip,
        visits: BTreeMap::new(),
    };
    chain.visit(&request.entry).slots
}

/// One visit of a service: how long it holds a slot, and the slots that it and all visits below it
/// keep busy.
#[derive(Clone, Debug, Default)]
struct Visit {
    held: Duration,
    slots: SlotsByService,
}

struct Chain<'a> {
    request: &'a RequestModel,
    round_trip: Duration,
    /// The visits worked out so far, so that a service that is reached on many ways is worked out
    /// once.
    visits: BTreeMap<&'a str, Visit>,
}

impl<'a> Chain<'a> {
    /// Works out one visit of a service. The scenario's own check has made sure that the calls end.
    fn visit(&mut self, service: &str) -> Visit {
        if let Some(visit) = self.visits.get(service) {
            return visit.clone();
        }
        let Some(step) = self.request.step(service) else {
            return Visit::default();
        };
        let below: Vec<Visit> = step.calls.iter().map(|called| self.visit(called)).collect();
        let visit = self.visit_over(step, &below);
        self.visits.insert(&step.service, visit.clone());
        visit
    }

    fn visit_over(&self, step: &'a StepModel, below: &[Visit]) -> Visit {
        let times = below.iter().map(|visit| visit.held + self.round_trip);
        let waiting = if step.concurrent {
            times.max().unwrap_or_default()
        } else {
            times.sum()
        };
        let held = Duration::from_micros(step.work_us) + waiting;
        let mut slots = SlotsByService::from([(step.service.clone(), held.as_secs_f64())]);
        for (service, busy) in below.iter().flat_map(|visit| &visit.slots) {
            *slots.entry(service.clone()).or_default() += busy;
        }
        Visit { held, slots }
    }
}
