//! What changed between two endpoint tables.

use std::collections::BTreeMap;

use wharfquay_core::routing::EndpointState;

use crate::control::{EndpointRecord, EndpointTable};
use crate::events::{Event, log_event};

type ByName<'a> = BTreeMap<(&'a str, &'a str), &'a EndpointRecord>;

/// Writes one event for each endpoint that came, left, is leaving or returned.
pub(super) fn log_changes(before: &EndpointTable, after: &EndpointTable) {
    let before = by_name(before);
    let after = by_name(after);
    for (name, record) in &after {
        match before.get(name) {
            None => {
                log_endpoint(Event::EndpointAdded, name.0, record);
                if is_leaving(record) {
                    log_endpoint(Event::EndpointLeaving, name.0, record);
                }
            }
            Some(known) if is_leaving(known) == is_leaving(record) => {}
            Some(_) if is_leaving(record) => log_endpoint(Event::EndpointLeaving, name.0, record),
            Some(_) => log_endpoint(Event::EndpointReturned, name.0, record),
        }
    }
    for (name, record) in before {
        if !after.contains_key(&name) {
            log_endpoint(Event::EndpointRemoved, name.0, record);
        }
    }
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

fn log_endpoint(event: Event, service: &str, record: &EndpointRecord) {
    log_event!(
        event,
        "service={service} id={} zone={}",
        record.id,
        record.zone
    );
}
