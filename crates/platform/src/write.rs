//! Writes with an expected version, and the recognition of writes whose answer was lost.

use serde_json::Value;
use wharfquay_resources::snapshot::Revision;

use crate::error::{Conflict, PlatformError};
use crate::wire::{Object, ObjectKey, OperationId};

/// Which set of objects a write or read is about. Each has its own versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Keyspace {
    /// Configuration, which operators write and readers watch.
    Objects,
    /// Status, which the system writes.
    Status,
}

impl Keyspace {
    /// First part of the keyspace's paths.
    #[must_use]
    pub const fn path(self) -> &'static str {
        match self {
            Self::Objects => "/v1/objects",
            Self::Status => "/v1/status",
        }
    }
}

/// What a write does to its object.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteAction {
    /// Creates or replaces the object with this content.
    Put(Value),
    /// Deletes the object.
    Delete,
}

/// One intended write. Every attempt of it carries the same operation id.
#[derive(Clone, Debug, PartialEq)]
pub struct WriteRequest {
    /// Where the object lies.
    pub keyspace: Keyspace,
    /// Object to write.
    pub key: ObjectKey,
    /// Version that the object must have; zero means that it must not exist.
    pub expected_version: Revision,
    /// Id of the write.
    pub operation: OperationId,
    /// Who makes the write.
    pub author: String,
    /// What to do.
    pub action: WriteAction,
}

impl WriteRequest {
    /// A write that creates or replaces a configuration object.
    #[must_use]
    pub fn put(
        key: ObjectKey,
        expected_version: Revision,
        author: impl Into<String>,
        spec: Value,
    ) -> Self {
        Self {
            keyspace: Keyspace::Objects,
            key,
            expected_version,
            operation: OperationId::unique(),
            author: author.into(),
            action: WriteAction::Put(spec),
        }
    }

    /// A write that deletes a configuration object.
    #[must_use]
    pub fn delete(key: ObjectKey, expected_version: Revision, author: impl Into<String>) -> Self {
        Self {
            keyspace: Keyspace::Objects,
            key,
            expected_version,
            operation: OperationId::unique(),
            author: author.into(),
            action: WriteAction::Delete,
        }
    }

    /// The same write in the status keyspace.
    #[must_use]
    pub fn in_status(mut self) -> Self {
        self.keyspace = Keyspace::Status;
        self
    }
}

/// A write that has taken effect.
#[derive(Clone, Debug, PartialEq)]
pub struct WriteReceipt {
    /// The object after the write; `None` after a deletion.
    pub object: Option<Object>,
    /// Version of the store after the write; absent when a deletion was recognised on re-read,
    /// which doesn't tell it.
    pub version: Option<Revision>,
    /// Attempts made.
    pub attempts: u32,
    /// Whether the answer was lost and the effect was recognised by reading the object back.
    pub recognised: bool,
}

/// What reading the object back says about a write whose answer was lost.
#[derive(Clone, Debug, PartialEq)]
pub enum ReadBack {
    /// The object carries the write's operation id, or is gone as the write wanted.
    Applied,
    /// The object still has the expected version. A delayed attempt may yet arrive; sending the
    /// same operation again is safe.
    NotYetApplied,
    /// Another write replaced the expected version.
    Replaced,
}

/// Judges a write by the object as it stands.
#[must_use]
pub fn judge(request: &WriteRequest, current: Option<&Object>) -> ReadBack {
    let Some(current) = current else {
        return judge_missing(request);
    };
    if current.operation == request.operation {
        return ReadBack::Applied;
    }
    if current.version == request.expected_version {
        return ReadBack::NotYetApplied;
    }
    ReadBack::Replaced
}

/// An object that doesn't exist satisfies a deletion, whoever made it.
fn judge_missing(request: &WriteRequest) -> ReadBack {
    match (&request.action, request.expected_version) {
        (WriteAction::Delete, _) => ReadBack::Applied,
        (WriteAction::Put(_), Revision::ZERO) => ReadBack::NotYetApplied,
        (WriteAction::Put(_), _) => ReadBack::Replaced,
    }
}

/// The error for a write that met another version.
#[must_use]
pub fn conflict(
    request: &WriteRequest,
    current: Option<Object>,
    earlier_attempt_open: bool,
) -> PlatformError {
    PlatformError::Conflict(Box::new(Conflict {
        key: request.key.clone(),
        expected_version: request.expected_version,
        current,
        earlier_attempt_open,
    }))
}
