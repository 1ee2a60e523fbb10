//! Reading the store while this daemon is one of its zone's readers.
//!
//! What the store holds is checked before it is relayed: a rejected resource keeps the form that is
//! in force here, which came from the other daemons when this one started.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use wharfquay_membership::message::{Delta, Snapshot as RelayedSnapshot};
use wharfquay_membership::relay::StoreReport;
use wharfquay_platform::source::{self, RunningSource, SourceChange, SourceSnapshot};
use wharfquay_platform::{Client, SourceEvent, SourceSettings, conversion};
use wharfquay_resources::acceptance::{Acceptance, StoredObject, accept};
use wharfquay_resources::kinds::{Resource, ResourceId};
use wharfquay_resources::snapshot::{Revision, Snapshot};
use wharfquay_resources::spec::to_spec;

use super::relay::{self, ConfigurationDelta};
use crate::events::{Event, Quoted, log_event};

/// Longest wait of a reader before it tries the store again.
const LONGEST_BACKOFF: Duration = Duration::from_secs(1);

/// What a reader learnt.
#[derive(Debug)]
pub(super) enum Reading {
    /// The store answered: hand this to the relay.
    Report(StoreReport),
    /// The store can't be read.
    NoContact,
    /// The store answered with nothing that could be used.
    Nothing,
}

/// A reader of the store.
#[derive(Debug)]
pub(super) struct StoreReader {
    source: RunningSource,
    objects: BTreeMap<ResourceId, StoredObject>,
    /// The relay has asked for a whole configuration.
    whole_wanted: bool,
}

impl StoreReader {
    /// Starts to read.
    pub(super) fn start(client: Arc<Client>) -> Self {
        Self {
            source: source::spawn(client, source_settings()),
            objects: BTreeMap::new(),
            whole_wanted: false,
        }
    }

    /// The next event. Cancel safe.
    pub(super) async fn next(&mut self) -> Option<SourceEvent> {
        self.source.next().await
    }

    /// Asks for a whole snapshot.
    pub(super) fn request_snapshot(&mut self) {
        self.whole_wanted = true;
        self.source.request_snapshot();
    }

    /// Takes an event in; `in_force` is the configuration held here.
    pub(super) fn take(&mut self, event: SourceEvent, in_force: &Snapshot) -> Reading {
        match event {
            SourceEvent::Snapshot(snapshot) => {
                let revision = snapshot.revision;
                self.replace(snapshot);
                self.report(revision, in_force)
            }
            SourceEvent::Change {
                revision, change, ..
            } => {
                self.change(revision, change);
                self.report(revision, in_force)
            }
            SourceEvent::Current { revision } => {
                Reading::Report(StoreReport::Revision(revision.number()))
            }
            SourceEvent::Unavailable { error, .. } => {
                log_event!(Event::ConfigurationReadFailed, "error={}", Quoted(error));
                Reading::NoContact
            }
            SourceEvent::OlderStore { seen, answered } => {
                let (seen, answered) = (seen.number(), answered.number());
                log_event!(
                    Event::ConfigurationOlderIgnored,
                    "found={answered} in_force={seen}"
                );
                Reading::Report(StoreReport::Revision(answered))
            }
            SourceEvent::DivergedStore { revision } => {
                log_event!(Event::StoreDiverged, "revision={}", revision.number());
                Reading::Nothing
            }
        }
    }

    fn replace(&mut self, snapshot: SourceSnapshot) {
        self.objects.clear();
        let revision = snapshot.revision;
        for resource in snapshot.resources {
            self.put(revision, &resource);
        }
        for rejected in snapshot.rejected {
            let id = conversion::resource_id(&rejected.key);
            self.put_rejected(rejected.version, id);
        }
    }

    fn change(&mut self, revision: Revision, change: SourceChange) {
        match change {
            SourceChange::Put(resource) => self.put(revision, &resource),
            SourceChange::Delete(id) => {
                self.objects.remove(&id);
            }
            SourceChange::Rejected(rejected) => {
                let id = conversion::resource_id(&rejected.key);
                self.put_rejected(rejected.version, id);
            }
            SourceChange::DeleteUnknown(_) => {}
        }
    }

    fn put(&mut self, version: Revision, resource: &Resource) {
        let id = resource.id();
        let object = StoredObject {
            id: id.clone(),
            version,
            spec: to_spec(resource),
        };
        self.objects.insert(id, object);
    }

    /// An object that is no resource stands without a spec, so that its last good form is kept.
    fn put_rejected(&mut self, version: Revision, id: Option<ResourceId>) {
        let Some(id) = id else {
            return;
        };
        let object = StoredObject {
            id: id.clone(),
            version,
            spec: serde_json::Value::Null,
        };
        self.objects.insert(id, object);
    }

    /// The report of a revision: what differs from the configuration in force, so that the peers need
    /// no whole configuration either; the whole one where the relay wants it or nothing is in force.
    fn report(&mut self, revision: Revision, in_force: &Snapshot) -> Reading {
        if revision <= in_force.revision {
            return Reading::Report(StoreReport::Revision(revision.number()));
        }
        let objects: Vec<StoredObject> = self.objects.values().cloned().collect();
        let acceptance = accept(in_force, revision, &objects);
        log_rejections(&acceptance);
        let accepted = acceptance.snapshot;
        let whole = std::mem::take(&mut self.whole_wanted) || in_force.revision == Revision::ZERO;
        let encoded = if whole {
            snapshot_report(&accepted)
        } else {
            delta_report(in_force, &accepted)
        };
        match encoded {
            Ok(report) => Reading::Report(report),
            Err(error) => {
                log_event!(Event::ConfigurationNotEncoded, "error={}", Quoted(error));
                Reading::Nothing
            }
        }
    }
}

/// A few readers may ask more often than the clients that everybody has.
fn source_settings() -> SourceSettings {
    let mut settings = SourceSettings::default();
    settings.backoff.maximum = LONGEST_BACKOFF;
    settings
}

fn delta_report(before: &Snapshot, after: &Snapshot) -> Result<StoreReport, String> {
    let delta = ConfigurationDelta::between(before, after);
    Ok(StoreReport::Delta(Delta {
        previous: before.revision.number(),
        revision: after.revision.number(),
        payload: relay::encode(&delta)?,
    }))
}

fn snapshot_report(snapshot: &Snapshot) -> Result<StoreReport, String> {
    Ok(StoreReport::Snapshot(RelayedSnapshot {
        revision: snapshot.revision.number(),
        payload: relay::encode(snapshot)?,
    }))
}

fn log_rejections(acceptance: &Acceptance) {
    for rejection in &acceptance.rejections {
        for finding in &rejection.findings {
            log_event!(
                Event::ResourceRejected,
                "resource={} version={} last_good_in_force={} reason={}",
                rejection.id,
                rejection.version.map_or(0, Revision::number),
                rejection.is_last_good_in_force,
                Quoted(finding)
            );
        }
    }
}
