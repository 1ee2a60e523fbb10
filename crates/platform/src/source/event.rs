//! Inputs, effects and events of a reader.

use wharfquay_core::time::Timestamp;
use wharfquay_resources::kinds::{Resource, ResourceId};
use wharfquay_resources::snapshot::Revision;

use crate::conversion::{self, ConversionError};
use crate::error::PlatformError;
use crate::wire::{Object, ObjectKey, ObjectList, OperationId, WatchEvent};

/// What a reader is told.
#[derive(Debug)]
pub enum SourceInput {
    /// The list asked for has arrived.
    Listed(ObjectList),
    /// The list asked for failed.
    ListFailed(PlatformError),
    /// The watch asked for is open.
    WatchOpened,
    /// The next event of the open watch.
    WatchEvent(WatchEvent),
    /// The platform no longer has the events that the watch asked for.
    WatchTooOld,
    /// The platform ended the watch.
    WatchEnded,
    /// The watch could not be opened or broke off.
    WatchFailed(PlatformError),
}

/// What a reader wants done.
#[derive(Debug)]
pub enum SourceEffect {
    /// List the configuration objects.
    List,
    /// Open a watch that starts after this version.
    OpenWatch {
        /// The version.
        from: Revision,
    },
    /// Close the open watch.
    CloseWatch,
    /// Tell the consumer.
    Emit(SourceEvent),
}

/// What the consumer of a reader learns.
#[derive(Debug)]
pub enum SourceEvent {
    /// The whole configuration at one revision.
    Snapshot(SourceSnapshot),
    /// One change; it follows on the revision `previous` without a gap.
    Change {
        /// Revision before the change.
        previous: Revision,
        /// Revision after the change.
        revision: Revision,
        /// The change.
        change: SourceChange,
    },
    /// The store was heard from and has nothing newer than this revision, which the consumer has.
    Current {
        /// The revision.
        revision: Revision,
    },
    /// The store can't be read. Told once for each outage; the reader goes on trying.
    Unavailable {
        /// When the first failure in the row was noticed.
        since: Timestamp,
        /// That failure.
        error: PlatformError,
    },
    /// The store answered with a state older than one it has shown before. The answer is ignored.
    OlderStore {
        /// Highest revision that the store has shown.
        seen: Revision,
        /// Revision of the answer.
        answered: Revision,
    },
    /// The store shows a revision that it has shown before, with other content. The answer is
    /// ignored until the store shows a higher revision.
    DivergedStore {
        /// The revision.
        revision: Revision,
    },
}

/// The whole configuration at one revision.
#[derive(Clone, Debug, PartialEq)]
pub struct SourceSnapshot {
    /// The revision.
    pub revision: Revision,
    /// Every object that is a well-formed resource.
    pub resources: Vec<Resource>,
    /// Every other object.
    pub rejected: Vec<RejectedObject>,
}

impl SourceSnapshot {
    /// Reads the objects of a list as resources.
    #[must_use]
    pub fn from_list(list: &ObjectList) -> Self {
        let mut snapshot = Self {
            revision: list.version,
            resources: Vec::with_capacity(list.objects.len()),
            rejected: Vec::new(),
        };
        for object in &list.objects {
            match conversion::resource_from_object(object) {
                Ok(resource) => snapshot.resources.push(resource),
                Err(error) => snapshot.rejected.push(RejectedObject::new(object, error)),
            }
        }
        snapshot
    }
}

/// What one write did.
#[derive(Clone, Debug, PartialEq)]
pub enum SourceChange {
    /// A resource was created or replaced.
    Put(Resource),
    /// A resource was deleted.
    Delete(ResourceId),
    /// An object was written that is no well-formed resource.
    Rejected(RejectedObject),
    /// An object of an unknown kind was deleted.
    DeleteUnknown(ObjectKey),
}

impl SourceChange {
    /// Reads a written object.
    #[must_use]
    pub fn put(object: &Object) -> Self {
        match conversion::resource_from_object(object) {
            Ok(resource) => Self::Put(resource),
            Err(error) => Self::Rejected(RejectedObject::new(object, error)),
        }
    }

    /// Reads a deleted object.
    #[must_use]
    pub fn delete(key: &ObjectKey) -> Self {
        conversion::resource_id(key).map_or_else(|| Self::DeleteUnknown(key.clone()), Self::Delete)
    }
}

/// An object that is no well-formed resource.
#[derive(Clone, Debug, PartialEq)]
pub struct RejectedObject {
    /// Kind and name.
    pub key: ObjectKey,
    /// Version in which it was written.
    pub version: Revision,
    /// The write.
    pub operation: OperationId,
    /// Who made the write.
    pub author: String,
    /// What is wrong.
    pub error: ConversionError,
}

impl RejectedObject {
    fn new(object: &Object, error: ConversionError) -> Self {
        Self {
            key: object.key.clone(),
            version: object.version,
            operation: object.operation,
            author: object.author.clone(),
            error,
        }
    }
}
