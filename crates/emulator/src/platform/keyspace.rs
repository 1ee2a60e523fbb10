//! A set of objects with one version counter, compare-and-swap writes and a bounded event log.

use std::collections::{BTreeMap, VecDeque};

use wharfquay_platform::wire::{Object, ObjectKey, ObjectList, OperationId, WatchEvent};
use wharfquay_resources::snapshot::Revision;

type Objects = BTreeMap<ObjectKey, Object>;

/// A write that creates or replaces an object.
#[derive(Clone, Debug, PartialEq)]
pub struct Put {
    /// Object to write.
    pub key: ObjectKey,
    /// Version that the object must have; zero means that it must not exist.
    pub expected_version: Revision,
    /// Id of the write.
    pub operation: OperationId,
    /// Who makes the write.
    pub author: String,
    /// New content.
    pub spec: serde_json::Value,
}

/// The expected version is not the current one.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionConflict {
    /// The object as it stands.
    pub current: Option<Box<Object>>,
}

/// The events after the requested version have left the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooOld {
    /// Oldest version that a watch can start from.
    pub oldest: Revision,
}

/// Objects, their version counter and the log of the last changes.
#[derive(Clone, Debug)]
pub struct Keyspace {
    objects: Objects,
    version: Revision,
    /// The objects as they were before the first event of the log.
    base: Objects,
    base_version: Revision,
    log: VecDeque<WatchEvent>,
    log_capacity: usize,
}

impl Keyspace {
    /// An empty keyspace at version zero that remembers `log_capacity` changes.
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

    /// Version of the last write.
    #[must_use]
    pub const fn version(&self) -> Revision {
        self.version
    }

    /// The object as it stands.
    #[must_use]
    pub fn get(&self, key: &ObjectKey) -> Option<&Object> {
        self.objects.get(key)
    }

    /// Every object at the current version.
    #[must_use]
    pub fn list(&self) -> ObjectList {
        ObjectList {
            version: self.version,
            objects: self.objects.values().cloned().collect(),
        }
    }

    /// Creates or replaces an object whose version is the expected one.
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

    /// Deletes an object whose version is the expected one; returns the version of the deletion.
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

    /// At most `limit` events after version `from`, in order.
    pub fn events_after(&self, from: Revision, limit: usize) -> Result<Vec<WatchEvent>, TooOld> {
        if from < self.base_version {
            return Err(TooOld {
                oldest: self.base_version,
            });
        }
        let events = self.log.iter().filter(|event| event.version() > from);
        Ok(events.take(limit).cloned().collect())
    }

    /// The keyspace as it was at `version`, or at the nearest version that the log still reaches.
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
            self.forget_oldest_event();
        }
    }

    fn forget_oldest_event(&mut self) {
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
