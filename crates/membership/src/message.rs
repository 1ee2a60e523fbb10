//! Control messages between daemons.
//!
//! One message is one CBOR document in [`wharfquay_protocol::envelope`]. Field names are one letter
//! long, since control traffic has a budget.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::de::{Error, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::member::{Claim, Incarnation, Liveness, Member, MemberId, MemberProfile, ZoneName};

/// One control message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Who speaks.
    #[serde(rename = "h")]
    pub header: Header,
    /// Reports about members that ride along.
    #[serde(rename = "u", default, skip_serializing_if = "Vec::is_empty")]
    pub updates: Vec<Update>,
    /// What is said.
    #[serde(rename = "b")]
    pub body: Body,
}

/// Who speaks, and which configuration it holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Number of the deployment; a message of another one is foreign and is dropped.
    #[serde(rename = "d")]
    pub deployment: u32,
    /// The sender.
    #[serde(rename = "f")]
    pub from: MemberId,
    /// The sender's zone.
    #[serde(rename = "z")]
    pub zone: ZoneName,
    /// The sender's incarnation.
    #[serde(rename = "n")]
    pub incarnation: Incarnation,
    /// Configuration revision in force at the sender; zero when it holds none.
    #[serde(rename = "r")]
    pub revision: u64,
    /// Whether the sender has reported ready.
    #[serde(rename = "y")]
    pub ready: bool,
}

/// The matter of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Nothing beyond the updates and the header.
    #[serde(rename = "g")]
    Gossip,
    /// Asks for an [`Body::Acknowledge`] with the same number.
    #[serde(rename = "p")]
    Probe(u32),
    /// Asks the receiver to probe another member on the sender's behalf.
    #[serde(rename = "q")]
    ProbeRequest {
        /// Number that the answer repeats.
        #[serde(rename = "s")]
        sequence: u32,
        /// Control address of the member to probe.
        #[serde(rename = "a")]
        target: SocketAddr,
    },
    /// Answers a probe.
    #[serde(rename = "k")]
    Acknowledge(u32),
    /// Digest of the sender's whole member table; opens an anti-entropy exchange.
    #[serde(rename = "t")]
    TableHash(u64),
    /// Digest per zone of the sender's member table: what a table hash is answered with when it
    /// differs. Empty when it does not.
    #[serde(rename = "d")]
    TableDigest(Vec<ZoneDigest>),
    /// Digests of the buckets of one zone in which sender and receiver differ.
    #[serde(rename = "e")]
    BucketDigests {
        /// The zone.
        #[serde(rename = "z")]
        zone: ZoneName,
        /// One digest for each bucket.
        #[serde(rename = "b")]
        buckets: Vec<u64>,
    },
    /// What the sender knows of the members in some buckets of a zone, without their profiles.
    #[serde(rename = "s")]
    BucketSummary {
        /// The zone.
        #[serde(rename = "z")]
        zone: ZoneName,
        /// The buckets.
        #[serde(rename = "b")]
        buckets: Vec<u8>,
        /// The members.
        #[serde(rename = "m")]
        entries: Vec<SummaryEntry>,
    },
    /// Whole records, and the ids of members of which the sender wants a record.
    #[serde(rename = "r")]
    Records {
        /// Zone of the wanted members.
        #[serde(rename = "z")]
        zone: ZoneName,
        /// The records.
        #[serde(rename = "u")]
        records: Vec<Update>,
        /// The wanted members.
        #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
        wanted: Vec<MemberId>,
    },
    /// Configuration changes, pushed or asked for.
    #[serde(rename = "c")]
    Changes(Changes),
    /// Asks for all changes after this revision.
    #[serde(rename = "l")]
    Pull(u64),
    /// Asks which revision the receiver holds; any message answers by its header.
    #[serde(rename = "a")]
    Ask,
    /// Tells the revision that the header names.
    #[serde(rename = "o")]
    Holding,
    /// What delegates know of the revisions in force in zones.
    #[serde(rename = "v")]
    ZoneReports(Vec<ZoneReport>),
}

