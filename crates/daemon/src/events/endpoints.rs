//! Logs the changes between two endpoint tables.

use std::collections::BTreeMap;

use wharfquay_core::routing::EndpointState;

use crate::control::{EndpointRecord, EndpointTable};
use crate::events::{Event, log_event};

type ByName<'a> = BTreeMap<(&'a str, &'a str), &'a EndpointRecord>;

/// Maximum number of changes that are logged individually.
const MAX_INDIVIDUAL_EVENTS: usize = 32;

/// The changes between two tables: the event to log, the service and the endpoint.
type Changes<'a> = Vec<(Event, &'a str, &'a EndpointRecord)>;

/// Logs one event for each endpoint that was added, removed, is leaving or returned, or a single
/// event with their numbers if there are many.
pub(super) fn log_changes(before: &EndpointTable, after: &EndpointTable) {
    let changes = changes(before, after);
    if changes.len() > MAX_INDIVIDUAL_EVENTS {
        log_counts(&changes);
        return;
    }
    for (event, service, record) in changes {
        let (id, zone) = (&record.id, &record.zone);
        log_event!(event, "service={service} id={id} zone={zone}");
    }
}

fn changes<'a>(before: &'a EndpointTable, after: &'a EndpointTable) -> Changes<'a> {
    let before = by_name(before);
    let after = by_name(after);
    let mut changes = Changes::new();
    for (name, record) in &after {
        let known = before.get(name);
        if known.is_none() {
            changes.push((Event::EndpointAdded, name.0, record));
        }
        match (
            known.is_some_and(|known| is_leaving(known)),
            is_leaving(record),
        ) {
            (false, true) => changes.push((Event::EndpointLeaving, name.0, record)),
            (true, false) => changes.push((Event::EndpointReturned, name.0, record)),
            (false, false) | (true, true) => {}
        }
    }
    for (name, record) in before {
        if !after.contains_key(&name) {
            changes.push((Event::EndpointRemoved, name.0, record));
        }
    }
    changes
}

fn log_counts(changes: &Changes<'_>) {
    let count = |event| changes.iter().filter(|change| change.0 == event).count();
    log_event!(
        Event::EndpointsChanged,
        "added={} removed={} leaving={} returned={}",
        count(Event::EndpointAdded),
        count(Event::EndpointRemoved),
        count(Event::EndpointLeaving),
        count(Event::EndpointReturned)
    );
}

fn by_name(table: &EndpointTable) -> ByName<'_> {
    table
        .iter()
        .map(|(service, record)| ((service, record.id.as_str()), record))
        .collect()
}

fn is_leaving(record: &EndpointRecord) -> bool {
    record.state == EndpointState::Leaving
}
