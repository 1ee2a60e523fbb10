//! Messages of the platform's object API, as they stand in its JSON bodies.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use uuid::Uuid;
use wharfquay_resources::snapshot::Revision;

/// Id of one intended write; every attempt of that write carries the same id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct OperationId(Uuid);

impl OperationId {
    /// An id that no other write has.
    #[must_use]
    pub fn unique() -> Self {
        Self(Uuid::now_v7())
    }

    /// Wraps a UUID that the caller chose.
    #[must_use]
    pub const fn from_uuid(uuid: Uuid) -> Self {
        Self(uuid)
    }
}

impl fmt::Display for OperationId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// Identity of an object: kind and name, whether or not the kind is known to this program.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ObjectKey {
    /// The kind's name.
    pub kind: String,
    /// The name, unique inside the kind.
    pub name: String,
}

impl ObjectKey {
    /// The identity made of `kind` and `name`.
    #[must_use]
    pub fn new(kind: impl Into<String>, name: impl Into<String>) -> Self {
        Self {
            kind: kind.into(),
            name: name.into(),
        }
    }
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.kind, self.name)
    }
}

/// An object of the configuration or status keyspace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Kind and name.
    #[serde(flatten)]
    pub key: ObjectKey,
    /// Version of the store in which the object was last written.
    pub version: Revision,
    /// Write that gave the object this state.
    pub operation: OperationId,
    /// Who made that write.
    #[serde(default)]
    pub author: String,
    /// Content.
    pub spec: Value,
}

/// Every object of a keyspace at one version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ObjectList {
    /// Version of the last write that the list holds.
    pub version: Revision,
    /// The objects, in order of kind and name.
    pub objects: Vec<Object>,
}

/// Body of a write that creates or replaces an object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PutBody {
    /// Version that the object must have; zero means that it must not exist.
    pub expected_version: Revision,
    /// Id of this write.
    pub operation: OperationId,
    /// Who makes the write.
    #[serde(default)]
    pub author: String,
    /// New content.
    pub spec: Value,
}

/// Answer to a deletion.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeleteAnswer {
    /// Version of the store in which the object was removed.
    pub version: Revision,
}

/// Answer to a write whose expected version is not the current one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConflictAnswer {
    /// The object as it stands, or `None` when it doesn't exist.
    pub current: Option<Object>,
}

/// One line of a watch.
///
/// The versions of the configuration keyspace are contiguous: each write makes one event whose
/// version is one above that of the event before.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum WatchEvent {
    /// An object was created or replaced.
    Put {
        /// Version of the store after the write.
        version: Revision,
        /// The object after the write.
        object: Object,
    },
    /// An object was deleted.
    Delete {
        /// Version of the store after the deletion.
        version: Revision,
        /// The object before the deletion.
        object: Object,
    },
    /// Every event up to this version has been sent.
    Bookmark {
        /// The version that the watch has reached.
        version: Revision,
    },
}

impl WatchEvent {
    /// Version of the store that the event tells of.
    #[must_use]
    pub const fn version(&self) -> Revision {
        match self {
            Self::Put { version, .. }
            | Self::Delete { version, .. }
            | Self::Bookmark { version } => *version,
        }
    }
}

/// Body of a request for a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseBody {
    /// Who wants to hold the lease.
    pub holder: String,
    /// Time after which the lease lapses unless it is renewed, in milliseconds.
    pub ttl_ms: u64,
}

/// Answer to a request for a lease, granted or not.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseAnswer {
    /// Who holds the lease.
    pub holder: String,
    /// Time after which the lease lapses unless it is renewed, in milliseconds.
    pub expires_in_ms: u64,
}

/// Whether a machine takes part, as the platform believes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineState {
    /// The machine runs.
    Live,
    /// The machine is about to be stopped.
    Leaving,
}

/// A machine, as the platform believes it to be.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Id of the machine's daemon.
    pub id: String,
    /// Zone that the machine stands in.
    pub zone: String,
    /// Service that the machine's back end belongs to; absent at an edge.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// Whether the machine takes part.
    pub state: MachineState,
    /// Where its daemon takes calls from other daemons.
    pub call_address: SocketAddr,
    /// Where its daemon takes control messages.
    pub control_address: SocketAddr,
}

/// The platform's list of machines, which may lag behind reality.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineList {
    /// Version of the list; grows with every change.
    pub version: u64,
    /// The machines, in order of their ids.
    pub machines: Vec<Machine>,
}

/// Body of an answer that reports a failure.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureAnswer {
    /// What is wrong, for a reader.
    pub error: String,
}
