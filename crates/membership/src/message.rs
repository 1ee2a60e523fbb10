//! Control messages between daemons.
//!
//! Each message is one CBOR document in a [`wharfquay_protocol::envelope`]. Field names on the wire
//! are one letter long because control traffic has a byte budget.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::de::{Error, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::member::{
    Incarnation, Liveness, Member, MemberId, MemberProfile, VersionedState, ZoneName,
};

/// One control message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Sender and its configuration state.
    #[serde(rename = "h")]
    pub header: Header,
    /// Member updates piggybacked on this message.
    #[serde(rename = "u", default, skip_serializing_if = "Vec::is_empty")]
    pub updates: Vec<Update>,
    /// Content of the message.
    #[serde(rename = "b")]
    pub body: Body,
}

/// Identity of the sender and the configuration that it holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Deployment number. Messages of another deployment are foreign and are dropped.
    #[serde(rename = "d")]
    pub deployment: u32,
    /// Id of the sender.
    #[serde(rename = "f")]
    pub from: MemberId,
    /// Zone of the sender.
    #[serde(rename = "z")]
    pub zone: ZoneName,
    /// Incarnation of the sender.
    #[serde(rename = "n")]
    pub incarnation: Incarnation,
    /// Configuration revision in force at the sender; 0 when it holds none.
    #[serde(rename = "r")]
    pub revision: u64,
    /// True once the sender has reported ready.
    #[serde(rename = "y")]
    pub ready: bool,
}

/// Content of a control message, by kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Carries only the header and the updates.
    #[serde(rename = "g")]
    Gossip,
    /// Direct probe. Requests a [`Body::Acknowledge`] with the same sequence number.
    #[serde(rename = "p")]
    Probe(u32),
    /// Indirect probe: requests that the receiver probes another member for the sender.
    #[serde(rename = "q")]
    ProbeRequest {
        /// Sequence number that the acknowledgement repeats.
        #[serde(rename = "s")]
        sequence: u32,
        /// Control address of the member to probe.
        #[serde(rename = "a")]
        target: SocketAddr,
    },
    /// Reply to a probe, with the probe's sequence number.
    #[serde(rename = "k")]
    Acknowledge(u32),
    /// Digest of the sender's whole member table. Opens an anti-entropy exchange.
    #[serde(rename = "t")]
    TableHash(u64),
    /// Digest of each zone in the sender's member table: the reply to a differing table hash, or
    /// the opening of an exchange by a joining daemon. Empty if the two tables agree.
    #[serde(rename = "d")]
    TableDigest(Vec<ZoneDigest>),
    /// Bucket digests of one zone whose digest differs between sender and receiver.
    #[serde(rename = "e")]
    BucketDigests {
        /// Zone that the digests cover.
        #[serde(rename = "z")]
        zone: ZoneName,
        /// One digest per bucket, in bucket order.
        #[serde(rename = "b")]
        buckets: Vec<u64>,
    },
    /// Members known to the sender in some buckets of a zone, without their profiles.
    #[serde(rename = "s")]
    BucketSummary {
        /// Zone of the members.
        #[serde(rename = "z")]
        zone: ZoneName,
        /// Indices of the buckets that are covered.
        #[serde(rename = "b")]
        buckets: Vec<u8>,
        /// Live members in these buckets.
        #[serde(rename = "m")]
        entries: Vec<SummaryEntry>,
    },
    /// Complete member records, and ids of members whose records the sender requests.
    #[serde(rename = "r")]
    Records {
        /// Zone of the requested members.
        #[serde(rename = "z")]
        zone: ZoneName,
        /// Complete records; they may belong to any zone.
        #[serde(rename = "u")]
        records: Vec<Update>,
        /// Ids of the requested members.
        #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
        wanted: Vec<MemberId>,
    },
    /// Configuration changes, either pushed or sent as the reply to a pull.
    #[serde(rename = "c")]
    Changes(Changes),
    /// Requests all configuration changes after this revision.
    #[serde(rename = "l")]
    Pull(u64),
    /// Requests the receiver's revision. Any message serves as the reply, by its header.
    #[serde(rename = "a")]
    RevisionRequest,
    /// Announces the sender's revision, which the header carries.
    #[serde(rename = "o")]
    RevisionAnnouncement,
    /// Configuration revisions in force per zone, as counted by delegates.
    #[serde(rename = "v")]
    ZoneReports(Vec<ZoneReport>),
}

/// Digest of one zone's members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneDigest {
    /// Name of the zone.
    #[serde(rename = "z")]
    pub zone: ZoneName,
    /// Digest over the zone's live members.
    #[serde(rename = "d")]
    pub digest: u64,
}

/// State of a live member without its profile.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SummaryEntry {
    /// Id of the member.
    #[serde(rename = "i")]
    pub id: MemberId,
    /// Incarnation of the member.
    #[serde(rename = "n")]
    pub incarnation: Incarnation,
    /// True if the member's process is leaving.
    #[serde(rename = "l", default, skip_serializing_if = "is_false")]
    pub leaving: bool,
}

