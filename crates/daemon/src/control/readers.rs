//! Reads the store while this daemon is one of its zone's readers.
//!
//! The content is validated before it is relayed: a rejected resource keeps the version that is in
//! force here, which this daemon received from the other daemons at its start.

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

/// Maximum backoff of a reader between two attempts to read the store.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// The result of an event of the store.
#[derive(Debug)]
pub(super) enum ReadResult {
    /// The store responded; the report is for the relay.
    Report(StoreReport),
    /// The store is unavailable.
    Unavailable,
    /// The store responded, but its content can't be used.
    Unusable,
}

/// A reader of the store and the objects that it has read.
#[derive(Debug)]
pub(super) struct StoreReader {
    source: RunningSource,
    objects: BTreeMap<ResourceId, StoredObject>,
    /// True if the relay requested a full snapshot that was not reported yet.
    snapshot_requested: bool,
}

impl StoreReader {
    /// Starts to read the store in the background.
    pub(super) fn start(client: Arc<Client>) -> Self {
        Self {
            source: source::spawn(client, source_settings()),
            objects: BTreeMap::new(),
            snapshot_requested: false,
        }
    }

    /// Returns the next event of the store. Cancel safe.
    pub(super) async fn next(&mut self) -> Option<SourceEvent> {
        self.source.next().await
    }

    /// Requests a full snapshot from the store.
    pub(super) fn request_snapshot(&mut self) {
        self.snapshot_requested = true;
        self.source.request_snapshot();
    }

    /// Applies an event; `in_force` is the configuration that this daemon holds.
    pub(super) fn apply(&mut self, event: SourceEvent, in_force: &Snapshot) -> ReadResult {
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
                ReadResult::Report(StoreReport::Revision(revision.number()))
            }
            SourceEvent::Unavailable { error, .. } => {
                log_event!(Event::ConfigurationReadFailed, "error={}", Quoted(error));
                ReadResult::Unavailable
            }
            SourceEvent::OlderStore {
                seen,
                replied_revision,
            } => {
                let (seen, replied_revision) = (seen.number(), replied_revision.number());
                log_event!(
                    Event::ConfigurationOlderIgnored,
                    "found={replied_revision} in_force={seen}"
                );
                ReadResult::Report(StoreReport::Revision(replied_revision))
            }
            SourceEvent::DivergedStore { revision } => {
                log_event!(Event::StoreDiverged, "revision={}", revision.number());
                ReadResult::Unusable
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
            self.put_without_spec(rejected.version, id);
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
                self.put_without_spec(rejected.version, id);
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

    /// Stores an object that can't be converted without a spec. Acceptance then rejects it and
    /// keeps its last valid version.
    fn put_without_spec(&mut self, version: Revision, id: Option<ResourceId>) {
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

    /// Validates the objects that were read and creates the report to the configuration relay, which
    /// passes the revision on to the other daemons. The report has a delta to `in_force`, which spares
    /// them a full snapshot, or a full snapshot if the relay requested one or nothing is in force
    /// yet. For a revision that is not newer than `in_force` it has only the revision's number.
    fn report(&mut self, revision: Revision, in_force: &Snapshot) -> ReadResult {
        if revision <= in_force.revision {
            return ReadResult::Report(StoreReport::Revision(revision.number()));
        }
        let objects: Vec<StoredObject> = self.objects.values().cloned().collect();
        let acceptance = accept(in_force, revision, &objects);
        log_rejections(&acceptance);
        let accepted = acceptance.snapshot;
        let full_snapshot =
            std::mem::take(&mut self.snapshot_requested) || in_force.revision == Revision::ZERO;
        let encoded = if full_snapshot {
            snapshot_report(&accepted)
        } else {
            delta_report(in_force, &accepted)
        };
        match encoded {
            Ok(report) => ReadResult::Report(report),
            Err(error) => {
                log_event!(Event::ConfigurationNotEncoded, "error={}", Quoted(error));
                ReadResult::Unusable
            }
        }
    }
}

/// Returns the settings of a reader. Its maximum backoff is shorter than that of other clients,
/// because a zone has only a few readers.
fn source_settings() -> SourceSettings {
    let mut settings = SourceSettings::default();
    settings.backoff.maximum = MAX_BACKOFF;
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
