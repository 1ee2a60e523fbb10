//! Watches the state of a daemon and logs an event for each change.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::time::MissedTickBehavior;
use wharfquay_core::priority::AdmissionLevel;
use wharfquay_resources::snapshot::Revision;

use crate::control::EndpointTable;
use crate::events::{Event, endpoints, log_event};
use crate::inbound::LocalBackend;
use crate::node::Node;

/// Interval at which the admission level and the calls in flight are polled, whose changes send no
/// notification.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Logs an event for each change of the configuration revision, the endpoints, the leaving state and
/// the admission level, until the control side stops.
pub(crate) async fn log_state_changes(node: Arc<Node>, backend: Option<Arc<LocalBackend>>) {
    let mut snapshot = node.control.snapshot.clone();
    let mut table = node.control.endpoints.clone();
    let mut leaving = node.control.leaving.clone();
    let mut polls = tokio::time::interval(POLL_INTERVAL);
    polls.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut observer = Observer::default();
    loop {
        observer.revision(snapshot.borrow_and_update().revision);
        observer.endpoints(&table.borrow_and_update());
        observer.leaving(*leaving.borrow_and_update(), node.calls_in_flight());
        if let Some(backend) = &backend {
            observer.level(backend);
        }
        let changed = tokio::select! {
            changed = snapshot.changed() => changed,
            changed = table.changed() => changed,
            changed = leaving.changed() => changed,
            _ = polls.tick() => Ok(()),
        };
        if changed.is_err() {
            return;
        }
    }
}

/// The state that was logged last.
#[derive(Debug, Default)]
struct Observer {
    revision: Revision,
    endpoints: Arc<EndpointTable>,
    drain: Option<Drain>,
    level_closed_since: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Drain {
    since: Instant,
    is_finished: bool,
}

impl Observer {
    fn revision(&mut self, revision: Revision) {
        if revision == self.revision {
            return;
        }
        let previous = std::mem::replace(&mut self.revision, revision);
        let (new, old) = (revision.number(), previous.number());
        log_event!(Event::ConfigurationAdopted, "revision={new} previous={old}");
        if previous == Revision::ZERO {
            log_event!(Event::Ready, "revision={new}");
        }
    }

    fn endpoints(&mut self, current: &Arc<EndpointTable>) {
        if Arc::ptr_eq(current, &self.endpoints) {
            return;
        }
        let previous = std::mem::replace(&mut self.endpoints, Arc::clone(current));
        endpoints::log_changes(&previous, current);
    }

    fn leaving(&mut self, is_leaving: bool, calls_in_flight: usize) {
        match (&mut self.drain, is_leaving) {
            (None, true) => {
                log_event!(Event::DrainStarted, "calls_in_flight={calls_in_flight}");
                self.drain = Some(Drain {
                    since: Instant::now(),
                    is_finished: false,
                });
            }
            (Some(drain), true) if calls_in_flight == 0 && !drain.is_finished => {
                drain.is_finished = true;
                let after_ms = drain.since.elapsed().as_millis();
                log_event!(Event::DrainFinished, "after_ms={after_ms}");
            }
            (Some(drain), false) => {
                let after_ms = drain.since.elapsed().as_millis();
                log_event!(Event::DrainWithdrawn, "after_ms={after_ms}");
                self.drain = None;
            }
            (None, false) | (Some(_), true) => {}
        }
    }

    fn level(&mut self, backend: &LocalBackend) {
        let report = backend.gate.report();
        let is_open = report.level == AdmissionLevel::OPEN;
        match self.level_closed_since {
            None if !is_open => {
                let load = report.load;
                log_event!(
                    Event::LevelClosed,
                    "level={} limit={} in_flight={} queued={}",
                    report.level.number(),
                    load.limit,
                    load.in_flight,
                    load.queued
                );
                self.level_closed_since = Some(Instant::now());
            }
            Some(since) if is_open => {
                let after_ms = since.elapsed().as_millis();
                log_event!(Event::LevelOpened, "after_ms={after_ms}");
                self.level_closed_since = None;
            }
            _ => {}
        }
    }
}
