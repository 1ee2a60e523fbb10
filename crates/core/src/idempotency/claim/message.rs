//! Messages between coordinators and replicas. Both sides tolerate loss, duplication and reordering.

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use crate::call::IdempotencyKey;
use crate::idempotency::claim::group::Epoch;
use crate::idempotency::claim::records::Record;
use crate::idempotency::clock::UnixMillis;

/// Identity of one claim: 128 random bits drawn by the coordinator for each claim.
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

/// Digest of the request's method, path and body; distinguishes a repeat from a key used for a
/// different request.
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

/// Response of the backend, recorded for replay.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedResponse {
    /// HTTP status of the response.
    #[serde(rename = "s")]
    pub status: u16,
    /// Headers and body in the driver's encoding; `None` if too large to be kept.
    #[serde(rename = "c")]
    pub content: Option<ByteBuf>,
}

/// Outcome of a dispatched request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordedOutcome {
    /// The backend executed the request and responded.
    #[serde(rename = "a")]
    Responded(RecordedResponse),
    /// The request was dispatched and its result is not known.
    #[serde(rename = "l")]
    Lost,
}

/// A recorded outcome with the request that it belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeRecord {
    /// Fingerprint of the request that was dispatched.
    #[serde(rename = "f")]
    pub fingerprint: Fingerprint,
    /// Outcome of that request.
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
    /// Fingerprint of the request for which the claim is made.
    #[serde(rename = "f")]
    pub fingerprint: Fingerprint,
}

/// Withdraws a claim whose request was not dispatched, or provably not executed, and never will be.
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
    /// The outcome to store.
    #[serde(rename = "r")]
    pub record: OutcomeRecord,
}

/// Requests records, in order to vote in `target`. The receiver stops voting in every earlier
/// epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fetch {
    /// The epoch that the sender is joining.
    #[serde(rename = "t")]
    pub target: Epoch,
    /// Key after which the page starts; `None` for the first page.
    #[serde(rename = "a")]
    pub after: Option<IdempotencyKey>,
}

/// A request to a replica.
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

/// Reason for which a replica provides no information about a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Abstention {
    /// The replica may have lost its vote on the key in a restart.
    #[serde(rename = "h")]
    BeforeHorizon,
    /// The key's timestamp is ahead of the replica's clock by more than the allowed skew.
    #[serde(rename = "e")]
    TooEarly,
    /// The key is older than the retention.
    #[serde(rename = "x")]
    Expired,
    /// The replica doesn't vote in the claim's epoch: it left that epoch or has not entered it.
    #[serde(rename = "g")]
    OtherEpoch,
    /// The votes taken over from the previous group don't show which claim won.
    #[serde(rename = "c")]
    Contested,
    /// The claim was abandoned earlier.
    #[serde(rename = "a")]
    Abandoned,
}

/// A replica's reply to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Vote {
    /// The replica voted for this claim and won't vote for another one on the key.
    #[serde(rename = "g")]
    Granted,
    /// The replica voted for another claim.
    #[serde(rename = "h")]
    Held {
        /// Identity of the other claim.
        #[serde(rename = "i")]
        by: ClaimId,
        /// True if the other claim is for the same request.
        #[serde(rename = "s")]
        same_request: bool,
    },
    /// The outcome of the request with this key is known.
    #[serde(rename = "r")]
    Recorded(OutcomeRecord),
    /// The replica holds no vote on the key, and its store is full.
    #[serde(rename = "f")]
    Full,
    /// The replica provides no information on the key.
    #[serde(rename = "a")]
    Abstained(Abstention),
}

/// Reply to a [`Claim`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteReply {
    /// Epoch of the claim that this replies to.
    #[serde(rename = "e")]
    pub epoch: Epoch,
    /// Identity of the claim that this replies to.
    #[serde(rename = "i")]
    pub claim: ClaimId,
    /// Vote on the claim.
    #[serde(rename = "v")]
    pub vote: Vote,
}

/// Status of a replica that replies to a [`Fetch`]: how far its records represent the group before
/// the target epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HandoverStatus {
    /// It votes in the target epoch, so it has completed its own handover.
    #[serde(rename = "c")]
    Current,
    /// It voted in the epoch before the target and has stopped voting there.
    #[serde(rename = "s")]
    Sealed,
    /// It belongs to the group before the target but started after that group was replaced, so this
    /// instance never voted there and never will.
    #[serde(rename = "f")]
    Fresh,
    /// It can't provide records yet.
    #[serde(rename = "u")]
    Unready,
}

/// One key and its record in a [`Page`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PageEntry {
    /// Idempotency key of the record.
    #[serde(rename = "k")]
    pub key: IdempotencyKey,
    /// State of the key at the replying replica.
    #[serde(rename = "r")]
    pub record: Record,
}

/// One page of a replica's records, which a replica that joins an epoch requests with a [`Fetch`]
/// before it votes there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Epoch that the requesting replica is joining.
    #[serde(rename = "t")]
    pub target: Epoch,
    /// Key after which this page starts, copied from the request.
    #[serde(rename = "a")]
    pub after: Option<IdempotencyKey>,
    /// Status of the replying replica with respect to the previous group.
    #[serde(rename = "s")]
    pub status: HandoverStatus,
    /// The replying replica abstains on keys created up to this time.
    #[serde(rename = "h")]
    pub horizon: UnixMillis,
    /// Records in ascending order of their keys.
    #[serde(rename = "r")]
    pub entries: Vec<PageEntry>,
    /// True if this is the last page.
    #[serde(rename = "l")]
    pub last: bool,
}

/// A reply of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaReply {
    /// Reply to a [`Claim`].
    #[serde(rename = "v")]
    Vote(VoteReply),
    /// Reply to an [`Abandon`] or a [`Store`] of this claim.
    #[serde(rename = "d")]
    Acknowledged(ClaimId),
    /// Reply to a [`Fetch`]: one page of the replica's records.
    #[serde(rename = "p")]
    Page(Page),
}
