//! A set of objects with one version counter, compare-and-swap writes and a bounded event log.

use std::collections::{BTreeMap, VecDeque};

use wharfquay_platform::wire::{Object, ObjectKey, ObjectList, OperationId, WatchEvent};
use wharfquay_resources::snapshot::Revision;

type Objects = BTreeMap<ObjectKey, Object>;

/// A write that creates or replaces an object.
#[derive(Clone, Debug, PartialEq)]
pub struct Put {
    /// Key of the object to write.
    pub key: ObjectKey,
    /// Version that the object must have; zero requires that it doesn't exist.
    pub expected_version: Revision,
    /// Id of the write, by which a client recognises its own write.
    pub operation: OperationId,
    /// Name of the writer.
    pub author: String,
    /// New spec of the object.
    pub spec: serde_json::Value,
}

/// An error that means that the expected version is not the current version of the object.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionConflict {
    /// Current object; `None` if it doesn't exist.
    pub current: Option<Box<Object>>,
}

/// An error that means that the log no longer holds all events after the requested version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooOld {
    /// Oldest version that a watch can start after.
    pub oldest: Revision,
}

/// Objects, their version counter and the log of the latest changes.
#[derive(Clone, Debug)]
pub struct Keyspace {
    objects: Objects,
    version: Revision,
    /// Objects before the first event of the log.
    base: Objects,
    base_version: Revision,
    log: VecDeque<WatchEvent>,
    log_capacity: usize,
}

impl Keyspace {
    /// Creates an empty keyspace at version zero whose log holds `log_capacity` changes.
    #[must_use]
    pub const fn new(log_capacity: usize) -> Self {
        Self {
            objects: BTreeMap::new(),
            version: Revision::ZERO,
            base: BTreeMap::new(),
            base_version: Revision::ZERO,
            log: VecDeque::new(),
            log_capacity,
        }
    }

    /// Returns the version of the last write.
    #[must_use]
    pub const fn version(&self) -> Revision {
        self.version
    }

    /// Returns the current object.
    #[must_use]
    pub fn get(&self, key: &ObjectKey) -> Option<&Object> {
        self.objects.get(key)
    }

    /// Returns every object and the current version of the keyspace.
    #[must_use]
    pub fn list(&self) -> ObjectList {
        ObjectList {
            version: self.version,
            objects: self.objects.values().cloned().collect(),
        }
    }

    /// Creates or replaces an object if it has the expected version.
    pub fn put(&mut self, put: Put) -> Result<Object, VersionConflict> {
        self.expect_version(&put.key, put.expected_version)?;
        let object = Object {
            key: put.key,
            version: self.next_version(),
            operation: put.operation,
            author: put.author,
            spec: put.spec,
        };
        self.record(WatchEvent::Put {
            version: object.version,
            object: object.clone(),
        });
        Ok(object)
    }

    /// Deletes an object if it has the expected version; returns the version of the deletion.
    pub fn delete(
        &mut self,
        key: &ObjectKey,
        expected_version: Revision,
    ) -> Result<Revision, VersionConflict> {
        self.expect_version(key, expected_version)?;
        let Some(object) = self.objects.get(key).cloned() else {
            return Err(VersionConflict { current: None });
        };
        let version = self.next_version();
        self.record(WatchEvent::Delete { version, object });
        Ok(version)
    }

    /// Returns at most `limit` events after version `from`, in order.
    pub fn events_after(&self, from: Revision, limit: usize) -> Result<Vec<WatchEvent>, TooOld> {
        if from < self.base_version {
            return Err(TooOld {
                oldest: self.base_version,
            });
        }
        let events = self.log.iter().filter(|event| event.version() > from);
        Ok(events.take(limit).cloned().collect())
    }

    /// Returns the keyspace at `version`, or at the nearest version that can be rebuilt from the log.
    #[must_use]
    pub fn as_of(&self, version: Revision) -> Self {
        let mut older = Self {
            objects: self.base.clone(),
            version: self.base_version,
            base: self.base.clone(),
            base_version: self.base_version,
            log: VecDeque::new(),
            log_capacity: self.log_capacity,
        };
        let replayed = self.log.iter().filter(|event| event.version() <= version);
        for event in replayed {
            older.record(event.clone());
        }
        older
    }

    fn expect_version(
        &self,
        key: &ObjectKey,
        expected_version: Revision,
    ) -> Result<(), VersionConflict> {
        let current = self.objects.get(key);
        let current_version = current.map_or(Revision::ZERO, |object| object.version);
        if current_version == expected_version {
            return Ok(());
        }
        Err(VersionConflict {
            current: current.cloned().map(Box::new),
        })
    }

    const fn next_version(&self) -> Revision {
        Revision::new(self.version.number() + 1)
    }

    fn record(&mut self, event: WatchEvent) {
        self.version = event.version();
        apply(&mut self.objects, &event);
        self.log.push_back(event);
        while self.log.len() > self.log_capacity {
            self.evict_oldest_event();
        }
    }

    fn evict_oldest_event(&mut self) {
        if let Some(event) = self.log.pop_front() {
            self.base_version = event.version();
            apply(&mut self.base, &event);
        }
    }
}

fn apply(objects: &mut Objects, event: &WatchEvent) {
    match event {
        WatchEvent::Put { object, .. } => {
            objects.insert(object.key.clone(), object.clone());
        }
        WatchEvent::Delete { object, .. } => {
            objects.remove(&object.key);
        }
        WatchEvent::Bookmark { .. } => {}
    }
}
