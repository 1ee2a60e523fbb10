//! Reads the configuration from the platform: a list, then a watch, and a new list after the watch
//! breaks.
//!
//! An invalid resource is rejected and its last valid version stays in force. A revision older than
//! the one in force is never adopted.

use std::sync::Arc;

use tokio::sync::watch;
use wharfquay_platform::backoff::Backoff;
use wharfquay_platform::conversion::resource_id;
use wharfquay_platform::wire::{Object, ObjectList, WatchEvent};
use wharfquay_platform::{Client, PlatformError};
use wharfquay_resources::acceptance::{Rejection, StoredObject};
use wharfquay_resources::acceptor::Acceptor;
use wharfquay_resources::kinds::ResourceId;
use wharfquay_resources::snapshot::{Revision, Snapshot};

use crate::events::{Event, Quoted, log_event};

/// Reads the configuration and publishes each revision.
pub(super) struct Reader {
    client: Arc<Client>,
    backoff: Backoff,
    acceptor: Acceptor,
    logged: Vec<Rejection>,
    published: watch::Sender<Arc<Snapshot>>,
}

/// The reason why the configuration has to be listed again.
enum RelistReason {
    /// The platform closed the watch.
    Ended,
    /// The watch missed an event or sent one that can't be applied.
    Gap,
    /// The list was older than the configuration in force, so it was ignored and no watch was
    /// started.
    StaleList,
}

impl Reader {
    pub(super) fn new(client: Arc<Client>, published: watch::Sender<Arc<Snapshot>>) -> Self {
        Self {
            client,
            backoff: Backoff::default(),
            acceptor: Acceptor::default(),
            logged: Vec::new(),
            published,
        }
    }

    /// Reads the configuration with a backoff between attempts; never returns.
    pub(super) async fn run(mut self) {
        let mut failures = 0;
        loop {
            match self.list_and_watch(&mut failures).await {
                Ok(RelistReason::Ended) => log_event!(Event::ConfigurationWatchEnded),
                Ok(RelistReason::Gap) => log_event!(Event::ConfigurationWatchGap),
                Ok(RelistReason::StaleList) => {}
                Err(error) => {
                    log_event!(Event::ConfigurationReadFailed, "error={}", Quoted(error));
                }
            }
            failures += 1;
            let delay = self.backoff.delay(failures, &mut rand::rng());
            tokio::time::sleep(delay).await;
        }
    }

    async fn list_and_watch(&mut self, failures: &mut u32) -> Result<RelistReason, PlatformError> {
        let list = self.client.list().await?;
        let version = list.version;
        if !self.adopt_list(list) {
            return Ok(RelistReason::StaleList);
        }
        let mut events = self.client.watch(version).await?;
        *failures = 0;
        while let Some(event) = events.next().await {
            if !self.adopt_event(event?) {
                return Ok(RelistReason::Gap);
            }
        }
        Ok(RelistReason::Ended)
    }

    /// Adopts a list; returns false if it is older than the configuration in force.
    fn adopt_list(&mut self, list: ObjectList) -> bool {
        let objects = list.objects.into_iter().filter_map(to_stored_object);
        if !self.acceptor.replace(list.version, objects) {
            let found = list.version.number();
            let in_force = self.revision().number();
            log_event!(
                Event::ConfigurationOlderIgnored,
                "found={found} in_force={in_force}"
            );
            return false;
        }
        self.publish();
        true
    }

    /// Adopts an event; returns false if an earlier event is missing or the event can't be applied.
    fn adopt_event(&mut self, event: WatchEvent) -> bool {
        let version = match &event {
            WatchEvent::Put { version, .. }
            | WatchEvent::Delete { version, .. }
            | WatchEvent::Bookmark { version } => *version,
        };
        let in_force = self.revision();
        if version <= in_force {
            return true;
        }
        if version.number() != in_force.number() + 1 {
            return false;
        }
        match event {
            WatchEvent::Put { object, .. } => {
                let Some(object) = to_stored_object(object) else {
                    return false;
                };
                self.acceptor.put(version, &object);
            }
            WatchEvent::Delete { object, .. } => {
                let Some(id) = id_of_known_kind(&object) else {
                    return false;
                };
                self.acceptor.delete(version, &id);
            }
            WatchEvent::Bookmark { .. } => return false,
        }
        self.publish();
        true
    }

    fn revision(&self) -> Revision {
        self.acceptor.snapshot().revision
    }

    fn publish(&mut self) {
        if self.revision() == Revision::ZERO {
            return;
        }
        self.log_rejections();
        let snapshot = Arc::new(self.acceptor.snapshot().clone());
        self.published.send_replace(snapshot);
    }

    /// Logs rejected resources, once for each version.
    fn log_rejections(&mut self) {
        let rejections = &self.acceptor.acceptance().rejections;
        for rejection in rejections {
            if !self.logged.contains(rejection) {
                log_rejection(rejection);
            }
        }
        self.logged.clone_from(rejections);
    }
}

fn log_rejection(rejection: &Rejection) {
    let version = rejection.version.map_or(0, Revision::number);
    for finding in &rejection.findings {
        log_event!(
            Event::ResourceRejected,
            "resource={} version={version} last_good_in_force={} reason={}",
            rejection.id,
            rejection.is_last_good_in_force,
            Quoted(finding)
        );
    }
}

/// Converts an object of the platform; `None`, with a log event, if its kind is unknown.
fn to_stored_object(object: Object) -> Option<StoredObject> {
    Some(StoredObject {
        id: id_of_known_kind(&object)?,
        version: object.version,
        spec: object.spec,
    })
}

fn id_of_known_kind(object: &Object) -> Option<ResourceId> {
    let id = resource_id(&object.key);
    if id.is_none() {
        log_event!(Event::ObjectOfUnknownKindIgnored, "object={}", object.key);
    }
    id
}
