//! Load that a scenario's requests put on each service.

use std::collections::BTreeMap;
use std::time::Duration;

use wharfquay_emulator::scenario::{RequestModel, Scenario, StepModel};

/// Mean number of busy slots per service, for one request per second of a kind.
pub(super) type SlotsByService = BTreeMap<String, f64>;

/// Returns the slots that one request per second keeps busy at each service of its call chain. A
/// slot is held for the service's own work and for the calls that the service waits for, including
/// network time inside a zone and excluding time in queues.
pub(super) fn slots_per_request(scenario: &Scenario, request: &RequestModel) -> SlotsByService {
    let round_trip = Duration::from_micros(scenario.latency.same_zone_us) * 2;
    let mut chain = ChainLoad {
        request,
        round_trip,
        visits: BTreeMap::new(),
    };
    chain.visit(&request.entry).slots
}

/// One visit of a service by a request.
#[derive(Clone, Debug, Default)]
struct Visit {
    /// Time for which the visit holds a slot.
    held: Duration,
    /// Busy slots of this visit and of the visits below it.
    slots: SlotsByService,
}

struct ChainLoad<'a> {
    request: &'a RequestModel,
    round_trip: Duration,
    /// Visits computed so far, so that a service that is reached on several paths is computed once.
    visits: BTreeMap<&'a str, Visit>,
}

impl<'a> ChainLoad<'a> {
    /// Computes one visit of a service. Terminates because the scenario is validated to have no
    /// call cycle.
    fn visit(&mut self, service: &str) -> Visit {
        if let Some(visit) = self.visits.get(service) {
            return visit.clone();
        }
        let Some(step) = self.request.step(service) else {
            return Visit::default();
        };
        let calls: Vec<Visit> = step.calls.iter().map(|called| self.visit(called)).collect();
        let visit = self.visit_with_calls(step, &calls);
        self.visits.insert(&step.service, visit.clone());
        visit
    }

    fn visit_with_calls(&self, step: &'a StepModel, calls: &[Visit]) -> Visit {
        let times = calls.iter().map(|visit| visit.held + self.round_trip);
        let waiting = if step.concurrent {
            times.max().unwrap_or_default()
        } else {
            times.sum()
        };
        let held = Duration::from_micros(step.work_us) + waiting;
        let mut slots = SlotsByService::from([(step.service.clone(), held.as_secs_f64())]);
        for (service, busy) in calls.iter().flat_map(|visit| &visit.slots) {
            *slots.entry(service.clone()).or_default() += busy;
        }
        Visit { held, slots }
    }
}
