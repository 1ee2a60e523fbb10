//! Reading the platform's store for a hollow daemon that is one of the readers.

use std::net::SocketAddr;
use std::sync::Arc;

use wharfquay_membership::message::{Delta, Snapshot as RelayedSnapshot};
use wharfquay_membership::relay::StoreReport;
use wharfquay_platform::source::{self, RunningSource, SourceChange, SourceSnapshot};
use wharfquay_platform::{Client, ClientSettings, SourceEvent, SourceSettings};
use wharfquay_resources::snapshot::{Revision, Snapshot};

use super::configuration::{ConfigurationDelta, encode};

/// What a reader learnt.
#[derive(Debug)]
pub(super) enum Reading {
    /// The store answered: hand this to the relay.
    Report(StoreReport),
    /// The store can't be read.
    NoContact,
    /// Nothing that could be used.
    Nothing,
}

/// A reader of the store.
#[derive(Debug)]
pub(super) struct StoreReader {
    source: RunningSource,
}

impl StoreReader {
    /// Starts to read.
    pub(super) fn start(platform: &[SocketAddr]) -> Self {
        let client = Client::new(platform.to_vec(), ClientSettings::default());
        Self {
            source: source::spawn(Arc::new(client), SourceSettings::default()),
        }
    }

    /// The next event. Cancel safe.
    pub(super) async fn next(&mut self) -> Option<SourceEvent> {
        self.source.next().await
    }

    /// Asks for a whole snapshot.
    pub(super) fn request_snapshot(&self) {
        self.source.request_snapshot();
    }
}

/// What an event of the store means for the relay.
pub(super) fn reading(event: SourceEvent) -> Reading {
    let report = match event {
        SourceEvent::Snapshot(snapshot) => snapshot_report(snapshot),
        SourceEvent::Change {
            previous,
            revision,
            change,
        } => delta_report(previous, revision, change),
        SourceEvent::Current { revision } => Some(StoreReport::Revision(revision.number())),
        SourceEvent::OlderStore { answered, .. } => Some(StoreReport::Revision(answered.number())),
        SourceEvent::Unavailable { .. } => return Reading::NoContact,
        SourceEvent::DivergedStore { .. } => None,
    };
    report.map_or(Reading::Nothing, Reading::Report)
}

fn snapshot_report(read: SourceSnapshot) -> Option<StoreReport> {
    let mut snapshot = Snapshot {
        revision: read.revision,
        ..Snapshot::default()
    };
    for resource in read.resources {
        snapshot.insert(resource);
    }
    Some(StoreReport::Snapshot(RelayedSnapshot {
        revision: read.revision.number(),
        payload: encode(&snapshot)?,
    }))
}

fn delta_report(
    previous: Revision,
    revision: Revision,
    change: SourceChange,
) -> Option<StoreReport> {
    let mut delta = ConfigurationDelta::default();
    match change {
        SourceChange::Put(resource) => delta.put.push(resource),
        SourceChange::Delete(id) => delta.deleted.push(id),
        // An object that is no resource changes nothing but the revision.
        SourceChange::Rejected(_) | SourceChange::DeleteUnknown(_) => {}
    }
    Some(StoreReport::Delta(Delta {
        previous: previous.number(),
        revision: revision.number(),
        payload: encode(&delta)?,
    }))
}
