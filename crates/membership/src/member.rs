//! Members: identity, incarnation, state and the rule for merging two states of one member.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::hash::{hash_bytes, mix};

macro_rules! text_newtype {
    ($(#[$attribute:meta])* $name:ident) => {
        $(#[$attribute])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(Arc::from(text))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.serialize_str(&self.0)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                String::deserialize(deserializer).map(|text| Self(Arc::from(text)))
            }
        }
    };
}

text_newtype! {
    /// Id of a daemon, unique in the deployment and kept across its restarts.
    MemberId
}
text_newtype! {
    /// Name of a zone.
    ZoneName
}

/// Number of low bits of an [`Incarnation`] that count refutations.
const REFUTATION_BITS: u32 = 16;

/// Version of a member's state, ordered by process start, then by number of refutations.
///
/// The start is the wall clock of the member's machine in milliseconds since the Unix epoch. A
/// member that learns of a later start under its own id uses that start plus one instead.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(u64);

impl Incarnation {
    /// Creates the incarnation of a process that started at this time, in milliseconds since the
    /// Unix epoch.
    #[must_use]
    pub const fn started_at(millis: u64) -> Self {
        Self(millis << REFUTATION_BITS)
    }

    /// Returns the start of the process, in milliseconds since the Unix epoch. It distinguishes the
    /// processes that a member has had.
    #[must_use]
    pub const fn process(self) -> u64 {
        self.0 >> REFUTATION_BITS
    }

    /// Returns the incarnation with which the same process refutes an update about this one.
    #[must_use]
    pub const fn refuted(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

/// Result of failure detection for a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Liveness {
    /// The member responds to probes.
    Alive,
    /// The member did not respond to a probe and has time to refute.
    Suspect,
    /// The member neither responded nor refuted in time.
    Dead,
}

impl Serialize for Liveness {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_u8(*self as u8)
    }
}

impl<'de> Deserialize<'de> for Liveness {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        match u8::deserialize(deserializer)? {
            0 => Ok(Self::Alive),
            1 => Ok(Self::Suspect),
            2 => Ok(Self::Dead),
            other => Err(serde::de::Error::custom(format!(
                "liveness {other} is out of range (allowed: 0 to 2)"
            ))),
        }
    }
}

/// State of a member for routers and operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MemberState {
    /// The member accepts new work.
    Alive,
    /// The member has not responded to a probe yet. It still accepts new work.
    Suspect,
    /// The member completes its work in flight and accepts no new work.
    Leaving,
    /// The member is considered dead.
    Dead,
}

/// Part of a member record that is fixed while its process runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberProfile {
    /// Id of the member.
    pub id: MemberId,
    /// Zone in which the member runs.
    pub zone: ZoneName,
    /// Service of its backend; absent at an edge.
    pub service: Option<String>,
    /// Address for calls from other daemons.
    pub call_address: SocketAddr,
    /// Address for control messages, for datagrams and streams.
    pub control_address: SocketAddr,
    /// Number of requests that its backend executes concurrently; 0 if it is not announced.
    pub slots: u32,
    /// Number of connections that its backend accepts; 0 if it is not announced.
    pub connections: u32,
}

/// Record of a member as known to one daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Part of the record that is fixed while the member's process runs; shared between copies of
    /// the table.
    pub profile: Arc<MemberProfile>,
    /// Version of the member's state: the incarnation to which its liveness and its leaving flag
    /// apply.
    pub incarnation: Incarnation,
    /// Result of failure detection for the record's incarnation of the member.
    pub liveness: Liveness,
    /// True if the process has announced that it is leaving; never withdrawn by the same process.
    pub leaving: bool,
}

impl Member {
    /// Returns the combined state; death takes precedence over leaving, and leaving over suspicion.
    #[must_use]
    pub const fn state(&self) -> MemberState {
        match (self.liveness, self.leaving) {
            (Liveness::Dead, _) => MemberState::Dead,
            (_, true) => MemberState::Leaving,
            (Liveness::Suspect, false) => MemberState::Suspect,
            (Liveness::Alive, false) => MemberState::Alive,
        }
    }

    /// Returns true unless the member is considered dead.
    #[must_use]
    pub const fn is_live(&self) -> bool {
        !matches!(self.liveness, Liveness::Dead)
    }

    /// Returns the mutable part of the record.
    #[must_use]
    pub const fn versioned_state(&self) -> VersionedState {
        VersionedState {
            incarnation: self.incarnation,
            liveness: self.liveness,
            leaving: self.leaving,
        }
    }
}

/// Mutable part of a member record or update, versioned by its incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct VersionedState {
    /// Version of the member's state: the incarnation to which its liveness and its leaving flag
    /// apply.
    pub incarnation: Incarnation,
    /// Result of failure detection for the record's incarnation of the member.
    pub liveness: Liveness,
    /// True if the member's process has announced that it is leaving.
    pub leaving: bool,
}

impl VersionedState {
    /// Merges two states of one member; the result does not depend on their order.
    ///
    /// The later process wins. Within one process the later incarnation wins, then the worse
    /// liveness. A leaving flag is kept within one process.
    #[must_use]
    pub fn merge(self, other: Self) -> Self {
        let newer = if self.rank() >= other.rank() {
            self
        } else {
            other
        };
        let same_process = self.incarnation.process() == other.incarnation.process();
        Self {
            leaving: newer.leaving || (same_process && (self.leaving || other.leaving)),
            ..newer
        }
    }

    const fn rank(&self) -> (u64, u8) {
        (self.incarnation.0, self.liveness as u8)
    }
}

/// Returns the rendezvous score of a member for a key; the members with the highest scores are
/// selected for the key.
#[must_use]
pub fn rendezvous_score_for(id: &MemberId, key: &str) -> u64 {
    mix(rendezvous_score(id) ^ hash_bytes(key.as_bytes()))
}

/// Returns the rendezvous score of a member; the members of a zone with the highest scores are its
/// delegates.
pub(crate) fn rendezvous_score(id: &MemberId) -> u64 {
    hash_bytes(id.as_str().as_bytes())
}
