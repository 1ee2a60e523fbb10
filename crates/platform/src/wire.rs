//! Messages of the platform's object API in its JSON encoding.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use uuid::Uuid;
use wharfquay_resources::snapshot::Revision;

/// Id of one write operation; every attempt of the operation carries the same id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct OperationId(Uuid);

impl OperationId {
    /// Creates an id that no other write has.
    #[must_use]
    pub fn unique() -> Self {
        Self(Uuid::now_v7())
    }

    /// Creates an id from a UUID.
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

/// Identity of an object: kind and name. The kind may be unknown to this program.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ObjectKey {
    /// Name of the kind.
    pub kind: String,
    /// Name, unique within the kind.
    pub name: String,
}

impl ObjectKey {
    /// Creates the identity from `kind` and `name`.
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
    /// Version of the store after the last write to the object.
    pub version: Revision,
    /// Id of the last write to the object.
    pub operation: OperationId,
    /// Author of the last write to the object; empty if the platform sent none.
    #[serde(default)]
    pub author: String,
    /// Content of the object.
    pub spec: Value,
}

/// Every object of a keyspace at one version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ObjectList {
    /// Version of the last write that the list includes.
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
    /// Author of the write; empty if the sender specified none.
    #[serde(default)]
    pub author: String,
    /// New content.
    pub spec: Value,
}

/// Reply to a deletion.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeleteReply {
    /// Version of the store after the deletion.
    pub version: Revision,
}

/// Reply to a write whose expected version is not the current one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConflictReply {
    /// Current state of the object, or `None` when it doesn't exist.
    pub current: Option<Object>,
}

/// One line of a watch.
///
/// The versions of the configuration keyspace are contiguous: each write causes one event, whose
/// version is one above that of the previous event.
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
        /// Version that the watch has reached.
        version: Revision,
    },
}

impl WatchEvent {
    /// Returns the version of the store that the event reports.
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
    /// Id of the process that requests the lease.
    pub holder: String,
    /// Time after which the lease expires unless it is renewed, in milliseconds.
    pub ttl_ms: u64,
}

/// Reply to a request for a lease, whether it was granted or not.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseReply {
    /// Id of the process that holds the lease.
    pub holder: String,
    /// Time after which the lease expires unless it is renewed, in milliseconds.
    pub expires_in_ms: u64,
}

/// State of a machine according to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineState {
    /// The machine is running.
    Live,
    /// The machine is about to be stopped.
    Leaving,
}

/// A machine according to the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Id of the machine's daemon.
    pub id: String,
    /// Zone of the machine.
    pub zone: String,
    /// Service of the machine's backend; `None` for an edge.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// State of the machine.
    pub state: MachineState,
    /// Address at which the daemon on the machine accepts calls of other daemons.
    pub call_address: SocketAddr,
    /// Address at which the daemon on the machine accepts control messages.
    pub control_address: SocketAddr,
}

/// The platform's list of machines, which may lag behind the actual state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineList {
    /// Version of the list; increases with every change.
    pub version: u64,
    /// The machines, in order of their ids.
    pub machines: Vec<Machine>,
}

/// Body of a reply that reports a failure.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureReply {
    /// Description of the failure for operators.
    pub error: String,
}
