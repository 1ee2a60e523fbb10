//! Identity, state and capacity of an endpoint, as listed for a router.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::time::Timestamp;

/// Defines a name type that is cheap to clone.
macro_rules! shared_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub Arc<str>);

        impl $name {
            /// Returns the name as text.
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
    /// Identity of an endpoint: the id of the daemon next to the backend.
    EndpointId
}

shared_name! {
    /// Name of a zone.
    Zone
}

/// Incarnation of an endpoint that has not reported one yet.
pub const UNKNOWN_INCARNATION: u64 = 0;

/// Eligibility of an endpoint for new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EndpointState {
    /// Accepts new work.
    Live,
    /// Only completes calls in flight.
    Leaving,
}

/// One backend of a service, reached through its daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Identity of the endpoint, stable across restarts.
    pub id: EndpointId,
    /// Zone in which the backend runs.
    pub zone: Zone,
    /// Number that grows with each restart, or [`UNKNOWN_INCARNATION`].
    pub incarnation: u64,
    /// Eligibility of the endpoint for new work.
    pub state: EndpointState,
    /// Local time at which this incarnation started; `None` if it is known to be warm.
    pub started_at: Option<Timestamp>,
    /// Number of requests that the backend executes concurrently.
    pub slots: u32,
    /// Number of connections that the backend accepts.
    pub connections: u32,
}