/// Configuration revisions in force in one zone, as counted by its delegates.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneReport {
    /// Name of the zone.
    #[serde(rename = "z")]
    pub zone: ZoneName,
    /// Id of the delegate that counted the members.
    #[serde(rename = "c")]
    pub counted_by: MemberId,
    /// True if the counts cover the whole zone, false if only the members that report to
    /// `counted_by`.
    #[serde(rename = "w")]
    pub complete: bool,
    /// Time since `counted_by` counted the members, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u64,
    /// Number of members counted: those that recently reported their revision to a delegate.
    #[serde(rename = "m")]
    pub members: u32,
    /// Number of ready members among those counted.
    #[serde(rename = "y")]
    pub ready: u32,
    /// Lowest revision in force among the ready members; 0 when none is ready.
    #[serde(rename = "l")]
    pub lowest: u64,
    /// Highest revision in force among the ready members; 0 when none is ready.
    #[serde(rename = "h")]
    pub highest: u64,
    /// True if a reader of the zone is in contact with the store, false if all that tried are not;
    /// absent while none reads or none has tried yet.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub store_contact: Option<bool>,
}

/// Update about one member, as gossip and anti-entropy carry it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Id of the member.
    #[serde(rename = "i")]
    pub id: MemberId,
    /// Zone of the member.
    #[serde(rename = "z")]
    pub zone: ZoneName,
    /// Incarnation that the update is about.
    #[serde(rename = "n")]
    pub incarnation: Incarnation,
    /// Result of failure detection for this incarnation.
    #[serde(rename = "s")]
    pub liveness: Liveness,
    /// True if the member's process is leaving.
    #[serde(rename = "l", default, skip_serializing_if = "is_false")]
    pub leaving: bool,
    /// Immutable part of the record; absent if the member is dead.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub profile: Option<UpdateProfile>,
}

/// Immutable part of a member record, without the id and zone that the update already carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpdateProfile {
    /// Service of the member's backend; absent at an edge.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// Address for calls.
    #[serde(rename = "a")]
    pub call_address: SocketAddr,
    /// Address for control messages.
    #[serde(rename = "c")]
    pub control_address: SocketAddr,
    /// Number of requests that the backend executes concurrently; 0 if it is not announced.
    #[serde(rename = "n")]
    pub slots: u32,
    /// Number of connections that the backend accepts; 0 if it is not announced.
    #[serde(rename = "m")]
    pub connections: u32,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
const fn is_false(value: &bool) -> bool {
    !*value
}

impl Update {
    /// Creates the update that describes a member record.
    #[must_use]
    pub fn of(member: &Member) -> Self {
        let profile = &member.profile;
        let fixed = member.is_live().then(|| UpdateProfile {
            service: profile.service.clone(),
            call_address: profile.call_address,
            control_address: profile.control_address,
            slots: profile.slots,
            connections: profile.connections,
        });
        Self {
            id: profile.id.clone(),
            zone: profile.zone.clone(),
            incarnation: member.incarnation,
            liveness: member.liveness,
            leaving: member.leaving,
            profile: fixed,
        }
    }

    /// Returns the mutable part of the update.
    #[must_use]
    pub const fn versioned_state(&self) -> VersionedState {
        VersionedState {
            incarnation: self.incarnation,
            liveness: self.liveness,
            leaving: self.leaving,
        }
    }

    /// Returns the member's full profile, or `None` if the update carries none.
    #[must_use]
    pub fn member_profile(&self) -> Option<MemberProfile> {
        let fixed = self.profile.as_ref()?;
        Some(MemberProfile {
            id: self.id.clone(),
            zone: self.zone.clone(),
            service: fixed.service.clone(),
            call_address: fixed.call_address,
            control_address: fixed.control_address,
            slots: fixed.slots,
            connections: fixed.connections,
        })
    }
}

/// Configuration changes: a snapshot where the receiver needs one, then deltas.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// Whole configuration; absent when the deltas alone suffice.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    pub snapshot: Option<Snapshot>,
    /// Deltas in order of revision.
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    pub deltas: Vec<Delta>,
}

/// A whole accepted configuration at one revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Revision of the configuration.
    #[serde(rename = "r")]
    pub revision: u64,
    /// Encoded configuration, opaque to this crate.
    #[serde(rename = "p")]
    pub payload: Payload,
}

/// Difference between two configuration revisions.
///
/// The payload holds the new form of every object that changed after `previous`, up to and
/// including `revision`. It can therefore be applied to any configuration from `previous` up to,
/// but not including, `revision`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Revision before the change.
    #[serde(rename = "f")]
    pub previous: u64,
    /// Revision after the change.
    #[serde(rename = "r")]
    pub revision: u64,
    /// Encoded change, opaque to this crate.
    #[serde(rename = "p")]
    pub payload: Payload,
}

/// Opaque bytes, shared between copies and encoded as a byte string.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Payload(Arc<[u8]>);

impl Payload {
    /// Returns the bytes.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl From<Vec<u8>> for Payload {
    fn from(bytes: Vec<u8>) -> Self {
        Self(Arc::from(bytes))
    }
}

impl Serialize for Payload {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Payload {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_byte_buf(PayloadVisitor)
    }
}

struct PayloadVisitor;

impl<'de> Visitor<'de> for PayloadVisitor {
    type Value = Payload;

    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("a byte string")
    }

    fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<Payload, E> {
        Ok(Payload(Arc::from(bytes)))
    }

    fn visit_byte_buf<E: Error>(self, bytes: Vec<u8>) -> Result<Payload, E> {
        Ok(Payload::from(bytes))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut sequence: A) -> Result<Payload, A::Error> {
        let mut bytes = Vec::new();
        while let Some(byte) = sequence.next_element()? {
            bytes.push(byte);
        }
        Ok(Payload::from(bytes))
    }
}
