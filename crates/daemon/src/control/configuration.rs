//! Reads the configuration from the platform: a list, then a watch, and a list again after a break.
//!
//! A revision below the one in force is never adopted.

use std::collections::BTreeMap;
use std::sync::Arc;

use rand::Rng;
use tokio::sync::watch;
use wharfquay_platform::backoff::Backoff;
use wharfquay_platform::conversion::{resource_from_object, resource_id};
use wharfquay_platform::wire::{Object, ObjectList, WatchEvent};
use wharfquay_platform::{Client, PlatformError};
use wharfquay_resources::kinds::{Resource, ResourceId};
use wharfquay_resources::snapshot::{Revision, Snapshot};

use crate::control::relay::resources;

/// Reads the configuration and publishes each revision.
pub(super) struct Reader {
    client: Arc<Client>,
    backoff: Backoff,
    published: watch::Sender<Arc<Snapshot>>,
}

impl Reader {
    pub(super) fn new(client: Arc<Client>, published: watch::Sender<Arc<Snapshot>>) -> Self {
        Self {
            client,
            backoff: Backoff::default(),
            published,
        }
    }

    /// Reads for ever.
    pub(super) async fn run(self) {
        let mut failures = 0;
        loop {
            match self.list_and_watch(&mut failures).await {
                Ok(()) => log::debug!("event=configuration_watch_ended"),
                Err(error) => log::warn!("event=configuration_read_failed error=\"{error}\""),
            }
            failures += 1;
            let delay = self.backoff.delay(failures, &mut random());
            tokio::time::sleep(delay).await;
        }
    }

    async fn list_and_watch(&self, failures: &mut u32) -> Result<(), PlatformError> {
        let list = self.client.list().await?;
        let version = list.version;
        if !self.adopt_list(list) {
            return Ok(());
        }
        let mut events = self.client.watch(version).await?;
        *failures = 0;
        while let Some(event) = events.next().await {
            self.adopt_event(event?);
        }
        Ok(())
    }

    /// Publishes a list; false when it is older than what is in force.
    fn adopt_list(&self, list: ObjectList) -> bool {
        let current = self.published.borrow().clone();
        if list.version < current.revision {
            let (found, in_force) = (list.version.number(), current.revision.number());
            log::warn!("event=configuration_older_ignored found={found} in_force={in_force}");
            return false;
        }
        let mut snapshot = Snapshot {
            revision: list.version,
            ..Snapshot::default()
        };
        let kept = resources_by_id(&current);
        for object in &list.objects {
            if let Some(resource) = read(object).or_else(|| last_good(object, &kept)) {
                snapshot.insert(resource);
            }
        }
        self.publish(snapshot);
        true
    }

    fn adopt_event(&self, event: WatchEvent) {
        let mut snapshot = Snapshot::clone(&self.published.borrow());
        let version = match event {
            WatchEvent::Put { version, object } => {
                if let Some(resource) = read(&object) {
                    snapshot.insert(resource);
                }
                version
            }
            WatchEvent::Delete { version, object } => {
                if let Some(id) = resource_id(&object.key) {
                    snapshot.remove(&id);
                }
                version
            }
            WatchEvent::Bookmark { version } => version,
        };
        if version <= snapshot.revision {
            return;
        }
        snapshot.revision = version;
        self.publish(snapshot);
    }

    fn publish(&self, snapshot: Snapshot) {
        if snapshot.revision == Revision::ZERO {
            return;
        }
        let revision = snapshot.revision.number();
        log::info!("event=configuration_in_force revision={revision}");
        self.published.send_replace(Arc::new(snapshot));
    }
}

fn random() -> impl Rng {
    rand::rng()
}

/// The resource in an object; one that can't be used is logged and left out.
fn read(object: &Object) -> Option<Resource> {
    match resource_from_object(object) {
        Ok(resource) => Some(resource),
        Err(error) => {
            let key = &object.key;
            log::warn!("event=resource_rejected object={key} error=\"{error}\"");
            None
        }
    }
}

fn last_good(object: &Object, kept: &BTreeMap<ResourceId, Resource>) -> Option<Resource> {
    kept.get(&resource_id(&object.key)?).cloned()
}

fn resources_by_id(snapshot: &Snapshot) -> BTreeMap<ResourceId, Resource> {
    resources(snapshot)
        .map(|resource| (resource.id(), resource))
        .collect()
}
