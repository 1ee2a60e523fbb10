//! Messages between coordinators and replicas. Both sides tolerate loss, duplication and reordering.

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use crate::call::IdempotencyKey;
use crate::idempotency::claim::group::Epoch;
use crate::idempotency::claim::records::Record;
use crate::idempotency::clock::UnixMillis;

/// Identity of one claim: 128 random bits that the coordinator draws for each claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClaimId(u128);

impl ClaimId {
    /// Wraps 128 random bits.
    #[must_use]
    pub const fn from_u128(value: u128) -> Self {
        Self(value)
    }
}

/// Digest of the request's method, path and body; tells a repeat from a key used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(u128);

impl Fingerprint {
    /// Wraps 128 bits of a cryptographic digest.
    #[must_use]
    pub const fn from_u128(value: u128) -> Self {
        Self(value)
    }
}

/// The back end's answer as it is kept for repeats.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// HTTP status of the back end.
    #[serde(rename = "s")]
    pub status: u16,
    /// Headers and body in the driver's encoding; `None` when too large to be kept.
    #[serde(rename = "c")]
    pub content: Option<ByteBuf>,
}

/// What became of a dispatched request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordedOutcome {
    /// The back end executed the request.
    #[serde(rename = "a")]
    Answered(RecordedAnswer),
    /// The request was dispatched and its result is not known.
    #[serde(rename = "l")]
    Lost,
}

/// A recorded outcome with the request that it belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeRecord {
    /// Digest of the request that was dispatched.
    #[serde(rename = "f")]
    pub fingerprint: Fingerprint,
    /// What became of it.
    #[serde(rename = "o")]
    pub outcome: RecordedOutcome,
}

/// A claim on a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Epoch of the group that the coordinator addresses.
    #[serde(rename = "e")]
    pub epoch: Epoch,
    /// The key that is claimed.
    #[serde(rename = "k")]
    pub key: IdempotencyKey,
    /// Identity of the claim.
    #[serde(rename = "i")]
    pub claim: ClaimId,
    /// Digest of the request.
    #[serde(rename = "f")]
    pub fingerprint: Fingerprint,
}

/// Withdraws a claim whose request was not dispatched or provably not run, and never will be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Abandon {
    /// The claimed key.
    #[serde(rename = "k")]
    pub key: IdempotencyKey,
    /// Identity of the claim.
    #[serde(rename = "i")]
    pub claim: ClaimId,
}

/// Stores the outcome of a dispatched request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Store {
    /// The claimed key.
    #[serde(rename = "k")]
    pub key: IdempotencyKey,
    /// Identity of the claim.
    #[serde(rename = "i")]
    pub claim: ClaimId,
    /// What is stored.
    #[serde(rename = "r")]
    pub record: OutcomeRecord,
}

/// Asks for records so that the sender may vote in `target`. The receiver stops voting in every
/// earlier epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fetch {
    /// The epoch that the sender is joining.
    #[serde(rename = "t")]
    pub target: Epoch,
    /// Key after which the page starts; the first page when absent.
    #[serde(rename = "a")]
    pub after: Option<IdempotencyKey>,
}

/// What a replica is asked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaRequest {
    /// See [`Claim`].
    #[serde(rename = "c")]
    Claim(Claim),
    /// See [`Abandon`].
    #[serde(rename = "a")]
    Abandon(Abandon),
    /// See [`Store`].
    #[serde(rename = "s")]
    Store(Store),
    /// See [`Fetch`].
    #[serde(rename = "f")]
    Fetch(Fetch),
}

/// Why a replica gives no information about a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Abstention {
    /// The replica may have lost its vote on the key in a restart.
    #[serde(rename = "h")]
    BeforeHorizon,
    /// The key's time lies ahead of the replica's clock by more than the allowed skew.
    #[serde(rename = "e")]
    TooEarly,
    /// The key is older than the retention.
    #[serde(rename = "x")]
    Expired,
    /// The replica doesn't vote in the claim's epoch: it left it, or has not entered it.
    #[serde(rename = "g")]
    OtherEpoch,
    /// The votes taken over from the group before can't tell which claim won.
    #[serde(rename = "c")]
    Contested,
    /// The claim was abandoned earlier.
    #[serde(rename = "a")]
    Abandoned,
}

/// A replica's answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Vote {
    /// The replica voted for this claim and won't vote for another one on the key.
    #[serde(rename = "g")]
    Granted,
    /// The replica voted for another claim.
    #[serde(rename = "h")]
    Held {
        /// The other claim.
        #[serde(rename = "i")]
        by: ClaimId,
        /// Whether the other claim is for the same request.
        #[serde(rename = "s")]
        same_request: bool,
    },
    /// The outcome of the request with this key is known.
    #[serde(rename = "r")]
    Recorded(OutcomeRecord),
    /// The replica holds no vote on the key and has no memory for one.
    #[serde(rename = "f")]
    Full,
    /// The replica says nothing about the key.
    #[serde(rename = "a")]
    Abstained(Abstention),
}

/// Answer to a [`Claim`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteReply {
    /// Epoch of the claim that is answered.
    #[serde(rename = "e")]
    pub epoch: Epoch,
    /// Identity of the claim that is answered.
    #[serde(rename = "i")]
    pub claim: ClaimId,
    /// The answer.
    #[serde(rename = "v")]
    pub vote: Vote,
}

/// How far a replica that answers a [`Fetch`] speaks for the group before the target epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    /// It votes in the target epoch, so it has taken over what there was to take over.
    #[serde(rename = "c")]
    Current,
    /// It voted in the epoch before the target and has stopped.
    #[serde(rename = "s")]
    Sealed,
    /// It belongs to the group before the target but started after that group was replaced, so it
    /// never voted there in this life and never will.
    #[serde(rename = "f")]
    Fresh,
    /// It can't help yet.
    #[serde(rename = "u")]
    Unready,
}

/// One record of a page.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PageEntry {
    /// The key.
    #[serde(rename = "k")]
    pub key: IdempotencyKey,
    /// Its record.
    #[serde(rename = "r")]
    pub record: Record,
}

/// Answer to a [`Fetch`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Epoch that the asking replica is joining.
    #[serde(rename = "t")]
    pub target: Epoch,
    /// Key after which this page starts, as asked for.
    #[serde(rename = "a")]
    pub after: Option<IdempotencyKey>,
    /// How far the answering replica speaks for the group before.
    #[serde(rename = "s")]
    pub standing: Standing,
    /// The answering replica abstains on keys minted up to this time.
    #[serde(rename = "h")]
    pub horizon: UnixMillis,
    /// Records in ascending order of their keys.
    #[serde(rename = "r")]
    pub entries: Vec<PageEntry>,
    /// Whether no further page follows.
    #[serde(rename = "l")]
    pub last: bool,
}

/// What a replica answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaReply {
    /// Answer to a [`Claim`].
    #[serde(rename = "v")]
    Vote(VoteReply),
    /// Answer to an [`Abandon`] or a [`Store`] of this claim.
    #[serde(rename = "d")]
    Acknowledged(ClaimId),
    /// Answer to a [`Fetch`].
    #[serde(rename = "p")]
    Page(Page),
}
