//! What routing knows of an endpoint from outside.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::time::Timestamp;

/// Defines a cheaply cloned name.
macro_rules! shared_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub Arc<str>);

        impl $name {
            /// The name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self(Arc::from(name))
            }
        }

        impl From<String> for $name {
            fn from(name: String) -> Self {
                Self(Arc::from(name))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl Serialize for $name {
            fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.serialize_str(&self.0)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                String::deserialize(deserializer).map(Self::from)
            }
        }
    };
}

shared_name! {
    /// Identity of an endpoint: the id of the daemon beside the back end.
    EndpointId
}

shared_name! {
    /// Name of a zone.
    Zone
}

/// Incarnation of an endpoint of which none was told yet.
pub const UNKNOWN_INCARNATION: u64 = 0;

/// Whether an endpoint may get new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EndpointState {
    /// New work is welcome.
    Live,
    /// Only calls in flight are finished.
    Leaving,
}

/// One back end of a service, reached through its daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Identity, stable over restarts.
    pub id: EndpointId,
    /// Zone that it runs in.
    pub zone: Zone,
    /// Number that grows with each restart, or [`UNKNOWN_INCARNATION`].
    pub incarnation: u64,
    /// Whether it may get new work.
    pub state: EndpointState,
    /// When this incarnation started, in local time; `None` when it is known to be warm.
    pub started_at: Option<Timestamp>,
    /// Requests that the back end executes at a time.
    pub slots: u32,
    /// Connections that the back end accepts.
    pub connections: u32,
}
