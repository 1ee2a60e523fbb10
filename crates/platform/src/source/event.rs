//! Inputs, effects and events of a reader.

use wharfquay_core::time::Timestamp;
use wharfquay_resources::kinds::{Resource, ResourceId};
use wharfquay_resources::snapshot::Revision;

use crate::conversion::{self, ConversionError};
use crate::error::PlatformError;
use crate::wire::{Object, ObjectKey, ObjectList, OperationId, WatchEvent};

/// An input of the reader state machine.
#[derive(Debug)]
pub enum SourceInput {
    /// The requested list arrived.
    Listed(ObjectList),
    /// The list request failed.
    ListFailed(PlatformError),
    /// The requested watch is open.
    WatchOpened,
    /// The next event of the open watch arrived.
    WatchEvent(WatchEvent),
    /// The platform no longer has the events that the watch requested.
    WatchTooOld,
    /// The platform closed the watch.
    WatchEnded,
    /// The watch could not be opened or failed.
    WatchFailed(PlatformError),
}

/// An action that the reader state machine requests.
#[derive(Debug)]
pub enum SourceEffect {
    /// List the configuration objects.
    List,
    /// Open a watch that starts after this version.
    OpenWatch {
        /// Version after which the watch starts.
        from: Revision,
    },
    /// Close the open watch.
    CloseWatch,
    /// Deliver an event to the consumer.
    Emit(SourceEvent),
}

/// An event that a reader delivers to its consumer.
#[derive(Debug)]
pub enum SourceEvent {
    /// The whole configuration at one revision.
    Snapshot(SourceSnapshot),
    /// One change, which directly follows the revision `previous`.
    Change {
        /// Revision before the change.
        previous: Revision,
        /// Revision after the change.
        revision: Revision,
        /// Effect of the change.
        change: SourceChange,
    },
    /// The store replied and has nothing newer than this revision, which the consumer has.
    Current {
        /// Latest revision of the store.
        revision: Revision,
    },
    /// The store can't be read. Emitted once per outage; the reader continues to retry.
    Unavailable {
        /// Time of the first failure of the outage.
        since: Timestamp,
        /// The first failure.
        error: PlatformError,
    },
    /// The store replied with an older state than in an earlier reply. The reply is ignored.
    OlderStore {
        /// Highest revision in any earlier reply of the store.
        seen: Revision,
        /// Revision of this reply.
        replied_revision: Revision,
    },
    /// The store replied with other content for a revision that the consumer already has. Replies are
    /// ignored until the store has a higher revision.
    DivergedStore {
        /// Revision with different content.
        revision: Revision,
    },
}

/// The whole configuration at one revision.
#[derive(Clone, Debug, PartialEq)]
pub struct SourceSnapshot {
    /// Revision of the snapshot.
    pub revision: Revision,
    /// Every object that could be converted to a resource.
    pub resources: Vec<Resource>,
    /// Every other object, with the error.
    pub rejected: Vec<RejectedObject>,
}

impl SourceSnapshot {
    /// Converts the objects of a list to resources.
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

/// The effect of one write.
#[derive(Clone, Debug, PartialEq)]
pub enum SourceChange {
    /// A resource was created or replaced.
    Put(Resource),
    /// A resource was deleted.
    Delete(ResourceId),
    /// The written object could not be converted to a resource.
    Rejected(RejectedObject),
    /// An object of an unknown kind was deleted.
    DeleteUnknown(ObjectKey),
}

impl SourceChange {
    /// Converts a written object to a change.
    #[must_use]
    pub fn put(object: &Object) -> Self {
        match conversion::resource_from_object(object) {
            Ok(resource) => Self::Put(resource),
            Err(error) => Self::Rejected(RejectedObject::new(object, error)),
        }
    }

    /// Converts the deletion of an object to a change.
    #[must_use]
    pub fn delete(key: &ObjectKey) -> Self {
        conversion::resource_id(key).map_or_else(|| Self::DeleteUnknown(key.clone()), Self::Delete)
    }
}

/// An object that could not be converted to a resource.
#[derive(Clone, Debug, PartialEq)]
pub struct RejectedObject {
    /// Kind and name.
    pub key: ObjectKey,
    /// Store version of its last write.
    pub version: Revision,
    /// Id of the last write to the object.
    pub operation: OperationId,
    /// Author of the last write to the object; empty if the platform sent none.
    pub author: String,
    /// Error of the conversion.
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