/// Digest of one zone's members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneDigest {
    /// The zone.
    #[serde(rename = "z")]
    pub zone: ZoneName,
    /// Digest over its live members.
    #[serde(rename = "d")]
    pub digest: u64,
}

/// A member's claim without its profile.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SummaryEntry {
    /// The member.
    #[serde(rename = "i")]
    pub id: MemberId,
    /// Its incarnation.
    #[serde(rename = "n")]
    pub incarnation: Incarnation,
    /// Whether its process leaves.
    #[serde(rename = "l", default, skip_serializing_if = "is_false")]
    pub leaving: bool,
}

/// The revision in force in one zone, as counted by its delegates.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneReport {
    /// The zone.
    #[serde(rename = "z")]
    pub zone: ZoneName,
    /// The delegate that counted.
    #[serde(rename = "c")]
    pub counted_by: MemberId,
    /// Whether the counts cover the whole zone or only the members that report to `counted_by`.
    #[serde(rename = "w")]
    pub whole: bool,
    /// Time since the count, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u64,
    /// Members that reported.
    #[serde(rename = "m")]
    pub members: u32,
    /// Members among them that are ready.
    #[serde(rename = "y")]
    pub ready: u32,
    /// Lowest revision in force among the ready ones; zero when none is ready.
    #[serde(rename = "l")]
    pub lowest: u64,
    /// Highest revision in force among the ready ones.
    #[serde(rename = "h")]
    pub highest: u64,
    /// Contact of the zone's reader with the store: nothing when no reader has tried.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub store_contact: Option<bool>,
}

/// A report about one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The member.
    #[serde(rename = "i")]
    pub id: MemberId,
    /// Its zone.
    #[serde(rename = "z")]
    pub zone: ZoneName,
    /// The incarnation that the report is about.
    #[serde(rename = "n")]
    pub incarnation: Incarnation,
    /// Whether it answers.
    #[serde(rename = "s")]
    pub liveness: Liveness,
    /// Whether its process leaves.
    #[serde(rename = "l", default, skip_serializing_if = "is_false")]
    pub leaving: bool,
    /// The fixed part; absent in reports of death.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub profile: Option<UpdateProfile>,
}

/// The fixed part of a member in a report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpdateProfile {
    /// Service of its back end.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// Address for calls.
    #[serde(rename = "a")]
    pub call_address: SocketAddr,
    /// Address for control messages.
    #[serde(rename = "c")]
    pub control_address: SocketAddr,
    /// Requests that its back end executes at a time.
    #[serde(rename = "n")]
    pub slots: u32,
    /// Connections that its back end accepts.
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
    /// The report of a member as it stands in a table.
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

    /// The part that changes.
    #[must_use]
    pub const fn claim(&self) -> Claim {
        Claim {
            incarnation: self.incarnation,
            liveness: self.liveness,
            leaving: self.leaving,
        }
    }

    /// The fixed part as a member's profile, where the report has one.
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
    /// A whole configuration.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    pub snapshot: Option<Snapshot>,
    /// Changes in order of revision.
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    pub deltas: Vec<Delta>,
}

/// A whole accepted configuration at one revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The revision.
    #[serde(rename = "r")]
    pub revision: u64,
    /// The configuration, opaque to this crate.
    #[serde(rename = "p")]
    pub payload: Payload,
}

/// What changed between two revisions.
///
/// The payload holds the new form of every object that changed after `previous`, up to `revision`,
/// so it may be applied to any configuration from `previous` up to, but not including, `revision`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Revision before the change.
    #[serde(rename = "f")]
    pub previous: u64,
    /// Revision after the change.
    #[serde(rename = "r")]
    pub revision: u64,
    /// The change, opaque to this crate.
    #[serde(rename = "p")]
    pub payload: Payload,
}

/// Opaque bytes, shared between copies and encoded as a byte string.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Payload(Arc<[u8]>);

impl Payload {
    /// The bytes.
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
